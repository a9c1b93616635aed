//! Runs a load scenario under one or more placement policies and reports the measurements.

use std::{path, process, time};

use standins::{
    fleet,
    load::{self, Report, RunConfig, SCENARIOS, Scenario},
};

const HELP: &str = "\
Runs seeded open-loop load against a fleet of 18 daemons and 21 engines in 3 availability zones.

Usage: load --scenario NAME [--policy NAME]... [--seed N] [--seconds N] [--json] [--svg FILE]

  --scenario NAME  calm, calm-half, calm-short, batch-flood, dawn-flood, large-workspace, workspace-alone,
                   deaths or store-out
  --policy NAME    keeper, round-robin or power-of-two; may be given several times
  --seed N         The seed of the random arrivals; 1 by default
  --seconds N      The duration in seconds over which requests arrive; 40 by default
  --json           Prints the reports as JSON
  --svg FILE       Plots the time to the first token to a file

Exit codes: 0 success, 1 the fleet failed or a response was wrong, 2 invalid arguments.
";

struct Arguments {
    runs: Vec<RunConfig>,
    json: bool,
    svg: Option<path::PathBuf>,
}

fn parse(mut args: pico_args::Arguments) -> Option<Arguments> {
    let name: String = args.value_from_str("--scenario").ok()?;
    let scenario: Scenario = *SCENARIOS.iter().find(|scenario| scenario.name == name)?;
    let mut policies: Vec<String> = args.values_from_str("--policy").ok()?;
    if policies.is_empty() {
        policies.push("keeper".to_owned());
    }
    let seed = args.opt_value_from_str("--seed").ok()?.unwrap_or(1);
    let seconds = args.opt_value_from_str("--seconds").ok()?.unwrap_or(40);
    let json = args.contains("--json");
    let svg = args.opt_value_from_str("--svg").ok()?;
    let span = time::Duration::from_secs(seconds);
    let run_config = |policy| RunConfig {
        scenario,
        policy,
        seed,
        span,
    };
    let rest = args.finish();
    rest.is_empty().then(|| Arguments {
        runs: policies.into_iter().map(run_config).collect(),
        json,
        svg,
    })
}

#[tokio::main]
async fn main() -> process::ExitCode {
    let mut args = pico_args::Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        print!("{HELP}");
        return process::ExitCode::SUCCESS;
    }
    let Some(arguments) = parse(args) else {
        eprint!("{HELP}");
        return process::ExitCode::from(2);
    };
    if let Err(e) = fleet::build_programs() {
        eprintln!("load: {e}");
        return process::ExitCode::FAILURE;
    }
    let mut reports = Vec::new();
    for config in &arguments.runs {
        match load::run(config).await {
            Ok(measurements) => reports.push(Report::new(config, &measurements)),
            Err(e) => {
                eprintln!("load: {e}");
                return process::ExitCode::FAILURE;
            }
        }
        if !arguments.json {
            reports.last().into_iter().for_each(load::print);
        }
    }
    if arguments.json {
        println!("{}", serde_json::to_string(&reports).unwrap_or_default());
    }
    if let Some(file) = &arguments.svg
        && let Err(e) = load::plot(&reports, file)
    {
        eprintln!("load: {e}");
        return process::ExitCode::FAILURE;
    }
    let any_wrong = reports.iter().any(|report| report.wrong_responses > 0);
    if any_wrong {
        process::ExitCode::FAILURE
    } else {
        process::ExitCode::SUCCESS
    }
}
