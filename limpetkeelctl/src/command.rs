//! Parsing and execution of the tool's commands.

use std::{env, net, time};

use limpetkeel::Revision;
use limpetkeeld::platform;

use crate::{
    error::{Error, Result},
    fleet,
    output::OutputFormat,
    tables,
};

/// A command of the tool.
#[derive(Debug)]
pub enum Command {
    /// Lists the entries of a table.
    List(tables::Table),
    /// Shows the entry with the given name.
    Get(tables::Table, String),
    /// Adds or replaces the entry with the given name, from the given file.
    Put(tables::Table, String, String),
    /// Removes the entry with the given name.
    Delete(tables::Table, String),
    /// Shows what applying the given file would change.
    Plan(String),
    /// Replaces both tables with the given file. With a timeout, waits until every reachable
    /// instance has the change in force.
    Apply(String, Option<time::Duration>),
    /// Shows the revision of the tables and the status of every instance.
    Status,
}

/// A command with its options.
#[derive(Debug)]
pub struct Invocation {
    platform: platform::Client,
    output: OutputFormat,
    expected_revision: Option<Revision>,
    command: Command,
}

fn usage_error(e: &impl std::fmt::Display) -> Error {
    Error::Usage(e.to_string())
}

impl TryFrom<pico_args::Arguments> for Invocation {
    type Error = Error;

    /// # Errors
    ///
    /// Returns an error if the arguments do not form a command, if no platform is given, or if the
    /// HTTP client cannot be created.
    fn try_from(mut args: pico_args::Arguments) -> Result<Invocation> {
        let output = if args.contains("--json") {
            OutputFormat::Json
        } else {
            OutputFormat::Text
        };
        let url: Option<String> = args
            .opt_value_from_str("--platform")
            .map_err(|e| usage_error(&e))?;
        let expected_revision: Option<Revision> = args
            .opt_value_from_str("--expect")
            .map_err(|e| usage_error(&e))?;
        let wait_secs: Option<u64> = args
            .opt_value_from_str("--wait")
            .map_err(|e| usage_error(&e))?;
        let words: Vec<String> = args
            .finish()
            .into_iter()
            .map(|word| {
                word.into_string()
                    .map_err(|_| usage_error(&"an argument is not UTF-8"))
            })
            .collect::<Result<_>>()?;
        let command = Command::parse(&words, wait_secs.map(time::Duration::from_secs))?;
        let url = url
            .or_else(|| env::var("LIMPETKEEL_PLATFORM").ok())
            .ok_or_else(|| usage_error(&"--platform or LIMPETKEEL_PLATFORM is required"))?;
        let source = net::IpAddr::V4(net::Ipv4Addr::UNSPECIFIED);
        let platform = platform::Client::new(url.trim_end_matches('/'), source);
        let platform = platform.map_err(Error::Client)?;
        Ok(Invocation {
            platform,
            output,
            expected_revision,
            command,
        })
    }
}

impl Command {
    fn parse(words: &[String], wait_timeout: Option<time::Duration>) -> Result<Command> {
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
            (None, ["apply", file]) => Ok(Command::Apply((*file).to_owned(), wait_timeout)),
            (None, ["status"]) => Ok(Command::Status),
            (_, []) => Err(usage_error(&"a command is required")),
            (_, words) => Err(usage_error(&format!(
                "unknown command: {}",
                words.join(" ")
            ))),
        }
    }
}

impl Invocation {
    /// Runs the command and prints its result.
    ///
    /// # Errors
    ///
    /// Returns the [`Error`] of the command.
    pub async fn run(self) -> Result<()> {
        let editor = tables::TableEditor {
            platform: &self.platform,
            expected_revision: self.expected_revision,
        };
        match &self.command {
            Command::List(table) => self.output.print_entries(&editor.list(*table).await?),
            Command::Get(table, name) => self.output.print_entry(&editor.get(*table, name).await?),
            Command::Put(table, name, file) => {
                self.output
                    .print_change(&editor.put(*table, name, file).await?);
            }
            Command::Delete(table, name) => {
                self.output
                    .print_change(&editor.delete(*table, name).await?);
            }
            Command::Plan(file) => self.output.print_change(&editor.plan(file).await?),
            Command::Apply(file, wait_timeout) => {
                let result = editor.apply(file).await?;
                self.output.print_change(&result);
                if let Some(timeout) = wait_timeout {
                    fleet::wait_until_in_force(&self.platform, result.revision, *timeout).await?;
                }
            }
            Command::Status => self
                .output
                .print_status(&fleet::status(&self.platform).await?),
        }
        Ok(())
    }
}
