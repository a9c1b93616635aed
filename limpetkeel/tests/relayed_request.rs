//! Tests of the life cycle of a relayed request: retries and the outcome reported to the caller.

use limpetkeel::{
    Exchange, Final, Millis, Outcome, Place, Plan, Repeat, RequestId, Routed, Sent, Subject,
    Timestamp,
};
use test_case::test_case;

fn routed(repeat: Repeat, max_sends: u32) -> Exchange<Routed> {
    let subject = Subject {
        route: "r".try_into().expect("name"),
        pool: "p".try_into().expect("name"),
        repeat,
        max_sends,
    };
    Exchange::new(subject, Timestamp(0), Timestamp(1_000), None)
}

fn plan(lead: &str) -> Plan {
    Plan {
        id: RequestId(1),
        lead: Place {
            upstream: lead.try_into().expect("name"),
            address: ([127, 0, 0, 1], 8080).into(),
        },
        helpers: Vec::new(),
        estimate: Millis(10),
    }
}

fn sent(repeat: Repeat, max_sends: u32) -> Exchange<Sent> {
    routed(repeat, max_sends).place(plan("a")).send()
}

#[test]
fn a_request_that_was_never_sent_did_not_run() {
    let exchange = routed(Repeat::Never, 1).place(plan("a")).unreached();
    assert_eq!(exchange.outcome(), Outcome::NotRun);
    assert_eq!(exchange.may_send(Timestamp(0)), Ok(()));
    assert_eq!(exchange.tried()[0].as_str(), "a");
}

#[test_case(Repeat::Never, Outcome::Unknown)]
#[test_case(Repeat::Restart, Outcome::Failed)]
#[test_case(Repeat::Resume, Outcome::Failed)]
fn a_request_that_was_sent_and_failed_may_have_run(repeat: Repeat, outcome: Outcome) {
    assert_eq!(sent(repeat, 2).failed().outcome(), outcome);
}

#[test]
fn an_at_most_once_request_is_not_retried_after_a_failure() {
    let exchange = sent(Repeat::Never, 5).failed();
    assert_eq!(exchange.may_send(Timestamp(0)), Err(Final::MayHaveRun));
}

#[test]
fn a_declined_request_did_not_run() {
    let exchange = sent(Repeat::Never, 2).declined(None);
    assert_eq!(exchange.outcome(), Outcome::NotRun);
    assert_eq!(exchange.may_send(Timestamp(0)), Ok(()));
}

#[test]
fn a_request_declined_after_an_earlier_failure_may_have_run() {
    let exchange = sent(Repeat::Restart, 3).failed();
    let exchange = exchange.place(plan("b")).send().declined(None);
    assert_eq!(exchange.outcome(), Outcome::Failed);
}

#[test]
fn an_upstream_reported_by_another_one_is_avoided() {
    let at_fault = "helper".try_into().expect("name");
    let exchange = sent(Repeat::Restart, 3).declined(Some(at_fault));
    assert_eq!(exchange.tried()[0].as_str(), "helper");
}

#[test]
fn a_declined_attempt_counts_as_a_send() {
    let exchange = sent(Repeat::Restart, 1).declined(None);
    assert_eq!(exchange.may_send(Timestamp(0)), Err(Final::SendsUsed));
}

#[test]
fn no_retry_is_sent_shortly_before_the_deadline() {
    let exchange = sent(Repeat::Restart, 2).failed();
    assert_eq!(exchange.may_send(Timestamp(990)), Err(Final::OutOfTime));
}

#[test]
fn a_resumed_stream_delivers_each_event_once() {
    let mut first = sent(Repeat::Resume, 2);
    assert!(first.accept(1));
    assert!(first.accept(4));
    let mut second = first.failed().place(plan("b")).send();
    assert_eq!(second.delivered(), Some(4));
    assert!(
        !second.accept(3),
        "event 3 is older than the last delivered event"
    );
    assert!(!second.accept(4));
    assert!(second.accept(5));
}

#[test]
fn a_resumed_silent_attempt_counts_no_send() {
    let exchange = sent(Repeat::Resume, 2).failed();
    assert_eq!(exchange.sends(), 1);
    let resumed = exchange.go_on(plan("a"));
    assert_eq!(resumed.sends(), 1);
    assert_eq!(resumed.failed().outcome(), Outcome::Failed);
}
