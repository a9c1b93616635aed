//! The check of a plan against the tables of the instance that is about to send the request.
//!
//! The plan may come from a planner with older tables, and the tables may have changed since the plan
//! was made. An upstream that the local tables do not know yet is no fault: its planner is ahead.

use std::collections;

use crate::{evacuation_list, grant, name, plan, upstream_registry};

/// The reason why an upstream of a plan must not be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StaleReason {
    /// The upstream finishes its requests and accepts no new ones.
    Draining,
    /// The upstream is no longer listed.
    Removed,
    /// The upstream is listed at another address.
    Moved,
    /// The availability zone of the upstream is evacuated.
    Evacuated,
    /// Another process has taken the place of the one for which the plan was accepted.
    Replaced,
}

impl StaleReason {
    /// Returns the code used in metrics and logs.
    pub fn code(self) -> &'static str {
        match self {
            StaleReason::Draining => "draining",
            StaleReason::Removed => "removed",
            StaleReason::Moved => "moved",
            StaleReason::Evacuated => "evacuated",
            StaleReason::Replaced => "replaced",
        }
    }
}

/// A plan that contradicts the local tables.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StalePlan {
    /// The upstream that must not be used.
    pub upstream: name::UpstreamName,
    /// The reason.
    pub reason: StaleReason,
}

/// The processes of a plan's upstreams when the plan was first checked.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PlanProcesses {
    start_times: collections::BTreeMap<name::UpstreamName, u64>,
}

impl PlanProcesses {
    /// Checks the lead and all helpers of a plan, and records their processes at the first check.
    ///
    /// # Errors
    ///
    /// Returns the first upstream that must not be used.
    pub fn check(
        &mut self,
        registry: &upstream_registry::UpstreamRegistry,
        evacuations: &evacuation_list::EvacuationList,
        pool: &name::PoolName,
        plan: &plan::Plan,
    ) -> Result<(), StalePlan> {
        let helpers = plan.helpers.iter().map(|helper| &helper.engine);
        for engine in [&plan.lead].into_iter().chain(helpers) {
            self.check_upstream(registry, evacuations, pool, engine)
                .map_err(|reason| StalePlan {
                    upstream: engine.upstream.clone(),
                    reason,
                })?;
        }
        Ok(())
    }

    /// Checks one upstream, whatever its pool.
    ///
    /// # Errors
    ///
    /// Returns the reason why the upstream must not be used.
    pub fn check_single(
        &mut self,
        registry: &upstream_registry::UpstreamRegistry,
        evacuations: &evacuation_list::EvacuationList,
        upstream: &grant::UpstreamAddress,
    ) -> Result<(), StaleReason> {
        let listed = registry.get(&upstream.upstream);
        match listed.map(|entry| entry.pool.clone()) {
            Some(pool) => self.check_upstream(registry, evacuations, &pool, upstream),
            None if registry.was_removed(&upstream.upstream) => Err(StaleReason::Removed),
            None => Ok(()),
        }
    }

    fn check_upstream(
        &mut self,
        registry: &upstream_registry::UpstreamRegistry,
        evacuations: &evacuation_list::EvacuationList,
        pool: &name::PoolName,
        engine: &grant::UpstreamAddress,
    ) -> Result<(), StaleReason> {
        let Some(entry) = registry.get(&engine.upstream) else {
            return if registry.was_removed(&engine.upstream) {
                Err(StaleReason::Removed)
            } else {
                Ok(())
            };
        };
        if entry.state == upstream_registry::UpstreamState::Draining {
            return Err(StaleReason::Draining);
        }
        if evacuations.contains(&entry.availability_zone) {
            return Err(StaleReason::Evacuated);
        }
        if entry.address != engine.address {
            return Err(StaleReason::Moved);
        }
        if registry.is_missing(&entry.name) && registry.has_present_upstream(pool) {
            return Err(StaleReason::Removed);
        }
        let start_time = self
            .start_times
            .entry(entry.name.clone())
            .or_insert(entry.start_time);
        if *start_time != entry.start_time {
            return Err(StaleReason::Replaced);
        }
        Ok(())
    }
}

/// Returns the upstreams of a pool that the local tables rule out. A planner that has made a stale plan
/// is told all of them, so that its next plan is not stale as well.
pub fn ruled_out_upstreams(
    registry: &upstream_registry::UpstreamRegistry,
    evacuations: &evacuation_list::EvacuationList,
    pool: &name::PoolName,
) -> Vec<name::UpstreamName> {
    let has_present = registry.has_present_upstream(pool);
    let is_ruled_out = |entry: &upstream_registry::Entry| {
        entry.state == upstream_registry::UpstreamState::Draining
            || evacuations.contains(&entry.availability_zone)
            || (has_present && registry.is_missing(&entry.name))
    };
    let entries = registry.known_entries();
    entries
        .filter(|entry| entry.pool == *pool && is_ruled_out(entry))
        .map(|entry| entry.name.clone())
        .collect()
}
