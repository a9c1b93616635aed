//! The planner: where requests run, what its ledger holds, and what it learns.

#[path = "fixtures/pool.rs"]
mod pool;

use limpetkeel::{
    Assertion, Demand, Error, Figures, Millis, Plan, Planner, Timestamp, Timing, Tokens, Verdict,
    Work,
};
use test_case::test_case;

#[test]
fn short_work_spreads_over_the_engines_outside_of_the_lane() {
    let mut planner = pool::planner(12);
    let mut leads = std::collections::BTreeMap::new();
    for id in 0..30 {
        let plan = planner
            .plan(Timestamp(0), &pool::demand(id, 5_000))
            .expect("plan");
        assert!(plan.helpers.is_empty());
        *leads.entry(plan.lead.upstream).or_insert(0) += 1;
    }
    assert!(leads.len() >= 8, "{leads:?}");
    assert!(leads.values().all(|count| *count <= 4), "{leads:?}");
}

#[test]
fn a_pool_without_upstreams_plans_nothing() {
    let planned = pool::planner(0).plan(Timestamp(0), &pool::demand(1, 1_000));
    assert!(matches!(planned, Err(Error::NoUpstream(_))), "{planned:?}");
}

#[test]
fn plans_lapse_with_their_requests() {
    let mut planner = pool::planner(6);
    planner
        .plan(Timestamp(0), &pool::demand(1, 4_000))
        .expect("plan");
    planner
        .plan(Timestamp(5_000), &pool::demand(2, 4_000))
        .expect("plan");
    assert_eq!(planner.in_progress(), 2);
    planner
        .plan(Timestamp(10_600), &pool::demand(3, 4_000))
        .expect("plan");
    assert_eq!(planner.in_progress(), 2, "the first has lapsed");
}

#[test]
fn an_upstream_that_declines_is_avoided_for_a_while() {
    let mut planner = pool::planner(4);
    let first = planner
        .plan(Timestamp(0), &pool::demand(1, 4_000))
        .expect("plan");
    let lead = first.lead.upstream.clone();
    pool::settle(&mut planner, 0, &first, lead.as_str(), Verdict::Declined);
    for id in 2..12 {
        let plan = planner
            .plan(Timestamp(50), &pool::demand(id, 4_000))
            .expect("plan");
        assert_ne!(plan.lead.upstream, lead);
    }
}

#[test]
fn failures_alone_make_no_request_hopeless() {
    let mut planner = Planner::new("p".try_into().expect("name"));
    planner.set_upstreams(1, &[pool::entry(0), pool::entry(1)]);
    let soon = |id| Demand {
        remaining: Millis(1_000),
        work: Work::default(),
        ..pool::demand(id, 0)
    };
    for id in 0..40 {
        let planned = planner.plan(Timestamp(0), &soon(id));
        let plan = planned.expect("idle upstreams may have recovered");
        assert!(plan.estimate < Millis(500), "{}", plan.estimate);
        let lead = plan.lead.upstream.clone();
        pool::settle(&mut planner, 0, &plan, lead.as_str(), Verdict::Declined);
    }
}

#[test]
fn a_zone_whose_upstreams_are_not_reached_is_left_out_from_there_only() {
    let mut planner = pool::planner(9);
    pool::miss(&mut planner, &["e01", "e04"]);
    let zone_of = |plan: &Plan| pool::zone_of(&plan.lead.upstream);
    let mut seen_elsewhere = false;
    for id in 10..40 {
        let plan = planner
            .plan(Timestamp(100), &pool::demand(id, 1_000))
            .expect("plan");
        assert_ne!(zone_of(&plan), "y", "zone x does not reach zone y");
        let from_y = Demand {
            availability_zone: "y".try_into().expect("name"),
            ..pool::demand(id + 100, 1_000)
        };
        let plan = planner.plan(Timestamp(100), &from_y).expect("plan");
        seen_elsewhere |= zone_of(&plan) == "y";
    }
    assert!(seen_elsewhere, "zone y reaches its own upstreams");
}

