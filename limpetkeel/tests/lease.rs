//! Version orders: lease lifetimes on the holder's clock, and updates of one upstream at a time.

use limpetkeel::{
    Capacity, Decision, Declarations, Era, FencingNumber, KEEPER_HANDOVER, Keeper, LEASE_LIFETIME,
    LeaseState, LoadReport, MAX_HOLDER_PAUSE, Millis, ORDER_TIMEOUT, OutputUsage, PlacementRequest,
    Rank, RequestId, RequestSize, Revision, Tables, Timestamp, Tokens, TokensPerSecond,
    UpstreamName,
};

/// The time at which a lease granted at zero becomes held, in milliseconds.
const HELD_FROM: u64 = KEEPER_HANDOVER.0;

/// Returns a lease that was granted at zero and has become held at [`HELD_FROM`].
fn held_lease(fencing: u64) -> LeaseState {
    let start = LeaseState::None.apply_grant(Timestamp(0), Timestamp(0), FencingNumber(fencing));
    let at = Timestamp(HELD_FROM);
    start
        .apply_grant(at, at, FencingNumber(fencing))
        .update(at, true)
}

#[test]
fn a_holder_stops_on_its_own_clock_before_the_lease_can_expire() {
    let mut lease = held_lease(1);
    assert_eq!(
        lease.order_fencing(Timestamp(HELD_FROM)),
        Some(FencingNumber(1))
    );
    let last = HELD_FROM + LEASE_LIFETIME.0 - ORDER_TIMEOUT.0;
    for now in (HELD_FROM..=last).step_by(500) {
        lease = lease.update(Timestamp(now), true);
    }
    assert_eq!(
        lease.order_fencing(Timestamp(last)),
        None,
        "an order could outlive the lease"
    );
}

#[test]
fn a_slow_response_does_not_extend_the_lease() {
    // Requested at 0 with a response at 5,000: the lease may have started at 0.
    let lease = LeaseState::None.apply_grant(Timestamp(0), Timestamp(5_000), FencingNumber(1));
    let lease = lease.update(Timestamp(5_000 + HELD_FROM), true);
    assert_eq!(lease.order_fencing(Timestamp(5_000 + HELD_FROM)), None);
}

#[test]
fn a_new_holder_waits_until_other_keepers_have_stopped() {
    let start = LeaseState::None.apply_grant(Timestamp(0), Timestamp(0), FencingNumber(2));
    let early = start.update(Timestamp(HELD_FROM - 1), true);
    assert!(matches!(early, LeaseState::Waiting(_)));
    let renewed = early.apply_grant(Timestamp(HELD_FROM), Timestamp(HELD_FROM), FencingNumber(2));
    assert!(matches!(
        renewed.update(Timestamp(HELD_FROM), true),
        LeaseState::Held(_)
    ));
}

#[test]
fn a_new_holder_waits_for_earlier_orders_if_upstreams_do_not_check_fencing() {
    let start = LeaseState::None.apply_grant(Timestamp(0), Timestamp(0), FencingNumber(2));
    let early = start.update(Timestamp(HELD_FROM + ORDER_TIMEOUT.0), false);
    assert!(matches!(early, LeaseState::Waiting(_)));
    assert!(matches!(
        early.update(Timestamp(HELD_FROM + 2_000), false),
        LeaseState::Held(_)
    ));
}

#[test]
fn a_holder_that_was_paused_returns_to_waiting() {
    let lease = held_lease(1);
    let resumed = Timestamp(HELD_FROM + MAX_HOLDER_PAUSE.0 + 1);
    // The lease itself has not expired.
    assert_eq!(lease.order_fencing(resumed), None);
    assert!(matches!(
        lease.update(resumed, true),
        LeaseState::Waiting(_)
    ));
}

#[test]
fn an_expired_lease_that_is_granted_again_returns_to_waiting() {
    let lease = held_lease(1);
    let later = Timestamp(HELD_FROM + 9_000);
    let lease = lease.apply_grant(later, later, FencingNumber(3));
    assert_eq!(
        lease.order_fencing(later),
        None,
        "another instance may have held the lease"
    );
}

