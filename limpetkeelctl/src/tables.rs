//! Edits of the tables, each one compare-and-swap.

use std::{fs, io};

use limpetkeel::{Change, Declarations, Revision};
use limpetkeeld::platform;

use crate::error::{Error, Result};

/// Which table a command edits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Table {
    /// The routes.
    Route,
    /// The pools.
    Pool,
}

impl Table {
    /// Returns the word that commands use.
    pub fn as_str(self) -> &'static str {
        match self {
            Table::Route => "route",
            Table::Pool => "pool",
        }
    }
}

/// What a change did or would do.
#[derive(Debug, serde::Serialize)]
pub struct Changed {
    /// The revision now, or the present one for a plan.
    pub revision: Revision,
    /// The entries that differ.
    pub changes: Vec<Change>,
    /// Whether the change was made.
    pub applied: bool,
}

/// One entry of a table.
#[derive(Debug, serde::Serialize)]
pub struct Entry {
    /// Its name.
    pub name: String,
    /// Its fields.
    pub fields: serde_json::Value,
}

/// Reads and changes the tables.
pub struct Editor<'a> {
    /// The platform.
    pub platform: &'a platform::Client,
    /// The revision that the operator saw, if the change depends on it.
    pub expect: Option<Revision>,
}

fn read_file(file: &str) -> Result<String> {
    let text = if file == "-" {
        io::read_to_string(io::stdin())
    } else {
        fs::read_to_string(file)
    };
    text.map_err(|e| Error::File(file.to_owned(), e))
}

fn parse<T: serde::de::DeserializeOwned>(file: &str) -> Result<T> {
    toml::from_str(&read_file(file)?).map_err(|e| Error::Syntax(format!("{file}: {e}")))
}

fn entries<T: serde::Serialize>(
    table: &std::collections::BTreeMap<String, T>,
) -> Result<Vec<Entry>> {
    let entry = |(name, fields): (&String, &T)| {
        let fields = serde_json::to_value(fields).map_err(|e| Error::Syntax(e.to_string()))?;
        Ok(Entry {
            name: name.clone(),
            fields,
        })
    };
    table.iter().map(entry).collect()
}

impl Editor<'_> {
    /// Lists the entries of a table.
    ///
    /// # Errors
    ///
    /// Fails if the platform does not answer.
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
    /// Fails if the entry does not exist or the platform does not answer.
    pub async fn get(&self, table: Table, name: &str) -> Result<Entry> {
        let entries = self.list(table).await?;
        let found = entries.into_iter().find(|entry| entry.name == name);
        found.ok_or_else(|| Error::NoEntry(format!("{} {name}", table.as_str())))
    }

    /// Adds or replaces one entry.
    ///
    /// # Errors
    ///
    /// Fails if the entry is not valid, or if another change was first.
    pub async fn put(&self, table: Table, name: &str, file: &str) -> Result<Changed> {
        let (revision, before) = self.platform.tables().await?;
        let mut after = before.clone();
        match table {
            Table::Route => drop(after.routes.insert(name.to_owned(), parse(file)?)),
            Table::Pool => drop(after.pools.insert(name.to_owned(), parse(file)?)),
        }
        self.write(revision, &before, after).await
    }

    /// Removes one entry.
    ///
    /// # Errors
    ///
    /// Fails if the entry does not exist or is in use, or if another change was first.
    pub async fn delete(&self, table: Table, name: &str) -> Result<Changed> {
        let (revision, before) = self.platform.tables().await?;
        let mut after = before.clone();
        let removed = match table {
            Table::Route => after.routes.remove(name).is_some(),
            Table::Pool => after.pools.remove(name).is_some(),
        };
        if !removed {
            return Err(Error::NoEntry(format!("{} {name}", table.as_str())));
        }
        self.write(revision, &before, after).await
    }

    /// Returns what applying a file would change.
    ///
    /// # Errors
    ///
    /// Fails if the declarations hold faults or the platform does not answer.
    pub async fn plan(&self, file: &str) -> Result<Changed> {
        let after = declarations(file)?;
        let (revision, before) = self.platform.tables().await?;
        Ok(Changed {
            revision,
            changes: before.changes_to(&after),
            applied: false,
        })
    }

    /// Replaces both tables with the declarations of a file.
    ///
    /// # Errors
    ///
    /// Fails if the declarations hold faults, or if another change was first.
    pub async fn apply(&self, file: &str) -> Result<Changed> {
        let after = declarations(file)?;
        let (revision, before) = self.platform.tables().await?;
        self.write(revision, &before, after).await
    }

    async fn write(
        &self,
        revision: Revision,
        before: &Declarations,
        after: Declarations,
    ) -> Result<Changed> {
        check(&after)?;
        if self.expect.is_some_and(|expected| expected != revision) {
            return Err(Error::LostRace(revision));
        }
        let changes = before.changes_to(&after);
        if changes.is_empty() {
            return Ok(Changed {
                revision,
                changes,
                applied: true,
            });
        }
        let revision = self.platform.write_tables(revision, &after).await?;
        Ok(Changed {
            revision,
            changes,
            applied: true,
        })
    }
}

fn check(declarations: &Declarations) -> Result<()> {
    let faults = declarations.faults();
    if faults.is_empty() {
        Ok(())
    } else {
        Err(Error::Faults(faults))
    }
}

fn declarations(file: &str) -> Result<Declarations> {
    let declarations = parse(file)?;
    check(&declarations)?;
    Ok(declarations)
}
