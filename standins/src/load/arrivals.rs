//! Open-loop arrivals: times, prompt lengths, ranks and workspaces drawn from a seed.

use std::time;

use limpetkeel::Rank;
use rand::{Rng as _, SeedableRng as _};

use super::{DAEMONS_PER_ZONE, Disturbance, ENGINE_TOKENS_PER_SECOND, ENGINES_PER_ZONE, RunConfig};

/// The number of workspaces in the baseline load; the first three send half of the requests.
const WORKSPACE_COUNT: u64 = 10;

/// A request and its arrival time.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The arrival time, relative to the start of the run.
    pub at: time::Duration,
    /// The rank.
    pub rank: Rank,
    /// The workspace.
    pub workspace: String,
    /// The prompt length in tokens.
    pub prompt_tokens: u64,
    /// The number of tokens to generate.
    pub max_tokens: u64,
    /// The index of the daemon that receives the request.
    pub daemon_index: usize,
    /// Whether the request belongs to the disturbance and not to the baseline load.
    pub is_extra: bool,
}

/// The distribution of prompt lengths.
#[derive(Clone, Copy, Debug)]
pub struct PromptMix {
    long_prompts: bool,
}

impl PromptMix {
    /// Creates a mix with or without long prompts.
    pub fn new(long_prompts: bool) -> PromptMix {
        PromptMix { long_prompts }
    }

    /// Draws a prompt length: with long prompts, 67% are under 4,000 tokens and 2% are 100,000
    /// tokens or more.
    fn sample_prompt_tokens(self, rng: &mut rand::rngs::StdRng) -> u64 {
        let value = rng.random_range(0..100);
        match value {
            0..2 if self.long_prompts => sample_log_uniform(rng, 100_000, 1_000_000),
            2..8 if self.long_prompts => sample_log_uniform(rng, 32_000, 100_000),
            8..33 => sample_log_uniform(rng, 4_000, 32_000),
            _ => sample_log_uniform(rng, 1_000, 4_000),
        }
    }

    /// Returns the mean prompt length in tokens, estimated from a sample with a fixed seed.
    pub fn mean_tokens(self) -> f64 {
        const SAMPLE_SIZE: u64 = 200_000;
        let mut rng = rand::rngs::StdRng::seed_from_u64(1);
        let total: u64 = (0..SAMPLE_SIZE)
            .map(|_| self.sample_prompt_tokens(&mut rng))
            .sum();
        total as f64 / SAMPLE_SIZE as f64
    }

    /// Returns the rate in requests per second at which all engines are fully used.
    pub fn requests_per_second_at_capacity(self) -> f64 {
        f64::from(3 * ENGINES_PER_ZONE) * ENGINE_TOKENS_PER_SECOND / self.mean_tokens()
    }
}

fn sample_log_uniform(rng: &mut rand::rngs::StdRng, low: u64, high: u64) -> u64 {
    let (low, high) = ((low as f64).ln(), (high as f64).ln());
    rng.random_range(low..high).exp() as u64
}

fn sample_rank(rng: &mut rand::rngs::StdRng, prompt_tokens: u64) -> Rank {
    let value = rng.random_range(0..10);
    if prompt_tokens >= 100_000 {
        return if value < 3 { Rank::Normal } else { Rank::Batch };
    }
    match value {
        0..4 => Rank::Urgent,
        4..8 => Rank::Normal,
        _ => Rank::Batch,
    }
}

/// Generates the arrivals of one Poisson process.
struct ArrivalSource {
    rng: rand::rngs::StdRng,
    mix: PromptMix,
    rate: f64,
    start_seconds: f64,
    end_seconds: f64,
}

impl ArrivalSource {
    fn new(config: &RunConfig, stream: u64, mix: PromptMix, rate: f64) -> ArrivalSource {
        let rng = rand::rngs::StdRng::seed_from_u64(config.seed.wrapping_mul(31) + stream);
        ArrivalSource {
            rng,
            mix,
            rate,
            start_seconds: 0.0,
            end_seconds: config.span.as_secs_f64(),
        }
    }

    fn generate(
        &mut self,
        mut customize: impl FnMut(&mut rand::rngs::StdRng, &mut Arrival),
    ) -> Vec<Arrival> {
        let mut arrivals = Vec::new();
        let mut at = self.start_seconds;
        loop {
            // Exponentially distributed gaps make a Poisson process.
            at += -(1.0 - self.rng.random::<f64>()).ln() / self.rate;
            if at >= self.end_seconds {
                return arrivals;
            }
            let prompt_tokens = self.mix.sample_prompt_tokens(&mut self.rng);
            let is_large = self.rng.random_bool(0.5);
            let workspaces = if is_large { 0..3 } else { 3..WORKSPACE_COUNT };
            let mut arrival = Arrival {
                at: time::Duration::from_secs_f64(at),
                rank: sample_rank(&mut self.rng, prompt_tokens),
                workspace: format!("ws-{}", self.rng.random_range(workspaces)),
                prompt_tokens,
                max_tokens: self.rng.random_range(20..200),
                daemon_index: self.rng.random_range(0..3 * usize::from(DAEMONS_PER_ZONE)),
                is_extra: false,
            };
            customize(&mut self.rng, &mut arrival);
            arrivals.push(arrival);
        }
    }
}

/// Returns the arrivals of a run, sorted by time.
pub fn arrivals(config: &RunConfig) -> Vec<Arrival> {
    let scenario = config.scenario;
    let mix = PromptMix::new(scenario.long_prompts);
    let baseline_rate =
        mix.requests_per_second_at_capacity() * f64::from(scenario.load_percent) / 100.0;
    let mut arrivals = ArrivalSource::new(config, 1, mix, baseline_rate).generate(|_, _| {});
    if scenario.disturbance == Disturbance::LongPromptsRemoved {
        arrivals.retain(|arrival| arrival.prompt_tokens < limpetkeel::LONG_PROMPT.0);
    }
    arrivals.extend(disturbance_arrivals(config));
    arrivals.sort_by_key(|arrival| arrival.at);
    arrivals
}

fn disturbance_arrivals(config: &RunConfig) -> Vec<Arrival> {
    let short_mix = PromptMix::new(false);
    match config.scenario.disturbance {
        Disturbance::None | Disturbance::LongPromptsRemoved | Disturbance::StoreUnavailable => {
            Vec::new()
        }
        Disturbance::Flood(rank, multiple) => flood_arrivals(config, short_mix, rank, multiple),
        Disturbance::CrashesDuringFlood => flood_arrivals(config, short_mix, Rank::Batch, 4),
        Disturbance::LargeWorkspace(multiple) => {
            let share = short_mix.requests_per_second_at_capacity() / WORKSPACE_COUNT as f64;
            ArrivalSource::new(config, 3, short_mix, share * f64::from(multiple)).generate(
                |_, arrival| {
                    arrival.is_extra = true;
                    arrival.workspace = "ws-flood".to_owned();
                },
            )
        }
    }
}

fn flood_arrivals(config: &RunConfig, mix: PromptMix, rank: Rank, multiple: u32) -> Vec<Arrival> {
    let mut source = ArrivalSource::new(
        config,
        2,
        mix,
        mix.requests_per_second_at_capacity() * f64::from(multiple),
    );
    // The first quarter of the run has baseline load only, so that the onset of the flood shows.
    source.start_seconds = config.span.as_secs_f64() / 4.0;
    source.generate(|rng, arrival| {
        arrival.is_extra = true;
        arrival.rank = rank;
        arrival.workspace = format!("flood-{}", rng.random_range(0..200));
    })
}
