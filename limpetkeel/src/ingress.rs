//! Relayed traffic: hosts and path prefixes, the pools behind them, and the keys of workspaces.
//!
//! The whole table is replaced by a newer version; no version is taken back.

use std::{collections, sync};

use crate::{engine, error, name, route, unit};

/// Whether a request may reach more than one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Repeat {
    /// It runs at most once.
    Never,
    /// It may run again from its start.
    Restart,
    /// Its stream may continue on another upstream after the last delivered event.
    Resume,
}

/// How an answer arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Form {
    /// As one body.
    Whole,
    /// As a stream of events.
    Stream,
}

/// The times within which an answer has its full value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Objective {
    /// To the whole answer, or to the first event of a stream.
    pub first: unit::Millis,
    /// Between two events of a stream.
    pub pause: unit::Millis,
}

/// One pool of a route and its part of the traffic.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Share {
    /// The pool.
    pub pool: String,
    /// Its weight against the route's other pools.
    pub weight: u32,
}

/// A route as the operator declares it.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RouteDeclaration {
    /// The name.
    pub name: String,
    /// The host that callers name.
    pub host: String,
    /// The beginning of the path, with a slash at both ends.
    pub prefix: String,
    /// The pools that may serve it.
    pub shares: Vec<Share>,
    /// How the answer arrives.
    pub form: Form,
    /// Whether it may run again.
    pub repeat: Repeat,
    /// The longest time that a caller is kept waiting.
    pub timeout: unit::Millis,
    /// When an answer has its full value.
    pub objective: Objective,
    /// How urgent it is; zero is first.
    pub priority: u8,
    /// The upstreams that one request may be sent to.
    pub max_sends: u32,
    /// Whether callers need no key.
    pub public: bool,
}

/// A workspace and the keys of its callers.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct WorkspaceDeclaration {
    /// The name.
    pub name: String,
    /// The keys.
    pub keys: Vec<String>,
    /// Its priority, which goes before that of a route.
    pub priority: Option<u8>,
}

/// A pool of relayed traffic.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct PoolDeclaration {
    /// The name.
    pub name: String,
    /// The figures of its engines, if they are model engines.
    pub engine: Option<engine::Figures>,
}

/// What callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Limits {
    /// Bytes of a request's head.
    pub head: unit::Bytes,
    /// Bytes of a request's body.
    pub body: unit::Bytes,
    /// The time to send the head.
    pub head_timeout: unit::Millis,
    /// The time that a connection may be idle.
    pub idle_timeout: unit::Millis,
}

/// The whole table as the operator declares it.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Declaration {
    /// Increases with each change.
    pub version: u64,
    /// The routes.
    pub routes: Vec<RouteDeclaration>,
    /// The pools.
    pub pools: Vec<PoolDeclaration>,
    /// The workspaces; with none, callers need no key.
    pub workspaces: Vec<WorkspaceDeclaration>,
    /// What callers may send.
    pub limits: Limits,
}

/// A checked route.
#[derive(Clone, Debug)]
pub struct Route {
    name: name::RouteName,
    shares: Vec<(name::PoolName, u32)>,
    form: Form,
    repeat: Repeat,
    timeout: unit::Millis,
    objective: Objective,
    priority: u8,
    max_sends: u32,
    public: bool,
}

impl Route {
    /// Returns the name.
    pub fn name(&self) -> &name::RouteName {
        &self.name
    }

    /// Returns how the answer arrives.
    pub fn form(&self) -> Form {
        self.form
    }

    /// Returns whether a request may run again.
    pub fn repeat(&self) -> Repeat {
        self.repeat
    }

    /// Returns the longest time that a caller is kept waiting.
    pub fn timeout(&self) -> unit::Millis {
        self.timeout
    }

    /// Returns when an answer has its full value.
    pub fn objective(&self) -> Objective {
        self.objective
    }

    /// Returns the upstreams that one request may be sent to.
    pub fn max_sends(&self) -> u32 {
        self.max_sends
    }

    /// Chooses a pool by weight; `draw` is a random number.
    pub fn pool(&self, draw: u64) -> Option<&name::PoolName> {
        let total: u64 = self.shares.iter().map(|(_, w)| u64::from(*w)).sum();
        let mut left = draw.checked_rem(total)?;
        for (pool, weight) in &self.shares {
            let weight = u64::from(*weight);
            if left < weight {
                return Some(pool);
            }
            left -= weight;
        }
        None
    }
}

impl TryFrom<&RouteDeclaration> for Route {
    type Error = error::Error;

    /// # Errors
    ///
    /// Fails if a name is invalid, the prefix has no slash at both ends, or no pool has a weight.
    fn try_from(raw: &RouteDeclaration) -> error::Result<Route> {
        let invalid = |field: &str, rule| error::Error::InvalidDeclaration {
            field: format!("routes.{}.{field}", raw.name),
            rule,
        };
        if !(raw.prefix.starts_with('/') && raw.prefix.ends_with('/')) {
            return Err(invalid("prefix", error::Rule::Prefix));
        }
        if raw.timeout == unit::Millis::ZERO || raw.timeout > route::MAX_TIMEOUT {
            let rule = error::Rule::Between(1, route::MAX_TIMEOUT.0);
            return Err(invalid("timeout", rule));
        }
        if raw.shares.iter().all(|share| share.weight == 0) {
            return Err(invalid("shares", error::Rule::Positive));
        }
        let shares = raw.shares.iter().map(|share| {
            let pool = name::PoolName::try_from(share.pool.as_str())?;
            Ok((pool, share.weight))
        });
        Ok(Route {
            name: name::RouteName::try_from(raw.name.as_str())?,
            shares: shares.collect::<error::Result<_>>()?,
            form: raw.form,
            repeat: raw.repeat,
            timeout: raw.timeout,
            objective: raw.objective,
            priority: raw.priority,
            max_sends: raw.max_sends.max(1),
            public: raw.public,
        })
    }
}