fn keeper() -> Keeper {
    let declarations: Declarations =
        toml::from_str("[pools.p]\nkind = \"model\"\n").expect("declarations");
    let tables = Tables::try_from((Revision::new(Era(1), 1), declarations)).expect("tables");
    let mut keeper = Keeper::new(tables.pools().next().expect("pool"));
    let address = ([127, 0, 0, 1], 1).into();
    keeper.set_upstreams(&[(upstream(0), address), (upstream(1), address)]);
    (0..2).for_each(|index| report(&mut keeper, 0, index, "v1"));
    keeper
}

fn upstream(index: u64) -> UpstreamName {
    UpstreamName::try_from(format!("u{index}")).expect("name")
}

fn report(keeper: &mut Keeper, now: u64, index: u64, version: &str) {
    let capacity = Capacity {
        memory: Tokens(100_000),
        slots: 4,
        prefill_speed: TokensPerSecond(10_000),
    };
    let report = LoadReport {
        capacity,
        running: Vec::new(),
        version: Some(version.to_owned()),
    };
    keeper
        .apply_report(Timestamp(now), &upstream(index), &report)
        .expect("report");
}

/// Queues a short urgent request and returns the upstreams of all grants that follow.
fn place(keeper: &mut Keeper, id: u64) -> Vec<UpstreamName> {
    let request = PlacementRequest {
        id: RequestId(id),
        instance: "entry".try_into().expect("name"),
        pool: "p".try_into().expect("name"),
        workspace: "w".try_into().expect("name"),
        rank: Rank::Urgent,
        size: RequestSize {
            prompt: Tokens(100),
            output: Tokens(10),
        },
        remaining: Millis(60_000),
        prefixes: Vec::new(),
        excluded_upstreams: Vec::new(),
    };
    keeper.enqueue(Timestamp(0), request).expect("queued");
    let decisions = keeper.dispatch(Timestamp(0));
    let granted = decisions.into_iter().filter_map(|decision| match decision {
        Decision::Granted(grant) => grant
            .upstreams
            .into_iter()
            .next()
            .map(|target| target.upstream),
        Decision::Refused(..) => None,
    });
    granted.collect()
}

#[test]
fn an_upstream_drains_before_a_version_update() {
    let mut keeper = keeper();
    let busy: Vec<_> = (0..2).flat_map(|id| place(&mut keeper, id)).collect();
    assert_eq!(busy.len(), 2);
    assert_eq!(
        keeper.next_version_order(Timestamp(0), "v2"),
        None,
        "both upstreams are in use"
    );
    // The draining upstream gets no new request.
    let other = place(&mut keeper, 2);
    let draining = busy
        .iter()
        .find(|name| **name != other[0])
        .expect("draining")
        .clone();
    let id = busy.iter().position(|name| *name == draining).expect("id") as u64;
    keeper.release(
        Timestamp(0),
        RequestId(id),
        std::slice::from_ref(&draining),
        OutputUsage::default(),
    );
    let ordered = keeper
        .next_version_order(Timestamp(0), "v2")
        .expect("empty now");
    assert_eq!(ordered.upstream, draining);
    // The order is repeated until the upstream reports the version, and the other upstream accepts
    // requests.
    assert_eq!(
        keeper
            .next_version_order(Timestamp(0), "v2")
            .expect("again")
            .upstream,
        draining
    );
    assert_eq!(place(&mut keeper, 3), other);
    let index = u64::from(draining == upstream(1));
    report(&mut keeper, 1, index, "v2");
    assert_eq!(
        keeper.next_version_order(Timestamp(1), "v2"),
        None,
        "the other upstream is still in use"
    );
    assert_eq!(
        place(&mut keeper, 4),
        [draining],
        "the updated upstream accepts requests again"
    );
}

#[test]
fn a_draining_upstream_accepts_requests_again_when_orders_stop() {
    let mut keeper = keeper();
    let busy: Vec<_> = (0..2).flat_map(|id| place(&mut keeper, id)).collect();
    assert_eq!(busy.len(), 2);
    assert_eq!(keeper.next_version_order(Timestamp(0), "v2"), None);
    let other = place(&mut keeper, 2);
    keeper.stop_version_orders();
    assert_ne!(
        place(&mut keeper, 3),
        other,
        "the less loaded upstream accepts requests again"
    );
}
