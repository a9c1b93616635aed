//! What upstreams have told this instance about further requests.
//!
//! An upstream process is available until it says otherwise: it may ask for no requests for some
//! time, or announce that it is leaving. `Paused` ends with its time or becomes `Leaving`, which
//! has no successor: it ends with the process. Both are known to this instance only and hold
//! whatever the store says about the upstream.

use std::collections;

use crate::{grant, name, request_limit, unit, upstream_registry};

/// The longest pause that is honored.
///
/// Overloaded services ask for seconds, and for minutes at most. The bound keeps a nonsensical
/// value from removing an upstream for good: after it, a request finds out whether the upstream
/// still asks for a pause.
pub const MAX_PAUSE: unit::Millis = unit::Millis(10 * 60 * 1_000);

/// How long a process that is no longer listed is remembered. Its entry may return after an outage
/// of the store, and other instances may plan with it until they learn of its removal.
const UNLISTED_RETENTION: unit::Millis = unit::Millis(60 * 1_000);

/// The process of an upstream to which a request is sent.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct UpstreamProcess {
    pool: name::PoolName,
    name: name::UpstreamName,
    /// When the process started; `None` if the upstream is not listed.
    start_time: Option<u64>,
}

impl UpstreamProcess {
    /// Returns the process of an upstream of `pool` that listens on an address.
    ///
    /// Returns `None` if the registry lists another address for the upstream. Whoever responds at
    /// this one says nothing about the listed process.
    pub fn at(
        registry: &upstream_registry::UpstreamRegistry,
        pool: &name::PoolName,
        upstream: &grant::UpstreamAddress,
    ) -> Option<UpstreamProcess> {
        let listed = registry.get(&upstream.upstream);
        if listed.is_some_and(|entry| entry.address != upstream.address) {
            return None;
        }
        Some(UpstreamProcess {
            pool: pool.clone(),
            name: upstream.upstream.clone(),
            start_time: listed.map(|entry| entry.start_time),
        })
    }

    /// Returns the pool of the upstream.
    pub fn pool(&self) -> &name::PoolName {
        &self.pool
    }

    /// Returns when the process started, or `None` if the upstream was not listed.
    pub fn start_time(&self) -> Option<u64> {
        self.start_time
    }

    /// Returns the name of the upstream.
    pub fn name(&self) -> &name::UpstreamName {
        &self.name
    }
}

/// The state of a process that accepts no requests until a time.
#[derive(Debug)]
struct Paused {
    until: unit::Timestamp,
}

/// The state of a process that accepts no further requests.
#[derive(Debug)]
struct Leaving(());

/// An unavailable process in one of its states.
#[derive(Debug)]
struct Unavailable<S> {
    process: UpstreamProcess,
    /// When the process was first found missing from the registry.
    unlisted_since: Option<unit::Timestamp>,
    state: S,
}

impl<S> Unavailable<S> {
    /// Returns `true` unless the registry shows that the process was replaced or has been gone for
    /// long.
    fn is_current(
        &mut self,
        now: unit::Timestamp,
        registry: &upstream_registry::UpstreamRegistry,
    ) -> bool {
        let Some(listed) = registry.get(&self.process.name) else {
            let since = *self.unlisted_since.get_or_insert(now);
            return now.since(since) < UNLISTED_RETENTION;
        };
        self.unlisted_since = None;
        let start_time = self.process.start_time.get_or_insert(listed.start_time);
        *start_time == listed.start_time
    }
}

impl Unavailable<Paused> {
    fn new(process: UpstreamProcess, until: unit::Timestamp) -> Unavailable<Paused> {
        Unavailable {
            process,
            unlisted_since: None,
            state: Paused { until },
        }
    }

    /// Extends the pause; an earlier end does not shorten it.
    fn extend(mut self, until: unit::Timestamp) -> Unavailable<Paused> {
        self.state.until = self.state.until.max(until);
        self
    }

    fn leave(self) -> Unavailable<Leaving> {
        Unavailable {
            process: self.process,
            unlisted_since: self.unlisted_since,
            state: Leaving(()),
        }
    }

    fn is_over(&self, now: unit::Timestamp) -> bool {
        self.state.until <= now
    }
}

impl Unavailable<Leaving> {
    fn new(process: UpstreamProcess) -> Unavailable<Leaving> {
        Unavailable {
            process,
            unlisted_since: None,
            state: Leaving(()),
        }
    }
}

/// An unavailable process in any state.
#[derive(Debug)]
enum UnavailableState {
    Paused(Unavailable<Paused>),
    Leaving(Unavailable<Leaving>),
}

impl UnavailableState {
    fn process(&self) -> &UpstreamProcess {
        match self {
            UnavailableState::Paused(paused) => &paused.process,
            UnavailableState::Leaving(leaving) => &leaving.process,
        }
    }

    /// Returns `true` if the process accepts no requests at `now`.
    fn holds(&self, now: unit::Timestamp) -> bool {
        match self {
            UnavailableState::Paused(paused) => !paused.is_over(now),
            UnavailableState::Leaving(_) => true,
        }
    }

    fn is_current(
        &mut self,
        now: unit::Timestamp,
        registry: &upstream_registry::UpstreamRegistry,
    ) -> bool {
        match self {
            UnavailableState::Paused(paused) => {
                !paused.is_over(now) && paused.is_current(now, registry)
            }
            UnavailableState::Leaving(leaving) => leaving.is_current(now, registry),
        }
    }
}

