//! Runs the platform stand-in.

use std::{net, process, time};

use standins::{http_server, platform};

const HELP: &str = "Usage: platform --listen ADDRESS [--lag-ms N] [--writes N] [--reads N]";

#[tokio::main]
async fn main() -> process::ExitCode {
    let mut args = pico_args::Arguments::from_env();
    let mut settings = platform::Settings::default();
    let listen: Result<net::SocketAddr, _> = args.value_from_str("--listen");
    if let Ok(lag) = args.value_from_str("--lag-ms") {
        settings.list_lag = time::Duration::from_millis(lag);
    }
    if let Ok(writes) = args.value_from_str("--writes") {
        settings.writes_per_second = writes;
    }
    if let Ok(reads) = args.value_from_str("--reads") {
        settings.reads_per_second = reads;
    }
    let Ok(listen) = listen else {
        eprintln!("{HELP}");
        return process::ExitCode::from(2);
    };
    http_server::serve(listen, platform::router(settings)).await;
    process::ExitCode::SUCCESS
}
