//! The planner: where requests run, what its ledger holds, and what it learns.

use limpetkeel::{
    Assertion, Demand, Error, Figures, Millis, Objective, Plan, Planner, RequestId, Revision,
    RosterEntry, Settlement, Standing, Timestamp, Timing, Tokens, Verdict, Work,
};
use test_case::test_case;

const MEMORY: u64 = 200_000;

fn figures() -> Figures {
    Figures {
        slots: 16,
        memory: Tokens(MEMORY),
        steps_per_pass: 40,
        step_ms: 1.0,
        stream_ms: 0.002,
        context_ms_per_k: 0.004,
        prefill_tokens_per_ms: 200.0,
        pairs_ms_per_m: 0.14,
    }
}

fn entry(index: usize) -> RosterEntry {
    let zone = ["x", "y", "z"][index % 3];
    RosterEntry {
        name: format!("e{index:02}").try_into().expect("name"),
        pool: "p".try_into().expect("name"),
        availability_zone: zone.try_into().expect("name"),
        address: ([10, 0, 0, index as u8], 8080).into(),
        slots: 16,
        standing: Standing::Ready,
        started: 1,
        revision: Revision(1),
    }
}

fn planner(engines: usize) -> Planner {
    let mut planner = Planner::new("p".try_into().expect("name"));
    let timing = Timing::try_from(figures()).expect("figures");
    planner.configure(Some(timing), Some(Millis(250)));
    let entries: Vec<_> = (0..engines).map(entry).collect();
    planner.set_upstreams(1, &entries);
    planner
}

fn demand(id: u64, prompt: u64) -> Demand {
    Demand {
        id: RequestId(id),
        pool: "p".try_into().expect("name"),
        availability_zone: "x".try_into().expect("name"),
        work: Work {
            prompt: Tokens(prompt),
            output: Tokens(1_300),
        },
        objective: Objective {
            first: Millis(250),
            pause: Millis(250),
        },
        remaining: Millis(10_000),
        avoid: Vec::new(),
    }
}

fn settle(planner: &mut Planner, now: u64, plan: &Plan, upstream: &str, verdict: Verdict) {
    let settlement = Settlement {
        pool: "p".try_into().expect("name"),
        id: plan.id,
        availability_zone: "x".try_into().expect("name"),
        upstream: upstream.try_into().expect("name"),
        verdict,
        begun: false,
    };
    planner.settle(Timestamp(now), &settlement);
}

#[test]
fn short_work_spreads_over_the_engines_outside_of_the_lane() {
    let mut planner = planner(12);
    let mut leads = std::collections::BTreeMap::new();
    for id in 0..30 {
        let plan = planner
            .plan(Timestamp(0), &demand(id, 5_000))
            .expect("plan");
        assert!(plan.helpers.is_empty());
        *leads.entry(plan.lead.upstream).or_insert(0) += 1;
    }
    assert!(leads.len() >= 8, "{leads:?}");
    assert!(leads.values().all(|count| *count <= 4), "{leads:?}");
}

#[test]
fn a_long_prompt_is_read_in_parts_each_by_another_engine() {
    let mut planner = planner(12);
    let plan = planner
        .plan(Timestamp(0), &demand(1, 130_000))
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
    let mut planner = planner(12);
    let long = planner
        .plan(Timestamp(0), &demand(1, 130_000))
        .expect("plan");
    let busy: Vec<_> = long.helpers.iter().map(|h| &h.place.upstream).collect();
    for id in 2..10 {
        let plan = planner
            .plan(Timestamp(0), &demand(id, 4_000))
            .expect("plan");
        assert!(!busy.contains(&&plan.lead.upstream), "{plan:?}");
    }
}

#[test_case(150_000, false; "fits beside the reserve")]
#[test_case(300_000, true; "larger than one engine")]
#[test_case(550_000, true; "larger than two engines")]
fn a_prompt_that_no_engine_holds_is_divided(prompt: u64, divided: bool) {
    let mut planner = planner(12);
    let plan = planner
        .plan(Timestamp(0), &demand(1, prompt))
        .expect("plan");
    let reserved: u64 = plan
        .helpers
        .iter()
        .filter_map(|helper| helper.reserve)
        .map(|tokens| tokens.0)
        .sum();
    assert_eq!(reserved >= prompt, divided, "{plan:?}");
    let whole = plan.helpers.iter().filter_map(|helper| helper.reserve);
    assert!(whole.into_iter().all(|tokens| tokens.0 <= MEMORY));
    let first_without = plan.helpers.iter().position(|h| h.reserve.is_none());
    let last_with = plan.helpers.iter().rposition(|h| h.reserve.is_some());
    if let (Some(without), Some(with)) = (first_without, last_with) {
        assert!(with < without, "reservations come first");
    }
}

