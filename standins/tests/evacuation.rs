//! Tests of the evacuation of availability zones through the store.

use std::time;

use platform::names;
use standins::deployment::{
    daemon::{self, CallerResponse, Deployment},
    upstream::Upstream,
};
use test_case::test_case;

/// The time limit for a refusal that is not delayed. Callers of the routes wait for 3 s.
const IMMEDIATELY: time::Duration = time::Duration::from_secs(1);

/// The time for which an evacuation is kept that a restored store has lost, at least.
const KEPT: time::Duration = time::Duration::from_secs(4);

/// Starts a deployment whose upstreams `u0` and `u1` are in the zones `x` and `y`.
async fn start(daemon_count: usize) -> Deployment {
    let deployment = Deployment::start(daemon_count, 2)
        .await
        .expect("deployment");
    let zones = deployment.upstreams.iter().zip(["x", "y"]);
    let revisions: Vec<_> = zones
        .map(|(upstream, zone)| register(&deployment, upstream, zone))
        .collect();
    let last = format!("revision=1.{}\n", revisions[1]);
    daemon::wait_until("both zones are known", async || {
        let log = deployment.log();
        let listed = log.split_inclusive('\n');
        let listed = listed.filter(|line| line.contains("event=upstream_listed"));
        listed.filter(|line| line.ends_with(&last)).count() == daemon_count
    })
    .await
    .expect("known");
    deployment
}

/// Writes the entry of an upstream, and returns its revision.
fn register(deployment: &Deployment, upstream: &Upstream, zone: &str) -> u64 {
    let entry = upstream.registry_entry("desk", zone, "ready");
    let key = format!("{}{}", names::UPSTREAM_PREFIX, upstream.name);
    deployment.store.put(&key, &entry.expect("entry"))
}

fn evacuate(deployment: &Deployment, zone: &str, value: &[u8]) {
    let key = format!("{}{zone}", names::EVACUATION_PREFIX);
    deployment.store.put(&key, value);
}

/// Waits until the daemons have written a line with this event so often.
async fn wait_for_event(deployment: &Deployment, event: &'static str, count: usize) {
    let line = format!("event={event} ");
    daemon::wait_until(event, async || {
        deployment.log().matches(&line).count() >= count
    })
    .await
    .unwrap_or_else(|e| panic!("{e}: {}", deployment.log()));
}

/// Sends requests to all daemons and returns the responses.
async fn send_all(deployment: &Deployment, method: &str, path: &str) -> Vec<CallerResponse> {
    let mut responses = Vec::new();
    for number in 0..8 {
        for daemon_index in 0..deployment.daemons.len() {
            let id = format!("id{number}-{daemon_index}-{}", rand::random::<u32>());
            let req = deployment.request(daemon_index, method, path, &id);
            responses.push(deployment.send(req).await.expect("response"));
        }
    }
    responses
}

fn received_count(deployment: &Deployment, index: usize) -> usize {
    deployment.upstreams[index].received().len()
}

#[test_case(b"{}"; "an empty object")]
#[test_case(b"not json"; "an unreadable value")]
#[tokio::test]
async fn an_evacuated_zone_receives_nothing_until_the_key_is_deleted(value: &[u8]) {
    let deployment = start(3).await;
    evacuate(&deployment, "x", value);
    wait_for_event(&deployment, "zone_evacuated", 3).await;
    let before = received_count(&deployment, 0);
    for (method, path) in [("GET", "/look/x"), ("POST", "/stream/x")] {
        for response in send_all(&deployment, method, path).await {
            assert_eq!(response.signed_by.as_deref(), Some("u1"));
        }
    }
    assert_eq!(received_count(&deployment, 0), before);
    let key = format!("{}x", names::EVACUATION_PREFIX);
    deployment.store.delete(&key);
    wait_for_event(&deployment, "zone_evacuation_lifted", 3).await;
    let responses = send_all(&deployment, "GET", "/look/x").await;
    assert!(responses.iter().all(|response| response.status == 200));
    assert!(received_count(&deployment, 0) > before, "used again");
}

#[tokio::test]
async fn requests_are_refused_at_once_if_all_zones_are_evacuated() {
    let deployment = start(2).await;
    evacuate(&deployment, "x", b"{}");
    evacuate(&deployment, "y", b"{}");
    wait_for_event(&deployment, "zone_evacuated", 4).await;
    let started = time::Instant::now();
    let req = deployment.request(0, "GET", "/look/x", "refused");
    let response = deployment.send(req).await.expect("response");
    assert!(started.elapsed() < IMMEDIATELY, "{:?}", started.elapsed());
    assert_eq!(response.status, 503);
    assert!(response.retry_after.is_some());
    assert_eq!(deployment.run_count("refused"), 0);
}

#[tokio::test]
async fn an_instance_that_starts_meanwhile_obeys() {
    let mut deployment = start(2).await;
    evacuate(&deployment, "x", b"{}");
    wait_for_event(&deployment, "zone_evacuated", 2).await;
    deployment.restart_daemon(1).expect("started");
    deployment.wait_ready(1).await.expect("ready");
    let before = received_count(&deployment, 0);
    for response in send_all(&deployment, "GET", "/look/x").await {
        assert_eq!(response.signed_by.as_deref(), Some("u1"));
    }
    assert_eq!(received_count(&deployment, 0), before);
}

#[tokio::test]
async fn an_evacuation_that_a_restored_store_has_lost_is_kept_for_a_while() {
    let deployment = start(2).await;
    let copy = deployment.store.copy();
    evacuate(&deployment, "x", b"{}");
    wait_for_event(&deployment, "zone_evacuated", 2).await;
    deployment.store.restore(&copy);
    wait_for_event(&deployment, "store_restored", 2).await;
    let before = received_count(&deployment, 0);
    let kept_until = time::Instant::now() + KEPT;
    while time::Instant::now() < kept_until {
        send_all(&deployment, "GET", "/look/x").await;
        tokio::time::sleep(time::Duration::from_millis(200)).await;
    }
    assert_eq!(received_count(&deployment, 0), before);
    wait_for_event(&deployment, "zone_evacuation_lifted", 2).await;
    send_all(&deployment, "GET", "/look/x").await;
    assert!(received_count(&deployment, 0) > before, "used again");
}

#[tokio::test]
async fn an_item_of_which_only_the_key_can_be_read_evacuates() {
    let mut deployment = start(1).await;
    let key = format!("{}x", names::EVACUATION_PREFIX);
    deployment
        .store
        .add_malformed_item(&format!(r#"{{"key": "{key}", "revision": "none"}}"#));
    deployment.restart_daemon(0).expect("started");
    deployment.wait_ready(0).await.expect("ready");
    let before = received_count(&deployment, 0);
    for response in send_all(&deployment, "GET", "/look/x").await {
        assert_eq!(response.signed_by.as_deref(), Some("u1"));
    }
    assert_eq!(received_count(&deployment, 0), before);
}
