//! The requests that wait for their turn, and the memory that is set aside for their prompts.
//!
//! They wait in the order in which their objectives fall due, so that a request with a long objective
//! lets shorter ones pass, but not for ever.
//!
//! Prompts that fit into one engine use any memory that becomes free. A larger one would never find
//! enough at one time, so the memory of the engines on which it waits is set aside: later prompts do
//! not use it when it becomes free. A request is `Queued` until memory is set aside for it, which
//! makes it `Holding`. It leaves the list when it is planned or refused, or when its instance does
//! not ask again in time.

use std::collections;

use crate::{error, grant, name, plan, unit};

/// How long a request keeps its turn after a plan request. Instances ask several times within it, so
/// that one lost message does not cost the turn.
const RENEWAL_TIMEOUT: unit::Millis = unit::Millis(500);

/// The percentage of the memory of a pool that may be set aside. The rest serves the prompts that
/// arrive meanwhile.
const MAX_SET_ASIDE_PERCENT: u8 = 50;

/// The percentage of its objective for which a request may wait for prefill capacity or for a limited
/// upstream. The rest is for its response.
const MAX_WAIT_PERCENT: u8 = 40;

/// Returns the longest time that a request may wait for prefill capacity or for a limited upstream.
pub(super) fn longest_wait(request: &plan::PlanRequest) -> unit::Millis {
    request.objective.first_event.percent(MAX_WAIT_PERCENT)
}

/// The place of a request among those that wait: when its objective falls due, in the planner's
/// clock, and its ID.
type Place = (unit::Timestamp, grant::RequestId);

/// Returns the place of a request that begins to wait.
fn new_place(now: unit::Timestamp, request: &plan::PlanRequest) -> Place {
    let due = now.after(request.objective.first_event).0;
    let due = unit::Timestamp(due.saturating_sub(request.waited.0));
    (due, request.waiting_id)
}

/// Memory that is set aside on one engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct MemoryPart {
    pub(super) upstream: name::UpstreamName,
    pub(super) tokens: unit::Tokens,
}

/// What is known of a waiting request in any state.
#[derive(Debug)]
struct Turn {
    /// The memory of the prompt.
    memory: unit::Tokens,
    /// The time to prefill the complete prompt, in milliseconds.
    prefill_ms: f64,
    place: Place,
    expires_at: unit::Timestamp,
}

/// The state of a request for which no memory is set aside.
#[derive(Debug)]
struct Queued(());

/// The state of a request for which memory is set aside.
#[derive(Debug)]
struct Holding {
    parts: Vec<MemoryPart>,
}

/// A waiting request in one of its states.
#[derive(Debug)]
struct Waiting<S> {
    turn: Turn,
    state: S,
}

impl Waiting<Queued> {
    fn new(turn: Turn) -> Waiting<Queued> {
        Waiting {
            turn,
            state: Queued(()),
        }
    }

    fn hold(self, parts: Vec<MemoryPart>) -> Waiting<Holding> {
        Waiting {
            turn: self.turn,
            state: Holding { parts },
        }
    }
}

impl Waiting<Holding> {
    /// Removes the parts on upstreams that are not usable. The request is queued again if no part is
    /// left.
    fn retain_parts(mut self, is_usable: impl Fn(&name::UpstreamName) -> bool) -> WaitingState {
        self.state.parts.retain(|part| is_usable(&part.upstream));
        if self.state.parts.is_empty() {
            WaitingState::Queued(Waiting::<Queued>::new(self.turn))
        } else {
            WaitingState::Holding(self)
        }
    }
}

/// A waiting request in any state.
#[derive(Debug)]
enum WaitingState {
    Queued(Waiting<Queued>),
    Holding(Waiting<Holding>),
}

impl WaitingState {
    fn turn(&self) -> &Turn {
        match self {
            WaitingState::Queued(queued) => &queued.turn,
            WaitingState::Holding(holding) => &holding.turn,
        }
    }

    fn renew(&mut self, until: unit::Timestamp) {
        let turn = match self {
            WaitingState::Queued(queued) => &mut queued.turn,
            WaitingState::Holding(holding) => &mut holding.turn,
        };
        turn.expires_at = until;
    }