#[test]
fn a_prompt_larger_than_the_pool_is_refused_for_good() {
    let planned = planner(3).plan(Timestamp(0), &demand(1, 2_000_000));
    assert!(
        matches!(planned, Err(Error::PromptTooLong(_))),
        "{planned:?}"
    );
}

#[test]
fn a_pool_without_upstreams_plans_nothing() {
    let planned = planner(0).plan(Timestamp(0), &demand(1, 1_000));
    assert!(matches!(planned, Err(Error::NoUpstream(_))), "{planned:?}");
}

#[test]
fn a_failed_plan_leaves_no_reading_behind() {
    let mut planner = planner(12);
    let first = planner
        .plan(Timestamp(0), &demand(1, 200_000))
        .expect("plan");
    let before = first.estimate;
    settle(&mut planner, 0, &first, "none", Verdict::Unjudged);
    for id in 2..40 {
        let plan = planner
            .plan(Timestamp(0), &demand(id, 200_000))
            .expect("plan");
        settle(&mut planner, 0, &plan, "none", Verdict::Unjudged);
    }
    let last = planner
        .plan(Timestamp(0), &demand(99, 200_000))
        .expect("plan");
    assert!(
        last.estimate.0 <= before.0 * 2,
        "{before} then {}",
        last.estimate
    );
    assert_eq!(planner.in_progress(), 1);
}

#[test]
fn plans_lapse_with_their_requests() {
    let mut planner = planner(6);
    planner.plan(Timestamp(0), &demand(1, 4_000)).expect("plan");
    planner
        .plan(Timestamp(5_000), &demand(2, 4_000))
        .expect("plan");
    assert_eq!(planner.in_progress(), 2);
    planner
        .plan(Timestamp(10_600), &demand(3, 4_000))
        .expect("plan");
    assert_eq!(planner.in_progress(), 2, "the first has lapsed");
}

#[test]
fn an_upstream_that_declines_is_avoided_for_a_while() {
    let mut planner = planner(4);
    let first = planner.plan(Timestamp(0), &demand(1, 4_000)).expect("plan");
    let lead = first.lead.upstream.clone();
    settle(&mut planner, 0, &first, lead.as_str(), Verdict::Declined);
    for id in 2..12 {
        let plan = planner
            .plan(Timestamp(50), &demand(id, 4_000))
            .expect("plan");
        assert_ne!(plan.lead.upstream, lead);
    }
}

#[test]
fn failures_alone_make_no_request_hopeless() {
    let mut planner = Planner::new("p".try_into().expect("name"));
    planner.set_upstreams(1, &[entry(0), entry(1)]);
    let soon = |id| Demand {
        remaining: Millis(1_000),
        work: Work::default(),
        ..demand(id, 0)
    };
    for id in 0..40 {
        let planned = planner.plan(Timestamp(0), &soon(id));
        let plan = planned.expect("idle upstreams may have recovered");
        assert!(plan.estimate < Millis(500), "{}", plan.estimate);
        let lead = plan.lead.upstream.clone();
        settle(&mut planner, 0, &plan, lead.as_str(), Verdict::Declined);
    }
}

#[test]
fn a_zone_whose_upstreams_are_not_reached_is_left_out_from_there_only() {
    let mut planner = planner(9);
    for (id, upstream) in [(1, "e01"), (2, "e04")] {
        let plan = planner
            .plan(Timestamp(0), &demand(id, 1_000))
            .expect("plan");
        settle(&mut planner, 0, &plan, upstream, Verdict::Unreachable);
    }
    let zone_of = |plan: &Plan| {
        let index: usize = plan.lead.upstream.as_str()[1..].parse().expect("index");
        ["x", "y", "z"][index % 3]
    };
    let mut seen_elsewhere = false;
    for id in 10..40 {
        let plan = planner
            .plan(Timestamp(100), &demand(id, 1_000))
            .expect("plan");
        assert_ne!(zone_of(&plan), "y", "zone x does not reach zone y");
        let from_y = Demand {
            availability_zone: "y".try_into().expect("name"),
            ..demand(id + 100, 1_000)
        };
        let plan = planner.plan(Timestamp(100), &from_y).expect("plan");
        seen_elsewhere |= zone_of(&plan) == "y";
    }
    assert!(seen_elsewhere, "zone y reaches its own upstreams");
}

