//! The latest era that a store has reported.

use limpetkeel::Era;
use tokio::sync::watch;

/// The latest era that the responses of a store have reported.
#[derive(Debug, Default)]
pub struct LatestEra {
    tx: watch::Sender<Era>,
}

impl LatestEra {
    /// Returns the latest era.
    pub fn get(&self) -> Era {
        *self.tx.borrow()
    }

    /// Returns the era of a response that reports `value`.
    ///
    /// A response without a readable era is taken for one of the latest era, since a header that is
    /// missing must not cost the tables in force.
    pub fn observe(&self, value: Option<&str>) -> Era {
        let Some(era) = value.and_then(|value| value.trim().parse().ok()) else {
            return self.get();
        };
        self.tx.send_if_modified(|latest| {
            let is_later = era > *latest;
            if is_later {
                *latest = era;
            }
            is_later
        });
        era
    }

    /// Waits until the store has reported a later era than `era`.
    pub async fn wait_until_later(&self, era: Era) {
        // Fails only if the sender is dropped, which `self` owns.
        let _ = self.tx.subscribe().wait_for(|latest| *latest > era).await;
    }
}
