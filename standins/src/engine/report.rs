//! The delayed load report and the undelayed statistics.

use std::{collections, sync, time};

use limpetkeel::{Capacity, LoadReport, RunningRequest};

use super::{Engine, batch, order};

/// The interval between two samples of the load.
const SAMPLE_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// The load report of an engine.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Load {
    /// The capacity of the engine, its running requests and its version.
    #[serde(flatten)]
    pub report: LoadReport,
}

/// The statistics of an engine.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Stats {
    /// The requests that started to run, oldest first.
    #[serde(rename = "ran")]
    pub started: Vec<batch::StartedRequest>,
    /// The KV memory in use, in tokens.
    #[serde(rename = "memory")]
    pub memory_tokens: u64,
    /// The reserved part of the KV memory, in tokens.
    #[serde(rename = "reserved")]
    pub reserved_tokens: u64,
    /// The total number of prefilled tokens.
    #[serde(rename = "prefilled")]
    pub prefilled_tokens: u64,
    /// The total number of decoded tokens.
    #[serde(rename = "decoded")]
    pub decoded_tokens: u64,
    /// The applied orders, oldest first.
    pub orders: Vec<order::Order>,
    /// The total number of requests that were waiting or running, and of reservations that were held,
    /// when the version changed.
    #[serde(rename = "switched_in_use")]
    pub requests_during_switch: u64,
}

/// Recent samples of the load, oldest first.
#[derive(Default)]
pub struct LoadHistory {
    samples: parking_lot::Mutex<collections::VecDeque<(time::Instant, Load)>>,
}

impl LoadHistory {
    /// Returns the newest sample that is at least `lag` old; if there is none, the oldest sample.
    pub fn delayed_by(&self, lag: time::Duration) -> Option<Load> {
        let now = time::Instant::now();
        let mut samples = self.samples.lock();
        while samples.len() > 1 && now.duration_since(samples[1].0) >= lag {
            samples.pop_front();
        }
        samples.front().map(|(_, load)| load.clone())
    }
}

impl Engine {
    fn load(&self) -> Load {
        let capacity = Capacity {
            memory: limpetkeel::Tokens(self.settings.memory_tokens),
            slots: self.settings.slots,
            prefill_speed: limpetkeel::TokensPerSecond(self.settings.prefill_tokens_per_second),
        };
        let running = self.batch.memory_by_holder();
        let running = running.into_iter().map(|(id, memory)| RunningRequest {
            id: limpetkeel::RequestId(id),
            memory: limpetkeel::Tokens(memory),
        });
        let running = running.collect();
        Load {
            report: LoadReport {
                capacity,
                running,
                version: self.orders.version(),
            },
        }
    }

    pub(super) fn stats(&self) -> Stats {
        let (prefilled_tokens, decoded_tokens) = self.batch.token_totals();
        let (memory_tokens, reserved_tokens) = self.batch.memory_usage();
        Stats {
            started: self.batch.started(),
            memory_tokens,
            reserved_tokens,
            prefilled_tokens,
            decoded_tokens,
            orders: self.orders.applied(),
            requests_during_switch: self.orders.requests_during_switch(),
        }
    }
}

/// Samples the load periodically until the process exits.
pub async fn sample_load(engine: sync::Arc<Engine>) {
    loop {
        let sample = (time::Instant::now(), engine.load());
        engine.load_history.samples.lock().push_back(sample);
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
}