/// The workspace that a key belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// The name.
    pub name: name::WorkspaceName,
    /// Its priority, which goes before that of a route.
    pub priority: Option<u8>,
}

/// Who sends a request and under which route.
#[derive(Clone, Debug)]
pub struct Admission {
    /// The route.
    pub route: sync::Arc<Route>,
    /// The caller's workspace, if the route asks for one.
    pub workspace: Option<Workspace>,
    /// Whether keys are in use, so that none is passed on.
    pub keyed: bool,
}

impl Admission {
    /// Returns how urgent the request is; zero is first.
    pub fn priority(&self) -> u8 {
        let own = self.workspace.as_ref().and_then(|w| w.priority);
        own.unwrap_or(self.route.priority)
    }
}

/// Why a request is not allowed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Denial {
    /// No table is known yet.
    NoTable,
    /// No route matches.
    UnknownRoute,
    /// The key is missing or unknown.
    UnknownKey,
}

/// The checked table in force.
#[derive(Debug, Default)]
pub struct Ingress {
    declaration: Option<sync::Arc<Declaration>>,
    by_host: collections::HashMap<sync::Arc<str>, ByPrefix>,
    workspaces: collections::HashMap<sync::Arc<str>, Workspace>,
    timings: collections::HashMap<name::PoolName, engine::Timing>,
    shortest_pause: Option<unit::Millis>,
}

type ByPrefix = collections::HashMap<sync::Arc<str>, sync::Arc<Route>>;

impl Ingress {
    /// Returns the version in force, zero before the first.
    pub fn version(&self) -> u64 {
        self.declaration.as_ref().map_or(0, |d| d.version)
    }

    /// Returns the declaration in force.
    pub fn declaration(&self) -> Option<&sync::Arc<Declaration>> {
        self.declaration.as_ref()
    }

    /// Returns what callers may send.
    pub fn limits(&self) -> Option<Limits> {
        self.declaration.as_ref().map(|d| d.limits)
    }

    /// Returns the timing of a pool's engines, if it has model engines.
    pub fn timing(&self, pool: &name::PoolName) -> Option<engine::Timing> {
        self.timings.get(pool).copied()
    }

    /// Returns the shortest pause that any streaming route allows.
    pub fn shortest_pause(&self) -> Option<unit::Millis> {
        self.shortest_pause
    }

    /// Puts a newer version in force, and tells whether it was newer.
    ///
    /// # Errors
    ///
    /// Fails if the declaration is invalid; the version in force stays.
    pub fn adopt(&mut self, declaration: sync::Arc<Declaration>) -> error::Result<bool> {
        if declaration.version <= self.version() {
            return Ok(false);
        }
        *self = Ingress::try_from(declaration)?;
        Ok(true)
    }

    /// Joins a request to its route and workspace.
    ///
    /// # Errors
    ///
    /// Fails if no table is known, no route matches or the key is unknown.
    pub fn admit(&self, host: &str, path: &str, key: Option<&str>) -> Result<Admission, Denial> {
        if self.declaration.is_none() {
            return Err(Denial::NoTable);
        }
        let route = self.route(host, path).ok_or(Denial::UnknownRoute)?;
        let keyed = !self.workspaces.is_empty();
        let workspace = match key.and_then(|key| self.workspaces.get(key)) {
            _ if !keyed || route.public => None,
            None => return Err(Denial::UnknownKey),
            known => known.cloned(),
        };
        Ok(Admission {
            route: route.clone(),
            workspace,
            keyed,
        })
    }

    fn route(&self, host: &str, path: &str) -> Option<&sync::Arc<Route>> {
        let by_prefix = self.by_host.get(host)?;
        let ends = path.rmatch_indices('/').map(|(at, _)| at + 1);
        ends.filter_map(|end| by_prefix.get(&path[..end])).next()
    }
}

impl TryFrom<sync::Arc<Declaration>> for Ingress {
    type Error = error::Error;

    /// # Errors
    ///
    /// Fails if a route, a pool or a workspace is invalid.
    fn try_from(declaration: sync::Arc<Declaration>) -> error::Result<Ingress> {
        let mut ingress = Ingress::default();
        for raw in &declaration.routes {
            let route = Route::try_from(raw)?;
            if route.form == Form::Stream {
                let pause = route.objective.pause;
                let shortest = ingress.shortest_pause.map_or(pause, |p| p.min(pause));
                ingress.shortest_pause = Some(shortest);
            }
            let by_prefix = ingress.by_host.entry(raw.host.as_str().into()).or_default();
            by_prefix.insert(raw.prefix.as_str().into(), sync::Arc::new(route));
        }
        for raw in &declaration.pools {
            let name = name::PoolName::try_from(raw.name.as_str())?;
            if let Some(figures) = raw.engine {
                let timing = engine::Timing::try_from(figures)?;
                ingress.timings.insert(name, timing);
            }
        }
        for raw in &declaration.workspaces {
            let workspace = Workspace {
                name: name::WorkspaceName::try_from(raw.name.as_str())?,
                priority: raw.priority,
            };
            for key in &raw.keys {
                ingress
                    .workspaces
                    .insert(key.as_str().into(), workspace.clone());
            }
        }
        ingress.declaration = Some(declaration);
        Ok(ingress)
    }
}