/// The upstreams that want no requests from this instance.
#[derive(Debug, Default)]
pub struct UpstreamAvailability {
    unavailable: collections::BTreeMap<name::UpstreamName, UnavailableState>,
    limits: request_limit::AnnouncedLimits,
}

impl UpstreamAvailability {
    /// Records that a process is leaving. Returns `true` if this was not known.
    ///
    /// A process that `registry` lists no longer, since the upstream has restarted, is ignored.
    pub fn record_leaving(
        &mut self,
        registry: &upstream_registry::UpstreamRegistry,
        process: UpstreamProcess,
    ) -> bool {
        if is_replaced(registry, &process) {
            return false;
        }
        let name = process.name.clone();
        let (leaving, is_new) = match self.take(&process) {
            Some(UnavailableState::Leaving(leaving)) => (leaving, false),
            Some(UnavailableState::Paused(paused)) => (paused.leave(), true),
            None => (Unavailable::<Leaving>::new(process), true),
        };
        self.unavailable
            .insert(name, UnavailableState::Leaving(leaving));
        is_new
    }

    /// Records that a process wants no requests for `pause`, which is capped at [`MAX_PAUSE`].
    /// Returns `true` if the process was available.
    ///
    /// A pause ends no earlier than one that the process asked for before, and is ignored if the
    /// process is leaving or if `registry` lists it no longer, since the upstream has restarted.
    pub fn record_pause(
        &mut self,
        now: unit::Timestamp,
        registry: &upstream_registry::UpstreamRegistry,
        process: UpstreamProcess,
        pause: unit::Millis,
    ) -> bool {
        if is_replaced(registry, &process) {
            return false;
        }
        let until = now.after(pause.min(MAX_PAUSE));
        let name = process.name.clone();
        let known = self.take(&process);
        let was_available = !known.as_ref().is_some_and(|known| known.holds(now));
        let state = match known {
            Some(UnavailableState::Paused(paused)) => {
                UnavailableState::Paused(paused.extend(until))
            }
            Some(leaving @ UnavailableState::Leaving(_)) => leaving,
            None => UnavailableState::Paused(Unavailable::<Paused>::new(process, until)),
        };
        self.unavailable.insert(name, state);
        was_available && until > now
    }

    /// Records the request limit that a process has announced, or that it names none. Returns `true`
    /// if it said something else before.
    ///
    /// A process that `registry` lists no longer, since the upstream has restarted, is ignored.
    pub fn record_limit(
        &mut self,
        now: unit::Timestamp,
        registry: &upstream_registry::UpstreamRegistry,
        process: &UpstreamProcess,
        limit: request_limit::AnnouncedLimit,
    ) -> bool {
        !is_replaced(registry, process) && self.limits.record(now, process, limit)
    }

    /// Returns what the upstreams of a pool have announced about their request limits.
    pub fn limit_notices(
        &self,
        now: unit::Timestamp,
        pool: &name::PoolName,
    ) -> Vec<request_limit::LimitNotice> {
        self.limits.notices(now, pool)
    }

    /// Removes the state of a process, and that of an earlier process of the same upstream, which
    /// is discarded.
    fn take(&mut self, process: &UpstreamProcess) -> Option<UnavailableState> {
        let known = self.unavailable.remove(&process.name);
        known.filter(|known| is_same(known.process(), process))
    }

    /// Forgets the pauses that have ended and the processes that have ended according to
    /// `registry`: those of upstreams that have restarted, and those that have been missing for
    /// some time.
    pub fn remove_expired(
        &mut self,
        now: unit::Timestamp,
        registry: &upstream_registry::UpstreamRegistry,
    ) {
        self.unavailable
            .retain(|_, state| state.is_current(now, registry));
        self.limits.remove_replaced(registry);
    }

    /// Returns `true` if an upstream accepts requests from this instance.
    pub fn is_available(&self, now: unit::Timestamp, name: &name::UpstreamName) -> bool {
        let state = self.unavailable.get(name);
        state.is_none_or(|state| !state.holds(now))
    }

    /// Returns the unavailable upstreams of a pool.
    pub fn unavailable_upstreams(
        &self,
        now: unit::Timestamp,
        pool: &name::PoolName,
    ) -> Vec<name::UpstreamName> {
        self.unavailable
            .values()
            .filter(|state| state.process().pool == *pool && state.holds(now))
            .map(|state| state.process().name.clone())
            .collect()
    }

    /// Returns the time until one of `upstreams` is available: zero if one is available now, `None`
    /// if all of them are leaving.
    pub fn time_until_available(
        &self,
        now: unit::Timestamp,
        upstreams: &[upstream_registry::Entry],
    ) -> Option<unit::Millis> {
        let waits = upstreams
            .iter()
            .filter_map(|entry| match self.unavailable.get(&entry.name) {
                None => Some(unit::Millis::ZERO),
                Some(UnavailableState::Paused(paused)) => Some(paused.state.until.since(now)),
                Some(UnavailableState::Leaving(_)) => None,
            });
        waits.min()
    }
}

/// Returns `true` if the registry lists a process of the upstream that started at another time.
fn is_replaced(registry: &upstream_registry::UpstreamRegistry, process: &UpstreamProcess) -> bool {
    let listed = registry.get(&process.name).map(|entry| entry.start_time);
    listed.is_some_and(|listed| process.start_time.is_some_and(|started| started != listed))
}

/// Returns `true` if two processes of one upstream may be the same; an unknown start time matches
/// any.
fn is_same(a: &UpstreamProcess, b: &UpstreamProcess) -> bool {
    a.start_time.is_none() || b.start_time.is_none() || a.start_time == b.start_time
}
