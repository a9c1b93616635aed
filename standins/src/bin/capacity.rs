//! Measures how resource use grows with the size of the system, for the capacity page.

use std::process;

use standins::{
    capacity::{self, FleetSize},
    fleet,
};

const HELP: &str = "\
Measures the resource use of instances and the cost of decisions at several sizes, and prints
tables.

Usage: capacity [--only decisions|screening|overhead|recovery|members|zones|upstreams|requests]
";

const fn size(zones: u8, daemons: u8, engines: u8, rate: u32) -> FleetSize {
    FleetSize {
        zones,
        daemons_per_zone: daemons,
        engines_per_zone: engines,
        requests_per_second: rate,
    }
}

/// Series of fleet sizes, each of which varies one dimension.
const SERIES: [(&str, &[FleetSize]); 4] = [
    (
        "members",
        &[
            size(1, 6, 1, 0),
            size(1, 18, 1, 0),
            size(1, 36, 1, 0),
            size(1, 57, 1, 0),
        ],
    ),
    (
        "zones",
        &[
            size(2, 8, 1, 0),
            size(4, 8, 1, 0),
            size(6, 8, 1, 0),
            size(6, 16, 1, 0),
        ],
    ),
    (
        "upstreams",
        &[size(1, 2, 4, 0), size(1, 2, 16, 0), size(1, 2, 48, 0)],
    ),
    (
        "requests",
        &[size(1, 4, 8, 50), size(1, 4, 8, 100), size(1, 4, 8, 200)],
    ),
];

fn print_decision_costs() {
    println!("\n| upstreams | workspaces | ns for a placement | bytes for a waiting workspace |");
    println!("|---|---|---|---|");
    for (upstreams, workspaces) in [
        (10, 23_000),
        (30, 23_000),
        (100, 23_000),
        (100, 1_000),
        (100, 5_000),
        (1_000, 23_000),
    ] {
        if let Some(cost) = capacity::measure_decision_cost(upstreams, workspaces) {
            println!(
                "| {} | {} | {:.0} | {:.0} |",
                cost.upstreams,
                cost.workspaces,
                cost.placement_ns,
                cost.bytes_per_waiting_workspace
            );
        }
    }
}

fn print_screening_costs() {
    println!(
        "\n| parts | decode \u{b5}s | screen \u{b5}s | screen suspected \u{b5}s | crash \u{b5}s | clear \u{b5}s |"
    );
    println!("|---|---|---|---|---|---|");
    for parts in [1, 32, 256, limpetkeel::MAX_PARTS_PER_REQUEST] {
        if let Some(cost) = capacity::measure_screening_cost(parts) {
            println!(
                "| {} | {:.2} | {:.2} | {:.2} | {:.2} | {:.2} |",
                cost.parts,
                cost.decode_us,
                cost.screen_us,
                cost.screen_suspected_us,
                cost.crash_us,
                cost.clear_us
            );
        }
    }
}

async fn print_series(name: &str, sizes: &[FleetSize]) -> fleet::Result<()> {
    println!("\n{name}\n");
    println!(
        "| zones | instances each | engines each | requests/s | core % mean, largest | MB mean, \
         largest | peer KB/s mean, largest | messages/s mean, largest | report KB/s largest | \
         platform calls/s | change in force |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|");
    for size in sizes {
        let measurement = capacity::measure(*size).await?;
        let (mean, largest) = (measurement.mean, measurement.largest);
        println!(
            "| {} | {} | {} | {} | {:.2}, {:.2} | {:.1}, {:.1} | {:.2}, {:.2} | {:.1}, {:.1} | {:.2} | {:.1} | {} ms |",
            size.zones,
            size.daemons_per_zone,
            size.engines_per_zone,
            size.requests_per_second,
            mean.core_percent,
            largest.core_percent,
            mean.memory_mb,
            largest.memory_mb,
            mean.peer_kb_per_second,
            largest.peer_kb_per_second,
            mean.peer_messages_per_second,
            largest.peer_messages_per_second,
            largest.report_kb_per_second,
            measurement.platform_calls_per_second,
            measurement.change_in_force.as_millis(),
        );
    }
    Ok(())
}

async fn print_recovery() -> fleet::Result<()> {
    let measured = capacity::measure_recovery().await?;
    println!("\n| recovery | ms |\n|---|---|");
    for (name, span) in [
        (
            "worst first token after a keeper's death",
            measured.keeper_crash_longest_first_token,
        ),
        (
            "from a keeper's death to first tokens under 200 ms",
            measured.keeper_crash_recovery,
        ),
        (
            "from the store's return to a keyed call",
            measured.store_outage_run_once_call,
        ),
        (
            "from the store's return to a change in force",
            measured.store_outage_change,
        ),
        (
            "from a zone's rejoin to a change in force in it",
            measured.zone_partition_change,
        ),
    ] {
        println!("| {name} | {} |", span.as_millis());
    }
    println!(
        "\n| platform calls a second | lists | watches | reads | writes |\n|---|---|---|---|---|"
    );
    for (name, rates) in [
        ("idle", measured.idle_call_rates),
        ("50 keyed calls a second", measured.busy_call_rates),
    ] {
        println!(
            "| {name} | {:.1} | {:.1} | {:.1} | {:.1} |",
            rates.lists, rates.watches, rates.reads, rates.writes
        );
    }
    Ok(())
}

async fn run(only: Option<&str>) -> fleet::Result<()> {
    fleet::build_programs()?;
    if only.is_none_or(|only| only == "decisions") {
        print_decision_costs();
    }
    if only.is_none_or(|only| only == "screening") {
        print_screening_costs();
    }
    if only.is_none_or(|only| only == "overhead") {
        let latency = capacity::measure_latency().await?;
        println!("\n| microseconds | p50 | p99 |\n|---|---|---|");
        println!(
            "| engine directly | {} | {} |",
            latency.direct_p50_us, latency.direct_p99_us
        );
        println!(
            "| through a daemon | {} | {} |",
            latency.proxied_p50_us, latency.proxied_p99_us
        );
    }
    if only.is_none_or(|only| only == "recovery") {
        print_recovery().await?;
    }
    for (name, sizes) in SERIES {
        if only.is_none_or(|only| only == name) {
            print_series(name, sizes).await?;
        }
    }
    Ok(())
}

#[tokio::main]
async fn main() -> process::ExitCode {
    let mut args = pico_args::Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        print!("{HELP}");
        return process::ExitCode::SUCCESS;
    }
    let only: Result<Option<String>, _> = args.opt_value_from_str("--only");
    let (Ok(only), true) = (only, args.finish().is_empty()) else {
        eprint!("{HELP}");
        return process::ExitCode::from(2);
    };
    match run(only.as_deref()).await {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("capacity: {e}");
            process::ExitCode::FAILURE
        }
    }
}
