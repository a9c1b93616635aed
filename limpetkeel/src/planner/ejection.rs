//! The ejection of upstreams that fail while others of their pool do not.
//!
//! An upstream that fails at once has an empty ledger and looks idle, so that it would be chosen again
//! and again. The results of each upstream are compared with the mean of its pool, without the
//! worst upstreams, which may be ejected: a failure that all of them share ejects none.

mod decision;
mod record;
mod tally;

use std::collections;

pub use decision::{EjectionDecision, EjectionDecisionKind, Reason};

pub(super) use decision::Evidence;

use crate::{grant, name, planner::upstream, unit};

/// The time from the first ejection of an upstream to its trial.
const MIN_TRIAL_INTERVAL: unit::Millis = unit::Millis(1_000);

/// The longest time from an ejection to a trial.
const MAX_TRIAL_INTERVAL: unit::Millis = unit::Millis(8_000);

/// The largest fraction of the upstreams of a pool that is ejected.
const MAX_EJECTED_FRACTION: f64 = 0.3;

/// The smallest pool of which an upstream is ejected.
const MIN_POOL: usize = 3;

/// The mean failure rate of the upstreams in service from which a failure is shared by the pool.
const SHARED_RATE: f64 = 0.5;

/// The number of failures that an upstream in service must have more than an ejected one to take its
/// place.
const REPLACEMENT_MARGIN: u32 = 3;

/// How long a pool gets no repeatable request before another one is used for a trial. Otherwise a pool
/// without such requests would never get an upstream back.
const REPEATABLE_TIMEOUT: unit::Millis = unit::Millis(10_000);

/// The largest fraction of its remaining time that a trial may take, so that it can be repeated.
pub(super) const MAX_TRIAL_FRACTION: f64 = 0.45;

/// The gain of sending a request as a trial, in milliseconds. It exceeds all costs.
pub(super) const TRIAL_GAIN_MS: f64 = 1e6;

/// A result of a plan on one upstream.
#[derive(Clone, Copy)]
pub(super) struct Observation<'a> {
    pub(super) upstream: &'a name::UpstreamName,
    pub(super) start_time: u64,
    pub(super) plan: grant::RequestId,
    pub(super) planned_at: unit::Timestamp,
    pub(super) evidence: Evidence,
    /// Whether the upstream must stay in service.
    pub(super) is_needed: bool,
}

/// The upstreams of a pool with results, and those that are ejected.
#[derive(Debug, Default)]
pub(super) struct Ejections {
    records: collections::BTreeMap<name::UpstreamName, record::RecordState>,
    upstream_count: usize,
    ejected: usize,
    last_repeatable: unit::Timestamp,
    decisions: Vec<EjectionDecision>,
}

impl Ejections {
    /// Forgets the processes that have ended. If the pool has become so small that too many upstreams
    /// are ejected, those with the fewest failures are used again.
    pub(super) fn set_upstreams(
        &mut self,
        upstreams: &collections::BTreeMap<name::UpstreamName, upstream::Upstream>,
    ) {
        self.upstream_count = upstreams.len();
        self.records.retain(|name, record| {
            let upstream = upstreams.get(name);
            upstream.is_some_and(|upstream| upstream.start_time() == record.start_time())
        });
        let records = self.records.values();
        self.ejected = records.filter(|record| record.is_out_of_service()).count();
        while self.ejected > self.max_ejected() {
            let Some((name, _)) = self.fewest_failures() else {
                return;
            };
            self.release(unit::Timestamp::ZERO, &name, EjectionDecisionKind::Replaced);
        }
    }

    fn max_ejected(&self) -> usize {
        if self.upstream_count < MIN_POOL {
            return 0;
        }
        ((self.upstream_count as f64 * MAX_EJECTED_FRACTION) as usize).max(1)
    }

    /// Returns the number of ejected upstreams.
    pub(super) fn count(&self) -> usize {
        self.ejected
    }

    pub(super) fn take_decisions(&mut self) -> Vec<EjectionDecision> {
        std::mem::take(&mut self.decisions)
    }

    /// Records that a request that may be repeated has arrived.
    pub(super) fn record_repeatable(&mut self, now: unit::Timestamp) {
        self.last_repeatable = now;
    }

    /// Returns `true` unless the upstream is ejected, on trial or recovering.
    pub(super) fn is_serving(&self, name: &name::UpstreamName) -> bool {
        let record = self.records.get(name);
        record.is_none_or(|record| matches!(record, record::RecordState::Serving(_)))
    }

    /// Returns `true` if the upstream is neither ejected nor on trial.
    pub(super) fn is_in_service(&self, name: &name::UpstreamName) -> bool {
        let record = self.records.get(name);
        record.is_none_or(|record| !record.is_out_of_service())
    }

    /// Returns `true` if a plan is the trial of an upstream.
    pub(super) fn is_on_trial(&self, name: &name::UpstreamName, plan: grant::RequestId) -> bool {
        match self.records.get(name) {
            Some(record::RecordState::OnTrial(record)) => record.plan() == plan,
            _ => false,
        }
    }

