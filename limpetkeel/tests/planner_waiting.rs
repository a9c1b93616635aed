//! Tests of the planner: prompts that wait for the memory of several engines.

#[path = "fixtures/pool.rs"]
#[expect(dead_code, reason = "other tests use the rest of the fixture")]
mod pool;

use limpetkeel::{AttemptResult, Error, Millis, Plan, PlanRequest, Planner, Timestamp};
use test_case::test_case;

/// The time between two plan requests of a request that waits, in milliseconds.
const POLL_MS: u64 = 40;

/// The time that a caller allows, in milliseconds.
const DEADLINE_MS: u64 = 15_000;

/// Returns the plan request of a request that was received at a time.
fn request_at(now: u64, received: u64, id: u64, prompt: u64) -> PlanRequest {
    let mut request = pool::plan_request(id, prompt);
    request.objective.first_event = Millis(6_000);
    request.objective.max_gap = Millis(1_000);
    request.waited = Millis(now - received);
    request.remaining = Millis((received + DEADLINE_MS).saturating_sub(now));
    request
}

/// Plans requests of these prompts from number `first` on, until one is not planned at once, and
/// starts their responses. Returns the plans.
fn fill(planner: &mut Planner, now: u64, first: u64, prompt: u64) -> Vec<Plan> {
    let mut plans = Vec::new();
    for id in first..first + 1_000 {
        let Ok(plan) = planner.plan(Timestamp(now), &request_at(now, now, id, prompt)) else {
            break;
        };
        planner.record_response_begun(Timestamp(now), plan.id);
        plans.push(plan);
    }
    plans
}

/// Ends a plan.
fn end(planner: &mut Planner, now: u64, plan: &Plan) {
    let lead = plan.lead.upstream.as_str();
    pool::record_result(planner, now, plan, lead, AttemptResult::Succeeded);
}

#[test]
fn a_prompt_for_several_engines_gets_memory_while_smaller_ones_keep_arriving() {
    let mut planner = pool::planner(12);
    let mut running = fill(&mut planner, 0, 0, 170_000);
    assert!(!running.is_empty());
    let mut next_id = 2_000;
    let mut smaller = 0;
    for now in (0..10_000).step_by(POLL_MS as usize) {
        if now % 400 == 0 && !running.is_empty() {
            let ended = running.remove(0);
            end(&mut planner, now, &ended);
            // A smaller prompt always asks first.
            next_id += 1;
            if let Ok(plan) = planner.plan(Timestamp(now), &request_at(now, now, next_id, 170_000))
            {
                smaller += 1;
                running.push(plan);
            }
        }
        if planner
            .plan(Timestamp(now), &request_at(now, 0, 1_999, 450_000))
            .is_ok()
        {
            assert!(smaller > 0, "smaller prompts go on flowing");
            return;
        }
    }
    panic!("the prompt got no memory");
}

#[test]
fn memory_is_given_back_when_its_request_stops_asking() {
    let mut planner = pool::planner(12);
    let running = fill(&mut planner, 0, 0, 170_000);
    for id in 1_000..1_002 {
        let waiting = planner.plan(Timestamp(0), &request_at(0, 0, id, 500_000));
        assert!(
            matches!(waiting, Err(Error::AwaitingCapacity { .. })),
            "{waiting:?}"
        );
    }
    for plan in &running {
        end(&mut planner, 100, plan);
    }
    let while_waiting = fill(&mut planner, 200, 2_000, 170_000);
    for plan in &while_waiting {
        end(&mut planner, 300, plan);
    }
    // The requests have not asked again for a second.
    let afterwards = fill(&mut planner, 1_300, 3_000, 170_000);
    assert!(
        while_waiting.len() < afterwards.len(),
        "{} and {}",
        while_waiting.len(),
        afterwards.len()
    );
    assert_eq!(afterwards.len(), running.len());
}

#[test]
fn an_engine_with_little_memory_does_not_decide_for_the_others() {
    // The prefill set of four engines has two, of which one is almost full.
    let mut planner = pool::planner(4);
    let mut plans = Vec::new();
    for id in 0..3 {
        let plan = planner
            .plan(Timestamp(0), &request_at(0, 0, id, 100_000))
            .expect("plan");
        // The prompt uses memory, but no prefill capacity any longer.
        planner.record_response_begun(Timestamp(0), plan.id);
        plans.push(plan);
    }
    let plan = planner
        .plan(Timestamp(0), &request_at(0, 0, 9, 270_000))
        .expect("plan");
    let parts: Vec<_> = plan
        .helpers
        .iter()
        .filter_map(|helper| helper.reserve)
        .collect();
    let reserved: u64 = parts.iter().map(|part| part.0).sum();
    let largest = parts.iter().map(|part| part.0).max().expect("a part");
    assert!(
        largest * parts.len() as u64 > reserved + 1,
        "uneven parts: {parts:?}"
    );
}

