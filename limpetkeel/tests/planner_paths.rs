//! Tests of the planner: attempts whose path failed.

#[path = "fixtures/pool.rs"]
#[expect(dead_code, reason = "other tests use the rest of the fixture")]
mod pool;

use limpetkeel::{AttemptResult, Timestamp};
use test_case::test_case;

/// Returns how many upstreams are ejected after attempts on one of them that all ended so, while the
/// others served.
fn ejected_after(result: AttemptResult) -> usize {
    let mut planner = pool::planner(6);
    for id in 0..60 {
        let now = Timestamp(id * 20);
        let planned = planner.plan(now, &pool::plan_request(id, 1_000));
        let plan = planned.expect("plan");
        let lead = plan.lead.upstream.as_str();
        let (upstream, result) = match (lead, id % 3) {
            ("e00", _) | (_, 0) => ("e00", result),
            _ => (lead, AttemptResult::Succeeded),
        };
        pool::record_result(&mut planner, now.0 + 10, &plan, upstream, result);
    }
    planner.ejected_upstreams()
}

#[test_case(AttemptResult::PathFailed, 0; "a failed path is no evidence")]
#[test_case(AttemptResult::Crashed, 1; "a crash is")]
#[test_case(AttemptResult::Silent, 1; "silence is")]
fn upstreams_are_ejected_for_their_own_failures(result: AttemptResult, ejected: usize) {
    assert_eq!(ejected_after(result), ejected);
}

#[test]
fn a_failed_path_makes_no_upstream_unreachable() {
    let mut planner = pool::planner(1);
    for id in 0..10 {
        let now = id * 10;
        let plan = planner.plan(Timestamp(now), &pool::plan_request(id, 1_000));
        let plan = plan.expect("the only upstream is planned");
        let lead = plan.lead.upstream.as_str().to_owned();
        pool::record_result(&mut planner, now, &plan, &lead, AttemptResult::PathFailed);
    }
}
