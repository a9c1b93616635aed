//! A key-value store with versions, compare-and-swap and watches.

use std::{collections, time};

use tokio::sync;

/// The maximum size of a value.
const MAX_VALUE_BYTES: usize = 1_000_000;

/// A value and its version. The version of a key that does not exist is 0.
#[derive(Clone, Debug, Default, serde::Serialize)]
pub struct Entry {
    version: u64,
    value: Option<String>,
}

/// The version of a key.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct Version {
    /// The number of writes to the key.
    pub version: u64,
}

/// An error of a write.
pub enum WriteError {
    /// The version is not the expected one; holds the current version.
    Conflict(u64),
    /// The value exceeds the maximum size.
    TooLarge,
}

/// All entries, by key, and what they go back to.
#[derive(Default)]
struct Contents {
    entries: collections::BTreeMap<String, Entry>,
    copy: collections::BTreeMap<String, Entry>,
    /// The number of times that the entries were restored.
    era: u64,
}

/// The store.
#[derive(Default)]
pub struct Store {
    contents: parking_lot::Mutex<Contents>,
    /// Notified after every write.
    changed: sync::Notify,
}

impl Store {
    /// Reads a value. Waits until its version exceeds `after`, but not longer than `wait`.
    pub async fn read(&self, key: &str, after: u64, wait: time::Duration) -> Entry {
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            let entry = self.contents.lock().entries.get(key).cloned();
            let entry = entry.unwrap_or_default();
            if entry.version > after || wait.is_zero() {
                return entry;
            }
            if tokio::time::timeout_at(deadline, changed).await.is_err() {
                return entry;
            }
        }
    }

    /// Writes a value if the current version is `expected_version`, and returns the new version.
    ///
    /// # Errors
    ///
    /// Returns an error if the current version is another one or the value is too large.
    pub fn write(
        &self,
        key: &str,
        expected_version: u64,
        value: String,
    ) -> Result<u64, WriteError> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(WriteError::TooLarge);
        }
        let mut contents = self.contents.lock();
        let entry = contents.entries.entry(key.to_owned()).or_default();
        if entry.version != expected_version {
            return Err(WriteError::Conflict(entry.version));
        }
        entry.version += 1;
        entry.value = Some(value);
        let version = entry.version;
        drop(contents);
        self.changed.notify_waiters();
        Ok(version)
    }

    /// Returns the era, which increases each time the store goes back to the copy.
    pub fn era(&self) -> u64 {
        self.contents.lock().era
    }

    /// Copies the entries.
    pub fn copy(&self) {
        let mut contents = self.contents.lock();
        contents.copy = contents.entries.clone();
    }

    /// Goes back to the copy, in the next era.
    pub fn restore(&self) {
        let mut contents = self.contents.lock();
        contents.entries = contents.copy.clone();
        contents.era += 1;
        drop(contents);
        self.changed.notify_waiters();
    }
}
