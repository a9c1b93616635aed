//! Records of calls that may run at most once.
//!
//! A writer claims a record by compare-and-swap before it sends the first byte of the call. Only
//! the writer whose nonce is in the record may run the call. Records are grouped into shards, each
//! of which is one value in the store, so that one write can carry many claims.

use std::collections;

use xxhash_rust::xxh3;

use crate::{error, name, unit};

/// The number of shards of run-once records.
pub const SHARD_COUNT: u32 = 256;

/// The minimum time for which a record is kept after its claim.
pub const RUN_ONCE_RETENTION: unit::Millis = unit::Millis(60 * 60 * 1000);

/// The maximum body size of a response that is stored for retries of a finished call.
pub const MAX_STORED_BODY: unit::Bytes = unit::Bytes(2_048);

/// The maximum encoded size of a shard, which is below the store's limit for one value.
pub const MAX_SHARD_SIZE: unit::Bytes = unit::Bytes(900_000);

/// The maximum encoded size of a record without its response, in bytes.
const RECORD_OVERHEAD: usize = 160;

/// Identifies a call by its workspace and the idempotency key that the caller chose.
#[derive(
    Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct CallKey {
    /// The workspace of the caller.
    pub workspace: name::WorkspaceName,
    /// The idempotency key.
    pub key: name::IdempotencyKey,
}

impl CallKey {
    /// Returns the index of the shard that contains the record of the call.
    pub fn shard(&self) -> u32 {
        (xxh3::xxh3_64(self.storage_key().as_bytes()) % u64::from(SHARD_COUNT)) as u32
    }

    /// Returns the key of the record within its shard.
    fn storage_key(&self) -> String {
        format!("{} {}", self.workspace, self.key)
    }
}

/// The stored response of a finished call.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct StoredResponse {
    /// The HTTP status.
    pub status: u16,
    /// The value of the `content-type` header.
    pub content_type: Option<String>,
    /// The body, unless it was too large or not text.
    pub body: Option<String>,
}

/// A claim on a call.
#[serde_with::serde_as]
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RunOnceClaim {
    /// The call.
    pub call: CallKey,
    /// A random number by which the writer recognizes its own claim.
    #[serde_as(as = "crate::unit::HexId")]
    pub nonce: u64,
    /// The hash of the request body.
    #[serde_as(as = "crate::unit::HexId")]
    pub fingerprint: u64,
    /// The time of the claim, in milliseconds since the Unix epoch.
    pub claimed: unit::Timestamp,
    /// The deadline of the call, in milliseconds since the Unix epoch.
    pub deadline: unit::Timestamp,
}

/// The stored claim of a call, with its response once the call has finished.
#[serde_with::serde_as]
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
struct Record {
    #[serde_as(as = "crate::unit::HexId")]
    nonce: u64,
    #[serde_as(as = "crate::unit::HexId")]
    fingerprint: u64,
    claimed: unit::Timestamp,
    deadline: unit::Timestamp,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    answer: Option<StoredResponse>,
}

/// A change to one record.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum RecordUpdate {
    /// Claims a call.
    Claim(RunOnceClaim),
    /// Stores the response of a claimed call.
    Finish {
        /// The call.
        call: CallKey,
        /// The nonce of the claim.
        nonce: u64,
        /// The response.
        answer: StoredResponse,
    },
    /// Removes a claim because nothing was sent.
    Withdraw {
        /// The call.
        call: CallKey,
        /// The nonce of the claim.
        nonce: u64,
    },
}

impl RecordUpdate {
    /// Returns the call whose record changes.
    pub fn call(&self) -> &CallKey {
        match self {
            RecordUpdate::Claim(claim) => &claim.call,
            RecordUpdate::Finish { call, .. } | RecordUpdate::Withdraw { call, .. } => call,
        }
    }
}

/// The result of a [`RecordUpdate`].
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum UpdateResult {
    /// The update is in effect; after a claim, its writer may run the call.
    Done,
    /// The call has already finished with this response.
    Finished(StoredResponse),
    /// The update was refused; after a claim, its writer must not run the call.
    Refused(error::Error),
}

/// The records of one shard.
///
/// # Example
///
/// ```
/// use limpetkeel::{CallKey, RecordUpdate, RunOnceClaim, RunOnceShard, Timestamp, UpdateResult};
///
/// let claim = |nonce| RecordUpdate::Claim(RunOnceClaim {
///     call: CallKey { workspace: "guild".try_into().unwrap(), key: "b-17".try_into().unwrap() },
///     nonce,
///     fingerprint: 7,
///     claimed: Timestamp(0),
///     deadline: Timestamp(1_000),
/// });
/// let mut shard = RunOnceShard::default();
/// assert_eq!(shard.apply(Timestamp(0), &claim(1)), UpdateResult::Done);
/// assert!(matches!(shard.apply(Timestamp(0), &claim(2)), UpdateResult::Refused(_)));
/// // A writer that did not receive the response to its write recognizes its own claim.
/// assert_eq!(shard.apply(Timestamp(0), &claim(1)), UpdateResult::Done);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RunOnceShard {
    records: collections::BTreeMap<String, Record>,
}

