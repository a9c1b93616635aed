//! Tests of instances that have lost their paths to upstreams.

use std::time;

use standins::deployment::{
    daemon::{CallerResponse, Deployment},
    options::DaemonOptions,
    table::Table,
    upstream::{self, PathFault},
};
use test_case::test_case;

/// The time from the beginning of a fault after which the users expect service.
const CONTACT_TIME: time::Duration = time::Duration::from_secs(3);

/// Starts a deployment whose instances plan with each other. All upstreams are in reach.
async fn start(daemon_count: usize, table: &Table) -> Deployment {
    let options = DaemonOptions::default();
    let deployment = Deployment::start_with(daemon_count, 4, options, table);
    let deployment = deployment.await.expect("deployment");
    let planner = deployment.wait_for_common_planner().await;
    planner.expect("common planner");
    deployment
}

async fn send(
    deployment: &Deployment,
    daemon_index: usize,
    method: &str,
    path: &str,
    id: &str,
) -> CallerResponse {
    let req = deployment.request(daemon_index, method, path, id);
    deployment.send(req).await.expect("response")
}

#[test_case(PathFault::Hang, 1; "hanging connections of one instance")]
#[test_case(PathFault::Reset, 1; "reset connections of one instance")]
#[test_case(PathFault::DropNew, 1; "no new connections of one instance")]
#[test_case(PathFault::Hang, 3; "hanging connections of all instances but one")]
#[test_case(PathFault::Reset, 3; "reset connections of all instances but one")]
#[tokio::test]
async fn callers_of_an_instance_without_paths_are_served(fault: PathFault, cut_count: usize) {
    let deployment = start(4, &Table::default()).await;
    for daemon_index in 0..cut_count {
        deployment
            .set_path_faults(daemon_index, Some(fault))
            .expect("packet filter");
    }
    // Requests keep arriving while the instances notice the fault.
    let noticed = time::Instant::now() + CONTACT_TIME;
    while time::Instant::now() < noticed {
        for daemon_index in 0..cut_count {
            deployment.get_status(daemon_index, "/look/x").await;
        }
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }
    for number in 0..10 {
        for daemon_index in 0..cut_count {
            for (method, path) in [
                ("GET", "/look/x"),
                ("POST", "/book/x"),
                ("POST", "/stream/x"),
            ] {
                let id = format!("{method}{path}-{daemon_index}-{number}");
                let response = send(&deployment, daemon_index, method, path, &id).await;
                assert_eq!(response.status, 200, "{id}: {response:?}");
                if path == "/stream/x" {
                    assert_eq!(response.body, Some(upstream::complete_stream()), "{id}");
                }
                assert_eq!(deployment.run_count(&id), 1, "{id}");
            }
        }
    }
}

#[test_case(PathFault::Hang; "after hanging connections")]
#[test_case(PathFault::Reset; "after reset connections")]
#[tokio::test]
async fn a_lost_path_is_no_evidence_against_upstreams_or_requests(fault: PathFault) {
    let deployment = start(3, &Table::default()).await;
    for upstream in &deployment.upstreams {
        upstream.set_behavior(upstream::Behavior::HangAfter(2));
    }
    let streams = (0..24).map(|number| {
        let req = deployment.request(0, "POST", "/stream/x", &format!("stream{number}"));
        deployment.send(req)
    });
    let mut streams = Box::pin(futures_util::future::join_all(streams));
    let started = tokio::time::timeout(time::Duration::from_millis(300), &mut streams);
    assert!(started.await.is_err(), "the streams are open");
    deployment
        .set_path_faults(0, Some(fault))
        .expect("packet filter");
    for upstream in &deployment.upstreams {
        upstream.set_behavior(upstream::Behavior::Normal);
    }
    streams.await;
    let log = deployment.log();
    let blames = |line: &&str| {
        line.contains("event=upstream_ejected") || line.contains("event=cause_screened")
    };
    let blames: Vec<_> = log.lines().filter(blames).collect();
    assert!(blames.is_empty(), "{blames:#?}");
}
