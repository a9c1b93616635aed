//! What the programs of the daemon share: their arguments, and how they start.

use std::{fmt, path, process};

use crate::settings;

/// Bad arguments or settings.
const EXIT_USAGE: u8 = 2;

/// What a program says of itself.
#[derive(Clone, Copy, Debug)]
pub struct About {
    /// Its name.
    pub name: &'static str,
    /// Its version.
    pub version: &'static str,
    /// The text that `--help` shows.
    pub help: &'static str,
}

/// Reads the arguments and the settings that they name, or those of `default` if they name none.
///
/// # Errors
///
/// Fails with the exit code if there is nothing to start: help, version or a check was asked for,
/// or the arguments or settings are bad, which is printed.
pub fn configure<S>(
    about: About,
    default: Option<path::PathBuf>,
    read: impl FnOnce(&path::Path) -> Result<S, settings::Error>,
) -> Result<(path::PathBuf, S), process::ExitCode> {
    let mut args = pico_args::Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        print!("{}", about.help);
        return Err(process::ExitCode::SUCCESS);
    }
    if args.contains(["-V", "--version"]) {
        println!("{} {}", about.name, about.version);
        return Err(process::ExitCode::SUCCESS);
    }
    let check = args.contains("--check");
    let given: Result<Option<path::PathBuf>, _> = args.opt_value_from_str("--config");
    let file = given.ok().and_then(|given| given.or(default));
    let (Some(file), true) = (file, args.finish().is_empty()) else {
        eprint!("{}", about.help);
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

/// Logs why a program could not start, and returns its exit code.
pub fn failed(e: &dyn fmt::Display) -> process::ExitCode {
    tracing::error!(event = "start_failed", error = %e);
    process::ExitCode::FAILURE
}
