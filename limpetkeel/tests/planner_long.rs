//! Tests of the planner: prompts that several engines prefill.

#[path = "fixtures/pool.rs"]
mod pool;

use limpetkeel::{AttemptResult, Error, Millis, Timestamp};
use test_case::test_case;

#[test]
fn a_long_prompt_is_prefilled_in_parts_by_distinct_engines() {
    let mut planner = pool::planner(12);
    let plan = planner
        .plan(Timestamp(0), &pool::plan_request(1, 130_000))
        .expect("plan");
    assert!(plan.helpers.len() > 1, "{plan:?}");
    let mut names: Vec<_> = plan
        .helpers
        .iter()
        .map(|helper| helper.engine.upstream.clone())
        .chain([plan.lead.upstream.clone()])
        .collect();
    names.sort();
    let name_count = names.len();
    names.dedup();
    assert_eq!(names.len(), name_count, "an engine is named once");
}

#[test]
fn short_requests_avoid_the_helpers_of_long_prompts() {
    let mut planner = pool::planner(12);
    let long = planner
        .plan(Timestamp(0), &pool::plan_request(1, 130_000))
        .expect("plan");
    let helpers: Vec<_> = long.helpers.iter().map(|h| &h.engine.upstream).collect();
    for id in 2..10 {
        let plan = planner
            .plan(Timestamp(0), &pool::plan_request(id, 4_000))
            .expect("plan");
        assert!(!helpers.contains(&&plan.lead.upstream), "{plan:?}");
    }
}

#[test_case(150_000, false; "fits into the usable memory")]
#[test_case(300_000, true; "larger than one engine")]
#[test_case(550_000, true; "larger than two engines")]
fn a_prompt_larger_than_an_engine_is_divided(prompt: u64, divided: bool) {
    let mut planner = pool::planner(12);
    let plan = planner
        .plan(Timestamp(0), &pool::plan_request(1, prompt))
        .expect("plan");
    let reserved: u64 = plan
        .helpers
        .iter()
        .filter_map(|helper| helper.reserve)
        .map(|tokens| tokens.0)
        .sum();
    assert_eq!(reserved >= prompt, divided, "{plan:?}");
    let reservations = plan.helpers.iter().filter_map(|helper| helper.reserve);
    assert!(
        reservations
            .into_iter()
            .all(|tokens| tokens.0 <= pool::MEMORY)
    );
    let first_without = plan.helpers.iter().position(|h| h.reserve.is_none());
    let last_with = plan.helpers.iter().rposition(|h| h.reserve.is_some());
    if let (Some(without), Some(with)) = (first_without, last_with) {
        assert!(with < without, "reservations come first");
    }
}

#[test]
fn a_prompt_larger_than_the_pool_is_too_long() {
    let planned = pool::planner(3).plan(Timestamp(0), &pool::plan_request(1, 2_000_000));
    assert!(
        matches!(planned, Err(Error::PromptTooLong(_))),
        "{planned:?}"
    );
}

#[test]
fn a_failed_plan_leaves_no_prefill_backlog() {
    let mut planner = pool::planner(12);
    let first = planner
        .plan(Timestamp(0), &pool::plan_request(1, 200_000))
        .expect("plan");
    let before = first.estimate;
    pool::record_result(&mut planner, 0, &first, "none", AttemptResult::Inconclusive);
    for id in 2..40 {
        let plan = planner
            .plan(Timestamp(0), &pool::plan_request(id, 200_000))
            .expect("plan");
        pool::record_result(&mut planner, 0, &plan, "none", AttemptResult::Inconclusive);
    }
    let last = planner
        .plan(Timestamp(0), &pool::plan_request(99, 200_000))
        .expect("plan");
    assert!(
        last.estimate.0 <= before.0 * 2,
        "{before} then {}",
        last.estimate
    );
    assert_eq!(planner.in_progress(), 1);
}