#[test_case(2, 280_000; "one helper and the lead")]
#[test_case(3, 460_000; "two helpers and the lead")]
fn the_lead_keeps_what_its_helpers_cannot_hold(engines: usize, prompt: u64) {
    let mut planner = pool::planner(engines);
    let mut now = 0;
    let plan = loop {
        match planner.plan(Timestamp(now), &request_at(now, 0, 1, prompt)) {
            Ok(plan) => break plan,
            Err(_) => now += POLL_MS,
        }
        assert!(now < DEADLINE_MS, "the prompt got no memory");
    };
    let parts = plan.helpers.iter().filter_map(|helper| helper.reserve);
    let reserved: u64 = parts.map(|part| part.0).sum();
    assert!(
        reserved < prompt && prompt - reserved < pool::MEMORY,
        "{plan:?}"
    );
}

#[test]
fn a_prompt_beyond_the_prefill_set_waits_for_engines_outside() {
    let mut planner = pool::planner(6);
    let mut running = fill(&mut planner, 0, 0, 170_000);
    for now in (0..5_000).step_by(POLL_MS as usize) {
        if now % 200 == 0 && !running.is_empty() {
            let ended = running.remove(0);
            end(&mut planner, now, &ended);
        }
        match planner.plan(Timestamp(now), &request_at(now, 0, 1_000, 800_000)) {
            Ok(_) => return,
            Err(Error::AwaitingCapacity { .. }) => {}
            Err(e) => panic!("{e}"),
        }
    }
    panic!("the prompt got no memory");
}

#[test]
fn a_prompt_beyond_the_memory_is_refused_at_once_while_others_wait() {
    let mut planner = pool::planner(12);
    for id in 0..60 {
        let _ = planner.plan(Timestamp(0), &request_at(0, 0, id, 170_000));
    }
    let planned = planner.plan(Timestamp(0), &request_at(0, 0, 100, 3_400_000));
    assert!(
        matches!(planned, Err(Error::PromptTooLong(_))),
        "{planned:?}"
    );
}

#[test_case(3, 600_000; "of a small pool")]
#[test_case(40, 3_400_000; "of the engines that one request may use")]
fn a_prompt_beyond_the_memory_is_refused_at_once(engines: usize, prompt: u64) {
    let planned = pool::planner(engines).plan(Timestamp(0), &request_at(0, 0, 1, prompt));
    assert!(
        matches!(planned, Err(Error::PromptTooLong(_))),
        "{planned:?}"
    );
}

#[test]
fn a_prompt_that_would_miss_its_deadline_learns_when_memory_is_expected() {
    let mut planner = pool::planner(12);
    fill(&mut planner, 0, 0, 170_000);
    let mut request = request_at(0, 0, 1_000, 500_000);
    request.remaining = Millis(1_500);
    let planned = planner.plan(Timestamp(0), &request);
    let Err(Error::NoCapacity { retry_after }) = planned else {
        panic!("{planned:?}");
    };
    assert!(retry_after > Millis::ZERO && retry_after < Millis(DEADLINE_MS));
    // Nothing stays set aside for it.
    assert!(matches!(
        planner.plan(Timestamp(0), &request_at(0, 0, 1_001, 300_000)),
        Err(Error::AwaitingCapacity { expected_in }) if expected_in <= retry_after
    ));
}

#[test]
fn a_new_planner_serves_the_oldest_waiting_prompt_first() {
    let mut planner = pool::planner(6);
    let mut running = fill(&mut planner, 4_000, 0, 170_000);
    let ask = |planner: &mut Planner, now, received, id| {
        planner.plan(Timestamp(now), &request_at(now, received, id, 450_000))
    };
    for now in (4_000..DEADLINE_MS).step_by(POLL_MS as usize) {
        if now % 400 == 0 && !running.is_empty() {
            let ended = running.remove(0);
            end(&mut planner, now, &ended);
        }
        // The younger one always asks first.
        let young = ask(&mut planner, now, 3_900, 1_001);
        if ask(&mut planner, now, 0, 1_000).is_ok() {
            return;
        }
        assert!(young.is_err(), "the older prompt has no memory yet");
    }
    panic!("the prompt got no memory");
}

#[test]
fn the_loss_of_one_engine_costs_a_waiting_prompt_only_its_part() {
    let mut planner = pool::planner(12);
    let mut running = fill(&mut planner, 0, 0, 170_000);
    let mut entries: Vec<_> = (0..12).map(pool::entry).collect();
    let mut lost = 0;
    for now in (0..DEADLINE_MS).step_by(POLL_MS as usize) {
        if planner
            .plan(Timestamp(now), &request_at(now, 0, 1_000, 450_000))
            .is_ok()
        {
            assert_eq!(lost, 1, "the prompt had waited when the engine was lost");
            return;
        }
        if now == 10 * POLL_MS {
            // The engine with the most streams is lost. Its streams end with it.
            let lead = running[0].lead.upstream.clone();
            entries.retain(|entry| entry.name != lead);
            planner.set_upstreams(2, &entries);
            running.retain(|plan| plan.lead.upstream != lead);
            lost += 1;
        }
        if now % 400 == 0 && !running.is_empty() {
            let ended = running.remove(0);
            end(&mut planner, now, &ended);
            // A younger prompt asks for what has become free.
            let younger = request_at(now, now, 2_000 + now, 170_000);
            running.extend(planner.plan(Timestamp(now), &younger));
        }
    }
    panic!("the prompt got no memory");
}
