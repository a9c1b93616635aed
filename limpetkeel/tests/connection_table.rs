//! The connection table: how many connections are open, and which one is closed for another.

use limpetkeel::{
    ClosedConnection, ConnectionId, ConnectionPhase, ConnectionTable, ConnectionsExhausted,
    STALLED_AFTER, Timestamp,
};

const START: Timestamp = Timestamp(1_000);

/// A full table with three connections that were admitted one millisecond after another.
fn full_table() -> (ConnectionTable, [ConnectionId; 3]) {
    let mut table = ConnectionTable::new(8);
    assert_eq!(table.limit(), 3);
    let ids = [0, 1, 2].map(|offset| {
        let admitted = table.admit(Timestamp(START.0 + offset)).expect("room");
        assert_eq!(admitted.closed, None);
        admitted.id
    });
    (table, ids)
}

#[test]
fn most_descriptors_are_left_to_upstreams_and_peers() {
    assert_eq!(ConnectionTable::new(2_870).limit(), 1_148);
}

#[test]
fn the_connection_that_was_silent_for_longest_is_closed() {
    let (mut table, [first, ..]) = full_table();
    let admitted = table.admit(START).expect("room");
    let phase = ConnectionPhase::Idle;
    assert_eq!(admitted.closed, Some(ClosedConnection { id: first, phase }));
    assert_eq!(table.phase(first), None);
    assert_eq!(table.len(), 3);
}

/// Guards against a crowd of silent connections that takes the place of callers who reuse theirs.
#[test]
fn stalled_connections_without_a_response_are_closed_before_reused_ones() {
    let (mut table, [first, second, third]) = full_table();
    table.end_response(first, START);
    table.end_response(second, START);
    assert!(table.receive(third, Timestamp(5_000)));
    let stalled_at = Timestamp(5_000).after(STALLED_AFTER);
    let closed = table.close_one(stalled_at).expect("connection");
    assert_eq!((closed.id, closed.phase), (third, ConnectionPhase::Head));
    let closed = table.close_one(stalled_at).expect("connection");
    assert_eq!((closed.id, closed.phase), (first, ConnectionPhase::Idle));
}

/// Guards against a burst of new callers that close each other's connections while idle ones stay.
#[test]
fn reused_connections_are_closed_before_those_that_have_just_begun() {
    let (mut table, [first, second, third]) = full_table();
    table.end_response(first, Timestamp(5_000));
    table.end_response(second, Timestamp(4_000));
    assert!(table.receive(third, Timestamp(5_000)));
    let last_grace = Timestamp(5_000 + STALLED_AFTER.0 - 1);
    for id in [second, first] {
        let closed = table.close_one(last_grace).expect("connection");
        assert_eq!((closed.id, closed.phase), (id, ConnectionPhase::Idle));
    }
    let closed = table.close_one(last_grace).expect("connection");
    assert_eq!((closed.id, closed.phase), (third, ConnectionPhase::Head));
}

/// Guards against closing a reused connection in the middle of its next request.
#[test]
fn a_recent_head_on_a_reused_connection_is_closed_last() {
    let (mut table, [first, second, third]) = full_table();
    table.end_response(first, START);
    assert!(table.receive(first, Timestamp(1_500)));
    for id in [second, third] {
        let closed = table.close_one(Timestamp(1_600)).expect("connection");
        assert_eq!((closed.id, closed.phase), (id, ConnectionPhase::Idle));
    }
    let closed = table.close_one(Timestamp(1_600)).expect("connection");
    assert_eq!((closed.id, closed.phase), (first, ConnectionPhase::Head));
}

#[test]
fn a_connection_that_is_being_served_is_not_closed() {
    let (mut table, ids) = full_table();
    for id in ids {
        assert!(table.begin_response(id, START));
    }
    let later = Timestamp(1_000_000);
    assert_eq!(table.admit(later), Err(ConnectionsExhausted));
    table.end_response(ids[1], later);
    let admitted = table.admit(later).expect("room");
    assert_eq!(admitted.closed.map(|closed| closed.id), Some(ids[1]));
}

#[test]
fn a_body_is_closed_only_if_it_stalls() {
    let (mut table, ids) = full_table();
    for id in ids {
        assert!(table.begin_body(id, START));
    }
    let stalled_at = START.after(STALLED_AFTER);
    assert!(!table.receive(ids[1], Timestamp(START.0 + 500)));
    assert!(table.begin_response(ids[2], START));
    let closed = table.close_one(stalled_at).expect("connection");
    assert_eq!((closed.id, closed.phase), (ids[0], ConnectionPhase::Body));
    assert_eq!(table.close_one(stalled_at), Err(ConnectionsExhausted));
}

/// Guards against heads that are kept open by a byte now and then.
#[test]
fn the_bytes_of_a_head_do_not_renew_its_time() {
    let (mut table, ids) = full_table();
    assert!(table.receive(ids[0], START));
    assert!(!table.receive(ids[0], Timestamp(9_000)));
    let closed = table.close_one(Timestamp(9_000)).expect("connection");
    assert_eq!(closed.id, ids[0]);
}

#[test]
fn a_removed_connection_makes_room() {
    let (mut table, ids) = full_table();
    table.remove(ids[2]);
    let admitted = table.admit(START).expect("room");
    assert_eq!(admitted.closed, None);
    assert!(!table.begin_body(ids[2], START));
    assert_eq!(table.phase(ids[2]), None);
}

/// Guards against running a request whose connection is being closed for another one.
#[test]
fn a_request_on_a_closed_connection_does_not_begin() {
    let (mut table, [first, second, third]) = full_table();
    assert!(table.begin_body(first, START));
    assert!(table.begin_body(second, START));
    assert!(table.begin_response(second, START));
    let stalled_at = START.after(STALLED_AFTER);
    for id in [first, third] {
        assert_eq!(table.close_one(stalled_at).map(|closed| closed.id), Ok(id));
    }
    assert!(!table.begin_response(first, stalled_at));
    assert!(!table.begin_body(third, stalled_at));
    assert!(table.begin_response(second, stalled_at));
}

/// Guards against callers that do not read their responses and keep their connections.
#[test]
fn a_response_that_is_not_read_may_be_closed() {
    let (mut table, ids) = full_table();
    for id in ids {
        assert!(table.begin_response(id, START));
    }
    table.block_response(ids[0], START);
    table.block_response(ids[1], START);
    table.resume_response(ids[1], START);
    assert_eq!(table.close_one(START), Err(ConnectionsExhausted));
    let closed = table
        .close_one(START.after(STALLED_AFTER))
        .expect("connection");
    assert_eq!((closed.id, closed.phase), (ids[0], ConnectionPhase::Unread));
}
