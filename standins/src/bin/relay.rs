//! Runs the TCP relay stand-in.

use std::{net, process};

use standins::{http_server, relay};

const HELP: &str = "Usage: relay --control ADDRESS [--map LISTEN=TARGET]...";

fn parse_mapping(text: &str) -> Option<(net::SocketAddr, net::SocketAddr)> {
    let (listen, target) = text.split_once('=')?;
    Some((listen.parse().ok()?, target.parse().ok()?))
}

#[tokio::main]
async fn main() -> process::ExitCode {
    let mut args = pico_args::Arguments::from_env();
    let control: Result<net::SocketAddr, _> = args.value_from_str("--control");
    let mappings: Result<Vec<String>, _> = args.values_from_str("--map");
    let (Ok(control), Ok(mappings)) = (control, mappings) else {
        eprintln!("{HELP}");
        return process::ExitCode::from(2);
    };
    let links = relay::Links::default();
    for mapping in &mappings {
        let Some((listen, target)) = parse_mapping(mapping) else {
            eprintln!("{HELP}");
            return process::ExitCode::from(2);
        };
        let links = links.clone();
        tokio::spawn(async move {
            if let Err(e) = links.relay(listen, target).await {
                eprintln!("relay {listen}: {e}");
                process::exit(1);
            }
        });
    }
    http_server::serve(control, relay::router(links)).await;
    process::ExitCode::SUCCESS
}
