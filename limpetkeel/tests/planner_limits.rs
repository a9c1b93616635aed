//! Tests of the planner: request limits of upstreams.

#[path = "fixtures/pool.rs"]
#[expect(dead_code, reason = "other tests use the rest of the fixture")]
mod pool;

use limpetkeel::{
    AnnouncedLimit, AttemptResult, Error, LimitNotice, Millis, PlanRequest, Planner, RequestRate,
    Timestamp,
};
use test_case::test_case;

/// The time that one response takes, in milliseconds.
const RESPONSE_MS: u64 = 100;

fn notice(upstream: &str, per_second: Option<f64>, age: u64) -> LimitNotice {
    let limit = per_second.map_or(AnnouncedLimit::Unlimited, |per_second| {
        AnnouncedLimit::Limited(RequestRate::try_from(per_second).expect("rate"))
    });
    LimitNotice {
        upstream: upstream.try_into().expect("name"),
        start_time: 1,
        limit,
        age: Millis(age),
    }
}

fn request(id: u64, prompt: u64, limits: &[LimitNotice]) -> PlanRequest {
    let mut request = pool::plan_request(id, prompt);
    request.limits = limits.to_vec();
    request
}

/// Plans a request every `interval` milliseconds for `seconds`, of which every tenth brings the
/// notices, and returns the leads with the time of their plans.
fn leads(
    planner: &mut Planner,
    interval: usize,
    seconds: u64,
    limits: &[LimitNotice],
) -> Vec<(u64, String)> {
    let mut leads = Vec::new();
    let mut running = std::collections::VecDeque::new();
    for now in (0..seconds * 1_000).step_by(interval) {
        while running.front().is_some_and(|(end, _)| *end <= now) {
            let (_, plan): (u64, limpetkeel::Plan) = running.pop_front().expect("a plan");
            let lead = plan.lead.upstream.as_str().to_owned();
            pool::record_result(planner, now, &plan, &lead, AttemptResult::Succeeded);
        }
        // The instance that brings the notices heard them at the start.
        let limits = if leads.len() % 10 == 0 { limits } else { &[] };
        let mut request = request(now, 500, limits);
        request
            .limits
            .iter_mut()
            .for_each(|notice| notice.age = Millis(now));
        if let Ok(plan) = planner.plan(Timestamp(now), &request) {
            leads.push((now, plan.lead.upstream.as_str().to_owned()));
            running.push_back((now + RESPONSE_MS, plan));
        }
    }
    leads
}

/// Returns the largest number of plans for an upstream in any four seconds.
fn most_in_four_seconds(leads: &[(u64, String)], upstream: &str) -> usize {
    let times: Vec<_> = leads
        .iter()
        .filter(|(_, lead)| lead == upstream)
        .map(|(now, _)| *now)
        .collect();
    let count = |from: u64| {
        let in_window = times
            .iter()
            .filter(|now| (from..from + 4_000).contains(now));
        in_window.count()
    };
    times.iter().map(|from| count(*from)).max().unwrap_or(0)
}

#[test_case(1.2)]
#[test_case(2.9)]
#[test_case(10.0)]
fn a_limited_upstream_gets_no_more_than_its_limit_from_all_instances(per_second: f64) {
    let mut planner = pool::planner(3);
    planner.set_timing(None, None);
    let leads = leads(&mut planner, 20, 12, &[notice("e00", Some(per_second), 0)]);
    let most = most_in_four_seconds(&leads, "e00") as f64;
    assert!(most <= 4.0 * per_second + 1.0, "{most}");
    assert!(most >= 2.0 * per_second, "what it takes is used: {most}");
    assert_eq!(leads.len(), 600, "the others serve the rest");
}

#[test]
fn a_limited_upstream_is_used_freely_again_when_it_names_no_limit() {
    let mut planner = pool::planner(1);
    let limited = [notice("e00", Some(0.5), 100)];
    planner
        .plan(Timestamp(0), &request(1, 500, &limited))
        .expect_err("limited");
    let ended = [notice("e00", None, 0)];
    for id in 2..12 {
        planner
            .plan(Timestamp(id), &request(id, 500, &ended))
            .expect("plan");
    }
    // Another instance heard the limit before it ended.
    let late = [notice("e00", Some(0.5), 5_000)];
    planner
        .plan(Timestamp(20), &request(20, 500, &late))
        .expect("plan");
}

