//! Tests of the life cycle of an instance: which requests a draining instance takes.

use limpetkeel::{DrainSchedule, Instance, InstanceState, Millis, Timestamp};
use test_case::test_case;

const DRAIN_TIMEOUT: Millis = Millis(8_000);

/// When the instance started to drain.
const SINCE: Timestamp = Timestamp(50_000);

fn draining() -> InstanceState {
    let name = "n1".try_into().expect("name");
    let zone = "z".try_into().expect("name");
    InstanceState::Joining(Instance::new(name, zone)).start_draining(SINCE)
}

#[test_case(0, 10_000, true; "load balancers still send requests")]
#[test_case(2_400, 10_000, true; "within the time that load balancers need")]
#[test_case(2_800, 10_000, false; "too late to be finished if the signal was handled 200 ms late")]
#[test_case(3_017, 10_000, false; "a late request that may be cut off")]
#[test_case(3_017, 4_900, false; "a late request that ends too late for its response to be written")]
#[test_case(3_017, 4_400, true; "a late request that ends in time")]
fn a_draining_instance_takes_requests(after: u64, duration: u64, taken: bool) {
    let now = SINCE.after(Millis(after));
    let deadline = now.after(Millis(duration));
    assert_eq!(
        draining().takes_request(now, deadline, DRAIN_TIMEOUT),
        taken
    );
}

#[test_case(3_000, 3_000; "a deadline before the drain ends")]
#[test_case(60_000, 7_500; "a deadline after the drain timeout")]
#[test_case(7_900, 7_500; "a deadline just before the drain timeout")]
fn a_drain_ends_requests_before_its_timeout(deadline: u64, end: u64) {
    let deadline = SINCE.after(Millis(deadline));
    let effective = draining().effective_deadline(deadline, DRAIN_TIMEOUT);
    assert_eq!(effective, SINCE.after(Millis(end)));
}

#[test]
fn a_live_instance_leaves_deadlines_unchanged() {
    let deadline = SINCE.after(Millis(60_000));
    let instance = Instance::new(
        "n1".try_into().expect("name"),
        "z".try_into().expect("name"),
    );
    let joining = InstanceState::Joining(instance);
    assert_eq!(
        joining.effective_deadline(deadline, DRAIN_TIMEOUT),
        deadline
    );
}

#[test_case(1_000)]
#[test_case(2_000)]
#[test_case(3_000)]
#[test_case(8_000)]
#[test_case(600_000)]
fn every_step_of_a_drain_comes_before_its_timeout(drain_timeout: u64) {
    let schedule = DrainSchedule::new(SINCE, Millis(drain_timeout));
    assert!(SINCE < schedule.load_balancers_react());
    assert!(schedule.load_balancers_react() <= schedule.accepts_connections_until());
    assert!(schedule.accepts_connections_until() <= schedule.requests_end());
    assert!(schedule.requests_end() < schedule.stop());
    assert!(schedule.stop() < SINCE.after(Millis(drain_timeout)));
}

#[test]
fn a_stopped_instance_takes_no_request() {
    let now = SINCE.after(Millis(3_000));
    let stopped = draining().finish_draining(now, 0);
    assert!(!stopped.takes_request(now, now, DRAIN_TIMEOUT));
}
