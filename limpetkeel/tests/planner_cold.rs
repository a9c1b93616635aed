//! Tests of the planner: the limit on requests to cold upstreams.

#[path = "fixtures/pool.rs"]
#[expect(dead_code, reason = "other tests use the rest of the fixture")]
mod pool;

use std::collections;

use limpetkeel::{
    AnnouncedLimit, AttemptResult, COLD_LEFT_UNKNOWN, ColdLimit, Era, LimitNotice, Millis, Plan,
    PlanRequest, Planner, RequestRate, Revision, Timestamp, UpstreamRegistry,
};
use test_case::test_case;

const PER_SECOND: f64 = 17.0;

/// The most requests that a cold upstream may get in one second.
const BOUND: usize = (PER_SECOND * 1.5) as usize + 5;

/// The time that one response takes, in milliseconds.
const RESPONSE_MS: u64 = 1_500;

const LIMIT: ColdLimit = ColdLimit {
    lifetime: Millis(10_000),
    per_second: PER_SECOND,
};

/// A registry of engines, and the planners that use it.
struct Pool {
    registry: UpstreamRegistry,
    revision: u64,
    engines: usize,
}

impl Pool {
    fn new(engines: usize) -> Pool {
        let mut pool = Pool {
            registry: UpstreamRegistry::default(),
            revision: 0,
            engines,
        };
        for index in 0..engines {
            pool.list(0, index, 1, Millis::ZERO);
        }
        pool
    }

    /// Lists an engine that says how long it stays cold.
    fn list(&mut self, now: u64, index: usize, start_time: u64, cold_left: Millis) {
        self.revision += 1;
        let mut entry = pool::entry(index);
        entry.start_time = start_time;
        entry.cold_left = cold_left;
        entry.revision = Revision::new(Era(1), self.revision);
        assert!(self.registry.upsert(entry));
        self.registry.record_received(Timestamp(now));
    }

    fn update(&self, now: u64, planner: &mut Planner) {
        let pool = "p".try_into().expect("name");
        let generation = self.registry.generation();
        if planner.is_outdated(generation) {
            planner.set_upstreams(generation, &self.registry.ready_upstreams(&pool));
            let periods = self.registry.cold_periods(Timestamp(now), &pool);
            planner.set_cold(Some(LIMIT), &periods);
        }
    }

    fn planner(&self, now: u64) -> Planner {
        let mut planner = pool::planner(self.engines);
        self.update(now, &mut planner);
        planner
    }
}

/// Returns a request that does not wait.
fn request(id: u64) -> PlanRequest {
    let mut request = pool::plan_request(id, 500);
    request.objective.first_event = Millis(1);
    request.availability_zone = pool::ZONES[id as usize % 3].try_into().expect("name");
    request
}

/// Load on planners, and the plans that they made.
#[derive(Default)]
struct Load {
    running: collections::BTreeMap<(u64, u64), (usize, Plan)>,
    leads: Vec<(u64, String)>,
    next_id: u64,
}

impl Load {
    /// Requests a plan from one of the planners and ends those that are over.
    fn request(&mut self, now: u64, planners: &mut [Planner], number: usize, share: u32) -> bool {
        while let Some(entry) = self.running.first_entry()
            && entry.key().0 <= now
        {
            let (planner, plan) = entry.remove();
            let lead = plan.lead.upstream.as_str().to_owned();
            let result = AttemptResult::Succeeded;
            pool::record_result(&mut planners[planner], now, &plan, &lead, result);
        }
        self.next_id += 1;
        let mut request = request(self.next_id);
        request.planners = share;
        // The IDs of requests are random.
        request.id.0 = self.next_id.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        let Ok(plan) = planners[number].plan(Timestamp(now), &request) else {
            return false;
        };
        planners[number].record_response_begun(Timestamp(now), plan.id);
        let lead = plan.lead.upstream.as_str().to_owned();
        self.leads.push((now, lead));
        let end = (now + RESPONSE_MS, self.next_id);
        self.running.insert(end, (number, plan));
        true
    }

    /// Returns the largest number of plans for one of the engines in any second.
    fn most_in_a_second(&self, is_cold: impl Fn(usize) -> bool) -> usize {
        let mut times: collections::BTreeMap<&str, Vec<u64>> = collections::BTreeMap::new();
        for (now, lead) in &self.leads {
            if is_cold(lead[1..].parse().expect("index")) {
                times.entry(lead).or_default().push(*now);
            }
        }
        let most = |times: &Vec<u64>| {
            let count = |from: u64| {
                times
                    .iter()
                    .filter(|t| (from..from + 1_000).contains(t))
                    .count()
            };
            times.iter().map(|from| count(*from)).max().unwrap_or(0)
        };
        times.values().map(most).max().unwrap_or(0)
    }
}

