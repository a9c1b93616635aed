//! Tasks that are aborted when their owner is dropped.

use tokio::task;

/// A handle that aborts its task when dropped.
#[derive(Debug)]
pub struct AbortOnDrop(task::JoinHandle<()>);

impl AbortOnDrop {
    /// Spawns a task.
    pub fn spawn(future: impl Future<Output = ()> + Send + 'static) -> AbortOnDrop {
        AbortOnDrop(tokio::spawn(future))
    }
}

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
