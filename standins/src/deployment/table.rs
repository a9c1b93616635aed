//! The operator's table of routes and services in a test deployment.

use crate::deployment;

/// The host name of all routes.
pub const HOST: &str = "desk.example";

/// The default API key of the workspace `counter`.
pub const API_KEY: &str = "key-of-the-counter";

/// A table with one route of each kind. The service `desk` serves all routes.
#[derive(Clone, Debug)]
pub struct Table {
    /// The version of the table.
    pub version: u64,
    /// The API keys of the workspace `counter`.
    pub api_keys: Vec<String>,
    /// The timeout of all routes, in milliseconds.
    pub timeout_ms: u64,
    /// The names of additional idempotent routes.
    pub extra_routes: Vec<String>,
    /// The KV memory of each upstream, in tokens, if the upstreams are engines. They prefill one
    /// token per millisecond.
    pub engine_memory_tokens: Option<u64>,
    /// The largest request head, in bytes.
    pub max_head_bytes: u64,
    /// The largest request body, in bytes.
    pub max_body_bytes: u64,
    /// The idle timeout of callers' connections, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for Table {
    fn default() -> Table {
        Table {
            version: 1,
            api_keys: vec![API_KEY.to_owned()],
            timeout_ms: 3_000,
            extra_routes: Vec::new(),
            engine_memory_tokens: None,
            max_head_bytes: 16_384,
            max_body_bytes: 100_000,
            idle_timeout_ms: 15_000,
        }
    }
}

impl Table {
    /// Encodes the table in the format of the store.
    ///
    /// # Errors
    ///
    /// Returns an error if the table cannot be encoded.
    pub fn encode(&self) -> deployment::Result<Vec<u8>> {
        let route = |name: &str, kind: &str, max_attempts: u32| {
            serde_json::json!({
                "name": name, "host": HOST, "prefix": format!("/{name}/"), "kind": kind,
                "timeout_ms": self.timeout_ms, "goal_ms": 200, "priority": 0,
                "service": "desk", "max_attempts": max_attempts, "public": false,
                "sticky": false, "resumable": kind == "streaming", "gap_aim_ms": 100,
            })
        };
        let mut routes = vec![
            route("look", "idempotent", 2),
            route("book", "non_idempotent", 1),
            route("stream", "streaming", 2),
        ];
        let extra_routes = self
            .extra_routes
            .iter()
            .map(|name| route(name, "idempotent", 2));
        routes.extend(extra_routes);
        let engine = self.engine_memory_tokens.map(|memory_tokens| {
            serde_json::json!({
                "slots": 6, "kv_capacity_tokens": memory_tokens, "stride": 10, "step_ms": 1.0,
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
                "max_header_bytes": self.max_head_bytes, "max_body_bytes": self.max_body_bytes,
                "header_timeout_ms": 3000, "idle_timeout_ms": self.idle_timeout_ms,
            },
            "tenants": [{ "name": "counter", "api_keys": self.api_keys, "priority": 1 }],
        });
        Ok(serde_json::to_vec(&table)?)
    }
}
