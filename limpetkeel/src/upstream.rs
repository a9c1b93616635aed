//! A keeper's view of an upstream: its capacity, its holds and its prefill backlog.

use std::{collections, net};

use crate::{error, grant, name, rank, unit};

/// A hold expires when it has not been renewed for this long.
pub const HOLD_LIFETIME: unit::Millis = unit::Millis(10_000);

/// A request that an upstream reports, but that has no hold, is cancelled after this long.
pub const ORPHAN_GRACE: unit::Millis = unit::Millis(15_000);

/// Reports may still contain a released request for this long, since they lag.
const REPORT_LAG: unit::Millis = unit::Millis(5_000);

/// An upstream that has not reported for longer than this gets no new requests.
pub const REPORT_LIFETIME: unit::Millis = unit::Millis(5_000);

/// The percentage of memory and slots that requests of each rank leave free for more urgent ones.
const HEADROOM_PERCENT: rank::PerRank<u8> = rank::PerRank {
    urgent: 0,
    normal: 5,
    batch: 10,
};

/// The prefill backlog above which an upstream gets no more short prompts.
///
/// Further requests wait at the keeper, which keeps their order.
pub const PREFILL_WINDOW: unit::Millis = unit::Millis(200);

/// The capacity of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Capacity {
    /// The KV memory, in tokens.
    pub memory: unit::Tokens,
    /// The maximum number of concurrent requests.
    pub slots: u32,
    /// The prefill speed.
    #[serde(rename = "prefill")]
    pub prefill_speed: unit::TokensPerSecond,
}

/// A request that an upstream reports as running.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct RunningRequest {
    /// The identifier of the request.
    pub id: grant::RequestId,
    /// The KV memory that the request uses, in tokens.
    pub memory: unit::Tokens,
}

/// A load report of an upstream, which lags behind its actual load.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct LoadReport {
    /// The capacity of the upstream.
    pub capacity: Capacity,
    /// The running requests.
    pub running: Vec<RunningRequest>,
    /// The model version that the upstream serves, if a version was ordered.
    #[serde(default)]
    pub version: Option<String>,
}

/// The resources that a grant holds on an upstream.
#[derive(Clone, Debug)]
struct Hold {
    memory: unit::Tokens,
    prompt: unit::Tokens,
    rank: rank::Rank,
    long: bool,
    prefilled: bool,
    expires_at: unit::Timestamp,
}

/// A request that the upstream reports but that has no hold.
#[derive(Clone, Copy, Debug)]
struct Unaccounted {
    memory: unit::Tokens,
    first_seen: unit::Timestamp,
}

/// The holds, reports and estimated load of one upstream.
#[derive(Debug)]
pub struct Upstream {
    name: name::UpstreamName,
    address: net::SocketAddr,
    capacity: Option<Capacity>,
    last_report: unit::Timestamp,
    holds: collections::BTreeMap<grant::RequestId, Hold>,
    unaccounted: collections::BTreeMap<grant::RequestId, Unaccounted>,
    recently_released: collections::BTreeMap<grant::RequestId, unit::Timestamp>,
    held_memory: unit::Tokens,
    unaccounted_memory: unit::Tokens,
    long_prefills: usize,
    prefill_end: unit::Timestamp,
    /// Whether the upstream drains for a reservation.
    reserved: bool,
    /// Whether the upstream drains for a version update.
    updating: bool,
    version: Option<String>,
}

impl Upstream {
    /// Creates an upstream without holds or reports.
    pub fn new(name: name::UpstreamName, address: net::SocketAddr) -> Upstream {
        Upstream {
            name,
            address,
            capacity: None,
            last_report: unit::Timestamp::ZERO,
            holds: collections::BTreeMap::new(),
            unaccounted: collections::BTreeMap::new(),
            recently_released: collections::BTreeMap::new(),
            held_memory: unit::Tokens::ZERO,
            unaccounted_memory: unit::Tokens::ZERO,
            long_prefills: 0,
            prefill_end: unit::Timestamp::ZERO,
            reserved: false,
            updating: false,
            version: None,
        }
    }

    /// Returns the name of the upstream.
    pub fn name(&self) -> &name::UpstreamName {
        &self.name
    }

    /// Returns the name and the address of the upstream, for grants.
    pub fn address(&self) -> grant::UpstreamAddress {
        grant::UpstreamAddress {
            upstream: self.name.clone(),
            address: self.address,
        }
    }

    /// Returns the last reported capacity, or `None` before the first report.
    pub fn capacity(&self) -> Option<Capacity> {
        self.capacity
    }

