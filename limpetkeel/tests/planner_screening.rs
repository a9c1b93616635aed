//! Tests of the planner's evidence about prompt parts, and of trials among other requests.

#[allow(dead_code, reason = "the fixtures serve several test files")]
#[path = "fixtures/pool.rs"]
mod pool;

use limpetkeel::{
    AttemptResult, CrashCause, Error, Millis, Plan, PlanRequest, PlanResult, Planner, ReportedPlan,
    Timestamp,
};
use test_case::test_case;

/// A part that crashes upstreams.
const DEADLY: CrashCause = CrashCause::Part(0xdead);

/// A part that all requests share.
const COMMON: CrashCause = CrashCause::Part(1);

/// Returns a request with parts.
fn request(id: u64, parts: &[CrashCause]) -> PlanRequest {
    PlanRequest {
        causes: parts.to_vec(),
        ..pool::plan_request(id, 1_000)
    }
}

/// Plans a request with parts.
fn plan(planner: &mut Planner, now: u64, id: u64, parts: &[CrashCause]) -> Plan {
    let planned = planner.plan(Timestamp(now), &request(id, parts));
    planned.expect("plan")
}

/// Reports the result of a plan's attempt on its lead.
fn report(planner: &mut Planner, now: u64, plan: &Plan, result: AttemptResult) {
    let lead = plan.lead.upstream.clone();
    pool::record_result(planner, now, plan, lead.as_str(), result);
}

/// Reports the result of a plan's attempt whose response has begun.
fn report_begun(planner: &mut Planner, now: u64, plan: &Plan, result: AttemptResult) {
    planner.record_response_begun(Timestamp(now), plan.id);
    let plan_result = PlanResult {
        pool: "p".try_into().expect("name"),
        id: plan.id,
        availability_zone: "x".try_into().expect("name"),
        upstream: plan.lead.upstream.clone(),
        result,
        response_begun: true,
    };
    planner.record_result(Timestamp(now + 50), &plan_result);
}

/// Removes an upstream and brings it back as another process.
fn restart(planner: &mut Planner, generation: u64, crashed: &Plan, engines: usize) {
    let mut entries: Vec<_> = (0..engines).map(pool::entry).collect();
    for entry in &mut entries {
        if entry.name == crashed.lead.upstream {
            entry.start_time = generation;
        }
    }
    planner.set_upstreams(generation, &entries);
}

/// Crashes three upstreams one second apart, so that the deadly part is quarantined.
fn quarantine_deadly(planner: &mut Planner, parts: &[CrashCause]) {
    for number in 0..3 {
        let now = number * 1_000;
        let crashed = plan(planner, now, 1_000 + number, parts);
        report(planner, now + 100, &crashed, AttemptResult::Crashed);
        restart(planner, 10 + number, &crashed, 9);
    }
}

/// Returns `true` if a request with these parts is refused.
fn is_held_back(planner: &mut Planner, now: u64, id: u64, parts: &[CrashCause]) -> bool {
    let planned = planner.plan(Timestamp(now), &request(id, parts));
    matches!(planned, Err(Error::PartHeldBack { .. }))
}

#[test]
fn requests_with_a_part_that_crashes_upstreams_are_held_back() {
    let mut planner = pool::planner(9);
    quarantine_deadly(&mut planner, &[DEADLY]);
    let planned = planner.plan(Timestamp(2_500), &request(1, &[COMMON, DEADLY]));
    let Err(Error::PartHeldBack { retry_after }) = planned else {
        panic!("{planned:?}");
    };
    assert_eq!(retry_after, Millis(9_600));
    assert_eq!(planner.take_quarantine_updates().len(), 1);
}

#[test_case(AttemptResult::Failed)]
#[test_case(AttemptResult::Declined)]
#[test_case(AttemptResult::Unreachable)]
#[test_case(AttemptResult::Inconclusive)]
#[test_case(AttemptResult::Succeeded)]
fn results_other_than_crashes_are_no_evidence(result: AttemptResult) {
    let mut planner = pool::planner(9);
    for number in 0..6 {
        let now = number * 3_000;
        let planned = plan(&mut planner, now, number, &[DEADLY]);
        report(&mut planner, now + 100, &planned, result);
    }
    assert!(!is_held_back(&mut planner, 18_000, 100, &[DEADLY]));
    assert!(planner.take_cause_decisions().is_empty());
}

