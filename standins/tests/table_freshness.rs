//! Tests of a planner whose tables are older than those of the instances that it plans for.

use platform::names;
use standins::deployment::{
    daemon::{self, Deployment},
    store::ResponseMode,
};

/// The number of times that the upstream leaves and returns.
const ROUNDS: usize = 6;

/// Returns the index of the daemon that plans the requests of the other one.
fn planner_of(deployment: &Deployment) -> Option<usize> {
    let log = deployment.log();
    (0..deployment.daemons.len()).find(|index| log.contains(&format!("planner=node{index} ")))
}

/// Writes the entry of the first upstream with a state, and waits until a daemon has applied it.
async fn set_state(deployment: &Deployment, state: &str, logged: &str) {
    let upstream = &deployment.upstreams[0];
    let key = format!("{}{}", names::UPSTREAM_PREFIX, upstream.name);
    let entry = upstream.registry_entry("desk", "z", state).expect("entry");
    let revision = deployment.store.put(&key, &entry);
    let line = format!("upstream=u0 pool=desk standing={logged} revision=1.{revision}");
    daemon::wait_until("the entry is applied", async || {
        deployment.log().lines().any(|l| l.ends_with(&line))
    })
    .await
    .unwrap_or_else(|e| panic!("{e}: {line}: {}", deployment.log()));
}

#[tokio::test]
async fn an_upstream_that_left_receives_nothing_from_a_planner_without_the_store() {
    let deployment = Deployment::start(2, 2).await.expect("deployment");
    deployment.wait_for_common_planner().await.expect("planner");
    daemon::wait_until("one daemon plans for the other", async || {
        for daemon_index in 0..2 {
            assert_eq!(deployment.get_status(daemon_index, "/look/x").await, 200);
        }
        planner_of(&deployment).is_some()
    })
    .await
    .expect("a planner");
    let planner = planner_of(&deployment).expect("planner");
    let other = 1 - planner;
    deployment
        .store
        .set_response_mode_at(planner, ResponseMode::Refuse);
    for round in 0..ROUNDS {
        set_state(&deployment, "draining", "Draining").await;
        let ids: Vec<_> = (0..4).map(|number| format!("r{round}-{number}")).collect();
        let requests = ids.iter().map(|id| async {
            let req = deployment.request(other, "GET", "/look/x", id);
            deployment.send(req).await.expect("response")
        });
        for response in futures_util::future::join_all(requests).await {
            assert_eq!(
                response.signed_by.as_deref(),
                Some("u1"),
                "round {round}: {}",
                deployment.log()
            );
        }
        set_state(&deployment, "ready", "Ready").await;
    }
    assert!(
        deployment.log().contains("event=tables_fetched"),
        "the planner has caught up: {}",
        deployment.log()
    );
}
