//! The connections of callers, and which of them is closed when there are too many.
//!
//! A connection that waits for its caller may be closed to make room for another one; a connection
//! whose request is being served may not, unless its caller does not read the response. Connections
//! that have stalled before their first response are closed first, then idle ones that have had a
//! response; connections whose request may be on its way come last. Among equals, the one whose
//! caller has been silent for longest is closed.

use std::{collections, error, fmt};

use crate::{memory_account, unit};

/// The largest percentage of the descriptors of a process that callers' connections take. Each
/// request that is served needs another descriptor for its upstream; the rest is for peers, the
/// store, readiness checks and files.
const CALLER_DESCRIPTORS_PERCENT: usize = 40;

/// Identifies a connection in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(u64);

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// The next request of its caller.
    Idle,
    /// The rest of a request head.
    Head,
    /// The rest of a request body.
    Body,
    /// The response.
    Response,
    /// A caller that does not read its response.
    Unread,
}

impl ConnectionPhase {
    /// Returns the name used in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            ConnectionPhase::Idle => "idle",
            ConnectionPhase::Head => "head",
            ConnectionPhase::Body => "body",
            ConnectionPhase::Response => "response",
            ConnectionPhase::Unread => "unread",
        }
    }
}

/// The order in which connections that may be closed are closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ClosingRank {
    /// No response so far, and silent for [`memory_account::STALLED_AFTER`].
    StalledUnserved,
    /// Idle or stalled after a response.
    IdleServed,
    /// No response so far, but the request may be on its way.
    RecentUnserved,
    /// In the middle of a further request head.
    RecentServed,
}

/// A connection of a caller.
#[derive(Clone, Copy, Debug)]
struct Connection {
    phase: ConnectionPhase,
    /// When the phase began; for a body, when its latest bytes arrived. A head does not get more
    /// time by each byte, so that a caller cannot hold a connection by sending one now and then.
    since: unit::Timestamp,
    /// Whether the caller has had a response on the connection.
    served: bool,
}

impl Connection {
    fn may_be_closed(&self, now: unit::Timestamp) -> bool {
        match self.phase {
            ConnectionPhase::Idle | ConnectionPhase::Head => true,
            ConnectionPhase::Body | ConnectionPhase::Unread => self.is_stalled(now),
            ConnectionPhase::Response => false,
        }
    }

    fn is_stalled(&self, now: unit::Timestamp) -> bool {
        now.since(self.since) >= memory_account::STALLED_AFTER
    }

    /// Returns the rank by which connections are closed. A caller that has just connected gets time
    /// to send its request, so that a burst of new callers does not close its own connections while
    /// idle ones stay.
    fn closing_rank(&self, now: unit::Timestamp) -> ClosingRank {
        let is_idle = self.phase == ConnectionPhase::Idle;
        match (self.served, self.is_stalled(now)) {
            (false, true) => ClosingRank::StalledUnserved,
            (true, stalled) if is_idle || stalled => ClosingRank::IdleServed,
            (false, false) => ClosingRank::RecentUnserved,
            (true, _) => ClosingRank::RecentServed,
        }
    }
}

/// All connections are being served, so that none can be closed for another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionsExhausted;

impl fmt::Display for ConnectionsExhausted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("all connections are being served")
    }
}

impl error::Error for ConnectionsExhausted {}

/// A connection that is closed to make room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClosedConnection {
    /// The connection.
    pub id: ConnectionId,
    /// What it waited for.
    pub phase: ConnectionPhase,
}

/// A connection that was added to the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmittedConnection {
    /// The connection.
    pub id: ConnectionId,
    /// The connection that is closed for it.
    pub closed: Option<ClosedConnection>,
}

/// The open connections of callers, and the rules by which one is closed for another.
#[derive(Debug)]
pub struct ConnectionTable {
    limit: usize,
    connections: collections::BTreeMap<ConnectionId, Connection>,
    next_id: u64,
}

impl ConnectionTable {
    /// Creates the table of a process that may open so many descriptors.
    pub fn new(descriptor_limit: usize) -> ConnectionTable {
        ConnectionTable {
            limit: (descriptor_limit / 100 * CALLER_DESCRIPTORS_PERCENT
                + descriptor_limit % 100 * CALLER_DESCRIPTORS_PERCENT / 100)
                .max(1),
            connections: collections::BTreeMap::new(),
            next_id: 0,
        }
    }

