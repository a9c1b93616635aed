//! Tests of the planner: upstreams that accept no requests from an instance.

#[path = "fixtures/pool.rs"]
mod pool;

use limpetkeel::{
    AttemptResult, Error, PlanRequest, Planner, RequestSize, Timestamp, UpstreamName,
};
use test_case::test_case;

/// Returns the names of the engines with these indexes.
fn names(indexes: std::ops::Range<usize>) -> Vec<UpstreamName> {
    indexes.map(|index| pool::entry(index).name).collect()
}

/// Returns a plan request that may not use the given engines.
fn plan_request(id: u64, prompt: u64, unavailable: std::ops::Range<usize>) -> PlanRequest {
    PlanRequest {
        unavailable_upstreams: names(unavailable),
        ..pool::plan_request(id, prompt)
    }
}

#[test_case(4_000; "a short prompt")]
#[test_case(130_000; "a prompt with helpers")]
#[test_case(300_000; "a prompt with reservations")]
fn unavailable_upstreams_have_no_part_in_a_plan(prompt: u64) {
    for unavailable in [0..6, 3..9, 6..12] {
        let request = plan_request(1, prompt, unavailable.clone());
        let plan = pool::planner(12)
            .plan(Timestamp(0), &request)
            .expect("plan");
        let helpers = plan.helpers.iter().map(|helper| &helper.engine);
        for engine in helpers.chain([&plan.lead]) {
            assert!(
                !names(unavailable.clone()).contains(&engine.upstream),
                "{plan:?}"
            );
        }
        assert_eq!(plan.helpers.is_empty(), prompt < 100_000, "{plan:?}");
    }
}

#[test]
fn a_plain_service_plans_around_unavailable_upstreams() {
    let mut planner = Planner::new("p".try_into().expect("name"));
    planner.set_upstreams(1, &[pool::entry(0), pool::entry(1)]);
    for id in 0..4 {
        let request = PlanRequest {
            size: RequestSize::default(),
            ..plan_request(id, 0, 0..1)
        };
        let plan = planner.plan(Timestamp(0), &request).expect("plan");
        assert_eq!(plan.lead.upstream, pool::entry(1).name);
    }
}

#[test_case(4_000; "a short prompt")]
#[test_case(130_000; "a long prompt")]
fn a_request_is_refused_if_every_upstream_is_unavailable(prompt: u64) {
    let planned = pool::planner(6).plan(Timestamp(0), &plan_request(1, prompt, 0..6));
    assert!(
        matches!(planned, Err(Error::UpstreamsUnavailable(_))),
        "{planned:?}"
    );
}

#[test]
fn an_upstream_that_was_tried_is_preferred_to_an_unavailable_one() {
    let mut planner = pool::planner(2);
    let request = PlanRequest {
        excluded_upstreams: names(1..2),
        ..plan_request(1, 4_000, 0..1)
    };
    let plan = planner.plan(Timestamp(0), &request).expect("plan");
    assert_eq!(plan.lead.upstream, pool::entry(1).name);
}

#[test]
fn an_unreachable_upstream_is_preferred_to_an_unavailable_one() {
    let mut planner = pool::planner(2);
    pool::report_unreachable(&mut planner, &["e01"]);
    let plan = planner
        .plan(Timestamp(10), &plan_request(2, 4_000, 0..1))
        .expect("plan");
    assert_eq!(plan.lead.upstream, pool::entry(1).name);
}

#[test]
fn an_upstream_that_declined_is_preferred_to_an_unavailable_one() {
    let mut planner = pool::planner(2);
    let first = planner
        .plan(Timestamp(0), &plan_request(1, 4_000, 0..1))
        .expect("plan");
    pool::record_result(&mut planner, 0, &first, "e01", AttemptResult::Declined);
    let plan = planner
        .plan(Timestamp(10), &plan_request(2, 4_000, 0..1))
        .expect("plan");
    assert_eq!(plan.lead.upstream, pool::entry(1).name);
}

#[test]
fn another_zone_is_used_if_the_upstreams_of_the_zone_are_unavailable() {
    let mut planner = pool::planner(2);
    let plan = planner
        .plan(Timestamp(0), &plan_request(1, 4_000, 0..1))
        .expect("plan");
    assert_eq!(pool::zone_of(&plan.lead.upstream), "y");
}
