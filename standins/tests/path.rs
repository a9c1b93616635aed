//! End-to-end tests through real processes: responses, errors and headers.

use standins::{
    caller::{Caller, ModelRequest},
    fleet::{self, Fleet},
};

/// Returns a configuration with small and fast engines.
fn config() -> fleet::Config {
    fleet::Config {
        zones: 2,
        daemons_per_zone: 1,
        engines_per_zone: 1,
        engine_args: ["--prefill", "400000", "--step-ms", "2", "--memory", "40000"]
            .map(str::to_owned)
            .to_vec(),
        ..fleet::Config::default()
    }
}

async fn start() -> Fleet {
    fleet::build_programs().expect("programs");
    let fleet = Fleet::start(config()).await.expect("fleet");
    fleet
        .apply_tables(&fleet::tables_toml())
        .await
        .expect("tables");
    fleet
}

fn request(seed: u64, prompt_tokens: u64) -> ModelRequest {
    ModelRequest {
        route: "fitting".to_owned(),
        workspace: "counter".to_owned(),
        seed,
        prompt_tokens,
        max_tokens: 20,
        stream: true,
        timeout: None,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn responses_are_complete_through_every_instance() {
    let fleet = start().await;
    let caller = Caller::default();
    for (seed, daemon) in fleet.daemons.iter().enumerate() {
        for stream in [true, false] {
            let request = ModelRequest {
                stream,
                ..request(seed as u64, 1_500)
            };
            let response = caller.send_model_request(&daemon.url(), &request).await;
            assert!(response.complete, "{response:?}");
        }
    }
    let first = caller
        .call_service(
            &fleet.daemons[0].url(),
            "booking",
            "counter",
            Some("k"),
            "b",
        )
        .await;
    assert!(first.complete, "{first:?}");
    let replay = caller
        .call_service(
            &fleet.daemons[1].url(),
            "booking",
            "counter",
            Some("k"),
            "b",
        )
        .await;
    assert!(replay.complete, "{replay:?}");
    let reused_key = caller
        .call_service(
            &fleet.daemons[1].url(),
            "booking",
            "counter",
            Some("k"),
            "c",
        )
        .await;
    assert_eq!(reused_key.code.as_deref(), Some("run_once_key_reused"));
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_requests_have_an_error_code_and_are_not_run() {
    let fleet = start().await;
    let daemon = fleet.daemons[0].url();
    let caller = Caller::default();
    let unknown = ModelRequest {
        route: "nowhere".to_owned(),
        ..request(1, 100)
    };
    let response = caller.send_model_request(&daemon, &unknown).await;
    assert_eq!(
        (response.status, response.code.as_deref()),
        (404, Some("unknown_route"))
    );
    assert_eq!(response.outcome.as_deref(), Some("not-run"));

    let wrong_kind = ModelRequest {
        route: "booking".to_owned(),
        ..request(1, 100)
    };
    let response = caller.send_model_request(&daemon, &wrong_kind).await;
    assert_eq!(response.code.as_deref(), Some("wrong_route_kind"));

    // Each of the two zones has one engine with 40,000 tokens, and a group of engines does not span
    // zones.
    let too_long = request(1, 100_000);
    let response = caller.send_model_request(&daemon, &too_long).await;
    assert_eq!(
        (response.status, response.code.as_deref()),
        (400, Some("prompt_too_long"))
    );
    assert_eq!(response.outcome.as_deref(), Some("not-run"));

    let http = reqwest::Client::new();
    let url = format!("{daemon}/v1/chat/completions");
    let send = async |workspace: Option<&str>, body: Vec<u8>| {
        let mut req = http.post(&url).body(body);
        if let Some(workspace) = workspace {
            req = req.header("limpetkeel-workspace", workspace);
        }
        let res = req.send().await.expect("response");
        let status = res.status().as_u16();
        assert_eq!(res.headers()["limpetkeel-outcome"], "not-run");
        let body: serde_json::Value = res.json().await.expect("json");
        (
            status,
            body["error"]["code"]
                .as_str()
                .unwrap_or_default()
                .to_owned(),
        )
    };
    let body = request(1, 100).body();
    assert_eq!(
        send(None, body.clone()).await,
        (400, "missing_workspace".to_owned())
    );
    assert_eq!(
        send(Some("a b"), body).await,
        (400, "invalid_name".to_owned())
    );
    assert_eq!(
        send(Some("a"), b"{".to_vec()).await,
        (400, "malformed_body".to_owned())
    );
    let oversized = vec![b' '; 17 * 1024 * 1024];
    assert_eq!(
        send(Some("a"), oversized).await,
        (413, "body_too_large".to_owned())
    );

    let metrics = http
        .get(format!("{daemon}/metrics"))
        .send()
        .await
        .expect("metrics");
    let metrics = metrics.text().await.expect("text");
    for code in [
        "unknown_route",
        "missing_workspace",
        "malformed_body",
        "prompt_too_long",
    ] {
        let line = format!("limpetkeel_refusals_total{{code=\"{code}\",outcome=\"not-run\"}}");
        assert!(metrics.contains(&line), "no refusal is counted for {code}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_long_prompt_runs_on_a_group_and_releases_its_memory() {
    fleet::build_programs().expect("programs");
    let config = fleet::Config {
        zones: 1,
        engines_per_zone: 3,
        ..config()
    };
    let fleet = Fleet::start(config).await.expect("fleet");
    fleet
        .apply_tables(&fleet::tables_toml())
        .await
        .expect("tables");
    let caller = Caller::default();
    let response = caller
        .send_model_request(&fleet.daemons[0].url(), &request(1, 90_000))
        .await;
    assert!(
        response.complete,
        "{:?} {:?}",
        response.status, response.code
    );
    for engine in &fleet.engines {
        let url = format!("{}/stats", engine.url());
        fleet
            .wait_until("the engine has released its memory", async || {
                let stats: Result<standins::engine::Stats, _> = fleet.get_json(&url).await;
                stats.is_ok_and(|stats| stats.memory_tokens == 0 && stats.reserved_tokens == 0)
            })
            .await
            .expect("released");
    }
}