    fn parts(&self) -> &[MemoryPart] {
        match self {
            WaitingState::Queued(_) => &[],
            WaitingState::Holding(holding) => &holding.state.parts,
        }
    }

    /// Returns the memory that is not set aside yet.
    fn shortfall(&self) -> unit::Tokens {
        let held = self.parts().iter().map(|part| part.tokens).sum();
        self.turn().memory.saturating_sub(held)
    }
}

/// The memory that is set aside on one engine, in the order of the requests.
type SetAside = collections::BTreeMap<Place, unit::Tokens>;

/// The requests of a pool that wait.
#[derive(Debug, Default)]
pub(super) struct WaitingList {
    requests: collections::BTreeMap<grant::RequestId, WaitingState>,
    /// An index of the parts of all requests by engine.
    set_aside: collections::BTreeMap<name::UpstreamName, SetAside>,
}

impl WaitingList {
    /// Adds a request whose prompt takes `prefill_ms` to prefill, or renews its turn.
    pub(super) fn renew(
        &mut self,
        now: unit::Timestamp,
        request: &plan::PlanRequest,
        prefill_ms: f64,
    ) {
        let expires_at = now.after(RENEWAL_TIMEOUT);
        if let Some(known) = self.requests.get_mut(&request.waiting_id) {
            known.renew(expires_at);
            return;
        }
        let queued = Waiting::<Queued>::new(Turn {
            memory: request.size.prompt,
            prefill_ms,
            place: new_place(now, request),
            expires_at,
        });
        self.requests
            .insert(request.waiting_id, WaitingState::Queued(queued));
    }

    /// Ends the wait of a request and returns its error.
    pub(super) fn refuse(
        &mut self,
        request: &plan::PlanRequest,
        retry_after: unit::Millis,
    ) -> error::Error {
        self.remove(request.waiting_id);
        error::Error::NoCapacity { retry_after }
    }

    /// Removes a request, which gives its memory back.
    pub(super) fn remove(&mut self, id: grant::RequestId) {
        let Some(removed) = self.requests.remove(&id) else {
            return;
        };
        for part in removed.parts() {
            self.give_back(removed.turn().place, part);
        }
    }

    /// Removes the requests whose turns have not been renewed in time.
    pub(super) fn remove_expired(&mut self, now: unit::Timestamp) {
        let expired = self
            .requests
            .iter()
            .filter(|(_, waiting)| waiting.turn().expires_at <= now);
        let expired: Vec<_> = expired.map(|(id, _)| *id).collect();
        for id in expired {
            self.remove(id);
        }
    }

    /// Gives back the memory that is set aside on upstreams that are no longer listed.
    pub(super) fn retain_listed(&mut self, is_listed: impl Fn(&name::UpstreamName) -> bool) {
        let ids: Vec<_> = self.requests.keys().copied().collect();
        for id in ids {
            self.retain_usable(id, &is_listed);
        }
    }

    /// Gives back the memory that is set aside for a request on upstreams that it cannot use. The
    /// request keeps the rest.
    pub(super) fn retain_usable(
        &mut self,
        id: grant::RequestId,
        is_usable: impl Fn(&name::UpstreamName) -> bool,
    ) {
        if self.parts(id).iter().all(|part| is_usable(&part.upstream)) {
            return;
        }
        let Some(WaitingState::Holding(holding)) = self.requests.remove(&id) else {
            return;
        };
        let lost = holding.state.parts.iter();
        for part in lost.filter(|part| !is_usable(&part.upstream)) {
            self.give_back(holding.turn.place, part);
        }
        self.requests.insert(id, holding.retain_parts(is_usable));
    }

    /// Sets more memory aside for a request.
    pub(super) fn set_aside(&mut self, id: grant::RequestId, parts: Vec<MemoryPart>) {
        let Some(waiting) = self.requests.remove(&id) else {
            return;
        };
        let place = waiting.turn().place;
        for part in &parts {
            let on_engine = self.set_aside.entry(part.upstream.clone()).or_default();
            *on_engine.entry(place).or_default() += part.tokens;
        }
        let holding = match waiting {
            WaitingState::Queued(queued) => queued.hold(parts),
            WaitingState::Holding(mut holding) => {
                holding.state.parts.extend(parts);
                holding
            }
        };
        self.requests.insert(id, WaitingState::Holding(holding));
    }

