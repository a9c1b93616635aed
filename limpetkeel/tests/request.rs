//! Life cycle of a request: chunks, retries and outcomes.

use limpetkeel::{
    Admitted, ChunkDecision, ChunkPosition, Error, Grant, Millis, Outcome, Rank, Request,
    RequestId, RequestInfo, RequestSize, Streaming, Timestamp, Tokens, UpstreamAddress,
};

const GRANT: RequestId = RequestId(7);

fn admitted(idempotent: bool) -> Request<Admitted> {
    let info = RequestInfo {
        route: "r".try_into().expect("name"),
        pool: "p".try_into().expect("name"),
        rank: Rank::Urgent,
        workspace: "w".try_into().expect("name"),
        size: RequestSize {
            prompt: Tokens(10),
            output: Tokens(10),
        },
        idempotent,
    };
    Request::new(info, Timestamp(0), Millis(1_000)).admit()
}

fn send(request: Request<Admitted>) -> Request<Streaming> {
    let target = UpstreamAddress {
        upstream: "u".try_into().expect("name"),
        address: ([127, 0, 0, 1], 1).into(),
    };
    request
        .place(Grant {
            id: GRANT,
            upstreams: vec![target],
        })
        .send()
}

fn chunk(id: RequestId, attempt: u32, token: u64) -> ChunkPosition {
    ChunkPosition { id, attempt, token }
}

#[test]
fn late_misdirected_and_duplicate_chunks_are_dropped_and_gaps_fail() {
    let mut request = send(admitted(true));
    let mut accept = |position| request.accept(Timestamp(1), position);
    assert_eq!(accept(chunk(GRANT, 1, 0)), Ok(ChunkDecision::Forward));
    assert_eq!(
        accept(chunk(GRANT, 1, 0)),
        Ok(ChunkDecision::Stale),
        "duplicate"
    );
    assert_eq!(
        accept(chunk(RequestId(8), 1, 1)),
        Ok(ChunkDecision::Stale),
        "misdirected"
    );
    assert_eq!(accept(chunk(GRANT, 0, 1)), Ok(ChunkDecision::Stale), "late");
    assert_eq!(
        accept(chunk(GRANT, 1, 2)),
        Err(Error::UpstreamMismatch),
        "gap"
    );
    assert_eq!(accept(chunk(GRANT, 1, 1)), Ok(ChunkDecision::Forward));
}

#[test]
fn a_retry_resumes_after_the_last_delivered_token() {
    let mut request = send(admitted(true));
    request
        .accept(Timestamp(1), chunk(GRANT, 1, 0))
        .expect("next");
    let admitted = request
        .retry(Timestamp(2), Error::UpstreamFailed)
        .expect("retry");
    assert_eq!(admitted.delivered(), 1);
    let mut request = send(admitted);
    assert_eq!(request.attempt(), 2);
    assert_eq!(
        request.accept(Timestamp(3), chunk(GRANT, 2, 1)),
        Ok(ChunkDecision::Forward)
    );
}

#[test]
fn the_outcome_is_never_not_run_once_the_request_was_sent() {
    let request = send(admitted(false));
    let ended = request
        .retry(Timestamp(1), Error::UpstreamFailed)
        .expect_err("no retry");
    assert_eq!(ended.outcome(), Some(Outcome::Unknown));

    let admitted_again = send(admitted(true))
        .retry(Timestamp(1), Error::UpstreamFailed)
        .expect("retry");
    // The retry fails while it waits for a grant, but the first attempt may have run.
    assert_eq!(
        admitted_again
            .refuse(Error::NoUpstream("p".try_into().expect("name")))
            .outcome(),
        Some(Outcome::Failed)
    );
}

#[test]
fn a_refused_connection_does_not_change_the_outcome() {
    let admitted_again = send(admitted(false)).connection_refused();
    assert_eq!(
        admitted_again.refuse(Error::DeadlineWhileWaiting).outcome(),
        Some(Outcome::NotRun)
    );
    // An earlier attempt that was sent still determines the outcome.
    let admitted_again = send(admitted(true))
        .retry(Timestamp(1), Error::UpstreamFailed)
        .expect("retry");
    let admitted_again = send(admitted_again).connection_refused();
    assert_eq!(
        admitted_again.refuse(Error::DeadlineWhileWaiting).outcome(),
        Some(Outcome::Failed)
    );
}

#[test]
fn no_attempt_starts_after_the_deadline() {
    let request = send(admitted(true));
    assert!(
        request
            .retry(Timestamp(1_000), Error::UpstreamFailed)
            .is_err()
    );
}
