//! Command-line arguments and startup, shared by the executables that run the daemon.

use std::{fmt, path, process};

use crate::settings;

/// The exit code for invalid arguments or settings.
const EXIT_USAGE: u8 = 2;

/// The name, version and help text of an executable.
#[derive(Clone, Copy, Debug)]
pub struct ProgramInfo {
    /// The name of the executable.
    pub name: &'static str,
    /// The version that `--version` prints.
    pub version: &'static str,
    /// The text that `--help` prints.
    pub help: &'static str,
}

/// Parses the arguments and reads the settings file: the one given by `--config`, else `default`.
///
/// # Errors
///
/// Returns the exit code if the program should not start: `--help`, `--version` or `--check` was
/// given, or the arguments or settings are invalid. Prints the text or the error first.
pub fn load_settings<S>(
    info: ProgramInfo,
    default: Option<path::PathBuf>,
    read: impl FnOnce(&path::Path) -> Result<S, settings::Error>,
) -> Result<(path::PathBuf, S), process::ExitCode> {
    let mut args = pico_args::Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        print!("{}", info.help);
        return Err(process::ExitCode::SUCCESS);
    }
    if args.contains(["-V", "--version"]) {
        println!("{} {}", info.name, info.version);
        return Err(process::ExitCode::SUCCESS);
    }
    let check = args.contains("--check");
    let given: Result<Option<path::PathBuf>, _> = args.opt_value_from_str("--config");
    let file = given.ok().and_then(|given| given.or(default));
    let (Some(file), true) = (file, args.finish().is_empty()) else {
        eprint!("{}", info.help);
        return Err(process::ExitCode::from(EXIT_USAGE));
    };
    let settings = read(&file).map_err(|e| {
        eprintln!("{}:\n{e}", file.display());
        process::ExitCode::from(EXIT_USAGE)
    })?;
    if check {
        println!("{}: ok", file.display());
        return Err(process::ExitCode::SUCCESS);
    }
    Ok((file, settings))
}

/// Logs the error that kept a program from starting, and returns the exit code.
pub fn log_start_failure(e: &dyn fmt::Display) -> process::ExitCode {
    tracing::error!(event = "start_failed", error = %e);
    process::ExitCode::FAILURE
}