    /// Returns the largest number of connections.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns `true` if there is no connection.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Adds a connection. If the table is full, another connection is closed for it.
    ///
    /// # Errors
    ///
    /// Returns [`ConnectionsExhausted`] if the table is full and no connection may be closed.
    pub fn admit(
        &mut self,
        now: unit::Timestamp,
    ) -> Result<AdmittedConnection, ConnectionsExhausted> {
        let mut closed = None;
        if self.connections.len() >= self.limit {
            closed = Some(self.close_one(now)?);
        }
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        let connection = Connection {
            phase: ConnectionPhase::Idle,
            since: now,
            served: false,
        };
        self.connections.insert(id, connection);
        Ok(AdmittedConnection { id, closed })
    }

    /// Removes the connection that is closed first when there is no room.
    ///
    /// # Errors
    ///
    /// Returns [`ConnectionsExhausted`] if no connection may be closed.
    pub fn close_one(
        &mut self,
        now: unit::Timestamp,
    ) -> Result<ClosedConnection, ConnectionsExhausted> {
        let candidates = self.connections.iter();
        let first = candidates
            .filter(|(_, connection)| connection.may_be_closed(now))
            .min_by_key(|(_, connection)| (connection.closing_rank(now), connection.since));
        let (id, phase) = first
            .map(|(id, connection)| (*id, connection.phase))
            .ok_or(ConnectionsExhausted)?;
        self.connections.remove(&id);
        Ok(ClosedConnection { id, phase })
    }

    /// Returns what a connection waits for; `None` if it is closed.
    pub fn phase(&self, id: ConnectionId) -> Option<ConnectionPhase> {
        self.connections.get(&id).map(|connection| connection.phase)
    }

    /// Records that bytes were received. Returns `true` if a request head begins with them.
    pub fn receive(&mut self, id: ConnectionId, now: unit::Timestamp) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else {
            return false;
        };
        match connection.phase {
            ConnectionPhase::Idle => {
                connection.phase = ConnectionPhase::Head;
                connection.since = now;
                true
            }
            ConnectionPhase::Body => {
                connection.since = now;
                false
            }
            ConnectionPhase::Head | ConnectionPhase::Response | ConnectionPhase::Unread => false,
        }
    }

    /// Records that the caller does not read its response.
    pub fn block_response(&mut self, id: ConnectionId, now: unit::Timestamp) {
        self.enter(id, ConnectionPhase::Unread, now);
    }

    /// Records that the caller reads its response again.
    pub fn resume_response(&mut self, id: ConnectionId, now: unit::Timestamp) {
        self.enter(id, ConnectionPhase::Response, now);
    }

    /// Records that a request head is complete and its body is awaited. Returns `false` if the
    /// connection was closed for another one; the request must not run then.
    #[must_use]
    pub fn begin_body(&mut self, id: ConnectionId, now: unit::Timestamp) -> bool {
        self.enter(id, ConnectionPhase::Body, now)
    }

    /// Records that a request is complete or refused and its response is awaited. Returns `false` if
    /// the connection was closed for another one; the request must not run then.
    #[must_use]
    pub fn begin_response(&mut self, id: ConnectionId, now: unit::Timestamp) -> bool {
        self.enter(id, ConnectionPhase::Response, now)
    }

    /// Records that a response was written.
    pub fn end_response(&mut self, id: ConnectionId, now: unit::Timestamp) {
        self.enter(id, ConnectionPhase::Idle, now);
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.served = true;
        }
    }

    /// Returns `false` if the connection is closed.
    fn enter(&mut self, id: ConnectionId, phase: ConnectionPhase, now: unit::Timestamp) -> bool {
        let connection = self.connections.get_mut(&id);
        let is_open = connection.is_some();
        if let Some(connection) = connection {
            connection.phase = phase;
            connection.since = now;
        }
        is_open
    }

    /// Removes a connection that its caller or the instance has closed.
    pub fn remove(&mut self, id: ConnectionId) {
        self.connections.remove(&id);
    }
}
