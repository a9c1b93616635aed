//! The cost of decisions, without processes.

use std::{fs, time};

use limpetkeel::{
    Capacity, Decision, Declarations, Keeper, LoadReport, Millis, OutputUsage, PlacementRequest,
    Rank, RequestId, RequestSize, Revision, Tables, Timestamp, Tokens, TokensPerSecond,
    UpstreamName,
};

/// Placements that are timed.
const PLACEMENTS: u64 = 200_000;

/// What decisions cost at one size.
#[derive(Clone, Copy, Debug, serde::Serialize)]
pub struct Decisions {
    /// Upstreams of the keeper.
    pub upstreams: usize,
    /// Workspaces that send placement requests.
    pub workspaces: usize,
    /// Nanoseconds for one placement request, its grant, its first token and its release.
    pub placement_ns: f64,
    /// Bytes of memory for each workspace with one waiting placement request.
    pub bytes_per_waiting_workspace: f64,
}

fn keeper(upstreams: usize) -> Option<Keeper> {
    let declarations: Declarations = toml::from_str("[pools.p]\nkind = \"model\"\n").ok()?;
    let tables = Tables::try_from((Revision(1), declarations)).ok()?;
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

/// Measures one size; nothing if the sizes make no valid keeper.
pub fn measure(upstreams: usize, workspaces: usize) -> Option<Decisions> {
    let mut keeper = keeper(upstreams)?;
    // One waiting placement request for each workspace.
    let before = memory_bytes();
    for id in 0..workspaces as u64 {
        keeper
            .enqueue(Timestamp(0), placement_request(id, workspaces)?)
            .ok()?;
    }
    let bytes = memory_bytes().saturating_sub(before) as f64 / workspaces as f64;
    let names: Vec<_> = keeper
        .upstreams()
        .map(|upstream| upstream.name().clone())
        .collect();
    let mut spent = time::Duration::ZERO;
    let mut now = 0;
    let mut placed = 0;
    let mut next = workspaces as u64;
    while placed < PLACEMENTS {
        now += 100;
        if now % 1_000 == 0 {
            report_all(&mut keeper, &names, now);
        }
        let started = time::Instant::now();
        let decisions = keeper.dispatch(Timestamp(now));
        spent += started.elapsed();
        for decision in decisions {
            let Decision::Granted(grant) = decision else {
                continue;
            };
            let upstreams: Vec<_> = grant
                .upstreams
                .iter()
                .map(|target| target.upstream.clone())
                .collect();
            let another = placement_request(next, workspaces)?;
            next += 1;
            placed += 1;
            let started = time::Instant::now();
            keeper.release(Timestamp(now), grant.id, &upstreams, OutputUsage::default());
            keeper.enqueue(Timestamp(now), another).ok()?;
            spent += started.elapsed();
        }
    }
    Some(Decisions {
        upstreams,
        workspaces,
        placement_ns: spent.as_nanos() as f64 / placed as f64,
        bytes_per_waiting_workspace: bytes,
    })
}

fn memory_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok())
        .unwrap_or(0)
        * 1_024
}
