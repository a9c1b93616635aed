//! Tests of memory reservations on engines, for prompts that do not fit into one engine.

use platform::names;
use standins::deployment::{
    daemon::{self, Deployment},
    table::Table,
    upstream::Behavior,
};
use test_case::test_case;

/// The KV memory of one engine, in tokens.
const ENGINE_MEMORY_TOKENS: u64 = 1_000;

/// The tokens of a prompt that needs two engines, and the maximum tokens of the response.
const MODEL_REQUEST_SIZE: &str = "1500,10";

/// Starts a deployment whose upstreams are engines.
async fn start_deployment() -> Deployment {
    let deployment = Deployment::start(2, 8).await.expect("deployment");
    let table = Table {
        version: 2,
        engine_memory_tokens: Some(ENGINE_MEMORY_TOKENS),
        extra_routes: vec!["engines".to_owned()],
        ..Table::default()
    };
    deployment.publish_table(&table).expect("table");
    for daemon_index in 0..2 {
        daemon::wait_until("the engine parameters are in force", async || {
            deployment.get_status(daemon_index, "/engines/x").await == 200
        })
        .await
        .expect("in force");
    }
    deployment
}

/// Waits until every reservation is released, and returns the number of reservations.
async fn count_released(deployment: &Deployment) -> usize {
    daemon::wait_until("all reservations are released", async || {
        let mut upstreams = deployment.upstreams.iter();
        upstreams.all(|u| {
            u.reservation_ids("reserve")
                .is_subset(&u.reservation_ids("release"))
        })
    })
    .await
    .expect("released");
    deployment
        .upstreams
        .iter()
        .map(|u| u.reservation_ids("reserve").len())
        .sum()
}

#[test_case(Behavior::Normal; "when the response is complete")]
#[test_case(Behavior::DropResponse; "when the lead drops the response")]
#[test_case(Behavior::Decline; "when the orders are declined")]
#[tokio::test]
async fn reserved_memory_is_released_when_its_request_ends(behavior: Behavior) {
    let deployment = start_deployment().await;
    deployment.set_behavior(behavior);
    let req = deployment.request(0, "POST", "/stream/x", "id1");
    let req = req
        .header(names::TOKEN_COUNTS, MODEL_REQUEST_SIZE)
        .body("a long prompt");
    // Whether the request succeeds does not matter here.
    let _ = deployment.send(req).await;
    assert!(
        count_released(&deployment).await >= 2,
        "the prompt needs two engines"
    );
}

#[tokio::test]
async fn reserved_memory_is_released_when_the_caller_disconnects() {
    let deployment = start_deployment().await;
    deployment.set_behavior(Behavior::GapAfterTwo(20_000));
    let req = deployment.request(0, "POST", "/stream/x", "id1");
    let req = req
        .header(names::TOKEN_COUNTS, MODEL_REQUEST_SIZE)
        .body("a long prompt");
    let streaming = tokio::spawn(async move { req.send().await?.text().await });
    daemon::wait_until("the request runs", async || deployment.run_count("id1") > 0)
        .await
        .expect("running");
    streaming.abort();
    assert!(
        count_released(&deployment).await >= 2,
        "the prompt needs two engines"
    );
}
