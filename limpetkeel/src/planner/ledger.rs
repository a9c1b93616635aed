//! What became of plans: assertions of other planners' plans, first tokens, ends and lapses.

use crate::{
    grant, name, plan,
    planner::{self, health, upstream},
    unit,
};

/// A plan that is not settled lapses this long after its request's deadline.
const LAPSE_GRACE: unit::Millis = unit::Millis(500);

#[derive(Debug)]
pub(super) struct Ledger {
    pub(super) parts: Vec<name::UpstreamName>,
    /// The reading of each part, in milliseconds.
    pub(super) part_ms: f64,
    pub(super) planned: unit::Timestamp,
    pub(super) estimate: unit::Millis,
    pub(super) lapses: unit::Timestamp,
}

impl planner::Planner {
    /// Enters a plan that another planner made.
    pub fn assert(&mut self, now: unit::Timestamp, assertion: &plan::Assertion) {
        if !self.plans.contains_key(&assertion.plan.id) {
            self.enter(now, assertion);
        }
    }

    /// Enters a plan in the ledgers of its upstreams; its reading too, unless its answer has begun.
    pub(super) fn enter(&mut self, now: unit::Timestamp, assertion: &plan::Assertion) {
        let plan::Assertion { plan, work, .. } = assertion;
        let mut reserved = unit::Tokens::ZERO;
        for helper in &plan.helpers {
            if let Some(tokens) = helper.reserve
                && let Some(upstream) = self.upstreams.get_mut(&helper.place.upstream)
            {
                upstream.reserve(plan.id, tokens);
                reserved += tokens;
            }
        }
        let length = if self.is_long(work.prompt) {
            upstream::Length::Long
        } else {
            upstream::Length::Short
        };
        if let Some(lead) = self.upstreams.get_mut(&plan.lead.upstream) {
            let stream = upstream::Stream {
                memory: work.memory().saturating_sub(reserved),
                length,
                pause: assertion.objective.pause,
            };
            lead.write(plan.id, stream);
        }
        let helpers = plan.helpers.iter().map(|helper| &helper.place);
        let places = helpers.chain([&plan.lead]);
        let parts: Vec<_> = places.map(|place| place.upstream.clone()).collect();
        let part_ms = self
            .timing
            .map_or(0.0, |timing| timing.part_ms(work.prompt, parts.len()));
        let reading = parts.iter().filter(|_| !assertion.begun);
        for name in reading {
            if let Some(upstream) = self.upstreams.get_mut(name) {
                upstream.read(now, part_ms);
            }
        }
        let ledger = Ledger {
            parts,
            part_ms,
            planned: now,
            estimate: plan.estimate,
            lapses: now.after(assertion.remaining + LAPSE_GRACE),
        };
        self.plans.insert(plan.id, ledger);
    }

    /// Takes in that the answer under a plan has begun.
    ///
    /// An engine that took longer than planned has work of which this planner does not know, or
    /// is slow; it is planned with that delay for a while.
    pub fn begun(&mut self, now: unit::Timestamp, id: grant::RequestId) {
        let Some(ledger) = self.plans.get(&id) else {
            return;
        };
        let took = now.since(ledger.planned).0 as f64;
        let delay = took - ledger.estimate.0 as f64;
        // With helpers, nobody knows which engine was late.
        if let [alone] = &ledger.parts[..]
            && let Some(upstream) = self.upstreams.get_mut(alone)
        {
            upstream.note_delay(now, delay);
        }
    }

    /// Takes in how an upstream fared, and ends its plan unless the request goes on under it.
    pub fn settle(&mut self, now: unit::Timestamp, settlement: &plan::Settlement) {
        let zone = self
            .upstreams
            .get(&settlement.upstream)
            .map(|upstream| upstream.availability_zone().clone());
        if let Some(zone) = zone {
            let seen = health::Seen {
                from: &settlement.availability_zone,
                upstream: &settlement.upstream,
                zone: &zone,
            };
            self.health.note(now, seen, settlement.verdict);
        }
        self.release(now, settlement.id, settlement.begun);
    }

    /// Gives back what a plan takes; its reading too, if the prompt was not read.
    fn release(&mut self, now: unit::Timestamp, id: grant::RequestId, read: bool) {
        let Some(ledger) = self.plans.remove(&id) else {
            return;
        };
        for name in &ledger.parts {
            if let Some(upstream) = self.upstreams.get_mut(name) {
                upstream.release(id);
                if !read {
                    upstream.unread(now, ledger.part_ms);
                }
            }
        }
    }

    /// Releases the plans that have lapsed.
    pub(super) fn expire(&mut self, now: unit::Timestamp) {
        let lapsed: Vec<_> = self
            .plans
            .iter()
            .filter(|(_, ledger)| ledger.lapses <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in lapsed {
            self.release(now, id, true);
        }
    }

    /// Returns the number of plans that have not ended.
    pub fn in_progress(&self) -> usize {
        self.plans.len()
    }
}
