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
    /// The hedges per request, and the quantile of the response times after which a request is
    /// hedged. `None` leaves the settings at their defaults.
    pub hedging: Option<(f64, f64)>,
}

impl Default for DaemonOptions {
    fn default() -> DaemonOptions {
        DaemonOptions {
            drain_timeout: time::Duration::from_secs(7),
            memory_limit_mb: 64.0,
            descriptor_limit: None,
            hedging: None,
        }
    }
}
