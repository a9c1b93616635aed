//! Runs the complete system on this machine, prints what it does, and checks every response.

use std::{collections, process, time};

use limpetkeel::Rank;
use standins::{
    caller::{CallResult, Caller, ModelRequest},
    fleet::{self, Fleet},
};

const HELP: &str = "\
Builds all programs, starts three availability zones on loopback, and sends requests to them.

Usage: quickstart [--serve]

  --serve   Prints the addresses as one line of JSON and runs until interrupted
";

/// Prompt lengths in tokens, with the number of requests per route for each length.
const LENGTHS: [(u64, usize); 4] = [(1_000, 30), (8_000, 12), (120_000, 3), (500_000, 1)];

/// The routes and their ranks.
const ROUTES: [(&str, Rank); 3] = [
    ("fitting", Rank::Urgent),
    ("advice", Rank::Normal),
    ("ledger", Rank::Batch),
];

#[tokio::main]
async fn main() -> process::ExitCode {
    let mut args = pico_args::Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        print!("{HELP}");
        return process::ExitCode::SUCCESS;
    }
    let serve = args.contains("--serve");
    if !args.finish().is_empty() {
        eprint!("{HELP}");
        return process::ExitCode::from(2);
    }
    match run(serve).await {
        Ok(true) => process::ExitCode::SUCCESS,
        Ok(false) => {
            eprintln!("quickstart: a response was incomplete or did not match its request");
            process::ExitCode::FAILURE
        }
        Err(e) => {
            eprintln!("quickstart: {e}");
            process::ExitCode::FAILURE
        }
    }
}

async fn run(serve: bool) -> fleet::Result<bool> {
    fleet::build_programs()?;
    let mut fleet = Fleet::start(fleet::Config::default()).await?;
    fleet.apply_tables(&fleet::tables_toml()).await?;
    if serve {
        println!("{}", describe_fleet(&fleet));
        tokio::signal::ctrl_c().await?;
        return Ok(true);
    }
    println!("6 daemons, 6 engines and 3 services are running in 3 availability zones");
    let mut all_complete = run_model_requests(&fleet).await;
    all_complete &= run_bookings(&fleet).await;
    all_complete &= drain_daemon(&mut fleet).await?;
    Ok(all_complete)
}

fn describe_fleet(fleet: &Fleet) -> serde_json::Value {
    let daemons: Vec<_> = fleet.daemons.iter().map(fleet::Daemon::url).collect();
    let engines: Vec<_> = fleet.engines.iter().map(fleet::Upstream::url).collect();
    let services: Vec<_> = fleet.services.iter().map(fleet::Upstream::url).collect();
    serde_json::json!({
        "daemons": daemons,
        "platform": fleet.platform_url(),
        "engines": engines,
        "services": services,
        "routes": {
            "fitting": { "kind": "model", "rank": "urgent" },
            "advice": { "kind": "model", "rank": "normal" },
            "ledger": { "kind": "model", "rank": "batch" },
            "booking": { "kind": "service", "rank": "urgent" },
        },
    })
}