#[test]
fn a_process_that_has_restarted_has_no_limit() {
    let mut planner = pool::planner(1);
    let limited = [notice("e00", Some(0.5), 0)];
    planner
        .plan(Timestamp(0), &request(1, 500, &limited))
        .expect_err("limited");
    let mut entry = pool::entry(0);
    entry.start_time = 2;
    planner.set_upstreams(2, &[entry]);
    for id in 2..12 {
        // The notice is about the earlier process.
        planner
            .plan(Timestamp(id), &request(id, 500, &limited))
            .expect("plan");
    }
}

#[test]
fn an_upstream_that_takes_no_requests_is_tried_now_and_then() {
    let mut planner = pool::planner(2);
    let leads = leads(&mut planner, 50, 20, &[notice("e00", Some(0.0), 0)]);
    let tried = leads.iter().filter(|(_, lead)| lead == "e00").count();
    assert!((1..=5).contains(&tried), "{tried}");
}

#[test]
fn a_new_planner_does_not_plan_at_once_with_a_limited_upstream() {
    let limits = [notice("e00", Some(1.0), 0), notice("e01", Some(1.0), 0)];
    let plan = pool::planner(3).plan(Timestamp(0), &request(1, 500, &limits));
    assert_eq!(plan.expect("plan").lead.upstream.as_str(), "e02");
}

#[test]
fn planners_that_do_not_know_each_other_share_a_limit() {
    let mut total = 0;
    for _ in 0..10 {
        let mut planner = pool::planner(1);
        for now in (0..4_000).step_by(50) {
            let mut request = request(now, 500, &[notice("e00", Some(2.0), 0)]);
            request.planners = 10;
            total += usize::from(planner.plan(Timestamp(now), &request).is_ok());
        }
    }
    assert!(total as f64 <= 1.5 * 4.0 * 2.0 + 5.0, "{total}");
}

#[test]
fn requests_beyond_all_limits_are_refused_at_once_with_the_expected_wait() {
    let mut planner = pool::planner(2);
    let limits = [notice("e00", Some(0.5), 0), notice("e01", Some(0.5), 0)];
    let planned = planner.plan(Timestamp(0), &request(1, 500, &limits));
    let Err(Error::NoCapacity { retry_after }) = planned else {
        panic!("{planned:?}");
    };
    assert!((1_500..=2_500).contains(&retry_after.0), "{retry_after}");
}

#[test]
fn the_shorter_objective_is_served_first_while_all_upstreams_are_limited() {
    let mut planner = pool::planner(1);
    let limits = [notice("e00", Some(4.0), 0)];
    let ask = |planner: &mut Planner, now, id, first_event| {
        let mut request = request(id, 500, &limits);
        request.objective.first_event = Millis(first_event);
        request.waited = Millis(now);
        planner.plan(Timestamp(now), &request)
    };
    for now in (0..2_000).step_by(40) {
        // The request with the longer objective always asks first.
        let patient = ask(&mut planner, now, 1, 6_000);
        if ask(&mut planner, now, 2, 1_000).is_ok() {
            return;
        }
        assert!(patient.is_err());
    }
    panic!("no request was planned");
}

#[test]
fn limited_upstreams_prefill_parts_and_leave_the_others_to_short_prompts() {
    let mut planner = pool::planner(8);
    let limits: Vec<_> = ["e00", "e01", "e02", "e03", "e04"]
        .into_iter()
        .map(|name| notice(name, Some(1.0), 0))
        .collect();
    let mut helpers = std::collections::BTreeSet::new();
    for now in (0..6_000).step_by(100) {
        let short = planner
            .plan(Timestamp(now), &request(now, 500, &limits))
            .expect("plan");
        pool::record_result(
            &mut planner,
            now,
            &short,
            "none",
            AttemptResult::Inconclusive,
        );
        let Ok(long) = planner.plan(Timestamp(now), &request(now + 1, 100_000, &limits)) else {
            continue;
        };
        if now > 3_000 {
            helpers.extend(
                long.helpers
                    .iter()
                    .map(|helper| helper.engine.upstream.clone()),
            );
        }
        pool::record_result(
            &mut planner,
            now,
            &long,
            "none",
            AttemptResult::Inconclusive,
        );
    }
    assert!(!helpers.is_empty());
    let unlimited = helpers.iter().filter(|name| name.as_str() > "e04").count();
    assert_eq!(unlimited, 0, "{helpers:?}");
}
