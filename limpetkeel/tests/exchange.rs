//! The life cycle of a relayed request: what may be sent again, and what callers are told.

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
fn what_was_never_sent_did_not_run() {
    let exchange = routed(Repeat::Never, 1).place(plan("a")).unreached();
    assert_eq!(exchange.outcome(), Outcome::NotRun);
    assert_eq!(exchange.may_send(Timestamp(0)), Ok(()));
    assert_eq!(exchange.tried()[0].as_str(), "a");
}

#[test_case(Repeat::Never, Outcome::Unknown)]
#[test_case(Repeat::Restart, Outcome::Failed)]
#[test_case(Repeat::Resume, Outcome::Failed)]
fn what_was_sent_and_failed_may_have_run(repeat: Repeat, outcome: Outcome) {
    assert_eq!(sent(repeat, 2).failed().outcome(), outcome);
}

#[test]
fn a_request_that_may_run_once_is_never_sent_again_after_a_failure() {
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
fn a_declined_request_that_failed_before_may_have_run() {
    let exchange = sent(Repeat::Restart, 3).failed();
    let exchange = exchange.place(plan("b")).send().declined(None);
    assert_eq!(exchange.outcome(), Outcome::Failed);
}

#[test]
fn an_upstream_that_another_one_names_is_at_fault() {
    let at_fault = "helper".try_into().expect("name");
    let exchange = sent(Repeat::Restart, 3).declined(Some(at_fault));
    assert_eq!(exchange.tried()[0].as_str(), "helper");
}

#[test]
fn a_declined_send_counts_against_the_routes_limit() {
    let exchange = sent(Repeat::Restart, 1).declined(None);
    assert_eq!(exchange.may_send(Timestamp(0)), Err(Final::SendsUsed));
}

#[test]
fn nothing_is_sent_again_without_time_left() {
    let exchange = sent(Repeat::Restart, 2).failed();
    assert_eq!(exchange.may_send(Timestamp(990)), Err(Final::OutOfTime));
}

#[test]
fn a_resumed_stream_passes_each_event_once() {
    let mut first = sent(Repeat::Resume, 2);
    assert!(first.accept(1));
    assert!(first.accept(4));
    let mut second = first.failed().place(plan("b")).send();
    assert_eq!(second.delivered(), Some(4));
    assert!(!second.accept(3), "the caller has it");
    assert!(!second.accept(4));
    assert!(second.accept(5));
}

#[test]
fn a_silent_attempt_that_goes_on_counts_no_send() {
    let exchange = sent(Repeat::Resume, 2).failed();
    assert_eq!(exchange.sends(), 1);
    let gone_on = exchange.go_on(plan("a"));
    assert_eq!(gone_on.sends(), 1);
    assert_eq!(gone_on.failed().outcome(), Outcome::Failed);
}
