//! Injects faults into a fleet and clears them.

use crate::{
    fault,
    fleet::{self, Fleet},
    history, matrix,
    matrix::steps,
    relay,
};

/// An injected fault, with what is needed to clear it.
pub enum ActiveFault {
    /// No fault that can be cleared.
    None,
    /// A frozen daemon, by index.
    FrozenDaemon(usize),
    /// Links cut between zones.
    CutLinks,
    /// A fault of the store.
    StoreFault,
    /// Killed engines, by index.
    KilledEngines(Vec<usize>),
    /// Faults of engines and services.
    UpstreamFaults,
}

/// Injects a fault.
///
/// # Errors
///
/// Returns an error if a process cannot be reached or signalled.
pub async fn inject(
    fault: matrix::Fault,
    step: matrix::Step,
    fleet: &mut Fleet,
    state: &mut steps::RunState,
) -> fleet::Result<ActiveFault> {
    use matrix::Fault;

    match fault {
        Fault::None | Fault::RacingEdit => Ok(ActiveFault::None),
        Fault::DaemonKilled => kill(steps::TARGET_DAEMON, fleet, state),
        Fault::DaemonFrozen => freeze(steps::TARGET_DAEMON, fleet, state),
        Fault::KeeperKilled => kill(find_keeper(step, fleet).await, fleet, state),
        Fault::KeeperFrozen | Fault::LeaseExpired => {
            freeze(find_keeper(step, fleet).await, fleet, state)
        }
        Fault::ZoneCut => {
            fleet
                .set_cuts(&[
                    relay::ZoneCut {
                        first_zone: 1,
                        second_zone: 2,
                    },
                    relay::ZoneCut {
                        first_zone: 1,
                        second_zone: 3,
                    },
                ])
                .await?;
            Ok(ActiveFault::CutLinks)
        }
        Fault::PlatformCut => {
            let platform_cut = |zone| relay::ZoneCut {
                first_zone: zone,
                second_zone: fleet::PLATFORM_ZONE,
            };
            fleet
                .set_cuts(&[platform_cut(1), platform_cut(2), platform_cut(3)])
                .await?;
            Ok(ActiveFault::CutLinks)
        }
        Fault::StoreUnavailable => inject_store_fault(fleet, fault::FaultKind::Refuse).await,
        Fault::StoreSlow => inject_store_fault(fleet, fault::FaultKind::Delay).await,
        Fault::ResponseLost => inject_store_fault(fleet, fault::FaultKind::DropResponse).await,
        Fault::UpstreamKilled => {
            let killed = vec![0, 2];
            for index in &killed {
                fleet.engines[*index].process = None;
            }
            fleet.services[0].process = None;
            Ok(ActiveFault::KilledEngines(killed))
        }
        Fault::UpstreamFrozen => inject_upstream_fault(fleet, fault::FaultKind::Freeze).await,
        Fault::StreamCut => inject_upstream_fault(fleet, fault::FaultKind::Cut).await,
        Fault::StreamTruncated => inject_upstream_fault(fleet, fault::FaultKind::Truncate).await,
        Fault::StreamCrossed => inject_upstream_fault(fleet, fault::FaultKind::MixStreams).await,
        Fault::StreamDuplicated => inject_upstream_fault(fleet, fault::FaultKind::Duplicate).await,
    }
}

/// Returns the index of the daemon in the first zone that keeps the pool used by the step, or
/// [`steps::TARGET_DAEMON`] if no daemon reports that it keeps the pool.
async fn find_keeper(step: matrix::Step, fleet: &Fleet) -> usize {
    let pool = match step {
        matrix::Step::RunOnce => "hire-desk",
        _ => "keel-advisor",
    };
    for (index, daemon) in fleet
        .daemons
        .iter()
        .enumerate()
        .filter(|(_, daemon)| daemon.zone == 1)
    {
        let status = fleet.status(daemon).await;
        if status.is_ok_and(|status| status.kept_pools.iter().any(|kept| kept == pool)) {
            return index;
        }
    }
    steps::TARGET_DAEMON
}

fn kill(
    index: usize,
    fleet: &mut Fleet,
    state: &mut steps::RunState,
) -> fleet::Result<ActiveFault> {
    let daemon = &mut fleet.daemons[index];
    state.begin_outage(&daemon.name);
    daemon.process = None;
    Ok(ActiveFault::None)
}

fn freeze(
    index: usize,
    fleet: &mut Fleet,
    state: &mut steps::RunState,
) -> fleet::Result<ActiveFault> {
    let daemon = &fleet.daemons[index];
    state.begin_outage(&daemon.name);
    if let Some(process) = &daemon.process {
        process.send_signal("STOP")?;
    }
    Ok(ActiveFault::FrozenDaemon(index))
}

async fn inject_store_fault(fleet: &Fleet, kind: fault::FaultKind) -> fleet::Result<ActiveFault> {
    let fault = fault::Fault {
        kind,
        delay_ms: SLOW_STORE_MS,
        count: None,
    };
    fleet.set_store_fault(Some(fault)).await?;
    Ok(ActiveFault::StoreFault)
}

/// The delay of each call of a slow store, in milliseconds. It is below the call timeout of the
/// platform client, 1.5 s, since a call that takes longer fails.
const SLOW_STORE_MS: u64 = 1_000;

async fn inject_upstream_fault(
    fleet: &Fleet,
    kind: fault::FaultKind,
) -> fleet::Result<ActiveFault> {
    let fault = fault::Fault {
        kind,
        delay_ms: 0,
        count: None,
    };
    set_upstream_faults(fleet, Some(fault)).await?;
    Ok(ActiveFault::UpstreamFaults)
}

/// Sets or clears the fault of one engine in each zone and of every service.
async fn set_upstream_faults(fleet: &Fleet, fault: Option<fault::Fault>) -> fleet::Result<()> {
    for engine in fleet.engines.iter().step_by(2) {
        fleet
            .set_fault(&format!("{}/fault", engine.url()), fault)
            .await?;
    }
    for service in &fleet.services {
        fleet
            .set_fault(&format!("{}/_fault", service.url()), fault)
            .await?;
    }
    Ok(())
}

impl ActiveFault {
    /// Clears the fault.
    ///
    /// # Errors
    ///
    /// Returns an error if a process cannot be reached, signalled or restarted.
    pub async fn clear(self, fleet: &mut Fleet, state: &mut steps::RunState) -> fleet::Result<()> {
        match self {
            ActiveFault::None => Ok(()),
            ActiveFault::FrozenDaemon(index) => {
                if let Some(process) = &fleet.daemons[index].process {
                    process.send_signal("CONT")?;
                }
                state.end_outage(&fleet.daemons[index].name);
                Ok(())
            }
            ActiveFault::CutLinks => fleet.set_cuts(&[]).await,
            ActiveFault::StoreFault => fleet.set_store_fault(None).await,
            ActiveFault::KilledEngines(killed) => {
                for index in killed {
                    fleet.restart_engine(index)?;
                }
                Ok(())
            }
            ActiveFault::UpstreamFaults => set_upstream_faults(fleet, None).await,
        }
    }
}

impl steps::RunState {
    fn begin_outage(&mut self, instance: &str) {
        let from = self.now();
        let instance = instance.to_owned();
        self.history_mut().outages.push(history::Outage {
            instance,
            from,
            until: None,
        });
    }

    fn end_outage(&mut self, instance: &str) {
        let now = self.now();
        for outage in &mut self.history_mut().outages {
            if outage.instance == instance {
                outage.until = Some(now);
            }
        }
    }
}
