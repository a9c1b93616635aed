//! Tests of the planner: the choice of upstreams, the ledger, and the health of upstreams.

#[path = "fixtures/pool.rs"]
mod pool;

use limpetkeel::{
    AttemptResult, EngineParameters, EngineTiming, Error, Millis, Plan, PlanRequest, Planner,
    ReportedPlan, RequestSize, Timestamp, Tokens,
};
use test_case::test_case;

#[test]
fn short_requests_spread_over_the_engines_outside_the_prefill_set() {
    let mut planner = pool::planner(12);
    let mut leads = std::collections::BTreeMap::new();
    for id in 0..30 {
        let plan = planner
            .plan(Timestamp(0), &pool::plan_request(id, 5_000))
            .expect("plan");
        assert!(plan.helpers.is_empty());
        *leads.entry(plan.lead.upstream).or_insert(0) += 1;
    }
    assert!(leads.len() >= 8, "{leads:?}");
    assert!(leads.values().all(|count| *count <= 4), "{leads:?}");
}

#[test]
fn a_pool_without_upstreams_plans_nothing() {
    let planned = pool::planner(0).plan(Timestamp(0), &pool::plan_request(1, 1_000));
    assert!(matches!(planned, Err(Error::NoUpstream(_))), "{planned:?}");
}

#[test]
fn plans_expire_after_the_deadline_of_their_requests() {
    let mut planner = pool::planner(6);
    planner
        .plan(Timestamp(0), &pool::plan_request(1, 4_000))
        .expect("plan");
    planner
        .plan(Timestamp(5_000), &pool::plan_request(2, 4_000))
        .expect("plan");
    assert_eq!(planner.in_progress(), 2);
    planner
        .plan(Timestamp(10_600), &pool::plan_request(3, 4_000))
        .expect("plan");
    assert_eq!(planner.in_progress(), 2, "the first plan has expired");
}

#[test]
fn an_upstream_that_declines_is_avoided_for_a_while() {
    let mut planner = pool::planner(4);
    let first_plan = planner
        .plan(Timestamp(0), &pool::plan_request(1, 4_000))
        .expect("plan");
    let lead = first_plan.lead.upstream.clone();
    pool::record_result(
        &mut planner,
        0,
        &first_plan,
        lead.as_str(),
        AttemptResult::Declined,
    );
    for id in 2..12 {
        let plan = planner
            .plan(Timestamp(50), &pool::plan_request(id, 4_000))
            .expect("plan");
        assert_ne!(plan.lead.upstream, lead);
    }
}

#[test]
fn failed_attempts_do_not_cause_deadline_refusals() {
    let mut planner = Planner::new("p".try_into().expect("name"));
    planner.set_upstreams(1, &[pool::entry(0), pool::entry(1)]);
    let short_deadline = |id| PlanRequest {
        remaining: Millis(1_000),
        size: RequestSize::default(),
        ..pool::plan_request(id, 0)
    };
    for id in 0..40 {
        let planned = planner.plan(Timestamp(0), &short_deadline(id));
        let plan = planned.expect("idle upstreams may have recovered");
        assert!(plan.estimate < Millis(500), "{}", plan.estimate);
        let lead = plan.lead.upstream.clone();
        pool::record_result(
            &mut planner,
            0,
            &plan,
            lead.as_str(),
            AttemptResult::Declined,
        );
    }
}

#[test]
fn an_unreachable_zone_is_skipped_only_by_the_zone_that_cannot_reach_it() {
    let mut planner = pool::planner(9);
    pool::report_unreachable(&mut planner, &["e01", "e04"]);
    let zone_of = |plan: &Plan| pool::zone_of(&plan.lead.upstream);
    let mut used_from_y = false;
    for id in 10..40 {
        let plan = planner
            .plan(Timestamp(100), &pool::plan_request(id, 1_000))
            .expect("plan");
        assert_ne!(zone_of(&plan), "y", "zone x cannot reach zone y");
        let from_y = PlanRequest {
            availability_zone: "y".try_into().expect("name"),
            ..pool::plan_request(id + 100, 1_000)
        };
        let plan = planner.plan(Timestamp(100), &from_y).expect("plan");
        used_from_y |= zone_of(&plan) == "y";
    }
    assert!(used_from_y, "zone y reaches its own upstreams");
}

