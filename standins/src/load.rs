//! Seeded open-loop load against a fleet, and measurements of the responses.

mod arrivals;
mod measurements;
mod plot;
mod report;
mod run;

use std::time;

use limpetkeel::Rank;

pub use arrivals::{Arrival, PromptMix};
pub use measurements::Measurements;
pub use plot::plot;
pub use report::{Report, print};
pub use run::run;

/// The number of engines in each of the three availability zones.
pub const ENGINES_PER_ZONE: u8 = 7;

/// The number of daemons in each availability zone.
pub const DAEMONS_PER_ZONE: u8 = 6;

/// Prompt tokens per second that one engine, with its default speeds, prefills while it also
/// decodes: a chunk of 1,024 tokens takes 25.6 ms at 40,000 tokens per second, in addition to a
/// step of 20 ms.
pub const ENGINE_TOKENS_PER_SECOND: f64 = 22_456.0;

/// A disturbance added to the baseline load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Disturbance {
    /// No disturbance.
    None,
    /// The same arrivals, without prompts of 32,000 tokens or more.
    LongPromptsRemoved,
    /// Requests of one rank at a multiple of the capacity of all engines.
    Flood(Rank, u32),
    /// Requests of one workspace at a multiple of its fair share.
    LargeWorkspace(u32),
    /// Two engines and a keeper are killed during a flood of batch requests.
    CrashesDuringFlood,
    /// The store is unavailable during the entire run.
    StoreUnavailable,
}

/// A named load scenario.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// The name on the command line.
    pub name: &'static str,
    /// The baseline load, as a percentage of the engines' capacity.
    pub load_percent: u32,
    /// Whether the request mix contains prompts of 32,000 tokens or more.
    pub long_prompts: bool,
    /// The disturbance added to the baseline load.
    pub disturbance: Disturbance,
}

/// All scenarios.
pub const SCENARIOS: [Scenario; 9] = [
    Scenario {
        name: "calm",
        load_percent: 70,
        long_prompts: true,
        disturbance: Disturbance::None,
    },
    Scenario {
        name: "calm-short",
        load_percent: 70,
        long_prompts: true,
        disturbance: Disturbance::LongPromptsRemoved,
    },
    Scenario {
        name: "calm-half",
        load_percent: 50,
        long_prompts: true,
        disturbance: Disturbance::None,
    },
    Scenario {
        name: "batch-flood",
        load_percent: 50,
        long_prompts: true,
        disturbance: Disturbance::Flood(Rank::Batch, 10),
    },
    Scenario {
        name: "dawn-flood",
        load_percent: 50,
        long_prompts: true,
        disturbance: Disturbance::Flood(Rank::Urgent, 4),
    },
    Scenario {
        name: "large-workspace",
        load_percent: 50,
        long_prompts: false,
        disturbance: Disturbance::LargeWorkspace(50),
    },
    Scenario {
        name: "workspace-alone",
        load_percent: 50,
        long_prompts: false,
        disturbance: Disturbance::None,
    },
    Scenario {
        name: "deaths",
        load_percent: 50,
        long_prompts: true,
        disturbance: Disturbance::CrashesDuringFlood,
    },
    Scenario {
        name: "store-out",
        load_percent: 70,
        long_prompts: true,
        disturbance: Disturbance::StoreUnavailable,
    },
];

/// The configuration of a load run.
#[derive(Clone, Debug)]
pub struct RunConfig {
    /// The scenario.
    pub scenario: Scenario,
    /// The placement policy.
    pub policy: String,
    /// The seed of the random arrivals.
    pub seed: u64,
    /// The duration over which requests arrive.
    pub span: time::Duration,
}
