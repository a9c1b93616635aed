//! Child processes, ended by their own ids.

use std::{env, fs, path, process};

use crate::fleet;

/// A running program, killed when it is dropped.
pub struct Process {
    child: process::Child,
}

impl Process {
    /// Starts a program of this workspace; its log goes to a file in the folder.
    ///
    /// # Errors
    ///
    /// Fails if the program cannot be started.
    pub fn start(name: &str, args: &[&str], folder: &path::Path) -> fleet::Result<Process> {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(folder.join(format!("{name}.log")))?;
        let child = process::Command::new(program(name))
            .args(args)
            .stdin(process::Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Process { child })
    }

    /// Returns the id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, such as `TERM`, `STOP` or `CONT`.
    ///
    /// # Errors
    ///
    /// Fails if `kill` cannot be started.
    pub fn signal(&self, signal: &str) -> fleet::Result<()> {
        let id = self.child.id().to_string();
        process::Command::new("kill")
            .args([&format!("-{signal}"), &id])
            .status()?;
        Ok(())
    }

    /// Tells whether the program has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the path of a program of this workspace.
pub fn program(name: &str) -> path::PathBuf {
    let mut folder = env::current_exe().unwrap_or_default();
    folder.pop();
    // Tests run from a folder below that of the programs.
    if folder.ends_with("deps") {
        folder.pop();
    }
    folder.join(name)
}

/// Builds all programs of this workspace in the profile of the running one.
///
/// # Errors
///
/// Fails if the build fails.
pub fn build() -> fleet::Result<()> {
    let cargo = env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = process::Command::new(cargo);
    command.args(["build", "--quiet", "--workspace", "--bins"]);
    if program("x")
        .parent()
        .is_some_and(|folder| folder.ends_with("release"))
    {
        command.arg("--release");
    }
    let manifest = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../Cargo.toml");
    command.arg("--manifest-path").arg(manifest);
    if command.status()?.success() {
        Ok(())
    } else {
        Err(fleet::Error::Build)
    }
}
