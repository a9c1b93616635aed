//! The planner: prompts that several engines read.

#[path = "fixtures/pool.rs"]
mod pool;

use limpetkeel::{Error, Millis, Timestamp, Verdict};
use test_case::test_case;

#[test]
fn a_long_prompt_is_read_in_parts_each_by_another_engine() {
    let mut planner = pool::planner(12);
    let plan = planner
        .plan(Timestamp(0), &pool::demand(1, 130_000))
        .expect("plan");
    assert!(plan.helpers.len() > 1, "{plan:?}");
    let mut names: Vec<_> = plan
        .helpers
        .iter()
        .map(|helper| helper.place.upstream.clone())
        .chain([plan.lead.upstream.clone()])
        .collect();
    names.sort();
    let all = names.len();
    names.dedup();
    assert_eq!(names.len(), all, "an engine is named once");
}

#[test]
fn short_work_avoids_the_engines_that_read_long_prompts() {
    let mut planner = pool::planner(12);
    let long = planner
        .plan(Timestamp(0), &pool::demand(1, 130_000))
        .expect("plan");
    let busy: Vec<_> = long.helpers.iter().map(|h| &h.place.upstream).collect();
    for id in 2..10 {
        let plan = planner
            .plan(Timestamp(0), &pool::demand(id, 4_000))
            .expect("plan");
        assert!(!busy.contains(&&plan.lead.upstream), "{plan:?}");
    }
}

#[test_case(150_000, false; "fits beside the reserve")]
#[test_case(300_000, true; "larger than one engine")]
#[test_case(550_000, true; "larger than two engines")]
fn a_prompt_that_no_engine_holds_is_divided(prompt: u64, divided: bool) {
    let mut planner = pool::planner(12);
    let plan = planner
        .plan(Timestamp(0), &pool::demand(1, prompt))
        .expect("plan");
    let reserved: u64 = plan
        .helpers
        .iter()
        .filter_map(|helper| helper.reserve)
        .map(|tokens| tokens.0)
        .sum();
    assert_eq!(reserved >= prompt, divided, "{plan:?}");
    let whole = plan.helpers.iter().filter_map(|helper| helper.reserve);
    assert!(whole.into_iter().all(|tokens| tokens.0 <= pool::MEMORY));
    let first_without = plan.helpers.iter().position(|h| h.reserve.is_none());
    let last_with = plan.helpers.iter().rposition(|h| h.reserve.is_some());
    if let (Some(without), Some(with)) = (first_without, last_with) {
        assert!(with < without, "reservations come first");
    }
}

#[test]
fn a_prompt_larger_than_the_pool_is_refused_for_good() {
    let planned = pool::planner(3).plan(Timestamp(0), &pool::demand(1, 2_000_000));
    assert!(
        matches!(planned, Err(Error::PromptTooLong(_))),
        "{planned:?}"
    );
}

#[test]
fn a_failed_plan_leaves_no_reading_behind() {
    let mut planner = pool::planner(12);
    let first = planner
        .plan(Timestamp(0), &pool::demand(1, 200_000))
        .expect("plan");
    let before = first.estimate;
    pool::settle(&mut planner, 0, &first, "none", Verdict::Unjudged);
    for id in 2..40 {
        let plan = planner
            .plan(Timestamp(0), &pool::demand(id, 200_000))
            .expect("plan");
        pool::settle(&mut planner, 0, &plan, "none", Verdict::Unjudged);
    }
    let last = planner
        .plan(Timestamp(0), &pool::demand(99, 200_000))
        .expect("plan");
    assert!(
        last.estimate.0 <= before.0 * 2,
        "{before} then {}",
        last.estimate
    );
    assert_eq!(planner.in_progress(), 1);
}

/// Returns the number of engines with short streams that read a part of a prompt.
fn disturbed(prompt: u64) -> usize {
    let mut planner = pool::planner(20);
    let mut streams = std::collections::BTreeSet::new();
    for id in 0..60 {
        let plan = planner
            .plan(Timestamp(0), &pool::demand(id, 1_000))
            .expect("plan");
        planner.begun(Timestamp(0), plan.id);
        streams.insert(plan.lead.upstream);
    }
    // A burst of long prompts, whose callers leave at once, widens the lane to these engines.
    for id in 100..120 {
        let burst = planner.plan(Timestamp(500), &pool::demand(id, 100_000));
        let burst = burst.expect("plan");
        let lead = burst.lead.upstream.as_str().to_owned();
        pool::settle(&mut planner, 500, &burst, &lead, Verdict::Unjudged);
    }
    let mut demand = pool::demand(200, prompt);
    demand.objective.first = Millis(10_000);
    let plan = planner.plan(Timestamp(500), &demand).expect("plan");
    assert!(!plan.helpers.is_empty());
    let helpers = plan.helpers.iter().map(|helper| &helper.place.upstream);
    helpers.filter(|name| streams.contains(*name)).count()
}

#[test]
fn parts_are_read_beside_short_streams_only_within_their_pause() {
    assert!(disturbed(150_000) > 0, "small parts delay nobody");
    assert_eq!(disturbed(180_000), 0, "those of a longer prompt would");
}

#[test]
fn a_zone_that_is_cut_off_has_readers_and_writers_of_its_own() {
    let mut planner = pool::planner(12);
    pool::miss(&mut planner, &["e01", "e04", "e02", "e05"]);
    // All of these are short of time, so that the lane is as large as it may be.
    for id in 10..20 {
        let long = planner.plan(Timestamp(0), &pool::demand(id, 60_000));
        let long = long.expect("plan");
        assert!(!long.helpers.is_empty(), "others read for the lead");
        let helpers = long.helpers.iter().map(|helper| &helper.place);
        for place in helpers.chain([&long.lead]) {
            assert_eq!(pool::zone_of(&place.upstream), "x", "{long:?}");
        }
    }
}

#[test_case(40_000, true; "whose part fits into a pass")]
#[test_case(130_000, false; "whose part would delay them")]
fn a_prompt_is_led_among_short_streams(prompt: u64, among: bool) {
    let mut planner = pool::planner(12);
    let mut streams = std::collections::BTreeSet::new();
    for id in 0..30 {
        // Callers of all zones, so that all engines outside of the lane have their share.
        let mut demand = pool::demand(id, 500);
        demand.availability_zone = pool::ZONES[id as usize % 3].try_into().expect("name");
        let plan = planner.plan(Timestamp(0), &demand).expect("plan");
        planner.begun(Timestamp(0), plan.id);
        streams.insert(plan.lead.upstream);
    }
    assert_eq!(streams.len(), 10, "two engines are in the lane");
    let plan = planner
        .plan(Timestamp(500), &pool::demand(100, prompt))
        .expect("plan");
    assert_eq!(streams.contains(&plan.lead.upstream), among, "{plan:?}");
}
