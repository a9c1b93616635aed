//! Tests of the planner: the ejection of failing upstreams.

#[path = "fixtures/pool.rs"]
#[expect(dead_code, reason = "other tests use the rest of the fixture")]
mod pool;

use std::collections;

use limpetkeel::{
    AttemptResult, Error, Plan, PlanRequest, PlanResult, Planner, RequestSize, Timestamp,
};
use rand::{Rng as _, SeedableRng as _, rngs::StdRng};
use test_case::test_case;

/// How failing upstreams fail.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    /// Every request fails at once with this result.
    AtOnce(AttemptResult),
    /// Nothing is answered.
    Hang,
    /// A share of the requests fails at once.
    Share(f64),
    /// Responses begin this much later, in milliseconds.
    Late(u64),
    /// Every request fails at once in every other period of 1.4 s.
    Flap,
}

/// A pool whose first upstreams fail until a time, and the load on it.
struct Scenario {
    upstreams: usize,
    failing: usize,
    fault: Fault,
    per_second: u64,
    /// The time that a response takes, in milliseconds.
    response_ms: u64,
    healed_at: u64,
    is_plain: bool,
    repeatable: bool,
}

impl Scenario {
    fn new(upstreams: usize, failing: usize, fault: Fault) -> Scenario {
        Scenario {
            upstreams,
            failing,
            fault,
            per_second: 450,
            response_ms: 2_400,
            healed_at: u64::MAX,
            is_plain: false,
            repeatable: true,
        }
    }

    /// A plain service with six slots an upstream.
    fn plain(upstreams: usize, failing: usize, fault: Fault) -> Scenario {
        Scenario {
            per_second: 10 * upstreams as u64,
            response_ms: 400,
            is_plain: true,
            ..Scenario::new(upstreams, failing, fault)
        }
    }

    fn planner(&self) -> Planner {
        if !self.is_plain {
            return pool::planner(self.upstreams);
        }
        let mut planner = Planner::new("p".try_into().expect("name"));
        let entries: Vec<_> = (0..self.upstreams).map(pool::entry).collect();
        planner.set_upstreams(1, &entries);
        planner
    }

    fn request(&self, id: u64) -> PlanRequest {
        let mut request = pool::plan_request(id, 3_000);
        request.repeatable = self.repeatable;
        request.availability_zone = pool::ZONES[id as usize % 3].try_into().expect("name");
        if self.is_plain {
            request.size = RequestSize::default();
        }
        request
    }

    /// Returns the time until an attempt on an upstream begins to respond and until its result, and
    /// the result.
    fn attempt(&self, now: u64, plan: &Plan, rng: &mut StdRng) -> (u64, u64, AttemptResult) {
        let index: usize = plan.lead.upstream.as_str()[1..].parse().expect("index");
        let begin_ms = plan.estimate.0.min(100);
        let sound = (begin_ms, self.response_ms, AttemptResult::Succeeded);
        if index >= self.failing || now >= self.healed_at {
            return sound;
        }
        match self.fault {
            Fault::AtOnce(result) => (u64::MAX, 5, result),
            Fault::Hang => (u64::MAX, 1_500, AttemptResult::Silent),
            Fault::Share(share) if rng.random_bool(share) => (u64::MAX, 5, AttemptResult::Failed),
            Fault::Late(ms) => (
                begin_ms + ms,
                self.response_ms + ms,
                AttemptResult::Succeeded,
            ),
            Fault::Flap if (now / 1_400).is_multiple_of(2) => (u64::MAX, 5, AttemptResult::Failed),
            Fault::Share(_) | Fault::Flap => sound,
        }
    }