#[test]
fn a_zone_that_was_cut_off_is_tried_by_one_request_at_a_time() {
    let mut planner = planner(9);
    for (id, upstream) in [(1, "e01"), (2, "e04")] {
        let plan = planner
            .plan(Timestamp(0), &demand(id, 1_000))
            .expect("plan");
        settle(&mut planner, 0, &plan, upstream, Verdict::Unreachable);
    }
    let beyond = |plan: &Plan| {
        let index: usize = plan.lead.upstream.as_str()[1..].parse().expect("index");
        index % 3 == 1
    };
    let plans: Vec<_> = (10..60)
        .map(|id| {
            planner
                .plan(Timestamp(2_100), &demand(id, 1_000))
                .expect("plan")
        })
        .collect();
    assert_eq!(plans.iter().filter(|plan| beyond(plan)).count(), 1);
    let tried = plans.iter().find(|plan| beyond(plan)).expect("one");
    let name = tried.lead.upstream.clone();
    settle(&mut planner, 2_110, tried, name.as_str(), Verdict::Good);
    let after = (60..100)
        .map(|id| {
            planner
                .plan(Timestamp(2_120), &demand(id, 1_000))
                .expect("plan")
        })
        .filter(|plan| beyond(plan));
    assert!(after.count() > 3, "an answer opens the zone");
}

#[test]
fn a_request_avoids_what_failed_it_unless_nothing_else_is_left() {
    let mut planner = planner(2);
    let mut again = demand(1, 1_000);
    again.avoid = vec!["e00".try_into().expect("name")];
    let plan = planner.plan(Timestamp(0), &again).expect("plan");
    assert_eq!(plan.lead.upstream.as_str(), "e01");
    again.avoid.push("e01".try_into().expect("name"));
    assert!(planner.plan(Timestamp(0), &again).is_ok());
}

#[test]
fn asserted_plans_count_as_if_they_were_planned_here() {
    let mut first = planner(4);
    let mut second = planner(4);
    for id in 0..24 {
        let demand = demand(id, 5_000);
        let plan = first.plan(Timestamp(0), &demand).expect("plan");
        let assertion = Assertion {
            pool: demand.pool.clone(),
            plan,
            work: demand.work,
            objective: demand.objective,
            remaining: demand.remaining,
            begun: false,
        };
        second.assert(Timestamp(0), &assertion);
        second.assert(Timestamp(0), &assertion);
    }
    assert_eq!(second.in_progress(), 24);
    let here = first.plan(Timestamp(0), &demand(99, 5_000)).expect("plan");
    let there = second.plan(Timestamp(0), &demand(99, 5_000)).expect("plan");
    let (here, there) = (here.estimate.0 as f64, there.estimate.0 as f64);
    assert!((here - there).abs() <= here * 0.5, "{here} and {there}");
}

#[test]
fn an_engine_that_begins_late_is_planned_with_that_delay() {
    let mut planner = planner(4);
    let first = planner.plan(Timestamp(0), &demand(1, 1_000)).expect("plan");
    planner.begun(Timestamp(900), first.id);
    let slow = first.lead.upstream;
    for id in 2..6 {
        let plan = planner
            .plan(Timestamp(900), &demand(id, 1_000))
            .expect("plan");
        assert_ne!(plan.lead.upstream, slow);
    }
}

#[test]
fn an_upstream_that_started_again_has_an_empty_ledger() {
    let mut planner = planner(1);
    planner
        .plan(Timestamp(0), &demand(1, 100_000))
        .expect("plan");
    let before = planner.plan(Timestamp(0), &demand(2, 1_000)).expect("plan");
    let mut again = entry(0);
    again.started = 2;
    planner.set_upstreams(2, &[again]);
    let after = planner.plan(Timestamp(0), &demand(3, 1_000)).expect("plan");
    assert!(after.estimate < before.estimate);
}

