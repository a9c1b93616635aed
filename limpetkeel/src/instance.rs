//! The life cycle of the local instance, with one type for each state.
//!
//! `Joining` becomes `Live` once tables are in force and the upstreams are known. `Joining` and
//! `Live` become `Draining`, and `Draining` becomes `Stopped` when no request is in progress.

use crate::{drain_schedule, name, unit};

/// A draining instance accepts requests for this long, so that load balancers can react.
pub const DRAINING_GRACE: unit::Millis = unit::Millis(2_000);

/// The instance waits for tables and for the upstream list.
#[derive(Debug)]
pub struct Joining(());

/// The instance accepts requests.
#[derive(Debug)]
pub struct Live(());

/// The instance finishes its requests and accepts new ones only during [`DRAINING_GRACE`].
#[derive(Debug)]
pub struct Draining {
    since: unit::Timestamp,
}

/// The instance has stopped: no request is in progress.
#[derive(Debug)]
pub struct Stopped(());

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
        tables_known: bool,
        upstreams_known: bool,
    ) -> Result<Instance<Live>, Instance<Joining>> {
        if !tables_known || !upstreams_known {
            return Err(self);
        }
        Ok(self.into_state(Live(())))
    }

    /// Starts to drain an instance that has not been live.
    pub fn start_draining(self, now: unit::Timestamp) -> Instance<Draining> {
        self.into_state(Draining { since: now })
    }
}

impl Instance<Live> {
    /// Starts to drain the instance.
    pub fn start_draining(self, now: unit::Timestamp) -> Instance<Draining> {
        self.into_state(Draining { since: now })
    }
}

impl Instance<Draining> {
    /// Returns the schedule of the drain.
    pub fn schedule(&self, drain_timeout: unit::Millis) -> drain_schedule::DrainSchedule {
        drain_schedule::DrainSchedule::new(self.state.since, drain_timeout)
    }

    /// Returns `true` if the instance still accepts new requests.
    pub fn accepts_requests(&self, now: unit::Timestamp) -> bool {
        now.since(self.state.since) < DRAINING_GRACE
    }

    /// Stops the instance if [`DRAINING_GRACE`] has passed and no request is in progress.
    ///
    /// # Errors
    ///
    /// Returns the instance unchanged if it still accepts or processes requests.
    pub fn finish_draining(
        self,
        now: unit::Timestamp,
        in_progress: usize,
    ) -> Result<Instance<Stopped>, Instance<Draining>> {
        if in_progress > 0 || self.accepts_requests(now) {
            return Err(self);
        }
        Ok(self.into_state(Stopped(())))
    }
}

/// The local instance in any state of its life cycle, for tables shared between workers.
#[derive(Debug)]
pub enum InstanceState {
    /// The instance waits for tables and for the upstream list.
    Joining(Instance<Joining>),
    /// The instance accepts requests.
    Live(Instance<Live>),
    /// The instance is draining.
    Draining(Instance<Draining>),
    /// The instance has stopped.
    Stopped(Instance<Stopped>),
}

impl InstanceState {
    /// Makes a joining instance live if tables are in force and the upstreams are known.
    ///
    /// Other states are returned unchanged.
    pub fn go_live(self, tables_known: bool, upstreams_known: bool) -> InstanceState {
        match self {
            InstanceState::Joining(instance) => instance
                .go_live(tables_known, upstreams_known)
                .map_or_else(InstanceState::Joining, InstanceState::Live),
            other => other,
        }
    }

    /// Starts to drain a joining or live instance.
    ///
    /// Other states are returned unchanged.
    pub fn start_draining(self, now: unit::Timestamp) -> InstanceState {
        match self {
            InstanceState::Joining(instance) => {
                InstanceState::Draining(instance.start_draining(now))
            }
            InstanceState::Live(instance) => InstanceState::Draining(instance.start_draining(now)),
            other => other,
        }
    }

    /// Stops a draining instance if [`DRAINING_GRACE`] has passed and no request is in progress.
    ///
    /// Other states are returned unchanged.
    pub fn finish_draining(self, now: unit::Timestamp, in_progress: usize) -> InstanceState {
        match self {
            InstanceState::Draining(instance) => instance
                .finish_draining(now, in_progress)
                .map_or_else(InstanceState::Draining, InstanceState::Stopped),
            other => other,
        }
    }

    /// Returns `true` if the instance can be expected to finish a request that arrives now and
    /// ends by `deadline`.
    pub fn takes_request(
        &self,
        now: unit::Timestamp,
        deadline: unit::Timestamp,
        drain_timeout: unit::Millis,
    ) -> bool {
        match self {
            InstanceState::Joining(_) | InstanceState::Live(_) => true,
            InstanceState::Draining(instance) => instance
                .schedule(drain_timeout)
                .takes_request(now, deadline),
            InstanceState::Stopped(_) => false,
        }
    }

    /// Returns `true` if load balancers should send requests to the instance.
    pub fn is_ready(&self) -> bool {
        matches!(self, InstanceState::Live(_))
    }

    /// Returns `true` if the instance is draining or has stopped.
    pub fn is_draining(&self) -> bool {
        matches!(self, InstanceState::Draining(_) | InstanceState::Stopped(_))
    }

    /// Returns the schedule of a draining instance.
    pub fn drain_schedule(
        &self,
        drain_timeout: unit::Millis,
    ) -> Option<drain_schedule::DrainSchedule> {
        match self {
            InstanceState::Draining(instance) => Some(instance.schedule(drain_timeout)),
            _ => None,
        }
    }

    /// Returns the time by which a request with this deadline ends: its deadline, or the end of the
    /// drain if that is earlier.
    pub fn effective_deadline(
        &self,
        deadline: unit::Timestamp,
        drain_timeout: unit::Millis,
    ) -> unit::Timestamp {
        let schedule = self.drain_schedule(drain_timeout);
        schedule.map_or(deadline, |schedule| deadline.min(schedule.requests_end()))
    }

    /// Returns `true` if the instance accepts new requests.
    pub fn accepts_requests(&self, now: unit::Timestamp) -> bool {
        match self {
            InstanceState::Live(_) => true,
            InstanceState::Draining(instance) => instance.accepts_requests(now),
            InstanceState::Joining(_) | InstanceState::Stopped(_) => false,
        }
    }
}