    /// Returns `true` if an ejected upstream may be tried now with a request.
    pub(super) fn is_due(
        &self,
        now: unit::Timestamp,
        name: &name::UpstreamName,
        repeatable: bool,
    ) -> bool {
        match self.records.get(name) {
            Some(record::RecordState::Ejected(record)) => {
                record.is_due(now) && self.may_risk(now, record.since(), repeatable)
            }
            _ => false,
        }
    }

    /// Returns `true` if an upstream that is not in service without restriction may get a request.
    fn may_risk(&self, now: unit::Timestamp, since: unit::Timestamp, repeatable: bool) -> bool {
        let waiting_since = since.max(self.last_repeatable);
        repeatable || now.since(waiting_since) >= REPEATABLE_TIMEOUT
    }

    /// Returns `true` if an upstream with so many streams may get a request that one upstream serves.
    pub(super) fn admits(
        &self,
        now: unit::Timestamp,
        name: &name::UpstreamName,
        stream_count: usize,
        repeatable: bool,
    ) -> bool {
        match self.records.get(name) {
            None | Some(record::RecordState::Serving(_)) => true,
            Some(record::RecordState::Ejected(_)) => self.is_due(now, name, repeatable),
            Some(record::RecordState::OnTrial(_)) => false,
            Some(record::RecordState::Recovering(record)) => {
                record.accepts(stream_count)
                    && self.may_risk(now, unit::Timestamp::ZERO, repeatable)
            }
        }
    }

    /// Begins the trial of an ejected upstream with a plan.
    pub(super) fn begin_trial(&mut self, name: &name::UpstreamName, plan: grant::RequestId) {
        match self.records.remove(name) {
            Some(record::RecordState::Ejected(record)) => {
                let on_trial = record.begin_trial(plan);
                self.insert(name, record::RecordState::OnTrial(on_trial));
            }
            Some(other) => self.insert(name, other),
            None => {}
        }
    }

    /// Ends the trial with a plan, if it has not ended with a result.
    pub(super) fn end_trial(
        &mut self,
        now: unit::Timestamp,
        name: &name::UpstreamName,
        plan: grant::RequestId,
    ) {
        match self.records.remove(name) {
            Some(record::RecordState::OnTrial(record)) if record.plan() == plan => {
                let ejected = record.abandon(now);
                self.insert(name, record::RecordState::Ejected(ejected));
            }
            Some(other) => self.insert(name, other),
            None => {}
        }
    }

    fn insert(&mut self, name: &name::UpstreamName, record: record::RecordState) {
        self.records.insert(name.clone(), record);
    }

    fn decide(&mut self, name: &name::UpstreamName, kind: EjectionDecisionKind) {
        self.decisions.push(EjectionDecision {
            upstream: name.clone(),
            kind,
            ejected: self.ejected,
        });
    }

    /// Returns the ejected upstream with the fewest failures, and their number.
    fn fewest_failures(&self) -> Option<(name::UpstreamName, u32)> {
        let out = self.records.iter().filter(|(_, r)| r.is_out_of_service());
        let failures = out.map(|(name, record)| (name, record.tally().failures_in_row()));
        let fewest = failures.min_by_key(|(_, failures)| *failures);
        fewest.map(|(name, failures)| (name.clone(), failures))
    }

    /// Returns an ejected upstream to service without a trial.
    fn release(
        &mut self,
        now: unit::Timestamp,
        name: &name::UpstreamName,
        kind: EjectionDecisionKind,
    ) {
        let released = match self.records.remove(name) {
            Some(record::RecordState::Ejected(record)) => record.release(now),
            Some(record::RecordState::OnTrial(record)) => record.abandon(now).release(now),
            Some(other) => return self.insert(name, other),
            None => return,
        };
        self.insert(name, record::RecordState::Serving(released));
        self.ejected -= 1;
        self.decide(name, kind);
    }

    /// Returns the mean rates of the upstreams in service, without the worst ones that may yet be
    /// ejected. Upstreams without results count as sound.
    fn pool_rates(&self, now: unit::Timestamp) -> tally::Rates {
        let in_service = self.records.values().filter(|r| !r.is_out_of_service());
        let rates: Vec<_> = in_service.map(|r| r.tally().rates(now)).collect();
        let kept = (self.upstream_count - self.ejected.min(self.upstream_count))
            .saturating_sub(self.max_ejected().saturating_sub(self.ejected))
            .max(1);
        let unknown = (self.upstream_count - self.ejected).saturating_sub(rates.len());
        let mean = |mut rates: Vec<f64>| {
            rates.sort_by(f64::total_cmp);
            let known = kept.saturating_sub(unknown);
            rates.into_iter().take(known).sum::<f64>() / kept as f64
        };
        tally::Rates {
            failures: mean(rates.iter().map(|rates| rates.failures).collect()),
            declines: mean(rates.iter().map(|rates| rates.declines).collect()),
            slow: mean(rates.iter().map(|rates| rates.slow).collect()),
        }
    }