impl RunOnceShard {
    /// Applies an update.
    pub fn apply(&mut self, now: unit::Timestamp, update: &RecordUpdate) -> UpdateResult {
        match update {
            RecordUpdate::Claim(claim) => self.claim(now, claim),
            RecordUpdate::Finish {
                call,
                nonce,
                answer,
            } => self.finish(call, *nonce, answer),
            RecordUpdate::Withdraw { call, nonce } => self.withdraw(call, *nonce),
        }
    }

    /// Adds a record for the claim, or compares the claim with the existing record.
    fn claim(&mut self, now: unit::Timestamp, claim: &RunOnceClaim) -> UpdateResult {
        let key = claim.call.storage_key();
        if let Some(record) = self.records.get(&key) {
            return record.resolve_claim(now, claim);
        }
        if self.encoded_size() + key.len() + RECORD_OVERHEAD > MAX_SHARD_SIZE.0 as usize {
            return UpdateResult::Refused(error::Error::RunOnceShardFull);
        }
        let record = Record {
            nonce: claim.nonce,
            fingerprint: claim.fingerprint,
            claimed: claim.claimed,
            deadline: claim.deadline,
            answer: None,
        };
        self.records.insert(key, record);
        UpdateResult::Done
    }

    /// Stores the response of a claimed call.
    ///
    /// The body is omitted if it is too large or if the shard is nearly full.
    fn finish(&mut self, call: &CallKey, nonce: u64, answer: &StoredResponse) -> UpdateResult {
        let has_space =
            MAX_SHARD_SIZE.0 as usize > self.encoded_size() + 2 * MAX_STORED_BODY.0 as usize;
        let Some(record) = self.records.get_mut(&call.storage_key()) else {
            return UpdateResult::Refused(error::Error::RunOnceUnknown);
        };
        if record.nonce != nonce {
            return UpdateResult::Refused(error::Error::RunOnceInProgress);
        }
        let mut answer = answer.clone();
        answer.body = answer
            .body
            .filter(|body| has_space && body.len() as u64 <= MAX_STORED_BODY.0);
        record.answer = Some(answer);
        UpdateResult::Done
    }

    /// Removes the claim with this nonce, if there is one.
    fn withdraw(&mut self, call: &CallKey, nonce: u64) -> UpdateResult {
        let key = call.storage_key();
        let owned = self
            .records
            .get(&key)
            .is_some_and(|record| record.nonce == nonce);
        if owned {
            self.records.remove(&key);
        }
        UpdateResult::Done
    }

    /// Removes the records whose retention period and deadline have passed.
    pub fn prune(&mut self, now: unit::Timestamp) {
        self.records.retain(|_, record| {
            let expires_at = record
                .claimed
                .after(RUN_ONCE_RETENTION)
                .max(record.deadline);
            now < expires_at
        });
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns `true` if the shard contains no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Estimates the encoded size, in bytes.
    pub fn encoded_size(&self) -> usize {
        self.records
            .iter()
            .map(|(key, record)| key.len() + record.encoded_size())
            .sum()
    }
}

impl Record {
    /// Decides on a claim of the call that this record belongs to.
    fn resolve_claim(&self, now: unit::Timestamp, claim: &RunOnceClaim) -> UpdateResult {
        if self.nonce == claim.nonce {
            return UpdateResult::Done;
        }
        if self.fingerprint != claim.fingerprint {
            return UpdateResult::Refused(error::Error::RunOnceKeyReused);
        }
        match &self.answer {
            Some(answer) if answer.body.is_some() => UpdateResult::Finished(answer.clone()),
            Some(_) => UpdateResult::Refused(error::Error::RunOnceAnswerNotKept),
            None if now < self.deadline => UpdateResult::Refused(error::Error::RunOnceInProgress),
            None => UpdateResult::Refused(error::Error::RunOnceUnknown),
        }
    }

    fn encoded_size(&self) -> usize {
        let body = self.answer.as_ref().and_then(|answer| answer.body.as_ref());
        // JSON escaping may double the length of the body.
        RECORD_OVERHEAD + body.map_or(0, |body| 2 * body.len())
    }
}
