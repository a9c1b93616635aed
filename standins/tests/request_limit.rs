//! Tests of upstreams that name a limit for the requests of all instances.

use std::time;

use standins::deployment::{daemon::Deployment, upstream::Behavior};

/// The limit of the first upstream, in thousandths of a request per second.
const LIMIT: u32 = 2_000;

/// Sends a request to both daemons every 50 ms for the given time. Returns the number of successes.
async fn send_for(deployment: &Deployment, duration: time::Duration) -> usize {
    let started = time::Instant::now();
    let mut successes = 0;
    while started.elapsed() < duration {
        let requests = (0..2).map(|daemon| deployment.get_status(daemon, "/look/x"));
        let statuses = futures_util::future::join_all(requests).await;
        successes += statuses.into_iter().filter(|status| *status == 200).count();
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
    successes
}

#[tokio::test]
async fn a_limited_upstream_gets_no_more_than_its_limit_from_two_instances() {
    let deployment = Deployment::start(2, 2).await.expect("deployment");
    let limited = &deployment.upstreams[0];
    limited.set_behavior(Behavior::Limited(LIMIT));
    send_for(&deployment, time::Duration::from_secs(1)).await;
    let before = limited.received().len();
    let successes = send_for(&deployment, time::Duration::from_secs(4)).await;
    let received = limited.received().len() - before;
    assert!(
        successes > 40,
        "the other upstream serves the rest: {successes}"
    );
    let allowed = 1.5 * 4.0 * f64::from(LIMIT) / 1_000.0 + 5.0;
    assert!(received as f64 <= allowed, "{received}");
    assert!(received > 0, "what it takes is used");

    limited.set_behavior(Behavior::Normal);
    send_for(&deployment, time::Duration::from_secs(1)).await;
    let before = limited.received().len();
    send_for(&deployment, time::Duration::from_secs(4)).await;
    let received = limited.received().len() - before;
    assert!(received as f64 > allowed, "the limit has ended: {received}");
}
