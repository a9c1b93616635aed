//! The `limpetkeeld` executable.

use std::process;

use limpetkeeld::{cli, daemon, log, settings};

const HELP: &str = "\
Serves callers of one instance.

Usage: limpetkeeld --config FILE [--check]

Options:
  --config FILE  Reads the settings from FILE
  --check        Checks the settings and exits
  --help         Shows this text
  --version      Shows the version

Signals: SIGTERM or SIGINT drains; a second one stops at once.
Exit codes: 0 stopped, 1 could not start, 2 bad arguments or settings.
";

const PROGRAM_INFO: cli::ProgramInfo = cli::ProgramInfo {
    name: "limpetkeeld",
    version: env!("CARGO_PKG_VERSION"),
    help: HELP,
};

fn main() -> process::ExitCode {
    match cli::load_settings(PROGRAM_INFO, None, settings::Settings::read) {
        Ok((_, settings)) => {
            log::start(&settings.log);
            start(settings)
        }
        Err(code) => code,
    }
}

fn start(settings: settings::Settings) -> process::ExitCode {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.workers)
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(e) => return cli::log_start_failure(&e),
    };
    match runtime.block_on(daemon::run(settings)) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(e) => cli::log_start_failure(&e),
    }
}
