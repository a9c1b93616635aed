//! Runs the plain service stand-in.

use std::{net, process, time};

use standins::{http_server, service};

const HELP: &str = "Usage: service --listen ADDRESS [--work-ms N] [--slots N]";

#[tokio::main]
async fn main() -> process::ExitCode {
    let mut args = pico_args::Arguments::from_env();
    let mut settings = service::Settings::default();
    let listen: Result<net::SocketAddr, _> = args.value_from_str("--listen");
    if let Ok(work) = args.value_from_str("--work-ms") {
        settings.work_duration = time::Duration::from_millis(work);
    }
    if let Ok(slots) = args.value_from_str("--slots") {
        settings.slots = slots;
    }
    let Ok(listen) = listen else {
        eprintln!("{HELP}");
        return process::ExitCode::from(2);
    };
    http_server::serve(listen, service::router(settings)).await;
    process::ExitCode::SUCCESS
}
