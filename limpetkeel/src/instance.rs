//! The life cycle of the local instance, with one type for each state.
//!
//! `Joining` becomes `Live` once tables are in force and the upstreams are known. `Joining` and
//! `Live` become `Leaving` (draining), and `Leaving` becomes `Gone` (stopped) when no request is
//! in progress.

use crate::{name, revision, unit};

/// A draining instance accepts requests for this long, so that load balancers can react.
pub const DRAINING_GRACE: unit::Millis = unit::Millis(2_000);

/// The instance waits for tables and for the upstream list.
#[derive(Debug)]
pub struct Joining(());

/// The instance accepts requests.
#[derive(Debug)]
pub struct Live(());

/// The instance is draining: it finishes its requests.
#[derive(Debug)]
pub struct Leaving {
    since: unit::Timestamp,
}

/// The instance has stopped: no request is in progress.
#[derive(Debug)]
pub struct Gone(());

/// The local instance in one state of its life cycle.
#[derive(Debug)]
pub struct Instance<S> {
    name: name::InstanceName,
    availability_zone: name::AvailabilityZoneName,
    state: S,
}

impl<S> Instance<S> {
    /// Returns the name of the instance.
    pub fn name(&self) -> &name::InstanceName {
        &self.name
    }

    /// Returns the availability zone of the instance.
    pub fn availability_zone(&self) -> &name::AvailabilityZoneName {
        &self.availability_zone
    }

    fn into_state<T>(self, state: T) -> Instance<T> {
        Instance {
            name: self.name,
            availability_zone: self.availability_zone,
            state,
        }
    }
}

impl Instance<Joining> {
    /// Creates an instance that has just started.
    pub fn new(
        name: name::InstanceName,
        availability_zone: name::AvailabilityZoneName,
    ) -> Instance<Joining> {
        Instance {
            name,
            availability_zone,
            state: Joining(()),
        }
    }

    /// Makes the instance live if tables are in force and the upstreams are known.
    ///
    /// # Errors
    ///
    /// Returns the instance unchanged if either is missing.
    pub fn go_live(
        self,
        revision: revision::Revision,
        upstreams_known: bool,
    ) -> Result<Instance<Live>, Instance<Joining>> {
        if revision == revision::Revision::default() || !upstreams_known {
            return Err(self);
        }
        Ok(self.into_state(Live(())))
    }

    /// Starts to drain an instance that has not been live.
    pub fn leave(self, now: unit::Timestamp) -> Instance<Leaving> {
        self.into_state(Leaving { since: now })
    }
}

impl Instance<Live> {
    /// Starts to drain the instance.
    pub fn leave(self, now: unit::Timestamp) -> Instance<Leaving> {
        self.into_state(Leaving { since: now })
    }
}

impl Instance<Leaving> {
    /// Returns `true` if the instance still accepts new requests.
    pub fn takes_work(&self, now: unit::Timestamp) -> bool {
        now.since(self.state.since) < DRAINING_GRACE
    }

    /// Stops the instance if [`DRAINING_GRACE`] has passed and no request is in progress.
    ///
    /// # Errors
    ///
    /// Returns the instance unchanged if it still accepts or processes requests.
    pub fn depart(
        self,
        now: unit::Timestamp,
        in_progress: usize,
    ) -> Result<Instance<Gone>, Instance<Leaving>> {
        if in_progress > 0 || self.takes_work(now) {
            return Err(self);
        }
        Ok(self.into_state(Gone(())))
    }
}

/// The local instance in any state of its life cycle, for tables shared between workers.
#[derive(Debug)]
pub enum Stage {
    /// The instance waits for tables and for the upstream list.
    Joining(Instance<Joining>),
    /// The instance accepts requests.
    Live(Instance<Live>),
    /// The instance is draining.
    Leaving(Instance<Leaving>),
    /// The instance has stopped.
    Gone(Instance<Gone>),
}

impl Stage {
    /// Makes a joining instance live if tables are in force and the upstreams are known.
    ///
    /// Other states are returned unchanged.
    pub fn go_live(self, revision: revision::Revision, upstreams_known: bool) -> Stage {
        match self {
            Stage::Joining(instance) => instance
                .go_live(revision, upstreams_known)
                .map_or_else(Stage::Joining, Stage::Live),
            other => other,
        }
    }

    /// Starts to drain a joining or live instance.
    ///
    /// Other states are returned unchanged.
    pub fn leave(self, now: unit::Timestamp) -> Stage {
        match self {
            Stage::Joining(instance) => Stage::Leaving(instance.leave(now)),
            Stage::Live(instance) => Stage::Leaving(instance.leave(now)),
            other => other,
        }
    }

    /// Stops a draining instance if its grace has passed and no request is in progress.
    ///
    /// Other states are returned unchanged.
    pub fn depart(self, now: unit::Timestamp, in_progress: usize) -> Stage {
        match self {
            Stage::Leaving(instance) => instance
                .depart(now, in_progress)
                .map_or_else(Stage::Leaving, Stage::Gone),
            other => other,
        }
    }

    /// Returns `true` if load balancers should send requests to the instance.
    pub fn is_ready(&self) -> bool {
        matches!(self, Stage::Live(_))
    }

    /// Returns `true` if the instance is draining or has stopped.
    pub fn is_leaving(&self) -> bool {
        matches!(self, Stage::Leaving(_) | Stage::Gone(_))
    }

    /// Returns `true` if the instance accepts new requests.
    pub fn takes_work(&self, now: unit::Timestamp) -> bool {
        match self {
            Stage::Live(_) => true,
            Stage::Leaving(instance) => instance.takes_work(now),
            Stage::Joining(_) | Stage::Gone(_) => false,
        }
    }
}