type ResultKey = (u64, &'static str);

async fn run_model_requests(fleet: &Fleet) -> bool {
    let caller = Caller::default();
    let mut requests = tokio::task::JoinSet::new();
    let mut seed = 0;
    for (length, count) in LENGTHS {
        for (route, rank) in ROUTES {
            for _ in 0..count {
                let daemon = fleet.daemons[seed as usize % fleet.daemons.len()].url();
                let request = ModelRequest {
                    route: route.to_owned(),
                    workspace: format!("counter-{}", seed % 5),
                    seed,
                    prompt_tokens: length,
                    max_tokens: 16,
                    stream: seed % 4 != 0,
                    timeout: None,
                };
                let caller = caller.clone();
                let delay = time::Duration::from_millis(seed * 15);
                seed += 1;
                requests.spawn(async move {
                    tokio::time::sleep(delay).await;
                    (
                        (length, rank.as_str()),
                        caller.send_model_request(&daemon, &request).await,
                    )
                });
            }
        }
    }
    let mut results: collections::BTreeMap<ResultKey, Vec<CallResult>> =
        collections::BTreeMap::new();
    while let Some(Ok((result_key, result))) = requests.join_next().await {
        results.entry(result_key).or_default().push(result);
    }
    print_results(&results);
    results.values().flatten().all(|result| result.complete)
}

fn print_results(results: &collections::BTreeMap<ResultKey, Vec<CallResult>>) {
    println!(
        "\n{:>14} {:>8} {:>9} {:>12} {:>12}",
        "prompt tokens", "rank", "whole", "ttft p50", "ttft max"
    );
    for ((length, rank), group) in results {
        let complete = group.iter().filter(|result| result.complete).count();
        let mut first_tokens: Vec<_> = group
            .iter()
            .filter_map(|result| result.first_token)
            .collect();
        first_tokens.sort_unstable();
        let format_milliseconds = |at: Option<&time::Duration>| {
            at.map_or("-".to_owned(), |span| {
                format!("{:.0} ms", span.as_secs_f64() * 1e3)
            })
        };
        println!(
            "{length:>14} {rank:>8} {:>9} {:>12} {:>12}",
            format!("{complete}/{}", group.len()),
            format_milliseconds(first_tokens.get(first_tokens.len() / 2)),
            format_milliseconds(first_tokens.last()),
        );
        for incomplete in group.iter().filter(|result| !result.complete) {
            println!(
                "  incomplete: status {} code {:?}",
                incomplete.status, incomplete.code
            );
        }
    }
}

/// Sends each booking through two instances at once and checks that the services ran it once.
async fn run_bookings(fleet: &Fleet) -> bool {
    let caller = Caller::default();
    let mut calls = tokio::task::JoinSet::new();
    const BOOKINGS: usize = 20;
    for booking in 0..BOOKINGS {
        for copy in 0..2 {
            let daemon = fleet.daemons[(booking + copy * 3) % fleet.daemons.len()].url();
            let caller = caller.clone();
            calls.spawn(async move {
                let key = format!("booking-{booking}");
                caller
                    .call_service(&daemon, "booking", "counter-1", Some(&key), &key)
                    .await
            });
        }
    }
    let mut completed = 0;
    while let Some(Ok(result)) = calls.join_next().await {
        completed += usize::from(result.complete);
    }
    let mut runs: collections::BTreeMap<String, usize> = collections::BTreeMap::new();
    for service in &fleet.services {
        let url = format!("{}/_ran", service.url());
        let requests: Vec<standins::service::RecordedRequest> =
            fleet.get_json(&url).await.unwrap_or_default();
        for key in requests.into_iter().filter_map(|request| request.key) {
            *runs.entry(key).or_default() += 1;
        }
    }
    let ran_once = runs.len() == BOOKINGS && runs.values().all(|count| *count == 1);
    println!(
        "\n{BOOKINGS} bookings, each sent twice: {completed} complete responses, each ran once: {ran_once}"
    );
    ran_once && completed >= BOOKINGS
}

/// Drains an instance during a stream and checks that the stream completes and the process
/// exits.
async fn drain_daemon(fleet: &mut Fleet) -> fleet::Result<bool> {
    let caller = Caller::default();
    let daemon = fleet.daemons[0].url();
    let request = ModelRequest {
        route: "advice".to_owned(),
        workspace: "counter-1".to_owned(),
        seed: 1_000_000,
        prompt_tokens: 2_000,
        max_tokens: 150,
        stream: true,
        timeout: None,
    };
    let streaming = tokio::spawn(async move { caller.send_model_request(&daemon, &request).await });
    tokio::time::sleep(time::Duration::from_millis(500)).await;
    if let Some(process) = &fleet.daemons[0].process {
        process.send_signal("TERM")?;
    }
    let complete = streaming.await.is_ok_and(|result| result.complete);
    let deadline = time::Instant::now() + fleet::WAIT_TIMEOUT;
    let mut exited = false;
    while !exited && time::Instant::now() < deadline {
        exited = fleet.daemons[0]
            .process
            .as_mut()
            .is_none_or(fleet::Process::has_exited);
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
    println!(
        "one instance drained during a stream: stream complete: {complete}, process exited: {exited}"
    );
    Ok(complete && exited)
}
