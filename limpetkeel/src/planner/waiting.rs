//! The prompts that wait for prefill capacity or for memory, and the memory that is set aside for
//! them.
//!
//! They wait in the order in which their objectives fall due, so that a prompt with a long objective
//! lets shorter ones pass, but not for ever.
//!
//! Prompts that fit into one engine use any memory that becomes free. A larger one would never find
//! enough at one time, so the memory of the engines on which it waits is set aside: other prompts do
//! not use it when it becomes free. A prompt is `Queued` until memory is set aside for it, which
//! makes it `Holding`. It leaves the list when it is planned, or when its request does not ask again
//! in time.

use std::collections;

use crate::{grant, name, plan, unit};

/// How long a prompt waits for the next plan request of its request. Instances ask several times
/// within it, so that one lost message does not cost the turn.
const RENEWAL_TIMEOUT: unit::Millis = unit::Millis(500);

/// The percentage of the memory of a pool that may be set aside. The rest serves the prompts that
/// arrive meanwhile.
const MAX_SET_ASIDE_PERCENT: u8 = 50;

/// The place of a prompt among those that wait: when its objective falls due, in the planner's
/// clock, and its ID.
type Place = (unit::Timestamp, grant::RequestId);

/// Returns the place of the prompt of a request.
fn place_of(now: unit::Timestamp, request: &plan::PlanRequest) -> Place {
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

/// The state of a prompt for which no memory is set aside.
#[derive(Debug)]
struct Queued(());

/// The state of a prompt for which memory is set aside.
#[derive(Debug)]
struct Holding {
    parts: Vec<MemoryPart>,
}

/// A waiting prompt in one of its states.
#[derive(Debug)]
struct WaitingPrompt<S> {
    memory: unit::Tokens,
    /// The time to prefill the complete prompt, in milliseconds.
    prefill_ms: f64,
    place: Place,
    expires_at: unit::Timestamp,
    state: S,
}

impl WaitingPrompt<Queued> {
    fn hold(self, parts: Vec<MemoryPart>) -> WaitingPrompt<Holding> {
        WaitingPrompt {
            memory: self.memory,
            prefill_ms: self.prefill_ms,
            place: self.place,
            expires_at: self.expires_at,
            state: Holding { parts },
        }
    }
}

impl WaitingPrompt<Holding> {
    /// Removes the parts on upstreams that are not usable. The prompt is queued again if no part is
    /// left.
    fn retain_parts(mut self, is_usable: impl Fn(&name::UpstreamName) -> bool) -> WaitingState {
        self.state.parts.retain(|part| is_usable(&part.upstream));
        if self.state.parts.is_empty() {
            return WaitingState::Queued(WaitingPrompt {
                memory: self.memory,
                prefill_ms: self.prefill_ms,
                place: self.place,
                expires_at: self.expires_at,
                state: Queued(()),
            });
        }
        WaitingState::Holding(self)
    }
}

/// A waiting prompt in any state.
#[derive(Debug)]
enum WaitingState {
    Queued(WaitingPrompt<Queued>),
    Holding(WaitingPrompt<Holding>),
}

impl WaitingState {
    fn memory(&self) -> unit::Tokens {
        match self {
            WaitingState::Queued(prompt) => prompt.memory,
            WaitingState::Holding(prompt) => prompt.memory,
        }
    }

    fn prefill_ms(&self) -> f64 {
        match self {
            WaitingState::Queued(prompt) => prompt.prefill_ms,
            WaitingState::Holding(prompt) => prompt.prefill_ms,
        }
    }

    fn place(&self) -> Place {
        match self {
            WaitingState::Queued(prompt) => prompt.place,
            WaitingState::Holding(prompt) => prompt.place,
        }
    }

    fn expires_at(&self) -> unit::Timestamp {
        match self {
            WaitingState::Queued(prompt) => prompt.expires_at,
            WaitingState::Holding(prompt) => prompt.expires_at,
        }
    }

    fn renew(&mut self, until: unit::Timestamp) {
        match self {
            WaitingState::Queued(prompt) => prompt.expires_at = until,
            WaitingState::Holding(prompt) => prompt.expires_at = until,
        }
    }

    fn parts(&self) -> &[MemoryPart] {
        match self {
            WaitingState::Queued(_) => &[],
            WaitingState::Holding(prompt) => &prompt.state.parts,
        }
    }

    /// Returns the memory that is not set aside yet.
    fn shortfall(&self) -> unit::Tokens {
        let held = self.parts().iter().map(|part| part.tokens).sum();
        self.memory().saturating_sub(held)
    }
}

/// The prompts of a pool that wait.
#[derive(Debug, Default)]
pub(super) struct WaitingList {
    prompts: collections::BTreeMap<grant::RequestId, WaitingState>,
    /// The memory that is set aside on each engine, in the order of the prompts.
    set_aside:
        collections::BTreeMap<name::UpstreamName, collections::BTreeMap<Place, unit::Tokens>>,
}

impl WaitingList {
    /// Adds the prompt of a request, or renews it.
    pub(super) fn renew(
        &mut self,
        now: unit::Timestamp,
        request: &plan::PlanRequest,
        prefill_ms: f64,
    ) {
        let until = now.after(RENEWAL_TIMEOUT);
        if let Some(known) = self.prompts.get_mut(&request.waiting_id) {
            known.renew(until);
            return;
        }
        let queued = WaitingPrompt {
            memory: request.size.prompt,
            prefill_ms,
            place: place_of(now, request),
            expires_at: until,
            state: Queued(()),
        };
        self.prompts
            .insert(request.waiting_id, WaitingState::Queued(queued));
    }

    /// Removes a prompt, which gives its memory back.
    pub(super) fn remove(&mut self, id: grant::RequestId) {
        if let Some(state) = self.prompts.remove(&id) {
            self.give_back(&state);
        }
    }

    /// Removes the prompts whose requests have not asked in time.
    pub(super) fn remove_expired(&mut self, now: unit::Timestamp) {
        let is_expired = |state: &WaitingState| state.expires_at() <= now;
        let expired = self.prompts.iter().filter(|(_, state)| is_expired(state));
        let expired: Vec<_> = expired.map(|(id, _)| *id).collect();
        for id in expired {
            self.remove(id);
        }
    }

    /// Gives back the memory that is set aside on upstreams that are not usable for any prompt.
    pub(super) fn retain_listed(&mut self, is_listed: impl Fn(&name::UpstreamName) -> bool) {
        let ids: Vec<_> = self.prompts.keys().copied().collect();
        for id in ids {
            self.retain_usable(id, &is_listed);
        }
    }

    /// Gives back the memory that is set aside for a prompt on upstreams that it cannot use. The
    /// prompt keeps the rest.
    pub(super) fn retain_usable(
        &mut self,
        id: grant::RequestId,
        is_usable: impl Fn(&name::UpstreamName) -> bool,
    ) {
        if self.parts(id).iter().all(|part| is_usable(&part.upstream)) {
            return;
        }
        let Some(WaitingState::Holding(prompt)) = self.prompts.remove(&id) else {
            return;
        };
        let lost = prompt.state.parts.iter();
        for part in lost.filter(|part| !is_usable(&part.upstream)) {
            give_back(&mut self.set_aside, prompt.place, part);
        }
        self.prompts.insert(id, prompt.retain_parts(is_usable));
    }

    /// Sets more memory aside for a prompt.
    pub(super) fn set_aside(&mut self, id: grant::RequestId, parts: Vec<MemoryPart>) {
        let Some(state) = self.prompts.remove(&id) else {
            return;
        };
        for part in &parts {
            let on_engine = self.set_aside.entry(part.upstream.clone()).or_default();
            *on_engine.entry(state.place()).or_default() += part.tokens;
        }
        let holding = match state {
            WaitingState::Queued(prompt) => prompt.hold(parts),
            WaitingState::Holding(mut prompt) => {
                prompt.state.parts.extend(parts);
                prompt
            }
        };
        self.prompts.insert(id, WaitingState::Holding(holding));
    }

    /// Returns `true` if the prompt of a request waits.
    pub(super) fn contains(&self, id: grant::RequestId) -> bool {
        self.prompts.contains_key(&id)
    }

    /// Returns the place of the prompt of a request, which may be new.
    fn place(&self, now: unit::Timestamp, request: &plan::PlanRequest) -> Place {
        let known = self.prompts.get(&request.waiting_id);
        known.map_or_else(|| place_of(now, request), WaitingState::place)
    }

    /// Returns the number of prompts that come before that of a request.
    pub(super) fn count_before(&self, now: unit::Timestamp, request: &plan::PlanRequest) -> usize {
        let place = self.place(now, request);
        let earlier = self.prompts.values().filter(|other| other.place() < place);
        earlier.count()
    }

    /// Returns the time to prefill the prompts that come before that of a request, in milliseconds.
    pub(super) fn prefill_ms_before(
        &self,
        now: unit::Timestamp,
        request: &plan::PlanRequest,
    ) -> f64 {
        let place = self.place(now, request);
        let earlier = self.prompts.values().filter(|other| other.place() < place);
        earlier.map(WaitingState::prefill_ms).sum()
    }

    /// Returns the memory that is set aside on an engine for prompts that come before that of a
    /// request.
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

    /// Returns the memory that is set aside for a prompt.
    pub(super) fn parts(&self, id: grant::RequestId) -> &[MemoryPart] {
        self.prompts.get(&id).map_or(&[], WaitingState::parts)
    }

    /// Returns how much more memory may be set aside for a prompt now, out of `pool_memory`.
    ///
    /// The prompts that come first have the first claim to what may be set aside. If nothing is left
    /// for the prompt, what it holds is given back. The first prompt may exceed the limit.
    pub(super) fn take_allowance(
        &mut self,
        id: grant::RequestId,
        pool_memory: unit::Tokens,
    ) -> unit::Tokens {
        let Some(state) = self.prompts.get(&id) else {
            return unit::Tokens::ZERO;
        };
        let place = state.place();
        let (memory, shortfall) = (state.memory(), state.shortfall());
        let mut before = self
            .prompts
            .values()
            .filter(|other| other.place() < place)
            .peekable();
        if before.peek().is_none() {
            return shortfall;
        }
        let before: unit::Tokens = before.map(WaitingState::memory).sum();
        if before + memory <= pool_memory.percent(MAX_SET_ASIDE_PERCENT) {
            return shortfall;
        }
        self.retain_usable(id, |_| false);
        unit::Tokens::ZERO
    }

    /// Returns the memory that the waiting prompts need together.
    pub(super) fn demand(&self) -> unit::Tokens {
        self.prompts.values().map(WaitingState::memory).sum()
    }

    /// Returns the memory that is set aside for all prompts.
    pub(super) fn total_set_aside(&self) -> unit::Tokens {
        self.all_parts().map(|part| part.tokens).sum()
    }

    /// Returns the parts of all prompts.
    pub(super) fn all_parts(&self) -> impl Iterator<Item = &MemoryPart> {
        self.prompts.values().flat_map(WaitingState::parts)
    }

    /// Returns the number of waiting prompts.
    pub(super) fn len(&self) -> usize {
        self.prompts.len()
    }

    fn give_back(&mut self, state: &WaitingState) {
        for part in state.parts() {
            give_back(&mut self.set_aside, state.place(), part);
        }
    }
}

/// Removes a part from the memory that is set aside on its engine.
fn give_back(
    set_aside: &mut collections::BTreeMap<
        name::UpstreamName,
        collections::BTreeMap<Place, unit::Tokens>,
    >,
    place: Place,
    part: &MemoryPart,
) {
    if let Some(parts) = set_aside.get_mut(&part.upstream) {
        parts.remove(&place);
        if parts.is_empty() {
            set_aside.remove(&part.upstream);
        }
    }
}