#[test]
fn a_partitioned_zone_is_tried_by_one_request_at_a_time() {
    let mut planner = pool::planner(9);
    pool::report_unreachable(&mut planner, &["e01", "e04"]);
    let in_partitioned_zone = |plan: &Plan| pool::zone_of(&plan.lead.upstream) == "y";
    let plans: Vec<_> = (10..60)
        .map(|id| {
            planner
                .plan(Timestamp(2_100), &pool::plan_request(id, 1_000))
                .expect("plan")
        })
        .collect();
    assert_eq!(
        plans
            .iter()
            .filter(|plan| in_partitioned_zone(plan))
            .count(),
        1
    );
    let trial = plans
        .iter()
        .find(|plan| in_partitioned_zone(plan))
        .expect("one");
    let name = trial.lead.upstream.clone();
    pool::record_result(
        &mut planner,
        2_110,
        trial,
        name.as_str(),
        AttemptResult::Succeeded,
    );
    let after = (60..100)
        .map(|id| {
            planner
                .plan(Timestamp(2_120), &pool::plan_request(id, 1_000))
                .expect("plan")
        })
        .filter(|plan| in_partitioned_zone(plan));
    assert!(after.count() > 3, "a response ends the partition");
}

#[test]
fn an_expired_cooldown_does_not_make_a_zone_partitioned() {
    let mut planner = pool::planner(6);
    // Two upstreams of zone `y` were lost long ago, and one fails now.
    pool::report_unreachable(&mut planner, &["e01", "e04"]);
    let now = 60_000;
    let request = pool::plan_request(7, 1_000);
    let plan = planner.plan(Timestamp(now), &request).expect("plan");
    pool::record_result(&mut planner, now, &plan, "e01", AttemptResult::Unreachable);
    let mut leads = std::collections::BTreeSet::new();
    for id in 10..40 {
        let plan = planner
            .plan(Timestamp(now + 10), &pool::plan_request(id, 1_000))
            .expect("plan");
        leads.insert(plan.lead.upstream.to_string());
    }
    assert!(leads.contains("e04"), "{leads:?}");
    assert!(!leads.contains("e01"), "{leads:?}");
}

#[test]
fn a_changed_address_is_used() {
    let mut planner = pool::planner(1);
    let mut moved = pool::entry(0);
    moved.address = ([10, 0, 9, 9], 8080).into();
    planner.set_upstreams(2, std::slice::from_ref(&moved));
    let plan = planner
        .plan(Timestamp(0), &pool::plan_request(1, 1_000))
        .expect("plan");
    assert_eq!(plan.lead.address, moved.address);
}

#[test]
fn a_retry_avoids_tried_upstreams_unless_all_were_tried() {
    let mut planner = pool::planner(2);
    let mut retry = pool::plan_request(1, 1_000);
    retry.excluded_upstreams = vec!["e00".try_into().expect("name")];
    let plan = planner.plan(Timestamp(0), &retry).expect("plan");
    assert_eq!(plan.lead.upstream.as_str(), "e01");
    retry
        .excluded_upstreams
        .push("e01".try_into().expect("name"));
    assert!(planner.plan(Timestamp(0), &retry).is_ok());
}