    /// Plays the load for `seconds` and returns the time and the lead of each plan.
    fn play(&self, planner: &mut Planner, seconds: u64) -> Vec<(u64, usize)> {
        let mut rng = StdRng::seed_from_u64(1);
        let mut leads = Vec::new();
        let mut events: collections::BTreeMap<(u64, u64), Event> = collections::BTreeMap::new();
        let mut sequence = 0;
        let mut add = |events: &mut collections::BTreeMap<_, _>, at, event| {
            sequence += 1;
            events.insert((at, sequence), event);
        };
        for id in 0..seconds * self.per_second {
            add(
                &mut events,
                id * 1_000 / self.per_second,
                Event::Arrival(id),
            );
        }
        while let Some(((now, _), event)) = events.pop_first() {
            if now >= seconds * 1_000 {
                break;
            }
            match event {
                Event::Arrival(id) => {
                    let Ok(plan) = planner.plan(Timestamp(now), &self.request(id)) else {
                        continue;
                    };
                    let index = plan.lead.upstream.as_str()[1..].parse().expect("index");
                    leads.push((now, index));
                    let (begin_ms, end_ms, result) = self.attempt(now, &plan, &mut rng);
                    if begin_ms < end_ms && !self.is_plain {
                        add(&mut events, now + begin_ms, Event::Begin(plan.clone()));
                    }
                    add(&mut events, now + end_ms, Event::End(plan, result));
                }
                Event::Begin(plan) => planner.record_response_begun(Timestamp(now), plan.id),
                Event::End(plan, result) => {
                    planner.record_result(Timestamp(now), &plan_result(&plan, result));
                }
            }
        }
        leads
    }

    /// Returns the number of plans in a period on upstreams that fail.
    fn failing_plans(&self, leads: &[(u64, usize)], period: std::ops::Range<u64>) -> usize {
        let in_period = leads.iter().filter(|(now, _)| period.contains(now));
        in_period.filter(|(_, lead)| *lead < self.failing).count()
    }
}

enum Event {
    Arrival(u64),
    Begin(Plan),
    End(Plan, AttemptResult),
}

fn plan_result(plan: &Plan, result: AttemptResult) -> PlanResult {
    let index: usize = plan.id.0 as usize;
    PlanResult {
        pool: "p".try_into().expect("name"),
        id: plan.id,
        availability_zone: pool::ZONES[index % 3].try_into().expect("name"),
        upstream: plan.lead.upstream.clone(),
        result,
        response_begun: result == AttemptResult::Succeeded,
    }
}

/// Guards against failing upstreams that look idle and draw the requests of a full pool.
#[test_case(Fault::AtOnce(AttemptResult::Failed), 60, 10; "errors")]
#[test_case(Fault::AtOnce(AttemptResult::Crashed), 60, 10; "resets")]
#[test_case(Fault::Hang, 150, 20; "hang")]
#[test_case(Fault::Share(0.4), 700, 150; "a share fails")]
#[test_case(Fault::Flap, 150, 60; "up and down")]
#[test_case(Fault::Late(1_400), 400, 40; "slow")]
fn failing_upstreams_of_a_full_pool_get_few_requests(
    fault: Fault,
    most_at_first: usize,
    most_later: usize,
) {
    let scenario = Scenario::new(69, 7, fault);
    let mut planner = scenario.planner();
    let leads = scenario.play(&mut planner, 12);
    let at_first = scenario.failing_plans(&leads, 0..4_000);
    let later = scenario.failing_plans(&leads, 8_000..12_000);
    assert!(
        at_first <= most_at_first && later <= most_later,
        "{at_first} and {later}"
    );
    let sound = leads.len() - scenario.failing_plans(&leads, 0..12_000);
    assert!(sound * 100 >= 12 * 450 * 85, "the others serve: {sound}");
}

/// Guards against failing upstreams that are not told apart while all responses are late.
#[test]
fn failing_upstreams_of_an_overloaded_pool_are_ejected() {
    let mut planner = pool::planner(30);
    let mut running = collections::VecDeque::new();
    let mut failed_later = 0;
    let mut planned = 0;
    for now in (0..6_000).step_by(10) {
        while running.front().is_some_and(|(end, _)| *end <= now) {
            let (_, plan): (u64, Plan) = running.pop_front().expect("a plan");
            planner.record_response_begun(Timestamp(now), plan.id);
            planner.record_result(
                Timestamp(now),
                &plan_result(&plan, AttemptResult::Succeeded),
            );
        }
        let request = pool::plan_request(now, 3_000);
        let plan = match planner.plan(Timestamp(now), &request) {
            Ok(plan) => plan,
            // The caller would give up before the response begins.
            Err(Error::NoCapacity { .. }) => continue,
            Err(e) => panic!("{e}"),
        };
        planned += 1;
        if plan.lead.upstream.as_str() < "e03" {
            failed_later += u32::from(now >= 3_000);
            planner.record_result(Timestamp(now), &plan_result(&plan, AttemptResult::Failed));
        } else {
            running.push_back((now + 2_000, plan));
        }
    }
    assert!(planner.ejected_upstreams() >= 2);
    assert!(failed_later <= 12, "{failed_later}");
    assert!(planned * 100 >= 600 * 85, "the others serve: {planned}");
}