/// Guards against the crash of a whole zone that comes back cold in the same second.
#[test]
fn a_zone_that_returns_cold_gets_little_and_the_others_carry_the_rest() {
    let mut pool = Pool::new(54);
    let mut planners = [pool.planner(0)];
    let mut load = Load::default();
    let mut planned = 0;
    for now in (0..8_000).step_by(4) {
        if now == 1_000 {
            for index in (0..54).step_by(3) {
                pool.list(now, index, 2, Millis(10_000));
            }
        }
        pool.update(now, &mut planners[0]);
        planned += usize::from(load.request(now, &mut planners, 0, 1));
    }
    load.leads.retain(|(now, _)| *now >= 1_000);
    let most = load.most_in_a_second(|index| index % 3 == 0);
    assert!((1..=BOUND / 2).contains(&most), "{most} of {BOUND}");
    assert!(planned >= 1_990, "{planned} of 2000");
    let report = planners[0].take_cold_report();
    assert_eq!((report.became_cold.len(), report.cold), (18, 18));
    assert!(report.admitted > 0 && report.diverted > 0, "{report:?}");
}

/// Guards against planners that do not know each other, such as after a zone was cut in two.
#[test]
fn three_planners_that_do_not_know_each_other_stay_below_the_bound() {
    let mut pool = Pool::new(3);
    (0..3).for_each(|index| pool.list(0, index, 2, Millis(10_000)));
    let mut planners = [pool.planner(0), pool.planner(0), pool.planner(0)];
    let mut load = Load::default();
    for now in (0..8_000).step_by(4) {
        for number in 0..3 {
            load.request(now, &mut planners, number, 1);
        }
    }
    let most = load.most_in_a_second(|_| true);
    assert!((20..=BOUND).contains(&most), "{most} of {BOUND}");
}

/// Guards against a new planner that sends at once what its predecessor has just sent.
#[test]
fn planners_that_follow_each_other_stay_below_the_bound() {
    let mut pool = Pool::new(2);
    (0..2).for_each(|index| pool.list(0, index, 2, Millis(10_000)));
    let mut load = Load::default();
    let mut planners: Vec<_> = (0..16).map(|at| pool.planner(at * 500)).collect();
    for now in (0..8_000).step_by(4) {
        load.request(now, &mut planners, now as usize / 500, 1);
    }
    let most = load.most_in_a_second(|_| true);
    assert!((4..=BOUND / 2).contains(&most), "{most} of {BOUND}");
}

/// Guards against instances that plan alone and begin at the same moment.
#[test]
fn many_fallback_planners_share_the_limit() {
    let mut pool = Pool::new(2);
    (0..2).for_each(|index| pool.list(0, index, 2, Millis(60_000)));
    let mut planners: Vec<_> = (0..60).map(|_| pool.planner(0)).collect();
    let mut load = Load::default();
    for now in (0..40_000).step_by(20) {
        for number in 0..60 {
            load.request(now, &mut planners, number, 60);
        }
    }
    let most = load.most_in_a_second(|_| true);
    assert!((5..=BOUND).contains(&most), "{most} of {BOUND}");
}

/// Guards against an upstream that becomes cold in operation.
#[test]
fn an_entry_that_says_cold_late_starts_the_limit_at_once() {
    let mut pool = Pool::new(2);
    let mut planners = [pool.planner(0)];
    let mut load = Load::default();
    for now in (0..4_000).step_by(4) {
        if now == 2_000 {
            pool.list(now, 0, 1, Millis(3_000));
        }
        pool.update(now, &mut planners[0]);
        load.request(now, &mut planners, 0, 1);
    }
    load.leads.retain(|(now, _)| *now >= 2_000);
    let most = load.most_in_a_second(|index| index == 0);
    assert!((1..=BOUND / 2).contains(&most), "{most}");
}