#[test]
fn a_break_after_the_first_event_is_no_evidence() {
    let mut planner = pool::planner(9);
    for number in 0..6 {
        let now = number * 1_000;
        let planned = plan(&mut planner, now, number, &[DEADLY]);
        report_begun(&mut planner, now + 50, &planned, AttemptResult::Failed);
    }
    assert!(planner.take_cause_decisions().is_empty());
}

#[test]
fn a_part_that_crashes_upstreams_after_their_first_event_is_held_back() {
    let mut planner = pool::planner(9);
    for number in 0..3 {
        let now = number * 1_000;
        let crashed = plan(&mut planner, now, 1_000 + number, &[DEADLY]);
        report_begun(&mut planner, now + 50, &crashed, AttemptResult::Crashed);
        restart(&mut planner, 10 + number, &crashed, 9);
    }
    assert!(is_held_back(&mut planner, 2_500, 1, &[COMMON, DEADLY]));
    assert_eq!(planner.take_quarantine_updates().len(), 1);
}

#[test_case(AttemptResult::Inconclusive)]
#[test_case(AttemptResult::Failed)]
#[test_case(AttemptResult::Silent)]
fn a_response_that_did_not_end_well_clears_nothing(result: AttemptResult) {
    let mut planner = pool::planner(9);
    for number in 0..3 {
        let now = number * 1_000;
        let crashed = plan(&mut planner, now, 2 * number, &[DEADLY]);
        report(&mut planner, now + 100, &crashed, AttemptResult::Crashed);
        restart(&mut planner, 10 + number, &crashed, 9);
        if number < 2 {
            let other = plan(&mut planner, now + 200, 2 * number + 1, &[DEADLY]);
            report_begun(&mut planner, now + 300, &other, result);
        }
    }
    assert!(is_held_back(&mut planner, 2_500, 100, &[DEADLY]));
}

#[test]
fn an_error_response_clears_nothing() {
    let mut planner = pool::planner(9);
    for number in 0..3 {
        let now = number * 1_000;
        let crashed = plan(&mut planner, now, 2 * number, &[DEADLY]);
        report(&mut planner, now + 100, &crashed, AttemptResult::Crashed);
        restart(&mut planner, 10 + number, &crashed, 9);
        if number < 2 {
            let other = plan(&mut planner, now + 200, 2 * number + 1, &[DEADLY]);
            report(&mut planner, now + 300, &other, AttemptResult::Succeeded);
        }
    }
    assert!(is_held_back(&mut planner, 2_500, 100, &[DEADLY]));
}

#[test]
fn the_end_of_a_draining_upstream_is_no_evidence() {
    let mut planner = pool::planner(9);
    for number in 0..6 {
        let now = number * 1_000;
        let planned = plan(&mut planner, now, number, &[DEADLY]);
        let others: Vec<_> = (0..9)
            .map(pool::entry)
            .filter(|entry| entry.name != planned.lead.upstream)
            .collect();
        planner.set_upstreams(10 + number, &others);
        report(&mut planner, now + 100, &planned, AttemptResult::Crashed);
    }
    assert!(planner.take_cause_decisions().is_empty());
}

#[test]
fn killed_upstreams_whose_requests_are_served_elsewhere_are_no_evidence() {
    let mut planner = pool::planner(9);
    for number in 0..6 {
        let now = number * 1_000;
        let killed = plan(&mut planner, now, 2 * number, &[COMMON]);
        report(&mut planner, now + 100, &killed, AttemptResult::Crashed);
        restart(&mut planner, 10 + number, &killed, 9);
        let retry = plan(&mut planner, now + 101, 2 * number + 1, &[COMMON]);
        report_begun(&mut planner, now + 300, &retry, AttemptResult::Succeeded);
    }
    assert!(planner.take_cause_decisions().is_empty());
}

#[test]
fn the_parts_of_a_response_that_ended_well_are_sound() {
    let mut planner = pool::planner(9);
    let stream = plan(&mut planner, 0, 1, &[COMMON]);
    quarantine_deadly(&mut planner, &[COMMON, DEADLY]);
    report_begun(&mut planner, 2_200, &stream, AttemptResult::Succeeded);
    assert!(!is_held_back(&mut planner, 2_500, 2, &[COMMON]));
    assert!(is_held_back(&mut planner, 2_500, 3, &[DEADLY]));
}

