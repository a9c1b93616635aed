//! Pools of upstreams that serve routes.

use crate::{error, name, rank, route};

/// The maximum sum of the floors of all ranks, as a percentage of the pool.
pub const MAX_FLOORS_PERCENT: u8 = 90;

/// A pool as declared by an operator.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Declaration {
    /// Whether the upstreams are model engines or plain services.
    pub kind: route::Kind,
    /// The percentage of the pool's tokens that is guaranteed to each rank under overload.
    #[serde(default = "default_floors")]
    pub floor_percent: rank::PerRank<u8>,
    /// The maximum percentage of the pool's upstreams that prefill long prompts at once.
    #[serde(default = "default_long_percent")]
    pub long_percent: u8,
    /// Whether the upstreams refuse an order with an outdated fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// The wanted model version of all upstreams, if the system orders versions.
    #[serde(default)]
    pub version: Option<String>,
}

fn default_floors() -> rank::PerRank<u8> {
    rank::PerRank {
        urgent: 40,
        normal: 15,
        batch: 10,
    }
}

fn default_long_percent() -> u8 {
    50
}

/// A validated pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pool {
    name: name::PoolName,
    kind: route::Kind,
    floors: rank::PerRank<u8>,
    long_percent: u8,
    checks_fencing: bool,
    version: Option<String>,
}

impl Pool {
    /// Returns the name of the pool.
    pub fn name(&self) -> &name::PoolName {
        &self.name
    }

    /// Returns the kind of the pool's upstreams.
    pub fn kind(&self) -> route::Kind {
        self.kind
    }

    /// Returns the percentage of tokens that is guaranteed to each rank.
    pub fn floors(&self) -> rank::PerRank<u8> {
        self.floors
    }

    /// Returns the maximum percentage of upstreams that prefill long prompts at once.
    pub fn long_percent(&self) -> u8 {
        self.long_percent
    }

    /// Returns `true` if the upstreams check fencing numbers.
    pub fn checks_fencing(&self) -> bool {
        self.checks_fencing
    }

    /// Returns the wanted model version, if one is declared.
    pub fn version(&self) -> Option<&str> {
        self.version.as_deref()
    }
}

impl TryFrom<(&str, &Declaration)> for Pool {
    type Error = error::Error;

    /// # Errors
    ///
    /// Returns an error if the name is invalid or a percentage is out of bounds.
    fn try_from((name, declaration): (&str, &Declaration)) -> error::Result<Pool> {
        let floors = declaration.floor_percent;
        let total = rank::Rank::ALL
            .iter()
            .map(|rank| u64::from(floors[*rank]))
            .sum::<u64>();
        if total > u64::from(MAX_FLOORS_PERCENT) {
            return Err(error::Error::InvalidDeclaration {
                field: format!("pools.{name}.floor_percent"),
                rule: error::Rule::FloorsAtMost(MAX_FLOORS_PERCENT),
            });
        }
        if !(1..=100).contains(&declaration.long_percent) {
            return Err(error::Error::InvalidDeclaration {
                field: format!("pools.{name}.long_percent"),
                rule: error::Rule::Between(1, 100),
            });
        }
        Ok(Pool {
            name: name::PoolName::try_from(name)?,
            kind: declaration.kind,
            floors,
            long_percent: declaration.long_percent,
            checks_fencing: declaration.checks_fencing,
            version: declaration.version.clone(),
        })
    }
}