/// Guards against upstreams that stay limited when they are warm.
#[test_case(Millis(2_000), None, 2_000; "the period is over")]
#[test_case(Millis(9_000), Some(Millis::ZERO), 1_000; "the entry says so")]
#[test_case(COLD_LEFT_UNKNOWN, None, 10_000; "the entry of a new process does not say it")]
fn a_cold_period_ends(cold_left: Millis, later: Option<Millis>, end: u64) {
    let mut pool = Pool::new(1);
    pool.list(0, 0, 2, cold_left);
    let mut planner = pool.planner(0);
    let count = |planner: &mut Planner, from: u64| {
        let ids = from..from + 60;
        ids.filter(|id| planner.plan(Timestamp(*id), &request(*id)).is_ok())
            .count()
    };
    assert_eq!(count(&mut planner, 0), 0);
    if let Some(later) = later {
        pool.list(500, 0, 2, later);
        pool.update(500, &mut planner);
    }
    assert!(count(&mut planner, end) > 10);
}

/// Guards against cold upstreams that get all requests of a zone whose evacuation is lifted.
#[test]
fn the_cold_periods_of_a_zone_can_be_restarted() {
    let mut pool = Pool::new(6);
    let mut planners = [pool.planner(0)];
    let zone = "x".try_into().expect("name");
    pool.registry.restart_cold_periods(Timestamp(1_000), &zone);
    pool.update(1_000, &mut planners[0]);
    let mut load = Load::default();
    for now in (1_000..4_000).step_by(4) {
        load.request(now, &mut planners, 0, 1);
    }
    let most = load.most_in_a_second(|index| index % 3 == 0);
    assert!((1..=BOUND / 2).contains(&most), "{most}");
    let report = planners[0].take_cold_report();
    assert!(
        report
            .became_cold
            .iter()
            .all(|(_, left)| *left == LIMIT.lifetime)
    );
    assert_eq!(report.became_cold.len(), 2);
}

/// Guards against a limit that replaces a stricter one.
#[test_case(2.0, 4; "the announced limit is stricter")]
#[test_case(100.0, BOUND / 2; "the cold limit is stricter")]
fn a_cold_upstream_keeps_its_announced_limit(per_second: f64, most: usize) {
    let mut pool = Pool::new(1);
    pool.list(0, 0, 2, Millis(10_000));
    let mut planner = pool.planner(0);
    let notice = LimitNotice {
        upstream: "e00".try_into().expect("name"),
        start_time: 2,
        limit: AnnouncedLimit::Limited(RequestRate::try_from(per_second).expect("rate")),
        age: Millis::ZERO,
    };
    let mut load = Load::default();
    for now in (0..4_000).step_by(10) {
        let mut request = request(now);
        request.limits = vec![notice.clone()];
        request.limits[0].age = Millis(now);
        if let Ok(plan) = planner.plan(Timestamp(now), &request) {
            load.leads.push((now, "e00".to_owned()));
            let result = AttemptResult::Succeeded;
            pool::record_result(&mut planner, now, &plan, "e00", result);
        }
    }
    let planned = load.most_in_a_second(|_| true);
    assert!((1..=most).contains(&planned), "{planned}");
}

/// Guards against engines that are idle while they are cold: parts are not requests.
#[test]
fn cold_engines_prefill_parts_of_long_prompts() {
    let mut pool = Pool::new(9);
    (0..3).for_each(|index| pool.list(0, index, 2, Millis(10_000)));
    let mut planner = pool.planner(0);
    let mut helpers = collections::BTreeSet::new();
    for now in (0..4_000).step_by(100) {
        let mut request = pool::plan_request(now, 60_000);
        request.objective.first_event = Millis(2_000);
        let Ok(plan) = planner.plan(Timestamp(now), &request) else {
            continue;
        };
        helpers.extend(
            plan.helpers
                .iter()
                .map(|helper| helper.engine.upstream.clone()),
        );
        let result = AttemptResult::Inconclusive;
        pool::record_result(&mut planner, now, &plan, "none", result);
    }
    let is_cold = |name: &&limpetkeel::UpstreamName| name.as_str() < "e03";
    assert!(helpers.iter().filter(is_cold).count() >= 2, "{helpers:?}");
}

/// Guards against limits in pools whose operator sets none.
#[test]
fn a_pool_without_a_limit_has_no_cold_upstreams() {
    let mut pool = Pool::new(1);
    pool.list(0, 0, 2, Millis(10_000));
    let mut planner = pool::planner(1);
    pool.update(0, &mut planner);
    planner.set_cold(None, &[]);
    for id in 0..10 {
        planner.plan(Timestamp(id), &request(id)).expect("plan");
    }
}
