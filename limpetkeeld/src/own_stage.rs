//! The life cycle of the own instance, as the shared tables hold it.

use limpetkeel::{AvailabilityZoneName, Instance, InstanceName, Stage};

/// The own stage; absent only while a transition is made.
#[derive(Debug)]
pub struct OwnStage(Option<Stage>);

impl OwnStage {
    /// Creates the stage of an instance that has just started.
    pub fn joining(instance: InstanceName, availability_zone: AvailabilityZoneName) -> OwnStage {
        let instance = Instance::new(instance, availability_zone);
        OwnStage(Some(Stage::Joining(instance)))
    }

    /// Applies a transition.
    pub fn transition(&mut self, next: impl FnOnce(Stage) -> Stage) {
        self.0 = self.0.take().map(next);
    }

    /// Returns the stage.
    pub fn get(&self) -> Option<&Stage> {
        self.0.as_ref()
    }

    /// Tells whether the instance takes requests.
    pub fn is_ready(&self) -> bool {
        self.get().is_some_and(Stage::is_ready)
    }

    /// Tells whether the instance is on its way out.
    pub fn is_leaving(&self) -> bool {
        self.get().is_some_and(Stage::is_leaving)
    }
}