#[test]
fn a_trial_runs_alone_on_its_lead() {
    let mut planner = pool::planner(9);
    for number in 0..2 {
        let now = number * 1_000;
        let crashed = plan(&mut planner, now, 1_000 + number, &[DEADLY]);
        report(&mut planner, now + 100, &crashed, AttemptResult::Crashed);
        restart(&mut planner, 10 + number, &crashed, 9);
    }
    let busy: Vec<_> = (0..7)
        .map(|id| plan(&mut planner, 1_200, id, &[COMMON]).lead.upstream)
        .collect();
    let trial = plan(&mut planner, 1_300, 100, &[COMMON, DEADLY]);
    assert!(!busy.contains(&trial.lead.upstream), "{trial:?}");
    for id in 200..220 {
        let lead = plan(&mut planner, 1_300, id, &[COMMON]).lead.upstream;
        assert_ne!(lead, trial.lead.upstream);
    }
    planner.record_response_begun(Timestamp(1_350), trial.id);
    for id in 220..240 {
        let lead = plan(&mut planner, 1_350, id, &[COMMON]).lead.upstream;
        assert_ne!(lead, trial.lead.upstream, "the trial has not ended");
    }
    report_begun(&mut planner, 1_400, &trial, AttemptResult::Succeeded);
    let after = (300..400)
        .any(|id| plan(&mut planner, 1_500, id, &[COMMON]).lead.upstream == trial.lead.upstream);
    assert!(after, "the trial has ended");
}

#[test]
fn a_trial_whose_plan_expires_is_no_strike() {
    let mut planner = pool::planner(9);
    for number in 0..2 {
        let now = number * 1_000;
        let crashed = plan(&mut planner, now, 1_000 + number, &[DEADLY]);
        report(&mut planner, now + 100, &crashed, AttemptResult::Crashed);
        restart(&mut planner, 10 + number, &crashed, 9);
    }
    plan(&mut planner, 2_000, 1, &[DEADLY]);
    assert!(is_held_back(&mut planner, 5_000, 2, &[DEADLY]));
    // The plan of the trial is released 10.5 s after it was made.
    plan(&mut planner, 12_600, 3, &[DEADLY]);
    assert!(planner.take_quarantine_updates().is_empty());
}

#[test]
fn a_refused_plan_starts_no_trial() {
    let mut planner = pool::planner(9);
    for number in 0..2 {
        let now = number * 1_000;
        let crashed = plan(&mut planner, now, 1_000 + number, &[DEADLY]);
        report(&mut planner, now + 100, &crashed, AttemptResult::Crashed);
        restart(&mut planner, 10 + number, &crashed, 9);
    }
    let late = PlanRequest {
        remaining: Millis(1),
        ..request(1, &[DEADLY])
    };
    let planned = planner.plan(Timestamp(2_000), &late);
    assert_eq!(planned, Err(Error::WouldMissDeadline));
    plan(&mut planner, 2_000, 2, &[DEADLY]);
}

#[test]
fn plans_of_another_planner_are_evidence_too() {
    let mut first_planner = pool::planner(9);
    let mut second_planner = pool::planner(9);
    for number in 0..2 {
        let now = number * 1_000;
        let request = request(number, &[DEADLY]);
        let plan = first_planner.plan(Timestamp(now), &request).expect("plan");
        let reported_plan = ReportedPlan {
            pool: request.pool.clone(),
            plan: plan.clone(),
            size: request.size,
            causes: request.causes.clone(),
            objective: request.objective,
            remaining: request.remaining,
            response_begun: false,
        };
        second_planner.record_reported_plan(Timestamp(now), &reported_plan);
        report(
            &mut second_planner,
            now + 100,
            &plan,
            AttemptResult::Crashed,
        );
        report(&mut first_planner, now + 100, &plan, AttemptResult::Crashed);
        restart(&mut first_planner, 10 + number, &plan, 9);
        restart(&mut second_planner, 10 + number, &plan, 9);
    }
    plan(&mut second_planner, 2_000, 10, &[DEADLY]);
    assert!(is_held_back(&mut second_planner, 2_000, 11, &[DEADLY]));
}

/// A request that crashes upstreams, and that is repeated.
const DEADLY_REQUEST: CrashCause = CrashCause::Request(0xdead);

