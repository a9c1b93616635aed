//! Reading and editing the tables of routes and pools. Every edit is one compare-and-swap.

use std::{fs, io};

use limpetkeel::{Declarations, Revision, TableChange};
use limpetkeeld::platform;

use crate::error::{Error, Result};

/// A table of declarations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Table {
    /// The table of routes.
    Route,
    /// The table of pools.
    Pool,
}

impl Table {
    /// Returns the name of the table on the command line.
    pub fn as_str(self) -> &'static str {
        match self {
            Table::Route => "route",
            Table::Pool => "pool",
        }
    }
}

/// The result of an edit, or of a dry run of it.
#[derive(Debug, serde::Serialize)]
pub struct ChangeResult {
    /// The revision of the tables after the edit; for a plan, the current revision.
    #[serde(flatten)]
    pub revision: Revision,
    /// The entries that the edit adds, updates or removes.
    pub changes: Vec<TableChange>,
    /// Whether the changes, if any, were written; `false` for a plan.
    pub applied: bool,
}

/// One entry of a table.
#[derive(Debug, serde::Serialize)]
pub struct Entry {
    /// The name of the entry.
    pub name: String,
    /// The fields of the entry, as JSON.
    pub fields: serde_json::Value,
}

/// Reads and changes the tables.
pub struct TableEditor<'a> {
    /// The platform that stores the tables.
    pub platform: &'a platform::Client,
    /// The revision that the tables must have for an edit to be written (`--expect`).
    pub expected_revision: Option<Revision>,
}

/// Reads a file, or standard input for `-`.
fn read_file(file: &str) -> Result<String> {
    let text = if file == "-" {
        io::read_to_string(io::stdin())
    } else {
        fs::read_to_string(file)
    };
    text.map_err(|e| Error::File(file.to_owned(), e))
}

fn parse_file<T: serde::de::DeserializeOwned>(file: &str) -> Result<T> {
    toml::from_str(&read_file(file)?).map_err(|e| Error::Syntax(format!("{file}: {e}")))
}

fn entries<T: serde::Serialize>(
    table: &std::collections::BTreeMap<String, T>,
) -> Result<Vec<Entry>> {
    let to_entry = |(name, fields): (&String, &T)| {
        let fields = serde_json::to_value(fields).map_err(|e| Error::Syntax(e.to_string()))?;
        Ok(Entry {
            name: name.clone(),
            fields,
        })
    };
    table.iter().map(to_entry).collect()
}

impl TableEditor<'_> {
    /// Lists the entries of a table.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not respond.
    pub async fn list(&self, table: Table) -> Result<Vec<Entry>> {
        let (_, declarations) = self.platform.tables().await?;
        match table {
            Table::Route => entries(&declarations.routes),
            Table::Pool => entries(&declarations.pools),
        }
    }

    /// Returns one entry.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry does not exist or the platform does not respond.
    pub async fn get(&self, table: Table, name: &str) -> Result<Entry> {
        let entries = self.list(table).await?;
        let entry = entries.into_iter().find(|entry| entry.name == name);
        entry.ok_or_else(|| Error::NotFound(format!("{} {name}", table.as_str())))
    }

    /// Adds or replaces one entry.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or parsed, if the resulting declarations are not
    /// valid, if the tables changed concurrently, or if the platform does not respond.
    pub async fn put(&self, table: Table, name: &str, file: &str) -> Result<ChangeResult> {
        let (revision, before) = self.platform.tables().await?;
        let mut after = before.clone();
        match table {
            Table::Route => drop(after.routes.insert(name.to_owned(), parse_file(file)?)),
            Table::Pool => drop(after.pools.insert(name.to_owned(), parse_file(file)?)),
        }
        self.write_if_unchanged(revision, &before, after).await
    }

    /// Removes one entry.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry does not exist or is in use, if the tables changed
    /// concurrently, or if the platform does not respond.
    pub async fn delete(&self, table: Table, name: &str) -> Result<ChangeResult> {
        let (revision, before) = self.platform.tables().await?;
        let mut after = before.clone();
        let removed = match table {
            Table::Route => after.routes.remove(name).is_some(),
            Table::Pool => after.pools.remove(name).is_some(),
        };
        if !removed {
            return Err(Error::NotFound(format!("{} {name}", table.as_str())));
        }
        self.write_if_unchanged(revision, &before, after).await
    }

    /// Returns the changes that applying a file would make.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or parsed, if the declarations are not valid, or
    /// if the platform does not respond.
    pub async fn plan(&self, file: &str) -> Result<ChangeResult> {
        let after = read_declarations(file)?;
        let (revision, before) = self.platform.tables().await?;
        Ok(ChangeResult {
            revision,
            changes: before.diff(&after),
            applied: false,
        })
    }

    /// Replaces both tables with the declarations of a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or parsed, if the declarations are not valid, if
    /// the tables changed concurrently, or if the platform does not respond.
    pub async fn apply(&self, file: &str) -> Result<ChangeResult> {
        let after = read_declarations(file)?;
        let (revision, before) = self.platform.tables().await?;
        self.write_if_unchanged(revision, &before, after).await
    }

    /// Validates and writes the declarations, if the tables are still at `revision` and match the
    /// expected revision. Writes nothing if there are no changes.
    async fn write_if_unchanged(
        &self,
        revision: Revision,
        before: &Declarations,
        after: Declarations,
    ) -> Result<ChangeResult> {
        validate(&after)?;
        if self
            .expected_revision
            .is_some_and(|expected| expected != revision)
        {
            return Err(Error::Conflict(revision));
        }
        let changes = before.diff(&after);
        if changes.is_empty() {
            return Ok(ChangeResult {
                revision,
                changes,
                applied: true,
            });
        }
        let revision = self.platform.write_tables(revision, &after).await?;
        Ok(ChangeResult {
            revision,
            changes,
            applied: true,
        })
    }
}

fn validate(declarations: &Declarations) -> Result<()> {
    let errors = declarations.validation_errors();
    if errors.is_empty() {
        Ok(())
    } else {
        Err(Error::InvalidDeclarations(errors))
    }
}

fn read_declarations(file: &str) -> Result<Declarations> {
    let declarations = parse_file(file)?;
    validate(&declarations)?;
    Ok(declarations)
}
