//! The latency that the daemon adds to a call of an engine.

use std::time;

use hdrhistogram::Histogram;

use crate::{
    caller::{Caller, ModelRequest},
    fleet::{self, Fleet},
};

/// Requests in a second.
const RATE: u32 = 200;

/// Requests of each kind.
const REQUESTS: u32 = 2_000;

/// The time to the whole answer, in microseconds.
#[derive(Clone, Copy, Debug)]
pub struct Overhead {
    /// The median of calls of the engine itself.
    pub direct_p50: u64,
    /// 99 in 100 of those are below.
    pub direct_p99: u64,
    /// The median of calls through a daemon.
    pub through_p50: u64,
    /// 99 in 100 of those are below.
    pub through_p99: u64,
}

/// Measures both at the same rate in one run, turn by turn.
///
/// # Errors
///
/// Fails if the fleet cannot be started.
pub async fn measure() -> fleet::Result<Overhead> {
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
    fleet.apply(&fleet::tables_toml()).await?;
    let urls = [
        [fleet.engines[0].url(), fleet.engines[1].url()],
        [fleet.daemons[0].url(), fleet.daemons[1].url()],
    ];
    let caller = Caller::default();
    let gap = time::Duration::from_secs(1) / RATE;
    let started = tokio::time::Instant::now();
    let mut requests = tokio::task::JoinSet::new();
    for index in 0..2 * REQUESTS {
        tokio::time::sleep_until(started + gap * index / 2).await;
        let through = index as usize % 2;
        let url = urls[through][index as usize / 2 % 2].clone();
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
        requests.spawn(async move { (through, caller.ask(&url, &request).await) });
    }
    let mut times = [histogram(), histogram()];
    while let Some(Ok((through, result))) = requests.join_next().await {
        if result.whole {
            let _ = times[through].record(result.elapsed.as_micros() as u64);
        }
    }
    let [direct, through] = times;
    Ok(Overhead {
        direct_p50: direct.value_at_quantile(0.5),
        direct_p99: direct.value_at_quantile(0.99),
        through_p50: through.value_at_quantile(0.5),
        through_p99: through.value_at_quantile(0.99),
    })
}

fn histogram() -> Histogram<u64> {
    // Three digits over any range: the bounds are valid by construction.
    Histogram::new(3).unwrap_or_else(|_| unreachable!())
}