    /// Returns `true` if a request waits.
    pub(super) fn contains(&self, id: grant::RequestId) -> bool {
        self.requests.contains_key(&id)
    }

    /// Returns the place of a request, which may not wait yet.
    fn place(&self, now: unit::Timestamp, request: &plan::PlanRequest) -> Place {
        let known = self.requests.get(&request.waiting_id);
        known.map_or_else(|| new_place(now, request), |waiting| waiting.turn().place)
    }

    /// Returns the turns that come before a place.
    fn turns_before(&self, place: Place) -> impl Iterator<Item = &Turn> {
        let turns = self.requests.values().map(WaitingState::turn);
        turns.filter(move |turn| turn.place < place)
    }

    /// Returns the number of requests that come before a request.
    pub(super) fn count_before(&self, now: unit::Timestamp, request: &plan::PlanRequest) -> usize {
        self.turns_before(self.place(now, request)).count()
    }

    /// Returns the time to prefill the prompts that come before that of a request, in milliseconds.
    pub(super) fn prefill_ms_before(
        &self,
        now: unit::Timestamp,
        request: &plan::PlanRequest,
    ) -> f64 {
        let before = self.turns_before(self.place(now, request));
        before.map(|turn| turn.prefill_ms).sum()
    }

    /// Returns the memory that is set aside on an engine for requests that come before a request.
    pub(super) fn set_aside_before(
        &self,
        now: unit::Timestamp,
        request: &plan::PlanRequest,
        upstream: &name::UpstreamName,
    ) -> unit::Tokens {
        let Some(parts) = self.set_aside.get(upstream) else {
            return unit::Tokens::ZERO;
        };
        let earlier = parts.range(..self.place(now, request));
        earlier.map(|(_, tokens)| *tokens).sum()
    }

    /// Returns the memory that is set aside for a request.
    pub(super) fn parts(&self, id: grant::RequestId) -> &[MemoryPart] {
        self.requests.get(&id).map_or(&[], WaitingState::parts)
    }

    /// Returns `true` if memory on an engine is set aside for a request.
    pub(super) fn holds_part_on(
        &self,
        id: grant::RequestId,
        upstream: &name::UpstreamName,
    ) -> bool {
        let mut parts = self.parts(id).iter();
        parts.any(|part| part.upstream == *upstream)
    }

    /// Returns how much more memory may be set aside for a request now, out of `pool_memory`.
    ///
    /// The requests that come first have the first claim to what may be set aside. If nothing is left
    /// for the request, what it holds is given back. The first request may exceed the limit.
    pub(super) fn take_allowance(
        &mut self,
        id: grant::RequestId,
        pool_memory: unit::Tokens,
    ) -> unit::Tokens {
        let Some(waiting) = self.requests.get(&id) else {
            return unit::Tokens::ZERO;
        };
        let turn = waiting.turn();
        let is_first = self.turns_before(turn.place).next().is_none();
        let before = self.turns_before(turn.place).map(|earlier| earlier.memory);
        let total = before.sum::<unit::Tokens>() + turn.memory;
        if is_first || total <= pool_memory.percent(MAX_SET_ASIDE_PERCENT) {
            return waiting.shortfall();
        }
        self.retain_usable(id, |_| false);
        unit::Tokens::ZERO
    }

    /// Returns the memory that the waiting requests need together.
    pub(super) fn demand(&self) -> unit::Tokens {
        let turns = self.requests.values().map(WaitingState::turn);
        turns.map(|turn| turn.memory).sum()
    }

    /// Returns the memory that is set aside for all requests.
    pub(super) fn total_set_aside(&self) -> unit::Tokens {
        self.all_parts().map(|part| part.tokens).sum()
    }

    /// Returns the parts of all requests.
    pub(super) fn all_parts(&self) -> impl Iterator<Item = &MemoryPart> {
        self.requests.values().flat_map(WaitingState::parts)
    }

    /// Returns the number of waiting requests.
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    /// Removes a part from the index.
    fn give_back(&mut self, place: Place, part: &MemoryPart) {
        if let Some(set_aside) = self.set_aside.get_mut(&part.upstream) {
            set_aside.remove(&place);
            if set_aside.is_empty() {
                self.set_aside.remove(&part.upstream);
            }
        }
    }
}