#[test_case(|f: &mut Figures| f.slots = 0; "no slots")]
#[test_case(|f: &mut Figures| f.memory = Tokens(0); "no memory")]
#[test_case(|f: &mut Figures| f.step_ms = f64::NAN; "not a number")]
#[test_case(|f: &mut Figures| f.prefill_tokens_per_ms = 0.0; "does not read")]
#[test_case(|f: &mut Figures| f.pairs_ms_per_m = -1.0; "negative time")]
fn faulty_figures_are_refused(spoil: fn(&mut Figures)) {
    let mut spoiled = figures();
    spoil(&mut spoiled);
    assert!(Timing::try_from(spoiled).is_err());
}

#[test]
fn parts_share_the_tokens_and_the_pairs_of_the_whole_prompt() {
    let timing = Timing::try_from(figures()).expect("figures");
    let whole = timing.read_ms(Tokens(100_000));
    // 100,000 tokens at 200 a millisecond, and 5,000 million pairs at 0.14 ms.
    assert!((whole - (500.0 + 700.0)).abs() < 1e-6, "{whole}");
    assert!((timing.part_ms(Tokens(100_000), 8) - whole / 8.0).abs() < 1e-6);
}

/// Returns the number of engines with short streams that read a part of a prompt.
fn disturbed(prompt: u64) -> usize {
    let mut planner = planner(20);
    let mut streams = std::collections::BTreeSet::new();
    for id in 0..60 {
        let plan = planner
            .plan(Timestamp(0), &demand(id, 1_000))
            .expect("plan");
        planner.begun(Timestamp(0), plan.id);
        streams.insert(plan.lead.upstream);
    }
    // A burst of long prompts, whose callers leave at once, widens the lane to these engines.
    for id in 100..120 {
        let burst = planner.plan(Timestamp(500), &demand(id, 100_000));
        let burst = burst.expect("plan");
        let lead = burst.lead.upstream.as_str().to_owned();
        settle(&mut planner, 500, &burst, &lead, Verdict::Unjudged);
    }
    let mut demand = demand(200, prompt);
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
fn work_stays_in_its_zone_while_another_one_is_not_much_faster() {
    let mut planner = planner(12);
    // One of the four engines of the zone is in the lane; the others take two each.
    for id in 0..6 {
        let plan = planner.plan(Timestamp(0), &demand(id, 500)).expect("plan");
        let index: usize = plan.lead.upstream.as_str()[1..].parse().expect("index");
        assert_eq!(index % 3, 0, "{plan:?}");
    }
}

#[test]
fn a_zone_that_is_cut_off_has_readers_and_writers_of_its_own() {
    let mut planner = planner(12);
    for (id, lost) in ["e01", "e04", "e02", "e05"].into_iter().enumerate() {
        let plan = planner
            .plan(Timestamp(0), &demand(id as u64, 1_000))
            .expect("plan");
        settle(&mut planner, 0, &plan, lost, Verdict::Unreachable);
    }
    // All of these are short of time, so that the lane is as large as it may be.
    for id in 10..20 {
        let long = planner.plan(Timestamp(0), &demand(id, 60_000));
        let long = long.expect("plan");
        assert!(!long.helpers.is_empty(), "others read for the lead");
        let helpers = long.helpers.iter().map(|helper| &helper.place);
        for place in helpers.chain([&long.lead]) {
            let index: usize = place.upstream.as_str()[1..].parse().expect("index");
            assert_eq!(index % 3, 0, "{long:?}");
        }
    }
}

#[test_case(40_000, true; "whose part fits into a pass")]
#[test_case(130_000, false; "whose part would delay them")]
fn a_prompt_is_led_among_short_streams(prompt: u64, among: bool) {
    let mut planner = planner(12);
    let mut streams = std::collections::BTreeSet::new();
    for id in 0..30 {
        // Callers of all zones, so that all engines outside of the lane have their share.
        let mut demand = demand(id, 500);
        demand.availability_zone = ["x", "y", "z"][id as usize % 3].try_into().expect("name");
        let plan = planner.plan(Timestamp(0), &demand).expect("plan");
        planner.begun(Timestamp(0), plan.id);
        streams.insert(plan.lead.upstream);
    }
    assert_eq!(streams.len(), 10, "two engines are in the lane");
    let plan = planner
        .plan(Timestamp(500), &demand(100, prompt))
        .expect("plan");
    assert_eq!(streams.contains(&plan.lead.upstream), among, "{plan:?}");
}