/// Guards against ejecting a sound upstream for one pause that each of its streams reports.
#[test]
fn a_pause_counts_once_however_many_streams_report_it() {
    let mut planner = pool::planner(9);
    let plans: Vec<_> = (0..72)
        .map(|id| planner.plan(Timestamp(0), &pool::plan_request(id, 1_000)))
        .map(|plan| plan.expect("plan"))
        .collect();
    let paused = plans[0].lead.upstream.clone();
    let streams = plans.iter().filter(|plan| plan.lead.upstream == paused);
    let streams: Vec<_> = streams.take(8).cloned().collect();
    assert_eq!(streams.len(), 8);
    let mut pause = |at: u64| {
        for (position, plan) in (0..).zip(&streams) {
            let now = Timestamp(at + position * 25);
            planner.record_failure(now, &plan_result(plan, AttemptResult::Silent));
        }
        planner.ejected_upstreams()
    };
    assert_eq!(pause(1_300), 0);
    assert_eq!(pause(3_000), 0);
    assert_eq!(pause(5_000), 1, "three pauses without a success");
}

/// Guards against upstreams that stay ejected after they have recovered.
#[test_case(Scenario::new(69, 7, Fault::AtOnce(AttemptResult::Failed)); "engines")]
#[test_case(Scenario::plain(3, 1, Fault::AtOnce(AttemptResult::Failed)); "plain service")]
#[test_case(Scenario::plain(7, 2, Fault::Hang); "plain service that hangs")]
#[test_case(Scenario { repeatable: false, ..Scenario::plain(3, 1, Fault::AtOnce(AttemptResult::Failed)) }; "no request may be repeated")]
fn recovered_upstreams_serve_again(scenario: Scenario) {
    let scenario = Scenario {
        healed_at: 12_000,
        ..scenario
    };
    let mut planner = scenario.planner();
    let leads = scenario.play(&mut planner, 36);
    let each = scenario.per_second as usize * 8 / scenario.upstreams;
    let served = scenario.failing_plans(&leads, 28_000..36_000) / scenario.failing;
    let decisions = planner.take_ejection_decisions();
    assert!(served * 2 >= each, "{served} of {each}: {decisions:?}");
    assert_eq!(planner.ejected_upstreams(), 0);
    assert!(decisions.iter().any(|decision| decision.kind.is_ejection()));
    assert!(
        decisions
            .iter()
            .any(|decision| !decision.kind.is_ejection())
    );
}

/// Guards against a bound that rounds down to none in a small pool.
#[test_case(3)]
#[test_case(4)]
#[test_case(7)]
fn one_upstream_of_a_small_service_is_ejected(upstreams: usize) {
    let fault = Fault::AtOnce(AttemptResult::Failed);
    let scenario = Scenario::plain(upstreams, 1, fault);
    let mut planner = scenario.planner();
    let leads = scenario.play(&mut planner, 20);
    let failing = scenario.failing_plans(&leads, 0..20_000);
    assert!((3..=10).contains(&failing), "{failing}");
}

