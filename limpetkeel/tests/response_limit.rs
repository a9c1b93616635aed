//! The limits on responses of upstreams.

use limpetkeel::{BodyAllowance, Bytes, HeadAllowance, MAX_HEAD, ResponseLimit};

/// Guards against interim heads that are counted in bytes only.
#[test]
fn interim_heads_are_bounded_in_count() {
    let mut allowance = HeadAllowance::default();
    let accepted = (0..1_000).take_while(|_| allowance.record_interim_head().is_ok());
    assert_eq!(accepted.count(), 16);
    assert_eq!(
        allowance.record_interim_head(),
        Err(ResponseLimit::InterimHeads)
    );
}

/// Guards against heads that stay below the limit each and exceed it together.
#[test]
fn heads_are_bounded_in_bytes_together() {
    let mut allowance = HeadAllowance::default();
    let half = Bytes(MAX_HEAD.0 / 2);
    assert_eq!(allowance.record_bytes(half), Ok(()));
    assert_eq!(allowance.record_bytes(half), Ok(()));
    assert_eq!(allowance.record_bytes(Bytes(1)), Err(ResponseLimit::Head));
}

/// Guards against an error body that may be as large as a success body.
#[test]
fn an_error_body_has_its_own_limit() {
    let largest = Bytes(16 * 1024 * 1024);
    let mut success = BodyAllowance::new(true);
    assert_eq!(success.check(largest), Ok(()));
    assert_eq!(success.record_bytes(largest), Ok(()));
    assert_eq!(success.record_bytes(Bytes(1)), Err(ResponseLimit::Body));
    let error = BodyAllowance::new(false);
    assert_eq!(error.check(Bytes(256 * 1024)), Ok(()));
    assert_eq!(error.check(largest), Err(ResponseLimit::ErrorBody));
}
