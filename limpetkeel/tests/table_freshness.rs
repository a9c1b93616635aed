//! Tests of plans that are made and used at different revisions of the tables: an upstream that the
//! requesting instance knows to have left must not receive a request, and changes that do not concern
//! placement must not make planners decline.

#[allow(dead_code, reason = "other tests use the rest of the fixtures")]
#[path = "fixtures/pool.rs"]
mod pool;

use limpetkeel::{
    Era, EvacuationList, Millis, Plan, PlanProcesses, Planner, PoolName, Removal, RequesterTables,
    Revision, StaleReason, TableComparison, TableFreshness, Timestamp, UpstreamName,
    UpstreamRegistry, UpstreamRegistryEntry, UpstreamState,
};
use test_case::test_case;

fn revision(number: u64) -> Revision {
    Revision::new(Era(1), number)
}

fn pool_name() -> PoolName {
    "p".try_into().expect("name")
}

/// Returns a registry of six engines at revision 1.
fn registry() -> UpstreamRegistry {
    let mut registry = UpstreamRegistry::default();
    for index in 0..6 {
        assert!(registry.upsert(pool::entry(index)));
    }
    registry
}

/// Returns the tables of a planner in zone `x` that is in contact with the store.
fn planner_tables(number: u64) -> TableFreshness {
    TableFreshness {
        availability_zone: "x".try_into().expect("name"),
        revision: revision(number),
        age: Some(Millis(100)),
        is_disconnected: false,
    }
}

/// Returns what an instance in zone `y` with these upstreams knows.
fn requester_tables(registry: &UpstreamRegistry) -> RequesterTables {
    RequesterTables {
        availability_zone: "y".try_into().expect("name"),
        known_revision: registry.changed_at(&pool_name()),
        age: Some(Millis(100)),
    }
}

/// Returns the entry of an engine with another state and revision.
fn changed(index: usize, state: UpstreamState, number: u64) -> UpstreamRegistryEntry {
    UpstreamRegistryEntry {
        state,
        revision: revision(number),
        ..pool::entry(index)
    }
}

fn remove(registry: &mut UpstreamRegistry, name: &UpstreamName, number: u64) {
    registry.remove(Timestamp(0), name, revision(number), Removal::Certain);
}

/// Returns a plan of a planner whose tables are at revision 1.
fn plan(prompt: u64) -> Plan {
    let mut planner: Planner = pool::planner(6);
    planner
        .plan(Timestamp(0), &pool::plan_request(1, prompt))
        .expect("plan")
}

#[test]
fn a_planner_that_lacks_the_departure_of_an_upstream_is_behind() {
    let mut known = registry();
    known.upsert(changed(0, UpstreamState::Draining, 5));
    let requester = requester_tables(&known);
    assert_eq!(
        planner_tables(4).compare(&requester),
        TableComparison::Behind
    );
    assert_eq!(
        planner_tables(5).compare(&requester),
        TableComparison::Sufficient
    );
    remove(&mut known, &pool::entry(0).name, 7);
    assert_eq!(
        planner_tables(6).compare(&requester_tables(&known)),
        TableComparison::Behind
    );
}

#[test]
fn a_planner_of_an_earlier_era_is_behind() {
    let mut known = registry();
    known.upsert(UpstreamRegistryEntry {
        state: UpstreamState::Draining,
        revision: Revision::new(Era(2), 1),
        ..pool::entry(0)
    });
    let requester = requester_tables(&known);
    assert_eq!(
        planner_tables(900).compare(&requester),
        TableComparison::Behind
    );
}

#[test]
fn a_repeated_entry_makes_no_planner_decline() {
    let mut known = registry();
    for number in 2..40 {
        known.upsert(changed(number as usize % 6, UpstreamState::Ready, number));
    }
    let other_pool = UpstreamRegistryEntry {
        name: "other".try_into().expect("name"),
        pool: "q".try_into().expect("name"),
        ..changed(1, UpstreamState::Ready, 50)
    };
    known.upsert(other_pool);
    assert_eq!(
        planner_tables(1).compare(&requester_tables(&known)),
        TableComparison::Sufficient,
        "heartbeats and changes of another pool do not concern the request"
    );
}

