//! Measures the latency that a daemon adds to a call of an engine.

use std::time;

use hdrhistogram::Histogram;

use crate::{
    caller::{Caller, ModelRequest},
    fleet::{self, Fleet},
};

/// The number of requests per second of each kind.
const REQUESTS_PER_SECOND: u32 = 200;

/// The number of requests of each kind.
const REQUEST_COUNT: u32 = 2_000;

/// Percentiles of the time to the complete response, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct LatencyComparison {
    /// The median of direct calls to an engine.
    pub direct_p50_us: u64,
    /// The 99th percentile of direct calls to an engine.
    pub direct_p99_us: u64,
    /// The median of calls through a daemon.
    pub proxied_p50_us: u64,
    /// The 99th percentile of calls through a daemon.
    pub proxied_p99_us: u64,
}

/// Measures both kinds of calls in one run at the same rate, alternating between them.
///
/// # Errors
///
/// Returns an error if the fleet cannot be started or configured.
pub async fn measure() -> fleet::Result<LatencyComparison> {
    let config = fleet::Config {
        zones: 1,
        daemons_per_zone: 2,
        spare_daemons: 0,
        engines_per_zone: 2,
        services_per_zone: 0,
        engine_args: ["--step-ms", "0", "--prefill", "100000000", "--slots", "64"]
            .map(str::to_owned)
            .to_vec(),
        log: "warn".to_owned(),
        ..fleet::Config::default()
    };
    let fleet = Fleet::start(config).await?;
    fleet.apply_tables(&fleet::tables_toml()).await?;
    let urls = [
        [fleet.engines[0].url(), fleet.engines[1].url()],
        [fleet.daemons[0].url(), fleet.daemons[1].url()],
    ];
    let caller = Caller::default();
    let interval = time::Duration::from_secs(1) / REQUESTS_PER_SECOND;
    let started = tokio::time::Instant::now();
    let mut requests = tokio::task::JoinSet::new();
    for index in 0..2 * REQUEST_COUNT {
        tokio::time::sleep_until(started + interval * index / 2).await;
        let target = index as usize % 2;
        let url = urls[target][index as usize / 2 % 2].clone();
        let request = ModelRequest {
            route: "fitting".to_owned(),
            workspace: "ws".to_owned(),
            seed: u64::from(index),
            prompt_tokens: 1_000,
            max_tokens: 1,
            stream: true,
            timeout: None,
        };
        let caller = caller.clone();
        requests.spawn(async move { (target, caller.send_model_request(&url, &request).await) });
    }
    let mut latencies = [new_histogram(), new_histogram()];
    while let Some(Ok((target, result))) = requests.join_next().await {
        if result.complete {
            let _ = latencies[target].record(result.elapsed.as_micros() as u64);
        }
    }
    let [direct, proxied] = latencies;
    Ok(LatencyComparison {
        direct_p50_us: direct.value_at_quantile(0.5),
        direct_p99_us: direct.value_at_quantile(0.99),
        proxied_p50_us: proxied.value_at_quantile(0.5),
        proxied_p99_us: proxied.value_at_quantile(0.99),
    })
}

fn new_histogram() -> Histogram<u64> {
    // `Histogram::new` only fails for more than five significant digits.
    Histogram::new(3).unwrap_or_else(|_| unreachable!())
}
