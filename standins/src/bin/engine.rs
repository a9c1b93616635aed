//! Runs the model engine stand-in.

use std::{net, process, time};

use standins::{engine, http_server};

const HELP: &str = "Usage: engine --listen ADDRESS [--memory TOKENS] [--slots N] [--prefill N] \
                    [--step-ms N] [--lag-ms N] [--ignore-fencing] [--first-come]";

#[tokio::main(flavor = "current_thread")]
async fn main() -> process::ExitCode {
    let mut args = pico_args::Arguments::from_env();
    let mut settings = engine::Settings::default();
    let listen: Result<net::SocketAddr, _> = args.value_from_str("--listen");
    if let Ok(memory) = args.value_from_str("--memory") {
        settings.memory_tokens = memory;
    }
    if let Ok(slots) = args.value_from_str("--slots") {
        settings.slots = slots;
    }
    if let Ok(prefill) = args.value_from_str("--prefill") {
        settings.prefill_tokens_per_second = prefill;
    }
    if let Ok(step) = args.value_from_str("--step-ms") {
        settings.step_duration = time::Duration::from_millis(step);
    }
    if let Ok(lag) = args.value_from_str("--lag-ms") {
        settings.report_lag = time::Duration::from_millis(lag);
    }
    settings.ignores_fencing = args.contains("--ignore-fencing");
    settings.first_come_first_served = args.contains("--first-come");
    let Ok(listen) = listen else {
        eprintln!("{HELP}");
        return process::ExitCode::from(2);
    };
    http_server::serve(listen, engine::router(settings)).await;
    process::ExitCode::SUCCESS
}
