//! Tests of the planner: evacuated availability zones.

#[allow(dead_code, reason = "other tests use the rest of the fixtures")]
#[path = "fixtures/pool.rs"]
mod pool;

use std::collections;

use limpetkeel::{
    AvailabilityZoneName, Era, Error, EvacuationEntry, EvacuationList, Plan, PlanProcesses,
    Planner, RequestSize, Revision, StaleReason, Timestamp, UpstreamName, UpstreamRegistry,
};
use test_case::test_case;

fn zones(names: &[&str]) -> collections::BTreeSet<AvailabilityZoneName> {
    let zones = names.iter().map(|name| (*name).try_into().expect("name"));
    zones.collect()
}

/// Returns the lead and the helpers of a plan.
fn engines(plan: &Plan) -> Vec<&UpstreamName> {
    let helpers = plan.helpers.iter().map(|helper| &helper.engine.upstream);
    helpers.chain([&plan.lead.upstream]).collect()
}

fn plan(planner: &mut Planner, now: u64, id: u64, prompt: u64) -> limpetkeel::Result<Plan> {
    planner.plan(Timestamp(now), &pool::plan_request(id, prompt))
}

#[test_case(4_000, &["x"]; "a short prompt")]
#[test_case(130_000, &["x"]; "a prompt with helpers")]
#[test_case(300_000, &["x"]; "a prompt with reservations")]
#[test_case(130_000, &["x", "y"]; "two zones at once")]
fn evacuated_upstreams_have_no_part_in_a_plan(prompt: u64, evacuated: &[&str]) {
    let mut planner = pool::planner(18);
    // The engines of all zones are in use and in the prefill set before.
    for id in 0..8 {
        plan(&mut planner, 0, id, 130_000).expect("plan");
    }
    planner.set_evacuated_zones(zones(evacuated));
    for id in 10..14 {
        let plan = plan(&mut planner, 4_000, id, prompt).expect("plan");
        for name in engines(&plan) {
            assert!(!evacuated.contains(&pool::zone_of(name)), "{plan:?}");
        }
    }
    planner.set_evacuated_zones(zones(&[]));
    let plan = plan(&mut planner, 60_000, 20, 4_000).expect("plan");
    assert_eq!(pool::zone_of(&plan.lead.upstream), "x");
}

#[test_case(4_000; "a short prompt")]
#[test_case(130_000; "a long prompt")]
#[test_case(900_000; "a prompt that needs many engines")]
fn requests_are_refused_if_all_zones_are_evacuated(prompt: u64) {
    let mut planner = pool::planner(18);
    planner.set_evacuated_zones(zones(&["x", "y", "z"]));
    let planned = plan(&mut planner, 0, 1, prompt);
    assert!(
        matches!(planned, Err(Error::UpstreamsUnavailable(_))),
        "{planned:?}"
    );
}

#[test]
fn a_plain_service_plans_around_an_evacuated_zone() {
    let mut planner = Planner::new("p".try_into().expect("name"));
    planner.set_upstreams(1, &[pool::entry(0), pool::entry(1)]);
    planner.set_evacuated_zones(zones(&["x"]));
    for id in 0..4 {
        let request = limpetkeel::PlanRequest {
            size: RequestSize::default(),
            ..pool::plan_request(id, 0)
        };
        let plan = planner.plan(Timestamp(0), &request).expect("plan");
        assert_eq!(plan.lead.upstream, pool::entry(1).name);
    }
}

#[test]
fn the_streams_of_an_evacuated_zone_stay_in_the_ledger() {
    let mut planner = pool::planner(1);
    for id in 0..3 {
        plan(&mut planner, 0, id, 50_000).expect("plan");
    }
    let request = pool::plan_request(9, 50_000);
    let before = planner.free_memory(&request);
    planner.set_evacuated_zones(zones(&["x"]));
    planner.set_evacuated_zones(zones(&[]));
    assert_eq!(planner.free_memory(&request), before);
}

#[test]
fn a_plan_with_an_upstream_of_an_evacuated_zone_is_not_used() {
    // The planner has not heard of the evacuation.
    let plan = plan(&mut pool::planner(6), 0, 1, 130_000).expect("plan");
    let mut registry = UpstreamRegistry::default();
    for index in 0..6 {
        registry.upsert(pool::entry(index));
    }
    let pool_name = "p".try_into().expect("name");
    for name in engines(&plan) {
        let mut evacuations = EvacuationList::default();
        evacuations.insert(EvacuationEntry {
            availability_zone: pool::zone_of(name).try_into().expect("name"),
            revision: Revision::new(Era(1), 2),
        });
        let mut processes = PlanProcesses::default();
        let checked = processes.check(&registry, &evacuations, &pool_name, &plan);
        assert_eq!(
            checked.map_err(|stale| stale.reason),
            Err(StaleReason::Evacuated)
        );
    }
}