#[test]
fn a_request_that_crashed_three_upstreams_is_rejected_while_its_part_is_served() {
    let mut planner = pool::planner(9);
    let sound = plan(&mut planner, 0, 1, &[CrashCause::Request(1), COMMON]);
    quarantine_deadly(&mut planner, &[DEADLY_REQUEST, COMMON]);
    report_begun(&mut planner, 2_200, &sound, AttemptResult::Succeeded);
    for now in [2_500, 12_500, 32_500, 60_000] {
        let planned = planner.plan(Timestamp(now), &request(now, &[DEADLY_REQUEST, COMMON]));
        assert_eq!(planned.map(|_| ()), Err(Error::RequestQuarantined));
        assert!(!is_held_back(
            &mut planner,
            now,
            now + 1,
            &[CrashCause::Request(now), COMMON]
        ));
    }
}

#[test]
fn requests_with_very_many_parts_are_refused_once_their_planner_has_no_room_for_them() {
    let mut planner = pool::planner(90);
    let many: Vec<_> = (0..4_096).map(CrashCause::Part).collect();
    let planned = (0..1_000).map(|id| planner.plan(Timestamp(0), &request(id, &many)));
    let planned: Vec<_> = planned.collect();
    let refused = planned.iter().position(Result::is_err);
    let refused = refused.expect("a refused request");
    assert_eq!(refused, (1 << 19) / 4_096);
    assert_eq!(planned[refused], Err(Error::PlannerFull));
    plan(&mut planner, 10, 2_000, &many[..32]);
    for planned in planned.iter().take(2) {
        let ended = planned.as_ref().expect("plan");
        report(&mut planner, 20, ended, AttemptResult::Inconclusive);
    }
    plan(&mut planner, 20, 2_001, &many);
}

#[test]
fn a_sound_request_that_waits_beside_a_deadly_one_is_cleared_by_its_trial() {
    let mut planner = pool::planner(9);
    let bystander = CrashCause::Request(7);
    for number in 0..2 {
        let now = number * 1_000;
        let crashed = plan(&mut planner, now, number, &[bystander]);
        report(&mut planner, now + 100, &crashed, AttemptResult::Crashed);
        restart(&mut planner, 10 + number, &crashed, 9);
    }
    let trial = plan(&mut planner, 2_500, 3, &[bystander]);
    report_begun(&mut planner, 2_550, &trial, AttemptResult::Succeeded);
    for id in 4..8 {
        plan(&mut planner, 2_600, id, &[bystander]);
    }
    assert!(planner.take_quarantine_updates().is_empty());
}

#[test]
fn the_part_of_a_deadly_request_is_served_to_others_though_nobody_has_cleared_it() {
    let mut planner = pool::planner(9);
    quarantine_deadly(&mut planner, &[DEADLY_REQUEST, COMMON]);
    assert_eq!(planner.take_quarantine_updates().len(), 1, "the request");
    let trial = plan(&mut planner, 2_500, 1, &[CrashCause::Request(1), COMMON]);
    report_begun(&mut planner, 2_550, &trial, AttemptResult::Succeeded);
    for id in 2..5 {
        plan(&mut planner, 2_600, id, &[CrashCause::Request(id), COMMON]);
    }
    let planned = planner.plan(Timestamp(2_600), &request(9, &[DEADLY_REQUEST, COMMON]));
    assert_eq!(planned.map(|_| ()), Err(Error::RequestQuarantined));
}

#[test]
fn a_deadly_part_is_quarantined_though_one_of_its_requests_came_again() {
    let mut planner = pool::planner(9);
    quarantine_deadly(&mut planner, &[DEADLY_REQUEST, DEADLY]);
    let crashed = plan(&mut planner, 3_500, 1, &[CrashCause::Request(1), DEADLY]);
    report(&mut planner, 3_600, &crashed, AttemptResult::Crashed);
    assert!(is_held_back(
        &mut planner,
        4_000,
        2,
        &[CrashCause::Request(2), DEADLY]
    ));
}

#[test]
fn a_faulty_upstream_alone_quarantines_no_request() {
    let mut planner = pool::planner(2);
    let causes = [CrashCause::Request(7), COMMON];
    for number in 0..12 {
        let now = number * 1_000;
        let crashed = plan(&mut planner, now, number, &causes);
        report(&mut planner, now + 100, &crashed, AttemptResult::Crashed);
    }
    assert!(planner.take_quarantine_updates().is_empty());
}