/// Guards against the ejection of upstreams for failures that are not theirs.
#[test_case(Scenario::new(69, 69, Fault::AtOnce(AttemptResult::Failed)); "all engines fail")]
#[test_case(Scenario::new(69, 69, Fault::Share(0.1)); "a kind of request fails everywhere")]
#[test_case(Scenario::new(69, 69, Fault::Share(0.4)); "many requests fail everywhere")]
#[test_case(Scenario::plain(3, 3, Fault::Share(0.3)); "requests to a small service fail")]
#[test_case(Scenario::new(69, 69, Fault::Late(2_000)); "all are late")]
#[test_case(Scenario::new(69, 69, Fault::AtOnce(AttemptResult::Unreachable)); "no upstream is reached")]
#[test_case(Scenario::new(69, 0, Fault::Hang); "none fails")]
fn failures_that_all_share_eject_none(scenario: Scenario) {
    let mut planner = scenario.planner();
    scenario.play(&mut planner, 6);
    let decisions = planner.take_ejection_decisions();
    assert!(decisions.is_empty(), "{decisions:?}");
}

/// Guards against a restart of all upstreams, after which those that failed first stay ejected.
#[test]
fn a_small_service_that_fails_as_a_whole_keeps_all_upstreams() {
    let scenario = Scenario::plain(3, 3, Fault::AtOnce(AttemptResult::Failed));
    let mut planner = scenario.planner();
    scenario.play(&mut planner, 10);
    assert_eq!(planner.ejected_upstreams(), 0);
}

/// Guards against more ejections than the rest of the pool can make up for.
#[test_case(69, 20)]
#[test_case(10, 3)]
#[test_case(7, 2)]
#[test_case(4, 1)]
#[test_case(2, 0)]
fn the_ejected_share_is_bounded(upstreams: usize, most: usize) {
    let fault = Fault::AtOnce(AttemptResult::Failed);
    let scenario = Scenario::new(upstreams, upstreams.div_ceil(3), fault);
    let mut planner = scenario.planner();
    for second in 1..=4 {
        scenario.play(&mut planner, 1);
        assert!(planner.ejected_upstreams() <= most, "after {second} s");
    }
}

/// Guards against trials with requests that must run at most once.
#[test]
fn a_trial_takes_one_request_at_a_time_that_may_be_repeated() {
    let mut planner = pool::planner(6);
    let failing = fail_three_times(&mut planner);
    let once = |id| PlanRequest {
        repeatable: false,
        ..pool::plan_request(id, 1_000)
    };
    for id in 100..110 {
        let plan = planner.plan(Timestamp(1_200), &once(id)).expect("plan");
        assert_ne!(plan.lead.upstream, failing);
    }
    let trial = planner
        .plan(Timestamp(1_200), &pool::plan_request(110, 1_000))
        .expect("plan");
    assert_eq!(trial.lead.upstream, failing);
    for id in 111..120 {
        let plan = planner
            .plan(Timestamp(1_200), &pool::plan_request(id, 1_000))
            .expect("plan");
        assert_ne!(plan.lead.upstream, failing, "one at a time");
    }
    // A trial without a result is followed by another one.
    planner.record_result(
        Timestamp(1_300),
        &plan_result(&trial, AttemptResult::Inconclusive),
    );
    let trial = planner
        .plan(Timestamp(1_300), &pool::plan_request(120, 1_000))
        .expect("plan");
    assert_eq!(trial.lead.upstream, failing);
    // A trial that fails is followed by one after twice the time.
    planner.record_result(
        Timestamp(1_310),
        &plan_result(&trial, AttemptResult::Failed),
    );
    let plan = planner
        .plan(Timestamp(3_200), &pool::plan_request(121, 1_000))
        .expect("plan");
    assert_ne!(plan.lead.upstream, failing);
    let plan = planner
        .plan(Timestamp(3_320), &pool::plan_request(122, 1_000))
        .expect("plan");
    assert_eq!(plan.lead.upstream, failing);
}

/// Reports three failures of one upstream and returns it.
fn fail_three_times(planner: &mut Planner) -> limpetkeel::UpstreamName {
    let failing: limpetkeel::UpstreamName = "e03".try_into().expect("name");
    for id in 0..3 {
        let mut request = pool::plan_request(id, 1_000);
        request.unavailable_upstreams = (0..6)
            .filter(|index| *index != 3)
            .map(|index| pool::entry(index).name)
            .collect();
        let plan = planner.plan(Timestamp(10), &request).expect("plan");
        planner.record_result(Timestamp(10), &plan_result(&plan, AttemptResult::Failed));
    }
    assert_eq!(planner.ejected_upstreams(), 1);
    failing
}