    /// Records a result.
    pub(super) fn record(&mut self, now: unit::Timestamp, observed: Observation<'_>) {
        let name = observed.upstream;
        let known = self.records.remove(name);
        let known = known.unwrap_or_else(|| {
            let new = record::Record::<record::Serving>::new(observed.start_time);
            record::RecordState::Serving(new)
        });
        match (known, observed.evidence) {
            (record::RecordState::Serving(mut record), evidence) => {
                let counts = record.covers(observed.planned_at);
                if counts {
                    record.tally.record(now, evidence);
                }
                self.insert(name, record::RecordState::Serving(record));
                if let (true, Evidence::Failure(reason)) = (counts, evidence) {
                    self.judge(now, observed, reason);
                }
            }
            (record::RecordState::Ejected(record), Evidence::Success)
                if observed.planned_at > record.since() =>
            {
                let recovering = record.recover(now);
                self.ejected -= 1;
                self.insert(name, record::RecordState::Recovering(recovering));
            }
            (record::RecordState::OnTrial(record), evidence) if record.plan() == observed.plan => {
                match evidence {
                    Evidence::Success => {
                        let recovering = record.succeed(now);
                        self.ejected -= 1;
                        self.insert(name, record::RecordState::Recovering(recovering));
                    }
                    Evidence::Failure(reason) => {
                        let mut ejected = record::RecordState::Ejected(record.fail(now));
                        ejected.tally_mut().record(now, evidence);
                        self.insert(name, ejected);
                        self.decide(name, EjectionDecisionKind::EjectedAgain(reason));
                    }
                }
            }
            (record::RecordState::Recovering(record), evidence)
                if record.covers(observed.planned_at) =>
            {
                self.record_recovering(now, name, record, evidence);
            }
            (other, _) => self.insert(name, other),
        }
    }

    /// Records a result of a recovering upstream.
    fn record_recovering(
        &mut self,
        now: unit::Timestamp,
        name: &name::UpstreamName,
        recovering: record::Record<record::Recovering>,
        evidence: Evidence,
    ) {
        match evidence {
            Evidence::Success => match recovering.succeed(now) {
                Ok(recovering) => self.insert(name, record::RecordState::Recovering(recovering)),
                Err(serving) => {
                    self.insert(name, record::RecordState::Serving(serving));
                    self.decide(name, EjectionDecisionKind::Recovered);
                }
            },
            Evidence::Failure(reason) => {
                let mut ejected = record::RecordState::Ejected(recovering.fail(now));
                ejected.tally_mut().record(now, evidence);
                self.insert(name, ejected);
                self.ejected += 1;
                self.decide(name, EjectionDecisionKind::EjectedAgain(reason));
                self.keep_bound(now, name);
            }
        }
    }

    /// Returns upstreams to service while more than the bound are ejected. `latest` is released last.
    fn keep_bound(&mut self, now: unit::Timestamp, latest: &name::UpstreamName) {
        while self.ejected > self.max_ejected() {
            let fewest = self.fewest_failures().map(|(name, _)| name);
            let name = fewest.unwrap_or_else(|| latest.clone());
            self.release(now, &name, EjectionDecisionKind::Replaced);
        }
    }

    /// Ejects an upstream in service that has failed if its results are far worse than those of the
    /// pool.
    fn judge(&mut self, now: unit::Timestamp, observed: Observation<'_>, reason: Reason) {
        let name = observed.upstream;
        let pool = self.pool_rates(now);
        match reason {
            Reason::Slow if pool.slow >= SHARED_RATE => return,
            Reason::Declined if pool.declines >= SHARED_RATE => return self.release_all(now),
            Reason::Failed | Reason::Crashed | Reason::Silent if pool.failures >= SHARED_RATE => {
                return self.release_all(now);
            }
            _ => {}
        }
        let Some(record) = self.records.get(name) else {
            return;
        };
        let tally = record.tally();
        if observed.is_needed || !tally.is_outlier(now, reason, pool) {
            return;
        }
        let failures = tally.failures_in_row();
        if self.ejected >= self.max_ejected() {
            let Some((replaced, fewest)) = self.fewest_failures() else {
                return;
            };
            if failures < fewest + REPLACEMENT_MARGIN {
                return;
            }
            self.release(now, &replaced, EjectionDecisionKind::Replaced);
        }
        if let Some(record::RecordState::Serving(record)) = self.records.remove(name) {
            let ejected = record.eject(now);
            self.insert(name, record::RecordState::Ejected(ejected));
            self.ejected += 1;
            self.decide(name, EjectionDecisionKind::Ejected(reason));
        }
    }

    /// Returns all upstreams to service, since the others fail as well.
    fn release_all(&mut self, now: unit::Timestamp) {
        let out = self.records.iter().filter(|(_, r)| r.is_out_of_service());
        let names: Vec<_> = out.map(|(name, _)| name.clone()).collect();
        for name in names {
            self.release(now, &name, EjectionDecisionKind::SharedFailure);
            if let Some(record) = self.records.get_mut(&name) {
                record.tally_mut().reset_row();
            }
        }
    }
}
