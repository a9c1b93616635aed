//! Tasks that end with their owner.

use tokio::task;

/// Aborts its task when it is dropped.
#[derive(Debug)]
pub struct Owned(task::JoinHandle<()>);

impl Owned {
    /// Starts a task.
    pub fn spawn(future: impl Future<Output = ()> + Send + 'static) -> Owned {
        Owned(tokio::spawn(future))
    }
}

impl Drop for Owned {
    fn drop(&mut self) {
        self.0.abort();
    }
}