/// Guards against a failing engine that prefills parts of long prompts.
#[test]
fn an_ejected_engine_neither_leads_nor_helps_long_prompts() {
    let mut planner = pool::planner(6);
    let failing = fail_three_times(&mut planner);
    for id in 100..140 {
        let request = pool::plan_request(id, 60_000);
        let Ok(plan) = planner.plan(Timestamp(500 + id), &request) else {
            continue;
        };
        assert_ne!(plan.lead.upstream, failing);
        assert!(plan.helpers.iter().all(|h| h.engine.upstream != failing));
        planner.record_result(
            Timestamp(500 + id),
            &plan_result(&plan, AttemptResult::Succeeded),
        );
    }
}

/// Guards against the use of a failing upstream since the others are paused or tried.
#[test]
fn an_ejected_upstream_is_not_used_in_place_of_unavailable_ones() {
    let mut planner = pool::planner(6);
    let failing = fail_three_times(&mut planner);
    let others: Vec<_> = (0..6).map(|index| pool::entry(index).name).collect();
    let mut request = pool::plan_request(100, 1_000);
    request.excluded_upstreams = others.iter().filter(|n| **n != failing).cloned().collect();
    let plan = planner.plan(Timestamp(100), &request).expect("plan");
    assert_ne!(plan.lead.upstream, failing);
    let mut request = pool::plan_request(101, 1_000);
    request.unavailable_upstreams = others.iter().filter(|n| **n != failing).cloned().collect();
    planner
        .plan(Timestamp(100), &request)
        .expect_err("all others are paused");
}

/// Guards against the ejection of full engines, which decline what the ledger does not count.
#[test]
fn a_burst_of_declined_requests_ejects_none() {
    let mut planner = pool::planner(6);
    for id in 0..40 {
        let plan = planner
            .plan(Timestamp(id), &pool::plan_request(id, 1_000))
            .expect("plan");
        let result = if plan.lead.upstream.as_str() < "e03" {
            AttemptResult::Declined
        } else {
            AttemptResult::Succeeded
        };
        planner.record_result(Timestamp(id + 1), &plan_result(&plan, result));
    }
    assert_eq!(planner.ejected_upstreams(), 0);
}

/// Guards against upstreams that decline every request and draw those of a full pool.
#[test]
fn upstreams_that_decline_all_requests_are_ejected() {
    let scenario = Scenario::new(69, 7, Fault::AtOnce(AttemptResult::Declined));
    let mut planner = scenario.planner();
    let leads = scenario.play(&mut planner, 12);
    let later = scenario.failing_plans(&leads, 8_000..12_000);
    assert!(later <= 40, "{later}");
}

/// Guards against the failures of an earlier process that eject its successor.
#[test]
fn a_restarted_upstream_is_in_service() {
    let mut planner = pool::planner(6);
    fail_three_times(&mut planner);
    let mut entries: Vec<_> = (0..6).map(pool::entry).collect();
    entries[3].start_time = 2;
    planner.set_upstreams(2, &entries);
    assert_eq!(planner.ejected_upstreams(), 0);
}

/// Guards against a zone that is cut off with all of its upstreams ejected.
#[test]
fn the_last_upstream_of_a_zone_that_is_cut_off_stays_in_service() {
    let mut planner = pool::planner(9);
    pool::report_unreachable(&mut planner, &["e01", "e04"]);
    // Requests of zone y reach only e01, e04 and e07.
    for id in 100..140 {
        let mut request = pool::plan_request(id, 1_000);
        request.availability_zone = "y".try_into().expect("name");
        request.unavailable_upstreams = (0..9)
            .filter(|index| index % 3 != 1)
            .map(|index| pool::entry(index).name)
            .collect();
        let plan = planner.plan(Timestamp(100 + id), &request).expect("plan");
        let mut result = plan_result(&plan, AttemptResult::Failed);
        result.availability_zone = "y".try_into().expect("name");
        planner.record_result(Timestamp(100 + id), &result);
    }
    assert!(planner.ejected_upstreams() <= 2);
}
