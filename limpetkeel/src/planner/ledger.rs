//! What became of plans: assertions of other planners' plans, first tokens, ends and lapses.

use crate::{
    grant, name, plan,
    planner::{self, health, upstream},
    unit,
};

/// A plan that is not settled lapses this long after its request's deadline.
pub(super) const LAPSE_GRACE: unit::Millis = unit::Millis(500);

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
        let plan = &assertion.plan;
        if self.plans.contains_key(&plan.id) {
            return;
        }
        let parts = plan.helpers.len() + 1;
        let prompt = assertion.work.prompt;
        let part_ms = self.timing.map_or(0.0, |t| t.part_ms(prompt, parts));
        let mut reserved = unit::Tokens::ZERO;
        let places = plan.helpers.iter().map(|helper| &helper.place);
        let parts: Vec<_> = places
            .chain([&plan.lead])
            .map(|place| place.upstream.clone())
            .collect();
        for helper in &plan.helpers {
            let reserve = helper.reserve.unwrap_or(unit::Tokens::ZERO);
            reserved += reserve;
            if let Some(upstream) = self.upstreams.get_mut(&helper.place.upstream) {
                upstream.reserve(plan.id, reserve);
            }
        }
        if let Some(upstream) = self.upstreams.get_mut(&plan.lead.upstream) {
            let length = if parts.len() > 1 {
                upstream::Length::Long
            } else {
                upstream::Length::Short
            };
            let memory = assertion.work.memory().saturating_sub(reserved);
            upstream.write(plan.id, memory, length);
        }
        if !assertion.begun {
            for name in &parts {
                if let Some(upstream) = self.upstreams.get_mut(name) {
                    upstream.read(now, part_ms);
                }
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