#[test]
fn reported_plans_count_like_local_plans() {
    let mut first_planner = pool::planner(4);
    let mut second_planner = pool::planner(4);
    for id in 0..24 {
        let request = pool::plan_request(id, 5_000);
        let plan = first_planner.plan(Timestamp(0), &request).expect("plan");
        let reported_plan = ReportedPlan {
            pool: request.pool.clone(),
            plan,
            size: request.size,
            causes: request.causes.clone(),
            objective: request.objective,
            remaining: request.remaining,
            response_begun: false,
        };
        second_planner.record_reported_plan(Timestamp(0), &reported_plan);
        second_planner.record_reported_plan(Timestamp(0), &reported_plan);
    }
    assert_eq!(second_planner.in_progress(), 24);
    let first_plan = first_planner
        .plan(Timestamp(0), &pool::plan_request(99, 5_000))
        .expect("plan");
    let second_plan = second_planner
        .plan(Timestamp(0), &pool::plan_request(99, 5_000))
        .expect("plan");
    let (first_ms, second_ms) = (first_plan.estimate.0 as f64, second_plan.estimate.0 as f64);
    assert!(
        (first_ms - second_ms).abs() <= first_ms * 0.5,
        "{first_ms} and {second_ms}"
    );
}

#[test]
fn a_late_first_token_raises_the_estimates_of_its_engine() {
    let mut planner = pool::planner(4);
    let first_plan = planner
        .plan(Timestamp(0), &pool::plan_request(1, 1_000))
        .expect("plan");
    planner.record_response_begun(Timestamp(900), first_plan.id);
    let slow = first_plan.lead.upstream;
    for id in 2..6 {
        let plan = planner
            .plan(Timestamp(900), &pool::plan_request(id, 1_000))
            .expect("plan");
        assert_ne!(plan.lead.upstream, slow);
    }
}

#[test]
fn a_restarted_upstream_has_an_empty_ledger() {
    let mut planner = pool::planner(1);
    planner
        .plan(Timestamp(0), &pool::plan_request(1, 100_000))
        .expect("plan");
    let before = planner
        .plan(Timestamp(0), &pool::plan_request(2, 1_000))
        .expect("plan");
    let mut restarted = pool::entry(0);
    restarted.start_time = 2;
    planner.set_upstreams(2, &[restarted]);
    let after = planner
        .plan(Timestamp(0), &pool::plan_request(3, 1_000))
        .expect("plan");
    assert!(after.estimate < before.estimate);
}

#[test_case(|p: &mut EngineParameters| p.slots = 0; "no slots")]
#[test_case(|p: &mut EngineParameters| p.memory = Tokens(0); "no memory")]
#[test_case(|p: &mut EngineParameters| p.step_ms = f64::NAN; "not a number")]
#[test_case(|p: &mut EngineParameters| p.prefill_tokens_per_ms = 0.0; "no prefill")]
#[test_case(|p: &mut EngineParameters| p.attention_ms_per_m_pairs = -1.0; "negative time")]
fn invalid_engine_parameters_are_rejected(invalidate: fn(&mut EngineParameters)) {
    let mut parameters = pool::engine_parameters();
    invalidate(&mut parameters);
    assert!(EngineTiming::try_from(parameters).is_err());
}

#[test]
fn equal_parts_divide_the_complete_prefill_time() {
    let timing = EngineTiming::try_from(pool::engine_parameters()).expect("valid parameters");
    let complete_ms = timing.prefill_ms(Tokens(100_000));
    // 100,000 tokens at 200 per millisecond, and 5,000 million token pairs at 0.14 ms per million.
    assert!(
        (complete_ms - (500.0 + 700.0)).abs() < 1e-6,
        "{complete_ms}"
    );
    assert!((timing.prefill_part_ms(Tokens(100_000), 8) - complete_ms / 8.0).abs() < 1e-6);
}

#[test]
fn requests_stay_in_their_zone_unless_another_zone_is_much_faster() {
    let mut planner = pool::planner(12);
    // One of the four engines of the zone is in the prefill set; each other one gets two requests.
    for id in 0..6 {
        let plan = planner
            .plan(Timestamp(0), &pool::plan_request(id, 500))
            .expect("plan");
        assert_eq!(pool::zone_of(&plan.lead.upstream), "x", "{plan:?}");
    }
}
