//! Tests of the decision when a request is hedged.

use limpetkeel::{
    FirstAttempt, HedgeLimit, Hedging, Helper, Millis, NoHedgeReason, Plan, PoolName, RequestId,
    RequestSize, RetryPolicy, RouteName, Timeliness, Timestamp, Tokens, UpstreamAddress,
};
use test_case::test_case;

const LIMIT: HedgeLimit = HedgeLimit {
    ratio: 0.05,
    quantile: 0.95,
    window: Millis(10_000),
};

fn upstream(name: &str) -> UpstreamAddress {
    UpstreamAddress {
        upstream: name.try_into().expect("name"),
        address: ([127, 0, 0, 1], 8080).into(),
    }
}

fn plan(lead: &str, estimate: u64) -> Plan {
    Plan {
        id: RequestId(1),
        lead: upstream(lead),
        helpers: Vec::new(),
        estimate: Millis(estimate),
        timeliness: Timeliness::InTime,
    }
}

/// Names and plan of a first attempt on the upstream `a`.
struct Request {
    route: RouteName,
    pool: PoolName,
    plan: Plan,
}

impl Request {
    fn new() -> Request {
        Request {
            route: "r".try_into().expect("name"),
            pool: "p".try_into().expect("name"),
            plan: plan("a", 10),
        }
    }

    fn first(&self, prompt: u64) -> FirstAttempt<'_> {
        FirstAttempt {
            route: &self.route,
            pool: &self.pool,
            retry_policy: RetryPolicy::Restart,
            size: RequestSize {
                prompt: Tokens(prompt),
                output: Tokens(0),
            },
            plan: &self.plan,
        }
    }
}

/// Records requests at time zero, each with a response time.
fn record(hedging: &mut Hedging, request: &Request, times: impl Iterator<Item = u64>) {
    for elapsed in times {
        let first = request.first(100);
        hedging.record_request(Timestamp(0), &LIMIT, &first);
        hedging.record_response_time(Timestamp(0), &first, Millis(elapsed));
    }
}

/// Returns the response times of 200 requests, of which 4 % are slow.
fn slow_tail() -> impl Iterator<Item = u64> {
    (0..200).map(|index| if index % 25 == 0 { 900 } else { 50 })
}

#[test]
fn a_slow_tail_is_hedged_after_the_usual_time() {
    let (mut hedging, request) = (Hedging::default(), Request::new());
    record(&mut hedging, &request, slow_tail());
    let first = request.first(100);
    let delay = hedging.delay(Timestamp(0), &LIMIT, &first).expect("delay");
    assert!((50..60).contains(&delay.0), "{delay:?}");
    let taken = hedging.take(Timestamp(0), &LIMIT, &first, delay, &plan("b", 20));
    assert_eq!(taken, Ok(()));
}

#[test]
fn a_slow_upstream_is_hedged_on_another_one_only() {
    let (mut hedging, request) = (Hedging::default(), Request::new());
    record(&mut hedging, &request, slow_tail());
    let first = request.first(100);
    let taken = hedging.take(Timestamp(0), &LIMIT, &first, Millis(50), &plan("a", 20));
    assert_eq!(taken, Err(NoHedgeReason::SameUpstream));
}

#[test]
fn nothing_is_hedged_if_all_upstreams_are_slow() {
    let (mut hedging, request) = (Hedging::default(), Request::new());
    record(&mut hedging, &request, slow_tail());
    let first = request.first(100);
    let slow = plan("b", 300);
    let taken = hedging.take(Timestamp(0), &LIMIT, &first, Millis(50), &slow);
    assert_eq!(taken, Err(NoHedgeReason::Slow));
    let late = Plan {
        timeliness: Timeliness::Late,
        ..plan("b", 20)
    };
    let taken = hedging.take(Timestamp(0), &LIMIT, &first, Millis(50), &late);
    assert_eq!(taken, Err(NoHedgeReason::Late));
}

#[test]
fn the_threshold_follows_when_all_become_slow() {
    let (mut hedging, request) = (Hedging::default(), Request::new());
    record(&mut hedging, &request, slow_tail());
    let first = request.first(100);
    let later = Timestamp(61_000);
    // The samples are older than two periods.
    assert_eq!(hedging.delay(later, &LIMIT, &first), None);
    for _ in 0..200 {
        hedging.record_response_time(later, &first, Millis(900));
    }
    let delay = hedging.delay(later, &LIMIT, &first).expect("delay");
    assert!(delay >= Millis(900), "{delay:?}");
}

#[test]
fn hedges_stay_within_the_share_of_requests() {
    let (mut hedging, request) = (Hedging::default(), Request::new());
    record(&mut hedging, &request, slow_tail());
    let first = request.first(100);
    let mut take = |now| {
        let second = plan("b", 20);
        hedging.take(Timestamp(now), &LIMIT, &first, Millis(50), &second)
    };
    let taken = (0..200).filter(|_| take(0).is_ok()).count();
    assert_eq!(taken, 10);
    assert_eq!(take(0), Err(NoHedgeReason::LimitReached));
    // The requests have left the window as well.
    assert_eq!(take(20_000), Err(NoHedgeReason::LimitReached));
}

#[test]
fn hedges_stay_within_the_share_of_the_cost() {
    let (mut hedging, request) = (Hedging::default(), Request::new());
    record(&mut hedging, &request, slow_tail());
    // The requests have 20,000 tokens together, of which 1,000 may be hedged.
    let second = plan("b", 20);
    let large = request.first(1_001);
    let taken = hedging.take(Timestamp(0), &LIMIT, &large, Millis(50), &second);
    assert_eq!(taken, Err(NoHedgeReason::LimitReached));
}

#[test_case(59, false; "too few")]
#[test_case(61, true; "enough")]
fn a_hedge_needs_samples(samples: usize, hedged: bool) {
    let (mut hedging, request) = (Hedging::default(), Request::new());
    record(&mut hedging, &request, std::iter::repeat_n(50, samples));
    let delay = hedging.delay(Timestamp(0), &LIMIT, &request.first(100));
    assert_eq!(delay.is_some(), hedged);
}

#[test]
fn requests_that_run_once_or_have_long_prompts_are_never_hedged() {
    let (mut hedging, mut request) = (Hedging::default(), Request::new());
    record(&mut hedging, &request, slow_tail());
    let run_once = FirstAttempt {
        retry_policy: RetryPolicy::Never,
        ..request.first(100)
    };
    assert_eq!(hedging.delay(Timestamp(0), &LIMIT, &run_once), None);
    request.plan.helpers.push(Helper {
        engine: upstream("c"),
        reserve: None,
    });
    let long = request.first(100);
    assert_eq!(hedging.delay(Timestamp(0), &LIMIT, &long), None);
}

#[test]
fn hedging_is_off_with_a_ratio_of_zero() {
    let (mut hedging, request) = (Hedging::default(), Request::new());
    record(&mut hedging, &request, slow_tail());
    let off = HedgeLimit {
        ratio: 0.0,
        ..LIMIT
    };
    let first = request.first(100);
    assert_eq!(hedging.delay(Timestamp(0), &off, &first), None);
}
