//! Child processes, stopped by process id.

use std::{env, fs, path, process};

use crate::fleet;

/// A child process. It is killed when the value is dropped.
pub struct Process {
    child: process::Child,
}

impl Process {
    /// Starts a program of this Cargo workspace. Its output is appended to a log file in the
    /// directory.
    ///
    /// # Errors
    ///
    /// Returns an error if the log file cannot be opened or the program cannot be started.
    pub fn start(name: &str, args: &[&str], directory: &path::Path) -> fleet::Result<Process> {
        let mut command = process::Command::new(program_path(name));
        command.args(args);
        Process::spawn(command, name, directory)
    }

    /// Starts a program like [`Process::start`] with a limit on its open descriptors.
    ///
    /// # Errors
    ///
    /// Returns an error if the log file cannot be opened or the program cannot be started.
    pub fn start_with_descriptor_limit(
        name: &str,
        args: &[&str],
        directory: &path::Path,
        limit: u32,
    ) -> fleet::Result<Process> {
        let mut command = process::Command::new("sh");
        command.args([
            "-c",
            "ulimit -S -n \"$0\" && exec \"$@\"",
            &limit.to_string(),
        ]);
        command.arg(program_path(name)).args(args);
        Process::spawn(command, name, directory)
    }

    fn spawn(
        mut command: process::Command,
        name: &str,
        directory: &path::Path,
    ) -> fleet::Result<Process> {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(directory.join(format!("{name}.log")))?;
        let child = command
            .stdin(process::Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Process { child })
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, such as `TERM`, `STOP` or `CONT`.
    ///
    /// # Errors
    ///
    /// Returns an error if the `kill` program cannot be started.
    pub fn send_signal(&self, signal: &str) -> fleet::Result<()> {
        let id = self.child.id().to_string();
        process::Command::new("kill")
            .args([&format!("-{signal}"), &id])
            .status()?;
        Ok(())
    }

    /// Returns `true` if the process has exited.
    pub fn has_exited(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the path of a program of this Cargo workspace.
pub fn program_path(name: &str) -> path::PathBuf {
    let mut directory = env::current_exe().unwrap_or_default();
    directory.pop();
    // Test executables are in the `deps` subdirectory of the directory that contains the programs.
    if directory.ends_with("deps") {
        directory.pop();
    }
    directory.join(name)
}

/// Builds all programs of this Cargo workspace in the profile of the running program.
///
/// # Errors
///
/// Returns an error if Cargo cannot be started or the build fails.
pub fn build_programs() -> fleet::Result<()> {
    let cargo = env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = process::Command::new(cargo);
    command.args(["build", "--quiet", "--workspace", "--bins"]);
    if program_path("x")
        .parent()
        .is_some_and(|directory| directory.ends_with("release"))
    {
        command.arg("--release");
    }
    let manifest = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../Cargo.toml");
    command.arg("--manifest-path").arg(manifest);
    if command.status()?.success() {
        Ok(())
    } else {
        Err(fleet::Error::BuildFailed)
    }
}
