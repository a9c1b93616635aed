//! Tests of the life cycle of an instance: which requests a draining instance takes.

use limpetkeel::{Instance, InstanceState, Millis, Timestamp};
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
#[test_case(2_800, 10_000, true; "within the time that load balancers need")]
#[test_case(3_017, 10_000, false; "a late request that may be cut off")]
#[test_case(3_017, 4_900, true; "a late request that ends in time")]
fn a_draining_instance_takes_requests(after: u64, duration: u64, taken: bool) {
    let now = SINCE.after(Millis(after));
    let deadline = now.after(Millis(duration));
    assert_eq!(
        draining().takes_request(now, deadline, DRAIN_TIMEOUT),
        taken
    );
}

#[test]
fn a_stopped_instance_takes_no_request() {
    let now = SINCE.after(Millis(3_000));
    let stopped = draining().finish_draining(now, 0);
    assert!(!stopped.takes_request(now, now, DRAIN_TIMEOUT));
}
