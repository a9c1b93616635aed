//! The life cycle of the local instance, as stored in the shared tables.

use limpetkeel::{AvailabilityZoneName, Instance, InstanceName, InstanceState};

/// The life-cycle state of the local instance; `None` only during a transition.
#[derive(Debug)]
pub struct LocalState(Option<InstanceState>);

impl LocalState {
    /// Creates the state of an instance that has just started.
    pub fn joining(instance: InstanceName, availability_zone: AvailabilityZoneName) -> LocalState {
        let instance = Instance::new(instance, availability_zone);
        LocalState(Some(InstanceState::Joining(instance)))
    }

    /// Replaces the state with the result of a transition.
    pub fn transition(&mut self, next: impl FnOnce(InstanceState) -> InstanceState) {
        self.0 = self.0.take().map(next);
    }

    /// Returns the state.
    pub fn get(&self) -> Option<&InstanceState> {
        self.0.as_ref()
    }

    /// Returns `true` if load balancers should send requests to the instance.
    pub fn is_ready(&self) -> bool {
        self.get().is_some_and(InstanceState::is_ready)
    }

    /// Returns `true` if the instance is draining or has stopped.
    pub fn is_draining(&self) -> bool {
        self.get().is_some_and(InstanceState::is_draining)
    }
}
