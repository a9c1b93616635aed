//! Tests of quarantined parts of prompts: they reach all daemons and outlast them, and the updates
//! of a planner are written to the store in their order.

use std::{convert, future, net, sync, time};

use hyper::{body::Incoming, server::conn::http1, service};
use hyper_util::rt;
use limpetkeel::{CrashCause, Millis, Quarantine, QuarantineUpdate};
use limpetkeeld::{
    metrics,
    relay::{
        jobs,
        port::{Store as _, StoreError},
        quarantine, settings, shared,
    },
};
use platform::{codec, entry, names, store::Client};
use standins::deployment::{
    daemon::{self, Deployment},
    store::{ResponseMode, Store},
};
use test_case::test_case;

const PART: CrashCause = CrashCause::Part(0xab1e);

fn key(part: CrashCause) -> String {
    format!("{}{}", names::QUARANTINE_PREFIX, entry::encode_cause(part))
}

/// Returns the number of times that the daemons have logged an event of a part.
fn count(deployment: &Deployment, event: &str, part: CrashCause) -> usize {
    let event = format!("event={event} ");
    let part = format!("cause={}", entry::encode_cause(part));
    let log = deployment.log();
    log.lines()
        .filter(|line| line.contains(&event) && line.contains(&part))
        .count()
}

/// Waits until the daemons have logged an event of a part so many times.
async fn wait_for_count(deployment: &Deployment, event: &str, part: CrashCause, expected: usize) {
    daemon::wait_until("the daemons log the event", async || {
        count(deployment, event, part) >= expected
    })
    .await
    .unwrap_or_else(|e| panic!("{event}: {e}: {}", deployment.log()));
    assert_eq!(count(deployment, event, part), expected);
}

#[tokio::test]
async fn a_quarantine_reaches_all_daemons_and_outlasts_their_restart() {
    let mut deployment = Deployment::start(3, 1).await.expect("deployment");
    let quarantine = Quarantine {
        cause: PART,
        crashes: 2,
    };
    let value = entry::encode_quarantine(&quarantine).expect("entry");
    deployment.store.put(&key(PART), &value);
    wait_for_count(&deployment, "quarantine_listed", PART, 3).await;
    deployment.restart_daemons().expect("restarted");
    wait_for_count(&deployment, "quarantine_listed", PART, 6).await;
    deployment.store.delete(&key(PART));
    wait_for_count(&deployment, "quarantine_unlisted", PART, 3).await;
}

#[tokio::test]
async fn unreadable_quarantines_disturb_no_other_entry() {
    let deployment = Deployment::start(1, 1).await.expect("deployment");
    let unreadable = [
        (key(CrashCause::Part(1)), b"\xff".as_slice()),
        (key(CrashCause::Part(2)), b"{\"crashes\": \"many\"}"),
        (
            format!("{}ab1e", names::QUARANTINE_PREFIX),
            b"{\"crashes\": 2}",
        ),
    ];
    for (key, value) in &unreadable {
        deployment.store.put(key, value);
    }
    deployment.store.put(&key(PART), b"{\"crashes\": 2}");
    wait_for_count(&deployment, "quarantine_listed", PART, 1).await;
    let log = deployment.log();
    assert_eq!(log.matches("event=entry_unreadable").count(), 3, "{log}");
    assert_eq!(log.matches("event=quarantine_listed").count(), 1, "{log}");
    for (key, _) in &unreadable {
        deployment.store.delete(key);
    }
    assert_eq!(deployment.get_status(0, "/look/x").await, 200);
}

fn client(store: net::SocketAddr) -> Client {
    Client::new(store, net::Ipv4Addr::LOCALHOST.into()).expect("client")
}

fn imposed(part: CrashCause, crashes: u32) -> Quarantine {
    Quarantine {
        cause: part,
        crashes,
    }
}

/// The lifetime of a quarantine that does not expire during a test.
const LIFETIME: Millis = Millis(60_000);

#[tokio::test]
async fn a_written_quarantine_reaches_a_daemon_without_the_store_until_it_is_lifted() {
    let deployment = Deployment::start(3, 1).await.expect("deployment");
    // A daemon that knows no peer yet cannot learn anything without the store.
    deployment
        .wait_for_common_planner()
        .await
        .expect("the daemons know each other");
    deployment.store.set_response_mode_at(2, ResponseMode::Hang);
    let client = client(deployment.store.addresses[0]);
    let written = client.quarantine(imposed(PART, 2), LIFETIME).await;
    let written = written.expect("written");
    wait_for_count(&deployment, "quarantine_listed", PART, 3).await;
    let lifted = client.lift_quarantine(PART).await.expect("lifted");
    assert!(lifted > written);
    wait_for_count(&deployment, "quarantine_unlisted", PART, 3).await;
}

#[tokio::test]
async fn a_quarantine_expires_unless_it_is_written_again() {
    let store = Store::start(1).await.expect("store");
    let client = client(store.addresses[0]);
    for lifetime in [Millis(300), LIFETIME] {
        let written = client.quarantine(imposed(PART, 2), lifetime).await;
        written.expect("written");
    }
    let other = CrashCause::Part(1);
    let written = client.quarantine(imposed(other, 2), Millis(300)).await;
    written.expect("written");
    daemon::wait_until("the quarantine of the other part expires", async || {
        store.keys(&key(other)).is_empty()
    })
    .await
    .expect("expired");
    assert_eq!(store.keys(names::QUARANTINE_PREFIX), [key(PART)]);
}

