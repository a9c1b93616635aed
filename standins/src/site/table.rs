//! The operator's table of a test deployment.

use crate::site;

/// The host of all routes.
pub const HOST: &str = "desk.example";

/// A key of the workspace `counter`.
pub const KEY: &str = "key-of-the-counter";

/// A table with one route of each kind, all served by the service `desk`.
#[derive(Clone, Debug)]
pub struct Table {
    /// The version.
    pub version: u64,
    /// The keys of the workspace `counter`.
    pub keys: Vec<String>,
    /// The longest time that a caller is kept waiting, in milliseconds.
    pub timeout_ms: u64,
    /// Paths of further idempotent routes.
    pub extra: Vec<String>,
    /// The memory of each upstream in tokens, if they are engines that read a token in a
    /// millisecond.
    pub memory: Option<u64>,
}

impl Default for Table {
    fn default() -> Table {
        Table {
            version: 1,
            keys: vec![KEY.to_owned()],
            timeout_ms: 3_000,
            extra: Vec::new(),
            memory: None,
        }
    }
}

impl Table {
    /// Encodes the table as the operator writes it.
    ///
    /// # Errors
    ///
    /// Fails if the table cannot be encoded.
    pub fn encode(&self) -> site::Result<Vec<u8>> {
        let route = |name: &str, kind: &str, attempts: u32| {
            serde_json::json!({
                "name": name, "host": HOST, "prefix": format!("/{name}/"), "kind": kind,
                "timeout_ms": self.timeout_ms, "goal_ms": 200, "priority": 0,
                "service": "desk", "max_attempts": attempts, "public": false,
                "sticky": false, "resumable": kind == "streaming", "gap_aim_ms": 100,
            })
        };
        let mut routes = vec![
            route("look", "idempotent", 2),
            route("book", "non_idempotent", 1),
            route("stream", "streaming", 2),
        ];
        let extra = self.extra.iter().map(|name| route(name, "idempotent", 2));
        routes.extend(extra);
        let engine = self.memory.map(|memory| {
            serde_json::json!({
                "slots": 6, "kv_capacity_tokens": memory, "stride": 10, "step_ms": 1.0,
                "per_seq_ms": 0.0, "context_per_k": 0.0, "read_per_s": 1000.0,
            })
        });
        let table = serde_json::json!({
            "version": self.version,
            "routes": routes,
            "services": [{
                "name": "desk", "health_path": "/health", "max_conns": 100, "engine": engine,
            }],
            "limits": {
                "max_header_bytes": 16384, "max_body_bytes": 100_000,
                "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
            },
            "tenants": [{ "name": "counter", "api_keys": self.keys, "priority": 1 }],
        });
        Ok(serde_json::to_vec(&table)?)
    }
}
