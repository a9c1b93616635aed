//! The `limpetkeel` command-line tool, which edits the tables of routes and pools and shows the
//! status of instances.

mod command;
mod error;
mod explain;
mod fleet;
mod output;
mod tables;

use std::process;

const HELP: &str = "\
Edits the tables of routes and pools and shows what is in force.

Usage: limpetkeel [--platform URL] [--json] COMMAND

Commands:
  route|pool list             Lists the entries
  route|pool get NAME         Shows one entry
  route|pool put NAME FILE    Adds or replaces one entry from a TOML file, '-' for standard input
  route|pool delete NAME      Removes one entry
  plan FILE                   Shows what applying the declarations would change
  apply FILE [--wait SECONDS] Replaces both tables with the declarations, as one change;
                              with --wait, returns when every reachable instance has it in force
  status                      Shows the tables' revision and each instance
  explain ID FILE...          Shows from the logs of instances how a relayed request ended

Options:
  --platform URL   The platform; the variable LIMPETKEEL_PLATFORM by default
  --expect N       Refuses the change unless the tables are still at revision N, or ERA.N
                   as printed if the store was restored from a backup
  --json           Prints JSON
  --help           Shows this text
  --version        Shows the version

Exit codes: 0 done, 1 failed, 2 bad arguments or declarations, 3 revision conflict,
            4 not in force on every reachable instance in time.
";

#[tokio::main(flavor = "current_thread")]
async fn main() -> process::ExitCode {
    let mut args = pico_args::Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        print!("{HELP}");
        return process::ExitCode::SUCCESS;
    }
    if args.contains(["-V", "--version"]) {
        println!("limpetkeel {}", env!("CARGO_PKG_VERSION"));
        return process::ExitCode::SUCCESS;
    }
    if let Some(explain_args) = explain_args() {
        return explain(&explain_args);
    }
    let invocation = match command::Invocation::try_from(args) {
        Ok(invocation) => invocation,
        Err(e) => {
            eprintln!("limpetkeel: {e}\n\n{HELP}");
            return process::ExitCode::from(e.exit_code());
        }
    };
    match invocation.run().await {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("limpetkeel: {e}");
            process::ExitCode::from(e.exit_code())
        }
    }
}

/// Returns the arguments after `explain` if that is the command. It is parsed separately because it
/// needs no platform.
fn explain_args() -> Option<Vec<String>> {
    let mut args = std::env::args().skip(1);
    (args.next()? == "explain").then(|| args.collect())
}

fn explain(args: &[String]) -> process::ExitCode {
    let result = match args {
        [request, files @ ..] if !files.is_empty() => explain::print_trace(request, files),
        _ => Err(error::Error::Usage(
            "explain requires a request ID and at least one log file".to_owned(),
        )),
    };
    match result {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("limpetkeel: {e}");
            process::ExitCode::from(e.exit_code())
        }
    }
}