/// Returns the number of helpers of a prompt that also decode short streams.
fn helpers_with_short_streams(prompt: u64) -> usize {
    let mut planner = pool::planner(20);
    let mut streams = std::collections::BTreeSet::new();
    for id in 0..60 {
        let plan = planner
            .plan(Timestamp(0), &pool::plan_request(id, 1_000))
            .expect("plan");
        planner.record_response_begun(Timestamp(0), plan.id);
        streams.insert(plan.lead.upstream);
    }
    // A burst of long prompts that are cancelled at once grows the prefill set to these engines.
    for id in 100..120 {
        let burst_plan = planner.plan(Timestamp(500), &pool::plan_request(id, 100_000));
        let burst_plan = burst_plan.expect("plan");
        let lead = burst_plan.lead.upstream.as_str().to_owned();
        pool::record_result(
            &mut planner,
            500,
            &burst_plan,
            &lead,
            AttemptResult::Inconclusive,
        );
    }
    let mut request = pool::plan_request(200, prompt);
    request.objective.first_event = Millis(10_000);
    let plan = planner.plan(Timestamp(500), &request).expect("plan");
    assert!(!plan.helpers.is_empty());
    let helpers = plan.helpers.iter().map(|helper| &helper.engine.upstream);
    helpers.filter(|name| streams.contains(*name)).count()
}

#[test]
fn engines_with_short_streams_prefill_parts_only_within_the_allowed_gap() {
    assert!(
        helpers_with_short_streams(150_000) > 0,
        "small parts delay no stream"
    );
    assert_eq!(
        helpers_with_short_streams(180_000),
        0,
        "the parts of a longer prompt would delay streams"
    );
}

#[test]
fn a_partitioned_zone_has_engines_for_prefill_and_decoding() {
    let mut planner = pool::planner(12);
    pool::report_unreachable(&mut planner, &["e01", "e04", "e02", "e05"]);
    // The prefill of each prompt exceeds its objective, so that the prefill set reaches its largest
    // size.
    for id in 10..20 {
        let long = planner.plan(Timestamp(0), &pool::plan_request(id, 60_000));
        let long = long.expect("plan");
        assert!(!long.helpers.is_empty(), "other engines help the lead");
        let helpers = long.helpers.iter().map(|helper| &helper.engine);
        for engine in helpers.chain([&long.lead]) {
            assert_eq!(pool::zone_of(&engine.upstream), "x", "{long:?}");
        }
    }
}

#[test_case(40_000, true; "parts within the allowed gap")]
#[test_case(130_000, false; "parts that would delay streams")]
fn a_lead_decodes_short_streams_only_if_its_part_delays_none(prompt: u64, expected: bool) {
    let mut planner = pool::planner(12);
    let mut streams = std::collections::BTreeSet::new();
    for id in 0..30 {
        // Requests from all zones, so that all engines outside the prefill set get streams.
        let mut request = pool::plan_request(id, 500);
        request.availability_zone = pool::ZONES[id as usize % 3].try_into().expect("name");
        let plan = planner.plan(Timestamp(0), &request).expect("plan");
        planner.record_response_begun(Timestamp(0), plan.id);
        streams.insert(plan.lead.upstream);
    }
    assert_eq!(streams.len(), 10, "two engines are in the prefill set");
    let plan = planner
        .plan(Timestamp(500), &pool::plan_request(100, prompt))
        .expect("plan");
    assert_eq!(streams.contains(&plan.lead.upstream), expected, "{plan:?}");
}

#[test]
fn a_burst_of_long_prompts_asks_no_engine_for_more_parts_than_it_accepts() {
    let mut planner = pool::planner(12);
    let mut parts = std::collections::BTreeMap::new();
    let mut planned = Vec::new();
    let mut refused = 0;
    for id in 0..200 {
        // The prompts of a burst arrive within a second, and none has been prefilled.
        match planner.plan(Timestamp(id * 5), &pool::plan_request(id, 21_000)) {
            Ok(plan) => {
                for helper in &plan.helpers {
                    *parts.entry(helper.engine.upstream.clone()).or_insert(0) += 1;
                }
                planned.push(plan);
            }
            Err(Error::NoHelper) => refused += 1,
            Err(Error::AwaitingCapacity { .. } | Error::NoCapacity { .. }) => {}
            Err(e) => panic!("{e}"),
        }
    }
    let slots = pool::engine_parameters().slots;
    assert!(parts.values().all(|count| *count <= slots), "{parts:?}");
    assert!(refused > 0, "the burst exceeds what the engines accept");
    // The engines accept parts again once the prompts have been prefilled.
    for plan in &planned {
        planner.record_response_begun(Timestamp(4_000), plan.id);
    }
    planner
        .plan(Timestamp(4_000), &pool::plan_request(500, 21_000))
        .expect("plan");
}