#[test]
fn a_zone_that_was_cut_off_is_tried_by_one_request_at_a_time() {
    let mut planner = pool::planner(9);
    pool::miss(&mut planner, &["e01", "e04"]);
    let beyond = |plan: &Plan| pool::zone_of(&plan.lead.upstream) == "y";
    let plans: Vec<_> = (10..60)
        .map(|id| {
            planner
                .plan(Timestamp(2_100), &pool::demand(id, 1_000))
                .expect("plan")
        })
        .collect();
    assert_eq!(plans.iter().filter(|plan| beyond(plan)).count(), 1);
    let tried = plans.iter().find(|plan| beyond(plan)).expect("one");
    let name = tried.lead.upstream.clone();
    pool::settle(&mut planner, 2_110, tried, name.as_str(), Verdict::Good);
    let after = (60..100)
        .map(|id| {
            planner
                .plan(Timestamp(2_120), &pool::demand(id, 1_000))
                .expect("plan")
        })
        .filter(|plan| beyond(plan));
    assert!(after.count() > 3, "an answer opens the zone");
}

#[test]
fn a_request_avoids_what_failed_it_unless_nothing_else_is_left() {
    let mut planner = pool::planner(2);
    let mut again = pool::demand(1, 1_000);
    again.avoid = vec!["e00".try_into().expect("name")];
    let plan = planner.plan(Timestamp(0), &again).expect("plan");
    assert_eq!(plan.lead.upstream.as_str(), "e01");
    again.avoid.push("e01".try_into().expect("name"));
    assert!(planner.plan(Timestamp(0), &again).is_ok());
}

#[test]
fn asserted_plans_count_as_if_they_were_planned_here() {
    let mut first = pool::planner(4);
    let mut second = pool::planner(4);
    for id in 0..24 {
        let demand = pool::demand(id, 5_000);
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
    let here = first
        .plan(Timestamp(0), &pool::demand(99, 5_000))
        .expect("plan");
    let there = second
        .plan(Timestamp(0), &pool::demand(99, 5_000))
        .expect("plan");
    let (here, there) = (here.estimate.0 as f64, there.estimate.0 as f64);
    assert!((here - there).abs() <= here * 0.5, "{here} and {there}");
}

#[test]
fn an_engine_that_begins_late_is_planned_with_that_delay() {
    let mut planner = pool::planner(4);
    let first = planner
        .plan(Timestamp(0), &pool::demand(1, 1_000))
        .expect("plan");
    planner.begun(Timestamp(900), first.id);
    let slow = first.lead.upstream;
    for id in 2..6 {
        let plan = planner
            .plan(Timestamp(900), &pool::demand(id, 1_000))
            .expect("plan");
        assert_ne!(plan.lead.upstream, slow);
    }
}

#[test]
fn an_upstream_that_started_again_has_an_empty_ledger() {
    let mut planner = pool::planner(1);
    planner
        .plan(Timestamp(0), &pool::demand(1, 100_000))
        .expect("plan");
    let before = planner
        .plan(Timestamp(0), &pool::demand(2, 1_000))
        .expect("plan");
    let mut again = pool::entry(0);
    again.started = 2;
    planner.set_upstreams(2, &[again]);
    let after = planner
        .plan(Timestamp(0), &pool::demand(3, 1_000))
        .expect("plan");
    assert!(after.estimate < before.estimate);
}

#[test_case(|f: &mut Figures| f.slots = 0; "no slots")]
#[test_case(|f: &mut Figures| f.memory = Tokens(0); "no memory")]
#[test_case(|f: &mut Figures| f.step_ms = f64::NAN; "not a number")]
#[test_case(|f: &mut Figures| f.prefill_tokens_per_ms = 0.0; "does not read")]
#[test_case(|f: &mut Figures| f.pairs_ms_per_m = -1.0; "negative time")]
fn faulty_figures_are_refused(spoil: fn(&mut Figures)) {
    let mut spoiled = pool::figures();
    spoil(&mut spoiled);
    assert!(Timing::try_from(spoiled).is_err());
}

#[test]
fn parts_share_the_tokens_and_the_pairs_of_the_whole_prompt() {
    let timing = Timing::try_from(pool::figures()).expect("figures");
    let whole = timing.read_ms(Tokens(100_000));
    // 100,000 tokens at 200 a millisecond, and 5,000 million pairs at 0.14 ms.
    assert!((whole - (500.0 + 700.0)).abs() < 1e-6, "{whole}");
    assert!((timing.part_ms(Tokens(100_000), 8) - whole / 8.0).abs() < 1e-6);
}

#[test]
fn work_stays_in_its_zone_while_another_one_is_not_much_faster() {
    let mut planner = pool::planner(12);
    // One of the four engines of the zone is in the lane; the others take two each.
    for id in 0..6 {
        let plan = planner
            .plan(Timestamp(0), &pool::demand(id, 500))
            .expect("plan");
        assert_eq!(pool::zone_of(&plan.lead.upstream), "x", "{plan:?}");
    }
}
