//! Tests of the planner: surges of short and of long prompts on simulated engines.

#[path = "fixtures/callers.rs"]
mod callers;
#[path = "fixtures/engine.rs"]
mod engine;
#[path = "fixtures/pool.rs"]
#[expect(dead_code, reason = "other tests use the rest of the fixture")]
mod pool;
#[path = "fixtures/surge.rs"]
mod surge;

use std::{ops, sync};

use callers::{KINDS, Outcome, PHASE_MS, SimulatedRequest};
use test_case::test_case;

const SHORT: usize = 0;
const MEDIUM: usize = 1;
const LONG: usize = 2;

/// How long after a change of the mix the pool may take to follow it, in milliseconds.
const RECOVERY_MS: u64 = 2_000;

/// The longest wait of a refused request, as a fraction of its objective, apart from the time between
/// two plan requests.
const MAX_REFUSAL_FRACTION: f64 = 0.5;

/// The longest time between two plan requests, in milliseconds.
const MAX_REPLAN_MS: u64 = 120;

/// Returns the requests of the surge, which is simulated once for all tests.
fn requests() -> &'static [SimulatedRequest] {
    static REQUESTS: sync::OnceLock<Vec<SimulatedRequest>> = sync::OnceLock::new();
    REQUESTS.get_or_init(|| surge::Simulation::new(1).run())
}

/// Returns the requests of a kind that were first received in a range of time.
fn requests_of(kind: usize, received: ops::Range<u64>) -> Vec<&'static SimulatedRequest> {
    let requests = requests().iter();
    let requests = requests.filter(|request| request.kind == kind);
    requests
        .filter(|request| received.contains(&request.received))
        .collect()
}

/// Returns the share of requests with one of the outcomes.
fn share(requests: &[&SimulatedRequest], outcomes: &[Outcome]) -> f64 {
    let counted = requests
        .iter()
        .filter(|request| outcomes.contains(&request.outcome))
        .count();
    counted as f64 / requests.len().max(1) as f64
}

const IN_TIME: &[Outcome] = &[Outcome::InTime];
const SERVED: &[Outcome] = &[Outcome::InTime, Outcome::Late];

/// Returns the table that is printed when a test fails.
fn table() -> String {
    let mut table = String::from(
        "\nphase kind    count in_time late refused abandoned failed  wait_ms value_in_time value_late\n",
    );
    for phase in 0..3 {
        for (kind, parameters) in KINDS.iter().enumerate() {
            let requests = requests_of(kind, phase * PHASE_MS..(phase + 1) * PHASE_MS);
            let count = |outcome| (share(&requests, &[outcome]) * requests.len() as f64).round();
            let waits: Vec<_> = requests.iter().filter_map(|r| r.planned_after).collect();
            let owed = parameters.values[0] * requests.len().max(1) as f64;
            table += &format!(
                "{phase:5} {:7} {:5} {:7} {:4} {:7} {:9} {:6} {:8.0} {:13.3} {:10.3}\n",
                parameters.name,
                requests.len(),
                count(Outcome::InTime),
                count(Outcome::Late),
                count(Outcome::Refused),
                count(Outcome::Abandoned),
                count(Outcome::Failed),
                waits.iter().sum::<u64>() as f64 / waits.len().max(1) as f64,
                count(Outcome::InTime) * parameters.values[0] / owed,
                count(Outcome::Late) * parameters.values[1] / owed,
            );
        }
    }
    let values = |outcome| -> f64 {
        let with = requests().iter().filter(|r| r.outcome == outcome);
        let late = usize::from(outcome == Outcome::Late);
        with.map(|r| KINDS[r.kind].values[late]).sum()
    };
    let owed: f64 = requests().iter().map(|r| KINDS[r.kind].values[0]).sum();
    let [in_time, late] = [Outcome::InTime, Outcome::Late].map(|o| values(o) / owed);
    table + &format!("value of all: in time {in_time:.3}, late {late:.3}\n")
}