    /// Returns the number of held and unaccounted requests.
    pub fn load(&self) -> usize {
        self.holds.len() + self.unaccounted.len()
    }

    /// Returns the memory of held and unaccounted requests.
    pub fn committed_memory(&self) -> unit::Tokens {
        self.held_memory + self.unaccounted_memory
    }

    /// Returns the estimated end of the granted prefill work.
    pub fn prefill_end(&self) -> unit::Timestamp {
        self.prefill_end
    }

    /// Returns `true` if a long prompt is being prefilled.
    pub fn prefills_long(&self) -> bool {
        self.long_prefills > 0
    }

    /// Returns `true` if the upstream is draining for a reservation or a version update.
    pub fn is_draining(&self) -> bool {
        self.reserved || self.updating
    }

    /// Returns `true` if the upstream is draining for a version update.
    pub fn is_updating(&self) -> bool {
        self.updating
    }

    /// Starts or ends draining for a version update.
    pub fn set_updating(&mut self, updating: bool) {
        self.updating = updating;
    }

    /// Returns the last reported model version.
    pub fn version(&self) -> Option<&str> {
        self.version.as_deref()
    }

    /// Starts or ends draining for a reservation.
    pub fn set_reserved(&mut self, reserved: bool) {
        self.reserved = reserved;
    }

    /// Returns `true` if the last report is recent enough to place new requests.
    pub fn has_recent_report(&self, now: unit::Timestamp) -> bool {
        self.capacity.is_some() && now.since(self.last_report) <= REPORT_LIFETIME
    }
}

/// Placement rules.
impl Upstream {
    /// Returns `true` if a slot is free for at least one rank.
    pub fn has_free_slot(&self) -> bool {
        self.capacity
            .is_some_and(|capacity| self.load() < capacity.slots as usize)
    }

    /// Returns `true` if the upstream has the memory and a slot for a request of this rank.
    pub fn can_hold(&self, memory: unit::Tokens, rank: rank::Rank) -> bool {
        let Some(capacity) = self.capacity else {
            return false;
        };
        let share = 100 - HEADROOM_PERCENT[rank];
        let slots = (u64::from(capacity.slots) * u64::from(share)).div_ceil(100);
        if (self.load() as u64) >= slots {
            return false;
        }
        // Without this exception for an idle upstream, the headroom would exclude the largest
        // requests forever.
        let limit = if self.load() == 0 {
            capacity.memory
        } else {
            capacity.memory.percent(share)
        };
        self.committed_memory() + memory <= limit
    }

    /// Returns `true` if the prefill backlog is short enough for another short prompt.
    pub fn within_prefill_window(&self, now: unit::Timestamp) -> bool {
        self.prefill_end.since(now) <= PREFILL_WINDOW
    }

    /// Adds a hold of memory and a slot for a granted request.
    pub fn hold(
        &mut self,
        now: unit::Timestamp,
        request: &grant::PlacementRequest,
        memory: unit::Tokens,
        long: bool,
    ) {
        let expires_at = now.after(HOLD_LIFETIME);
        let prompt = request.size.prompt;
        self.insert(
            request.id,
            Hold {
                memory,
                prompt,
                rank: request.rank,
                long,
                prefilled: false,
                expires_at,
            },
        );
        // Inside the upstream, long prompts yield to short ones and do not delay them.
        if let Some(capacity) = self.capacity.filter(|_| !long) {
            let start = self.prefill_end.max(now);
            // Short prompts leave half of the prefill time to a concurrent long prompt.
            let shares = if self.prefills_long() { 2 } else { 1 };
            let time = capacity.prefill_speed.time_for(prompt);
            self.prefill_end = start.after(unit::Millis(time.0 * shares));
        }
    }

    /// Adds a hold, which replaces an unaccounted request with the same identifier.
    fn insert(&mut self, id: grant::RequestId, hold: Hold) {
        self.remove_unaccounted(id);
        self.held_memory += hold.memory;
        self.long_prefills += usize::from(hold.long && !hold.prefilled);
        self.holds.insert(id, hold);
    }

    /// Renews the hold of a grant, or adds it if it is missing.
    ///
    /// Recently released grants are ignored. `share` is the memory on this upstream.
    pub fn renew_hold(
        &mut self,
        now: unit::Timestamp,
        held: &grant::HeldGrant,
        share: unit::Tokens,
    ) {
        if let Some(hold) = self.holds.get_mut(&held.id) {
            hold.expires_at = now.after(HOLD_LIFETIME);
            return;
        }
        if self.recently_released.contains_key(&held.id) {
            return;
        }
        let hold = Hold {
            memory: share,
            prompt: held.size.prompt,
            rank: held.rank,
            long: held.size.is_long(),
            prefilled: held.prefilled,
            expires_at: now.after(HOLD_LIFETIME),
        };
        self.insert(held.id, hold);
    }

