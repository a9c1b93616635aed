//! Routes, which map requests to a pool and a rank.

use crate::{error, name, rank, unit};

/// The maximum timeout of a route.
pub const MAX_TIMEOUT: unit::Millis = unit::Millis(24 * 60 * 60 * 1000);

/// The kind of the upstreams that form a pool or serve a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// A model engine.
    Model,
    /// A plain service.
    Service,
}

/// A route as declared by an operator.
#[serde_with::serde_as]
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Declaration {
    /// Whether model engines or plain services serve the route.
    pub kind: Kind,
    /// The name of the pool that serves the route.
    pub pool: String,
    /// The rank of the route's requests.
    pub rank: rank::Rank,
    /// The maximum duration of a request, in milliseconds.
    #[serde_as(as = "serde_with::FromInto<u64>")]
    pub timeout_ms: unit::Millis,
}

impl From<unit::Millis> for u64 {
    fn from(duration: unit::Millis) -> u64 {
        duration.0
    }
}

impl From<u64> for unit::Millis {
    fn from(milliseconds: u64) -> unit::Millis {
        unit::Millis(milliseconds)
    }
}

/// A validated route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    name: name::RouteName,
    kind: Kind,
    pool: name::PoolName,
    rank: rank::Rank,
    timeout: unit::Millis,
}

impl Route {
    /// Returns the name of the route, which callers use as the model or service name.
    pub fn name(&self) -> &name::RouteName {
        &self.name
    }

    /// Returns the kind of the upstreams that serve the route.
    pub fn kind(&self) -> Kind {
        self.kind
    }

    /// Returns the name of the pool that serves the route.
    pub fn pool(&self) -> &name::PoolName {
        &self.pool
    }

    /// Returns the rank of the route's requests.
    pub fn rank(&self) -> rank::Rank {
        self.rank
    }

    /// Returns the timeout of a request.
    ///
    /// A caller may request a shorter timeout than the route's, but not a longer one.
    pub fn timeout(&self, requested: Option<unit::Millis>) -> unit::Millis {
        requested.map_or(self.timeout, |requested| requested.min(self.timeout))
    }
}

impl TryFrom<(&str, &Declaration)> for Route {
    type Error = error::Error;

    /// # Errors
    ///
    /// Returns an error if a name is invalid or the timeout is out of bounds.
    fn try_from((name, declaration): (&str, &Declaration)) -> error::Result<Route> {
        if declaration.timeout_ms == unit::Millis::ZERO || declaration.timeout_ms > MAX_TIMEOUT {
            return Err(error::Error::InvalidDeclaration {
                field: format!("routes.{name}.timeout_ms"),
                rule: error::Rule::Between(1, MAX_TIMEOUT.0),
            });
        }
        Ok(Route {
            name: name::RouteName::try_from(name)?,
            kind: declaration.kind,
            pool: name::PoolName::try_from(declaration.pool.as_str())?,
            rank: declaration.rank,
            timeout: declaration.timeout_ms,
        })
    }
}