#[tokio::test]
async fn a_part_without_a_quarantine_may_be_lifted() {
    let store = Store::start(1).await.expect("store");
    let client = client(store.addresses[0]);
    client.lift_quarantine(PART).await.expect("lifted");
    store.set_response_mode(ResponseMode::Refuse);
    let lifted = client.lift_quarantine(PART).await;
    assert_eq!(lifted, Err(StoreError::Refused(503)));
}

/// The response of [`start_mute_store`] to a request for a lease.
const LEASE_RESPONSE: &[u8] = b"{\"lease\": 7, \"ttl_ms\": 60000}";

type Calls = sync::Arc<parking_lot::Mutex<Vec<String>>>;
type Response = http::Response<http_body_util::Full<bytes::Bytes>>;

/// Starts a store that grants leases and does not respond to transactions. Returns its address and
/// the calls that it receives.
async fn start_mute_store() -> (net::SocketAddr, Calls) {
    let listener = tokio::net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).await;
    let listener = listener.expect("listener");
    let address = listener.local_addr().expect("address");
    let calls = Calls::default();
    let received = calls.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let received = received.clone();
            let handler = service::service_fn(move |req: http::Request<Incoming>| {
                let call = format!("{} {}", req.method(), req.uri().path());
                let is_transaction = req.uri().path() == names::TRANSACTION_PATH;
                received.lock().push(call);
                async move {
                    if is_transaction {
                        future::pending::<()>().await;
                    }
                    let body = bytes::Bytes::from_static(LEASE_RESPONSE);
                    Ok::<_, convert::Infallible>(Response::new(body.into()))
                }
            });
            tokio::spawn(http1::Builder::new().serve_connection(rt::TokioIo::new(stream), handler));
        }
    });
    (address, calls)
}

#[tokio::test]
async fn the_lease_of_a_write_without_a_response_is_ended() {
    let (address, calls) = start_mute_store().await;
    let written = client(address).quarantine(imposed(PART, 2), LIFETIME).await;
    assert_eq!(written, Err(StoreError::NoResponse));
    let expected = [
        format!("POST {}", names::GRANT_LEASE_PATH),
        format!("POST {}", names::TRANSACTION_PATH),
        format!("DELETE {}/7", names::END_LEASE_PATH),
    ];
    assert_eq!(*calls.lock(), expected);
}

/// Starts the writer of an instance that uses the store.
fn start_writer(store: &Store) -> sync::Arc<shared::Shared> {
    let address = store.addresses[0];
    let text = format!(
        "instance = \"node0\"\navailability_zone = \"z\"\nhttp_listen = \"127.0.0.1:1\"\n\
         ready_listen = \"127.0.0.1:2\"\nstatus_listen = \"127.0.0.1:3\"\n\
         peer_listen = \"127.0.0.1:4\"\npeer_key = \"a key that all peers share\"\n\
         store = \"{address}\"\n"
    );
    let settings = settings::Settings::try_from(text.as_str()).expect("settings");
    let metrics = metrics::Metrics::new().expect("metrics");
    let (queue, _) = jobs::Queue::new();
    let shared = sync::Arc::new(shared::Shared::new(
        settings,
        metrics.into(),
        Box::new(codec::Codec),
        Box::new(client(address)),
        queue,
    ));
    tokio::spawn(quarantine::run(shared.clone()));
    shared
}

/// Returns the quarantines of an instance.
fn listed(shared: &shared::Shared) -> Vec<Quarantine> {
    shared.tables.lock().quarantines.entries().collect()
}

#[tokio::test]
async fn an_update_is_listed_at_once_and_written_to_the_store() {
    let store = Store::start(1).await.expect("store");
    let shared = start_writer(&store);
    quarantine::publish(&shared, QuarantineUpdate::Imposed(imposed(PART, 2)));
    assert_eq!(listed(&shared), [imposed(PART, 2)]);
    daemon::wait_until("the quarantine is written", async || {
        store.keys(names::QUARANTINE_PREFIX) == [key(PART)]
    })
    .await
    .expect("written");
    quarantine::publish(&shared, QuarantineUpdate::Lifted(PART));
    assert!(listed(&shared).is_empty());
    daemon::wait_until("the quarantine is removed", async || {
        store.keys(names::QUARANTINE_PREFIX).is_empty()
    })
    .await
    .expect("removed");
}

/// The number of calls in 2 s whose delays are at least 150, 300, 600 and 1,000 ms.
const MAX_CALLS: usize = 4;

#[test_case(ResponseMode::Refuse)]
#[test_case(ResponseMode::Hang)]
#[tokio::test]
async fn updates_are_written_after_an_outage_and_none_after_the_one_that_replaced_it(
    mode: ResponseMode,
) {
    let store = Store::start(1).await.expect("store");
    store.set_response_mode(mode);
    let shared = start_writer(&store);
    let lifted = CrashCause::Part(1);
    quarantine::publish(&shared, QuarantineUpdate::Imposed(imposed(lifted, 2)));
    quarantine::publish(&shared, QuarantineUpdate::Imposed(imposed(PART, 2)));
    daemon::wait_until("a write fails", async || store.call_count() > 0)
        .await
        .expect("failed");
    quarantine::publish(&shared, QuarantineUpdate::Lifted(lifted));
    tokio::time::sleep(time::Duration::from_millis(1_500)).await;
    assert_eq!(listed(&shared), [imposed(PART, 2)]);
    let calls = store.call_count();
    assert!(calls <= MAX_CALLS, "{calls} calls during the outage");
    store.set_response_mode(ResponseMode::Normal);
    daemon::wait_until("all updates are written", async || {
        let now = shared.clock.now();
        shared.tables.lock().quarantines.next_write(now).is_none()
    })
    .await
    .expect("written");
    assert_eq!(store.keys(names::QUARANTINE_PREFIX), [key(PART)]);
}