#[test_case(true, "x", 100, TableComparison::Disconnected; "the requesting instance has heard from the store")]
#[test_case(true, "y", 100, TableComparison::Sufficient; "of the same zone")]
#[test_case(true, "x", 8_900, TableComparison::Sufficient; "the requesting instance has lost the store as well")]
#[test_case(false, "x", 100, TableComparison::Sufficient; "a connected planner")]
fn a_planner_without_the_store_declines_for_other_zones(
    is_disconnected: bool,
    zone: &str,
    requester_age: u64,
    expected: TableComparison,
) {
    let planner = TableFreshness {
        availability_zone: zone.try_into().expect("name"),
        age: Some(Millis(9_000)),
        is_disconnected,
        ..planner_tables(1)
    };
    let requester = RequesterTables {
        age: Some(Millis(requester_age)),
        ..requester_tables(&registry())
    };
    assert_eq!(planner.compare(&requester), expected);
}

#[test]
fn an_instance_without_tables_accepts_any_planner() {
    let requester = RequesterTables {
        age: None,
        ..requester_tables(&UpstreamRegistry::default())
    };
    assert_eq!(
        planner_tables(0).compare(&requester),
        TableComparison::Sufficient
    );
}

#[test_case(4_000; "a short prompt")]
#[test_case(130_000; "a prompt with helpers")]
#[test_case(300_000; "a prompt with reservations")]
fn a_plan_with_an_upstream_that_left_is_not_used(prompt: u64) {
    let plan = plan(prompt);
    let helpers = plan.helpers.iter().map(|helper| &helper.engine);
    for engine in helpers.chain([&plan.lead]) {
        let name = &engine.upstream;
        let index: usize = name.as_str()[1..].parse().expect("index");
        let check = |registry: &UpstreamRegistry| {
            let checked = PlanProcesses::default().check(
                registry,
                &EvacuationList::default(),
                &pool_name(),
                &plan,
            );
            checked.map_err(|stale| (stale.upstream, stale.reason))
        };
        let mut known = registry();
        assert_eq!(check(&known), Ok(()));
        known.upsert(changed(index, UpstreamState::Draining, 5));
        let expected = Err((name.clone(), StaleReason::Draining));
        assert_eq!(check(&known), expected);
        remove(&mut known, name, 6);
        let expected = Err((name.clone(), StaleReason::Removed));
        assert_eq!(check(&known), expected);
        known.upsert(UpstreamRegistryEntry {
            address: ([10, 0, 1, 1], 8080).into(),
            ..changed(index, UpstreamState::Ready, 7)
        });
        let expected = Err((name.clone(), StaleReason::Moved));
        assert_eq!(check(&known), expected);
    }
}

#[test]
fn a_process_that_was_replaced_after_the_plan_is_not_used() {
    let plan = plan(4_000);
    let mut processes = PlanProcesses::default();
    let mut known = registry();
    assert_eq!(
        processes.check(&known, &EvacuationList::default(), &pool_name(), &plan),
        Ok(())
    );
    let index: usize = plan.lead.upstream.as_str()[1..].parse().expect("index");
    known.upsert(UpstreamRegistryEntry {
        start_time: 2,
        ..changed(index, UpstreamState::Ready, 5)
    });
    let checked = processes.check(&known, &EvacuationList::default(), &pool_name(), &plan);
    assert_eq!(
        checked.map_err(|stale| stale.reason),
        Err(StaleReason::Replaced)
    );
}

#[test]
fn an_upstream_that_only_the_planner_knows_is_used() {
    let known = UpstreamRegistry::default();
    let checked = PlanProcesses::default().check(
        &known,
        &EvacuationList::default(),
        &pool_name(),
        &plan(4_000),
    );
    assert_eq!(checked, Ok(()));
}

#[test]
fn a_missing_upstream_is_used_only_as_a_last_resort() {
    let plan = plan(4_000);
    let mut known = registry();
    let check = |registry: &UpstreamRegistry| {
        let checked = PlanProcesses::default().check(
            registry,
            &EvacuationList::default(),
            &pool_name(),
            &plan,
        );
        checked.map_err(|stale| stale.reason)
    };
    let lead = &plan.lead.upstream;
    known.remove(Timestamp(0), lead, revision(5), Removal::Doubtful);
    assert_eq!(check(&known), Err(StaleReason::Removed));
    for index in 0..6 {
        let name = pool::entry(index).name;
        known.remove(Timestamp(0), &name, revision(6), Removal::Doubtful);
    }
    assert_eq!(check(&known), Ok(()), "no other upstream is listed");
}