/// Guards against a surge in which every short stream waits and almost none is in time.
#[test]
fn half_of_the_short_streams_of_their_surge_are_in_time() {
    let short = share(&requests_of(SHORT, PHASE_MS..2 * PHASE_MS), IN_TIME);
    assert!(short >= 0.5, "{short:.3} in time{}", table());
}

/// Guards against large prompts that find no capacity behind smaller ones.
#[test_case(SHORT; "short streams")]
#[test_case(MEDIUM; "medium streams")]
#[test_case(LONG; "long streams")]
fn the_largest_tenth_of_a_kind_is_served_half_as_often_in_a_surge(kind: usize) {
    let mut requests = requests_of(kind, 0..3 * PHASE_MS);
    requests.sort_by_key(|request| request.prompt);
    let largest = share(&requests[requests.len() - requests.len() / 10..], SERVED);
    let all = share(&requests, SERVED);
    assert!(largest >= 0.5 * all, "{largest:.3} of {all:.3}{}", table());
}

/// Guards against engines that keep to the work of the old mix after it has changed.
#[test_case(1, SHORT; "short streams after a turn to short ones")]
#[test_case(1, MEDIUM; "medium streams after a turn to short ones")]
#[test_case(2, SHORT; "short streams after a turn to long ones")]
#[test_case(2, MEDIUM; "medium streams after a turn to long ones")]
fn half_of_the_streams_are_in_time_two_seconds_after_a_turn(phase: u64, kind: usize) {
    let recovered = phase * PHASE_MS + RECOVERY_MS;
    let after = share(&requests_of(kind, recovered..recovered + 2_000), IN_TIME);
    assert!(after >= 0.5, "{after:.3} in time{}", table());
}

/// Guards against engines that join the prefill set late. The rate after the turn is about the mean
/// of both surges of long prompts. A quarter is for the small number of requests.
#[test]
fn long_prompts_recover_within_two_seconds_of_a_turn_to_them() {
    let recovered = 2 * PHASE_MS + RECOVERY_MS;
    let after = share(&requests_of(LONG, recovered..recovered + 2_000), IN_TIME);
    let mut both = requests_of(LONG, 0..PHASE_MS);
    both.extend(requests_of(LONG, 2 * PHASE_MS..3 * PHASE_MS));
    let usual = share(&both, IN_TIME);
    assert!(
        after >= 0.75 * usual,
        "{after:.3}, usually {usual:.3}{}",
        table()
    );
}

/// Guards against requests that are held, by the relay or by an engine, until their callers give up.
#[test_case(SHORT; "short streams")]
#[test_case(MEDIUM; "medium streams")]
#[test_case(LONG; "long streams")]
fn a_request_that_cannot_be_served_is_refused_within_a_fraction_of_its_objective(kind: usize) {
    let mut unserved = requests_of(kind, 0..3 * PHASE_MS);
    unserved.retain(|request| !SERVED.contains(&request.outcome));
    let bound_ms = KINDS[kind].first_event_ms as f64 * MAX_REFUSAL_FRACTION + MAX_REPLAN_MS as f64;
    let at_once = unserved
        .iter()
        .filter(|request| request.outcome == Outcome::Refused)
        .filter(|request| request.longest_refusal_ms as f64 <= bound_ms)
        .count();
    assert!(
        at_once as f64 >= 0.95 * unserved.len() as f64,
        "{at_once} of {} refused within {bound_ms} ms{}",
        unserved.len(),
        table()
    );
}

/// Guards against medium streams that are worse off than long ones of the same priority.
#[test_case(0; "first surge of long prompts")]
#[test_case(2; "second surge of long prompts")]
fn medium_streams_are_served_as_well_as_long_ones(phase: u64) {
    let of_phase = |kind| requests_of(kind, phase * PHASE_MS..(phase + 1) * PHASE_MS);
    for outcomes in [IN_TIME, SERVED] {
        let medium = share(&of_phase(MEDIUM), outcomes);
        let long = share(&of_phase(LONG), outcomes);
        assert!(
            medium >= long - 0.05,
            "{medium:.3}, long {long:.3}{}",
            table()
        );
    }
}
