//! The commands and their arguments.

use std::{env, net, time};

use limpetkeel::Revision;
use limpetkeeld::platform;

use crate::{
    error::{Error, Result},
    fleet,
    output::Output,
    tables,
};

/// What to do.
#[derive(Debug)]
pub enum Command {
    /// Lists the entries of a table.
    List(tables::Table),
    /// Shows an entry.
    Get(tables::Table, String),
    /// Adds or replaces an entry from a file.
    Put(tables::Table, String, String),
    /// Removes an entry.
    Delete(tables::Table, String),
    /// Shows what a file would change.
    Plan(String),
    /// Replaces both tables, and waits until the change is in force.
    Apply(String, Option<time::Duration>),
    /// Shows revision and instances.
    Status,
}

/// A command with its options.
#[derive(Debug)]
pub struct Invocation {
    platform: platform::Client,
    output: Output,
    expect: Option<Revision>,
    command: Command,
}

fn usage(e: &impl std::fmt::Display) -> Error {
    Error::Usage(e.to_string())
}

impl TryFrom<pico_args::Arguments> for Invocation {
    type Error = Error;

    /// # Errors
    ///
    /// Fails if the arguments do not form a command.
    fn try_from(mut args: pico_args::Arguments) -> Result<Invocation> {
        let output = if args.contains("--json") {
            Output::Json
        } else {
            Output::Text
        };
        let url: Option<String> = args
            .opt_value_from_str("--platform")
            .map_err(|e| usage(&e))?;
        let expect: Option<u64> = args.opt_value_from_str("--expect").map_err(|e| usage(&e))?;
        let wait: Option<u64> = args.opt_value_from_str("--wait").map_err(|e| usage(&e))?;
        let words: Vec<String> = args
            .finish()
            .into_iter()
            .map(|word| {
                word.into_string()
                    .map_err(|_| usage(&"an argument is not UTF-8"))
            })
            .collect::<Result<_>>()?;
        let command = Command::parse(&words, wait.map(time::Duration::from_secs))?;
        let url = url
            .or_else(|| env::var("LIMPETKEEL_PLATFORM").ok())
            .ok_or_else(|| usage(&"--platform or LIMPETKEEL_PLATFORM is required"))?;
        let any = net::IpAddr::V4(net::Ipv4Addr::UNSPECIFIED);
        let platform = platform::Client::new(url.trim_end_matches('/'), any);
        let platform = platform.map_err(Error::Client)?;
        Ok(Invocation {
            platform,
            output,
            expect: expect.map(Revision),
            command,
        })
    }
}

impl Command {
    fn parse(words: &[String], wait: Option<time::Duration>) -> Result<Command> {
        let words: Vec<&str> = words.iter().map(String::as_str).collect();
        let table = match words.first() {
            Some(&"route") => Some(tables::Table::Route),
            Some(&"pool") => Some(tables::Table::Pool),
            _ => None,
        };
        match (table, &words[..]) {
            (Some(table), [_, "list"]) => Ok(Command::List(table)),
            (Some(table), [_, "get", name]) => Ok(Command::Get(table, (*name).to_owned())),
            (Some(table), [_, "put", name, file]) => {
                Ok(Command::Put(table, (*name).to_owned(), (*file).to_owned()))
            }
            (Some(table), [_, "delete", name]) => Ok(Command::Delete(table, (*name).to_owned())),
            (None, ["plan", file]) => Ok(Command::Plan((*file).to_owned())),
            (None, ["apply", file]) => Ok(Command::Apply((*file).to_owned(), wait)),
            (None, ["status"]) => Ok(Command::Status),
            (_, []) => Err(usage(&"a command is required")),
            (_, words) => Err(usage(&format!("unknown command: {}", words.join(" ")))),
        }
    }
}

impl Invocation {
    /// Carries the command out.
    ///
    /// # Errors
    ///
    /// Fails as the command does; see [`Error`].
    pub async fn run(self) -> Result<()> {
        let editor = tables::Editor {
            platform: &self.platform,
            expect: self.expect,
        };
        match &self.command {
            Command::List(table) => self.output.entries(&editor.list(*table).await?),
            Command::Get(table, name) => self.output.entry(&editor.get(*table, name).await?),
            Command::Put(table, name, file) => {
                self.output.changed(&editor.put(*table, name, file).await?);
            }
            Command::Delete(table, name) => {
                self.output.changed(&editor.delete(*table, name).await?);
            }
            Command::Plan(file) => self.output.changed(&editor.plan(file).await?),
            Command::Apply(file, wait) => {
                let changed = editor.apply(file).await?;
                self.output.changed(&changed);
                if let Some(wait) = wait {
                    fleet::wait(&self.platform, changed.revision, *wait).await?;
                }
            }
            Command::Status => self.output.status(&fleet::status(&self.platform).await?),
        }
        Ok(())
    }
}
