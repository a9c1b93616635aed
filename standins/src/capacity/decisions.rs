//! Measures the cost of placement decisions in this process, without a fleet.

use std::{fs, time};

use limpetkeel::{
    Capacity, Decision, Declarations, Era, Keeper, LoadReport, Millis, OutputUsage,
    PlacementRequest, Rank, RequestId, RequestSize, Revision, Tables, Timestamp, Tokens,
    TokensPerSecond, UpstreamName,
};

/// The number of placements to time.
const PLACEMENT_COUNT: u64 = 200_000;

/// The cost of placement decisions at one size.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct DecisionCost {
    /// The number of upstreams of the keeper.
    pub upstreams: usize,
    /// The number of workspaces that send placement requests.
    pub workspaces: usize,
    /// The time in nanoseconds to queue a placement request, grant it and release the grant.
    pub placement_ns: f64,
    /// The resident memory in bytes for each workspace with one waiting placement request.
    pub bytes_per_waiting_workspace: f64,
}

fn new_keeper(upstreams: usize) -> Option<Keeper> {
    let declarations: Declarations = toml::from_str("[pools.p]\nkind = \"model\"\n").ok()?;
    let tables = Tables::try_from((Revision::new(Era::default(), 1), declarations)).ok()?;
    let mut keeper = Keeper::new(tables.pools().next()?);
    let names = (0..upstreams).map(|index| UpstreamName::try_from(format!("u{index}")).ok());
    let names: Vec<_> = names.collect::<Option<_>>()?;
    let listed: Vec<_> = names
        .iter()
        .map(|name| (name.clone(), ([127, 0, 0, 1], 1).into()))
        .collect();
    keeper.set_upstreams(&listed);
    report_all(&mut keeper, &names, 0);
    Some(keeper)
}

fn report_all(keeper: &mut Keeper, names: &[UpstreamName], now: u64) {
    let capacity = Capacity {
        memory: Tokens(400_000),
        slots: 32,
        prefill_speed: TokensPerSecond(40_000),
    };
    let report = LoadReport {
        capacity,
        running: Vec::new(),
        version: None,
    };
    for name in names {
        let _ = keeper.apply_report(Timestamp(now), name, &report);
    }
}

fn placement_request(id: u64, workspaces: usize) -> Option<PlacementRequest> {
    let workspace = id as usize % workspaces;
    Some(PlacementRequest {
        id: RequestId(id),
        instance: "entry".try_into().ok()?,
        pool: "p".try_into().ok()?,
        workspace: format!("workspace-{workspace}").as_str().try_into().ok()?,
        rank: Rank::ALL[id as usize % 3],
        size: RequestSize {
            prompt: Tokens(1_000),
            output: Tokens(100),
        },
        remaining: Millis(600_000_000),
        prefixes: vec![id % 100, id],
        excluded_upstreams: Vec::new(),
    })
}

/// Measures the cost of decisions at one size. Returns `None` if no valid keeper or placement
/// request can be created for it.
pub fn measure(upstreams: usize, workspaces: usize) -> Option<DecisionCost> {
    let mut keeper = new_keeper(upstreams)?;
    // Queues one placement request for each workspace.
    let before = resident_memory_bytes();
    for id in 0..workspaces as u64 {
        keeper
            .enqueue(Timestamp(0), placement_request(id, workspaces)?)
            .ok()?;
    }
    let bytes_per_workspace =
        resident_memory_bytes().saturating_sub(before) as f64 / workspaces as f64;
    let names: Vec<_> = keeper
        .upstreams()
        .map(|upstream| upstream.name().clone())
        .collect();
    let mut decision_time = time::Duration::ZERO;
    let mut now = 0;
    let mut placed = 0;
    let mut next_id = workspaces as u64;
    while placed < PLACEMENT_COUNT {
        now += 100;
        if now % 1_000 == 0 {
            report_all(&mut keeper, &names, now);
        }
        let started = time::Instant::now();
        let decisions = keeper.dispatch(Timestamp(now));
        decision_time += started.elapsed();
        for decision in decisions {
            let Decision::Granted(grant) = decision else {
                continue;
            };
            let upstreams: Vec<_> = grant
                .upstreams
                .iter()
                .map(|target| target.upstream.clone())
                .collect();
            let next_request = placement_request(next_id, workspaces)?;
            next_id += 1;
            placed += 1;
            let started = time::Instant::now();
            keeper.release(Timestamp(now), grant.id, &upstreams, OutputUsage::default());
            keeper.enqueue(Timestamp(now), next_request).ok()?;
            decision_time += started.elapsed();
        }
    }
    Some(DecisionCost {
        upstreams,
        workspaces,
        placement_ns: decision_time.as_nanos() as f64 / placed as f64,
        bytes_per_waiting_workspace: bytes_per_workspace,
    })
}

fn resident_memory_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok())
        .unwrap_or(0)
        * 1_024
}
