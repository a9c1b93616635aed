//! The monotonic clock of the process, and Unix time.

use std::time;

use limpetkeel::Timestamp;

/// A monotonic clock that starts at zero with the process.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: time::Instant,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Clock {
        Clock {
            start: time::Instant::now(),
        }
    }

    /// Returns the time since the start of the process, in milliseconds.
    pub fn now(&self) -> Timestamp {
        Timestamp(self.start.elapsed().as_millis() as u64)
    }

    /// Converts a timestamp of this clock to an instant for the runtime's timers.
    pub fn instant(&self, at: Timestamp) -> tokio::time::Instant {
        (self.start + time::Duration::from_millis(at.0)).into()
    }
}

/// Returns the current Unix time in milliseconds, for timestamps that instances compare.
pub fn unix_millis() -> Timestamp {
    let elapsed = time::SystemTime::now()
        .duration_since(time::UNIX_EPOCH)
        .unwrap_or_default();
    Timestamp(elapsed.as_millis() as u64)
}
