//! Printing of results, as text or as JSON.

use limpetkeel::TableChange;

use crate::{fleet, tables};

/// The output format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputFormat {
    /// Human-readable lines.
    Text,
    /// One line of JSON.
    Json,
}

fn print_json<T: serde::Serialize>(value: &T) {
    // Serialization cannot fail: the values have string keys, and no custom serializer fails.
    println!("{}", serde_json::to_string(value).unwrap_or_default());
}

fn format_fields(entry: &tables::Entry) -> String {
    let Some(fields) = entry.fields.as_object() else {
        return String::new();
    };
    let fields = fields.iter().map(|(key, value)| format!("{key}={value}"));
    fields.collect::<Vec<_>>().join(" ")
}

impl OutputFormat {
    /// Prints the entries of a table.
    pub fn print_entries(self, entries: &[tables::Entry]) {
        match self {
            OutputFormat::Json => print_json(&entries),
            OutputFormat::Text => {
                for entry in entries {
                    println!("{} {}", entry.name, format_fields(entry));
                }
            }
        }
    }

    /// Prints one entry.
    pub fn print_entry(self, entry: &tables::Entry) {
        match self {
            OutputFormat::Json => print_json(entry),
            OutputFormat::Text => println!("{} {}", entry.name, format_fields(entry)),
        }
    }

    /// Prints the result of an edit or of a plan.
    pub fn print_change(self, result: &tables::ChangeResult) {
        if self == OutputFormat::Json {
            return print_json(result);
        }
        for change in &result.changes {
            match change {
                TableChange::Add(entry) => println!("+ {entry}"),
                TableChange::Update(entry) => println!("~ {entry}"),
                TableChange::Remove(entry) => println!("- {entry}"),
            }
        }
        if result.changes.is_empty() {
            println!("no change");
        }
        println!("revision {}", result.revision);
    }

    /// Prints the revision of the tables and the status of every instance.
    pub fn print_status(self, status: &fleet::SystemStatus) {
        if self == OutputFormat::Json {
            return print_json(status);
        }
        println!("revision {}", status.revision);
        for instance in &status.instances {
            match &instance.status {
                Some(s) => println!(
                    "{} zone={} stage={} revision={} in_progress={} platform_reachable={}",
                    instance.name,
                    s.availability_zone,
                    s.stage,
                    s.revision,
                    s.in_progress,
                    s.platform_reachable
                ),
                None => println!("{} unreachable", instance.name),
            }
        }
    }
}
