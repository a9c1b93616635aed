//! Tests of the retry budget that all instances share.

use limpetkeel::{Millis, RetryLimit, RetryWindow, Timestamp};

const LIMIT: RetryLimit = RetryLimit {
    ratio: 0.2,
    allowance: 40.0,
    window: Millis(10_000),
};

/// Takes all available retries and returns their number.
fn take_all(window: &mut RetryWindow, now: u64, instances: usize) -> usize {
    (0..10_000)
        .take_while(|_| window.take(Timestamp(now), &LIMIT, instances))
        .count()
}

#[test]
fn all_instances_together_stay_within_the_limit() {
    let instances = 4;
    let taken: usize = (0..instances)
        .map(|_| {
            let mut window = RetryWindow::default();
            for at in 0..100 {
                window.record_request(Timestamp(at * 10), &LIMIT);
            }
            take_all(&mut window, 1_000, instances)
        })
        .sum();
    let limit = 0.2 * (100 * instances) as f64 + 40.0;
    assert!(taken > 0);
    assert!(taken as f64 <= limit, "{taken} of {limit}");
}

#[test]
fn every_window_stays_within_the_limit() {
    let mut window = RetryWindow::default();
    let mut taken = Vec::new();
    for at in (0..60_000).step_by(50) {
        window.record_request(Timestamp(at), &LIMIT);
        if window.take(Timestamp(at), &LIMIT, 1) {
            taken.push(at);
        }
    }
    for from in (0..50_000).step_by(50) {
        let inside = |at: &&u64| (from..from + 10_000).contains(*at);
        let retries = taken.iter().filter(inside).count();
        // Each window has 200 requests.
        assert!(
            retries as f64 <= 0.2 * 200.0 + 40.0,
            "{retries} from {from}"
        );
    }
}

#[test]
fn checking_the_budget_takes_no_retry() {
    let mut window = RetryWindow::default();
    for _ in 0..1_000 {
        assert!(window.allows(Timestamp(0), &LIMIT, 1));
    }
    assert!(window.take(Timestamp(0), &LIMIT, 1));
}

#[test]
fn an_exhausted_budget_recovers_with_time() {
    let mut window = RetryWindow::default();
    let first = take_all(&mut window, 0, 1);
    assert_eq!(take_all(&mut window, 9_000, 1), 0);
    assert_eq!(take_all(&mut window, 10_001, 1), first);
}