    /// Records that the first token of a request has arrived, so its prefill is complete.
    pub fn record_first_token(&mut self, now: unit::Timestamp, id: grant::RequestId) {
        let Some(hold) = self.holds.get_mut(&id) else {
            return;
        };
        if hold.prefilled {
            return;
        }
        hold.prefilled = true;
        self.long_prefills -= usize::from(hold.long);
        self.recompute_prefill_end(now);
    }

    /// Reduces the end of the prefill backlog to what the remaining short prompts need.
    fn recompute_prefill_end(&mut self, now: unit::Timestamp) {
        if self.prefills_long() {
            return;
        }
        let Some(capacity) = self.capacity else {
            return;
        };
        let prefilling = self
            .holds
            .values()
            .filter(|hold| !hold.prefilled && !hold.long);
        let remaining = prefilling.map(|hold| hold.prompt).sum();
        self.prefill_end = self
            .prefill_end
            .min(now.after(capacity.prefill_speed.time_for(remaining)));
    }

    /// Releases the hold of a request and returns `true` if there was one.
    pub fn release(&mut self, now: unit::Timestamp, id: grant::RequestId) -> bool {
        self.recently_released.insert(id, now);
        let Some(hold) = self.holds.remove(&id) else {
            return false;
        };
        self.held_memory = self.held_memory.saturating_sub(hold.memory);
        if !hold.prefilled {
            self.long_prefills -= usize::from(hold.long);
            self.recompute_prefill_end(now);
        }
        true
    }

    /// Returns `true` if all long prompts that are being prefilled yield to short prompts of the
    /// rank.
    pub fn yields_to(&self, rank: rank::Rank) -> bool {
        let mut long_prefills = self
            .holds
            .values()
            .filter(|hold| hold.long && !hold.prefilled);
        long_prefills.all(|hold| rank <= hold.rank)
    }
}

/// Recovery rules.
impl Upstream {
    /// Releases all expired holds and returns the requests to cancel.
    pub fn release_expired(&mut self, now: unit::Timestamp) -> Vec<grant::RequestId> {
        let expired: Vec<_> = self
            .holds
            .iter()
            .filter(|(_, hold)| hold.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in &expired {
            self.release(now, *id);
        }
        self.recently_released
            .retain(|_, at| now.since(*at) < REPORT_LAG);
        expired
    }

    /// Applies a report and returns the orphaned requests to cancel.
    ///
    /// A reported request without a hold belongs to another keeper or to an instance that has
    /// stopped, and its memory counts as committed. If it is still reported without a hold after
    /// [`ORPHAN_GRACE`], it counts as orphaned.
    ///
    /// # Errors
    ///
    /// Returns an error if the reported slots or prefill speed are zero.
    pub fn apply_report(
        &mut self,
        now: unit::Timestamp,
        report: &LoadReport,
    ) -> error::Result<Vec<grant::RequestId>> {
        if report.capacity.slots == 0 || report.capacity.prefill_speed.0 == 0 {
            return Err(error::Error::InvalidDeclaration {
                field: format!("report of {}", self.name),
                rule: error::Rule::Positive,
            });
        }
        self.capacity = Some(report.capacity);
        self.version.clone_from(&report.version);
        self.last_report = now;
        let previous = std::mem::take(&mut self.unaccounted);
        self.unaccounted_memory = unit::Tokens::ZERO;
        let mut orphans = Vec::new();
        for running in &report.running {
            if self.holds.contains_key(&running.id)
                || self.recently_released.contains_key(&running.id)
            {
                continue;
            }
            let first_seen = previous
                .get(&running.id)
                .map_or(now, |unaccounted| unaccounted.first_seen);
            if now.since(first_seen) >= ORPHAN_GRACE {
                orphans.push(running.id);
            }
            self.unaccounted_memory += running.memory;
            self.unaccounted.insert(
                running.id,
                Unaccounted {
                    memory: running.memory,
                    first_seen,
                },
            );
        }
        Ok(orphans)
    }

    /// Removes an unaccounted request and its memory, if there is one.
    fn remove_unaccounted(&mut self, id: grant::RequestId) {
        if let Some(unaccounted) = self.unaccounted.remove(&id) {
            self.unaccounted_memory = self.unaccounted_memory.saturating_sub(unaccounted.memory);
        }
    }
}
