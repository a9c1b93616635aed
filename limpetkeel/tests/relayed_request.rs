//! Tests of the life cycle of a relayed request: retries and the outcome reported to the caller.

use limpetkeel::{
    Millis, NoRetryReason, Outcome, Plan, RelayedRequest, RelayedRequestInfo, RequestId,
    RetryPolicy, Routed, Sent, Timestamp, UpstreamAddress,
};
use test_case::test_case;

fn routed(retry_policy: RetryPolicy, max_sends: u32) -> RelayedRequest<Routed> {
    let info = RelayedRequestInfo {
        route: "r".try_into().expect("name"),
        pool: "p".try_into().expect("name"),
        retry_policy,
        max_sends,
    };
    RelayedRequest::new(info, Timestamp(0), Timestamp(1_000), None)
}

fn plan(lead: &str) -> Plan {
    Plan {
        id: RequestId(1),
        lead: UpstreamAddress {
            upstream: lead.try_into().expect("name"),
            address: ([127, 0, 0, 1], 8080).into(),
        },
        helpers: Vec::new(),
        estimate: Millis(10),
        timeliness: limpetkeel::Timeliness::InTime,
    }
}

fn sent(retry_policy: RetryPolicy, max_sends: u32) -> RelayedRequest<Sent> {
    routed(retry_policy, max_sends).place(plan("a")).send()
}

#[test]
fn a_request_that_was_never_sent_did_not_run() {
    let relayed = routed(RetryPolicy::Never, 1)
        .place(plan("a"))
        .into_unreachable();
    assert_eq!(relayed.outcome(), Outcome::NotRun);
    assert_eq!(relayed.check_send(Timestamp(0)), Ok(()));
    assert_eq!(relayed.tried_upstreams()[0].as_str(), "a");
}

#[test_case(RetryPolicy::Never, Outcome::Unknown)]
#[test_case(RetryPolicy::Restart, Outcome::Failed)]
#[test_case(RetryPolicy::Resume, Outcome::Failed)]
fn a_request_that_was_sent_and_failed_may_have_run(retry_policy: RetryPolicy, outcome: Outcome) {
    assert_eq!(sent(retry_policy, 2).into_failed().outcome(), outcome);
}

#[test]
fn an_at_most_once_request_is_not_retried_after_a_failure() {
    let relayed = sent(RetryPolicy::Never, 5).into_failed();
    assert_eq!(
        relayed.check_send(Timestamp(0)),
        Err(NoRetryReason::MayHaveRun)
    );
}

#[test]
fn a_declined_request_did_not_run() {
    let relayed = sent(RetryPolicy::Never, 2).into_declined(None);
    assert_eq!(relayed.outcome(), Outcome::NotRun);
    assert_eq!(relayed.check_send(Timestamp(0)), Ok(()));
}

#[test]
fn a_request_declined_after_an_earlier_failure_may_have_run() {
    let relayed = sent(RetryPolicy::Restart, 3).into_failed();
    let relayed = relayed.place(plan("b")).send().into_declined(None);
    assert_eq!(relayed.outcome(), Outcome::Failed);
}

#[test]
fn an_upstream_reported_by_another_one_is_avoided() {
    let at_fault = "helper".try_into().expect("name");
    let relayed = sent(RetryPolicy::Restart, 3).into_declined(Some(at_fault));
    assert_eq!(relayed.tried_upstreams()[0].as_str(), "helper");
}

#[test]
fn a_declined_attempt_counts_as_a_send() {
    let relayed = sent(RetryPolicy::Restart, 1).into_declined(None);
    assert_eq!(
        relayed.check_send(Timestamp(0)),
        Err(NoRetryReason::MaxSendsReached)
    );
}

#[test]
fn no_retry_is_sent_shortly_before_the_deadline() {
    let relayed = sent(RetryPolicy::Restart, 2).into_failed();
    assert_eq!(
        relayed.check_send(Timestamp(990)),
        Err(NoRetryReason::DeadlineTooClose)
    );
}

#[test]
fn a_resumed_stream_delivers_each_event_once() {
    let mut first = sent(RetryPolicy::Resume, 2);
    assert!(first.record_delivered(1));
    assert!(first.record_delivered(4));
    let mut second = first.into_failed().place(plan("b")).send();
    assert_eq!(second.last_delivered_event(), Some(4));
    assert!(
        !second.record_delivered(3),
        "event 3 is older than the last delivered event"
    );
    assert!(!second.record_delivered(4));
    assert!(second.record_delivered(5));
}

#[test]
fn a_continued_silent_attempt_counts_no_send() {
    let relayed = sent(RetryPolicy::Resume, 2).into_failed();
    assert_eq!(relayed.send_count(), 1);
    let continued = relayed.continue_attempt(plan("a"));
    assert_eq!(continued.send_count(), 1);
    assert_eq!(continued.into_failed().outcome(), Outcome::Failed);
}

#[test]
fn a_drain_that_ends_soon_leaves_no_time_for_a_retry() {
    let mut relayed = sent(RetryPolicy::Restart, 5).into_failed();
    assert_eq!(relayed.check_send(Timestamp(480)), Ok(()));
    relayed.limit_deadline(Timestamp(500));
    assert_eq!(
        relayed.check_send(Timestamp(480)),
        Err(NoRetryReason::DeadlineTooClose)
    );
    relayed.limit_deadline(Timestamp(2_000));
    assert_eq!(relayed.deadline(), Timestamp(500));
}

/// Guards against a hedge that is not counted as a send, or an outcome that says it did not run.
#[test]
fn a_hedge_counts_as_a_send_and_either_attempt_can_go_on() {
    for second_wins in [false, true] {
        let hedged = sent(RetryPolicy::Restart, 2).hedge(plan("b"));
        assert_eq!(hedged.send_count(), 2);
        let relayed = if second_wins {
            hedged.into_second()
        } else {
            hedged.into_first()
        };
        let (winner, other) = if second_wins { ("b", "a") } else { ("a", "b") };
        assert_eq!(relayed.plan().lead.upstream.as_str(), winner);
        assert_eq!(relayed.tried_upstreams()[0].as_str(), other);
        let declined = relayed.into_declined(None);
        assert_eq!(declined.outcome(), Outcome::Failed);
        let check = declined.check_send(Timestamp(0));
        assert_eq!(check, Err(NoRetryReason::MaxSendsReached));
    }
}
