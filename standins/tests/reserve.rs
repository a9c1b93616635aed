//! Memory that is set aside on engines for prompts larger than one of them.

use std::collections;

use platform::names;
use standins::site::{
    node::{self, Site},
    table::Table,
    upstream::{Conduct, Upstream},
};
use test_case::test_case;

/// The memory of one engine, in tokens.
const MEMORY: u64 = 1_000;

/// A prompt that takes two engines, and the longest answer.
const SIZE: &str = "1500,10";

/// Returns the orders of one kind that an engine got: the reservations that they name.
fn ordered(upstream: &Upstream, operation: &str) -> collections::BTreeSet<String> {
    let seen = upstream.seen();
    let orders = seen
        .iter()
        .filter(|seen| seen.line.contains(names::ORDER_PATH))
        .filter_map(|seen| serde_json::from_slice::<serde_json::Value>(&seen.body).ok())
        .filter(|order| order["operation"] == operation);
    orders
        .filter_map(|order| order["id"].as_str().map(str::to_owned))
        .collect()
}

async fn site() -> Site {
    let site = Site::start(2, 8).await.expect("site");
    let table = Table {
        version: 2,
        memory: Some(MEMORY),
        extra: vec!["engines".to_owned()],
        ..Table::default()
    };
    site.publish(&table).expect("table");
    for node in 0..2 {
        node::eventually("the figures are in force", async || {
            site.status(node, "/engines/x").await == 200
        })
        .await
        .expect("in force");
    }
    site
}

/// Waits until every reservation was released, and returns how many there were.
async fn released(site: &Site) -> usize {
    node::eventually("all is released", async || {
        let mut upstreams = site.upstreams.iter();
        upstreams.all(|u| ordered(u, "reserve").is_subset(&ordered(u, "release")))
    })
    .await
    .expect("released");
    site.upstreams
        .iter()
        .map(|u| ordered(u, "reserve").len())
        .sum()
}

#[test_case(Conduct::Good; "when the answer is complete")]
#[test_case(Conduct::LoseAnswer; "when the lead breaks off")]
#[test_case(Conduct::Shed; "when the orders are declined")]
#[tokio::test]
async fn reserved_memory_is_released_when_its_request_ends(conduct: Conduct) {
    let site = site().await;
    site.set_conduct(conduct);
    let req = site.request(0, "POST", "/stream/x", "id1");
    let req = req.header(names::TOKENS, SIZE).body("a long prompt");
    // How it is answered is not looked at here.
    let _ = site.ask(req).await;
    assert!(released(&site).await >= 2, "two engines hold the prompt");
}

#[tokio::test]
async fn reserved_memory_is_released_when_its_caller_leaves() {
    let site = site().await;
    site.set_conduct(Conduct::PauseAfterTwo(20_000));
    let req = site.request(0, "POST", "/stream/x", "id1");
    let req = req.header(names::TOKENS, SIZE).body("a long prompt");
    let streaming = tokio::spawn(async move { req.send().await?.text().await });
    node::eventually("a stream has begun", async || site.runs("id1") > 0)
        .await
        .expect("begun");
    streaming.abort();
    assert!(released(&site).await >= 2, "two engines hold the prompt");
}
