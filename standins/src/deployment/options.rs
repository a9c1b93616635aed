//! Settings of the daemons of a deployment that tests choose.

use std::time;

/// Settings of the daemons of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct DaemonOptions {
    /// The drain timeout.
    pub drain_timeout: time::Duration,
    /// The value of `memory_limit_mb`.
    pub memory_limit_mb: f64,
    /// The limit on open descriptors that the processes are started with; `None` for the limit of
    /// the test process.
    pub descriptor_limit: Option<u32>,
}

impl Default for DaemonOptions {
    fn default() -> DaemonOptions {
        DaemonOptions {
            drain_timeout: time::Duration::from_secs(7),
            memory_limit_mb: 64.0,
            descriptor_limit: None,
        }
    }
}
