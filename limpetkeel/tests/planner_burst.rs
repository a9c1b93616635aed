//! Tests of the planner: a simulated burst of long prompts.

#[path = "fixtures/pool.rs"]
#[expect(dead_code, reason = "other tests use the rest of the fixture")]
mod pool;

use std::collections;

use limpetkeel::{
    AttemptResult, EngineTiming, Error, Millis, Plan, PlanRequest, Timestamp, Tokens,
};
use rand::{Rng as _, SeedableRng as _, rngs::StdRng};
use test_case::test_case;

/// The time between two plan requests of a request that waits, in milliseconds.
const POLL_MS: u64 = 40;

/// A kind of request in a simulated burst.
struct Kind {
    per_second: f64,
    /// The mean and the largest prompt, in tokens. The sizes are distributed exponentially.
    mean: f64,
    largest: f64,
    first_event_ms: u64,
    max_gap_ms: u64,
    deadline_ms: u64,
}

/// The kinds of request before a pool of which the last one comes in a burst.
fn kinds(per_second: [f64; 3]) -> [Kind; 3] {
    let [short, medium, long] = per_second;
    let kind =
        |per_second, mean, largest, [first_event_ms, max_gap_ms, deadline_ms]: [u64; 3]| Kind {
            per_second,
            mean,
            largest,
            first_event_ms,
            max_gap_ms,
            deadline_ms,
        };
    [
        kind(short, 5_000.0, 20_000.0, [400, 250, 10_000]),
        kind(medium, 45_000.0, 110_000.0, [1_500, 600, 10_000]),
        kind(long, 170_000.0, 600_000.0, [6_000, 1_000, 15_000]),
    ]
}

/// A simulated request.
struct SimulatedRequest {
    received: u64,
    prompt: u64,
    kind: usize,
}

impl SimulatedRequest {
    fn plan_request(&self, now: u64, id: u64, kind: &Kind) -> PlanRequest {
        let mut request = pool::plan_request(id, self.prompt);
        request.availability_zone = pool::ZONES[id as usize % 3].try_into().expect("name");
        request.objective.first_event = Millis(kind.first_event_ms);
        request.objective.max_gap = Millis(kind.max_gap_ms);
        request.waited = Millis(now - self.received);
        request.remaining = Millis((self.received + kind.deadline_ms).saturating_sub(now));
        request
    }
}

/// Returns the requests of fifteen seconds.
fn requests(kinds: &[Kind]) -> Vec<SimulatedRequest> {
    let mut rng = StdRng::seed_from_u64(1);
    let mut exponential = |mean: f64| -mean * (1.0 - rng.random::<f64>()).ln();
    let mut requests = Vec::new();
    for (
        kind,
        Kind {
            per_second,
            mean,
            largest,
            ..
        },
    ) in kinds.iter().enumerate()
    {
        let mut at = 0.0;
        while at < 15_000.0 {
            at += exponential(1_000.0 / per_second);
            let prompt = exponential(*mean).clamp(200.0, *largest);
            requests.push(SimulatedRequest {
                received: at as u64,
                prompt: prompt as u64,
                kind,
            });
        }
    }
    requests
}

/// What happens to a request next.
#[derive(Debug)]
enum Step {
    Ask,
    Begin(Plan),
    End(Plan),
}

/// Simulates requests for a pool and returns whether each was planned.
///
/// Each request asks for a plan until it gets one or is refused. The response to a long prompt
/// begins `delay_ms` after its parts have been prefilled, since the engines are busy.
fn simulate(
    engines: usize,
    kinds: &[Kind],
    requests: &[SimulatedRequest],
    delay_ms: u64,
) -> Vec<bool> {
    let mut planner = pool::planner(engines);
    let timing = EngineTiming::try_from(pool::engine_parameters()).expect("valid parameters");
    let mut planned = vec![false; requests.len()];
    let asks = requests.iter().zip(0_u64..);
    let asks = asks.map(|(request, id)| ((request.received, id), Step::Ask));
    let mut steps: collections::BTreeMap<_, _> = asks.collect();
    while let Some(((now, id), step)) = steps.pop_first() {
        let request = &requests[id as usize];
        match step {
            Step::Ask => {
                let kind = &kinds[request.kind];
                let plan = planner.plan(Timestamp(now), &request.plan_request(now, id, kind));
                let is_early = now < request.received + 2_000;
                match plan {
                    Ok(plan) => {
                        planned[id as usize] = true;
                        let parts = plan.helpers.len() + 1;
                        let part_ms = timing.prefill_part_ms(Tokens(request.prompt), parts) as u64;
                        let begin = now + part_ms + if parts > 1 { delay_ms } else { 100 };
                        steps.insert((begin, id), Step::Begin(plan));
                    }
                    Err(Error::AwaitingCapacity { .. }) => {
                        steps.insert((now + POLL_MS, id), Step::Ask);
                    }
                    Err(Error::NoHelper) if is_early => {
                        steps.insert((now + POLL_MS, id), Step::Ask);
                    }
                    Err(Error::NoHelper | Error::NoCapacity { .. } | Error::WouldMissDeadline) => {}
                    Err(e) => panic!("{e}"),
                }
            }
            Step::Begin(plan) => {
                planner.record_response_begun(Timestamp(now), plan.id);
                steps.insert((now + 2_000, id), Step::End(plan));
            }
            Step::End(plan) => {
                let lead = plan.lead.upstream.as_str();
                pool::record_result(&mut planner, now, &plan, lead, AttemptResult::Succeeded);
            }
        }
    }
    planned
}

#[test_case(160, [240.0, 19.0, 23.0], 2_800; "large pool")]
#[test_case(160, [240.0, 19.0, 40.0], 2_800; "large pool beyond its capacity")]
#[test_case(24, [30.0, 2.0, 4.5], 2_800; "small pool")]
#[test_case(8, [10.0, 1.0, 2.0], 2_800; "pool of a few engines")]
fn the_largest_prompts_are_served_half_as_often_as_all_in_a_burst(
    engines: usize,
    per_second: [f64; 3],
    delay_ms: u64,
) {
    let kinds = kinds(per_second);
    let requests = requests(&kinds);
    let planned = simulate(engines, &kinds, &requests, delay_ms);
    let mut burst: Vec<_> = requests
        .iter()
        .zip(planned)
        .filter(|(request, _)| request.kind == 2)
        .map(|(request, planned)| (request.prompt, planned))
        .collect();
    burst.sort();
    let share = |requests: &[(u64, bool)]| {
        let served = requests.iter().filter(|(_, planned)| *planned).count();
        served as f64 / requests.len() as f64
    };
    let (smaller, largest) = burst.split_at(burst.len() - burst.len() / 10);
    let (others, next_fifth) = smaller.split_at(smaller.len() - burst.len() / 5);
    let all = share(&burst);
    let shares = [share(largest), share(next_fifth), share(others)];
    assert!(
        shares.iter().all(|share| *share >= 0.5 * all),
        "{shares:?} of {all}"
    );
}
