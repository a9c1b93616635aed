//! The connections of callers, which are closed when there are too many or they take too much
//! memory.

use std::{collections, sync};

use limpetkeel::{
    AdmittedConnection, Bytes, ClosedConnection, ConnectionId, ConnectionPhase, ConnectionTable,
    MemoryExhausted, MemoryShare, Millis, RequestLimits,
};
use tokio_util::sync::CancellationToken;

use crate::relay::{memory, shared};

/// Request limits that apply until the first routing table arrives.
pub const DEFAULT_LIMITS: RequestLimits = RequestLimits {
    max_head: Bytes(16 * 1024),
    max_body: Bytes(4 * 1024 * 1024),
    head_timeout: Millis(3_000),
    idle_timeout: Millis(15_000),
};

/// The size of the system's receive buffer of a connection, in bytes. It suffices for 128 Mbit/s
/// over a round trip of 2 ms. The system counts about twice as much toward the memory limit.
pub const RECEIVE_BUFFER_BYTES: usize = 32 * 1024;

/// The size of the system's send buffer of a connection, in bytes. It is counted while the caller
/// does not read.
pub const SEND_BUFFER_BYTES: usize = 64 * 1024;

/// The memory of a connection beside its read buffer and receive buffer: its tasks and its state.
const STATE_BYTES: usize = 8 * 1024;

/// The connections of callers.
#[derive(Debug)]
pub struct Connections {
    /// The table that decides which connection is closed.
    pub table: ConnectionTable,
    /// Cancelled when a connection is closed for another one.
    close_tokens: collections::BTreeMap<ConnectionId, CancellationToken>,
}

impl Connections {
    /// Creates the connections of a process that may open so many descriptors.
    pub fn new(descriptor_limit: usize) -> Connections {
        Connections {
            table: ConnectionTable::new(descriptor_limit),
            close_tokens: collections::BTreeMap::new(),
        }
    }

    fn add(&mut self, id: ConnectionId) -> CancellationToken {
        let token = CancellationToken::new();
        self.close_tokens.insert(id, token.clone());
        token
    }

    fn close(&mut self, closed: ClosedConnection) {
        if let Some(token) = self.close_tokens.remove(&closed.id) {
            token.cancel();
        }
    }
}

/// Returns the request limits that are in force.
pub fn limits(shared: &shared::Shared) -> RequestLimits {
    let limits = shared.tables.lock().ingress.limits();
    limits.unwrap_or(DEFAULT_LIMITS)
}

/// A connection in the table, which is removed on drop.
pub struct CallerConnection {
    shared: sync::Arc<shared::Shared>,
    id: ConnectionId,
    close_token: CancellationToken,
    /// The part of the memory that the read buffer may take, in bytes.
    buffer_len: usize,
    _memory: memory::Reservation,
}

/// The instance has no room for another connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused;

impl CallerConnection {
    /// Adds a connection whose read buffer takes up to `buffer_len` bytes. Others may be closed for
    /// it.
    ///
    /// # Errors
    ///
    /// Returns an error if all connections are being served.
    pub async fn admit(
        shared: &sync::Arc<shared::Shared>,
        buffer_len: usize,
    ) -> Result<CallerConnection, Refused> {
        let len = STATE_BYTES + RECEIVE_BUFFER_BYTES + buffer_len;
        let memory = loop {
            if let Ok(memory) = shared.memory.try_reserve(MemoryShare::RequestHeads, len) {
                break memory;
            }
            let closed = {
                let mut connections = shared.connections.lock();
                let closed = connections.table.close_one(shared.clock.now());
                let closed = closed.map_err(|_| Refused)?;
                connections.close(closed);
                closed
            };
            record_closed(shared, closed);
            // The task of the closed connection releases its memory.
            tokio::task::yield_now().await;
        };
        let (id, close_token, closed) = {
            let mut connections = shared.connections.lock();
            let admitted = connections.table.admit(shared.clock.now());
            let AdmittedConnection { id, closed } = admitted.map_err(|_| Refused)?;
            closed.inspect(|closed| connections.close(*closed));
            (id, connections.add(id), closed)
        };
        if let Some(closed) = closed {
            record_closed(shared, closed);
            tokio::task::yield_now().await;
        }
        Ok(CallerConnection {
            shared: shared.clone(),
            id,
            close_token,
            buffer_len,
            _memory: memory,
        })
    }

    /// Returns the request limits that are in force.
    pub fn limits(&self) -> RequestLimits {
        limits(&self.shared)
    }

    /// Returns the size up to which the read buffer has memory, in bytes.
    pub fn buffer_len(&self) -> usize {
        self.buffer_len
    }

    /// Reserves memory for a read buffer that grows beyond its size.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no memory.
    pub fn reserve_buffer(&self, len: usize) -> Result<memory::Reservation, MemoryExhausted> {
        let share = MemoryShare::RequestHeads;
        self.shared.memory.try_reserve(share, len)
    }

    /// Waits until the connection is closed for another one.
    pub async fn closed(&self) {
        self.close_token.cancelled().await;
    }

    /// Returns what the connection waits for; `None` if it is closed.
    pub fn phase(&self) -> Option<ConnectionPhase> {
        self.shared.connections.lock().table.phase(self.id)
    }

    /// Records that bytes were received. Returns `true` if a request head begins with them.
    pub fn receive(&self) -> bool {
        let now = self.shared.clock.now();
        self.shared.connections.lock().table.receive(self.id, now)
    }

    /// Records that a request head is complete and its body is awaited. Returns `false` if
    /// the connection was closed for another one; the request must not run then.
    #[must_use]
    pub fn begin_body(&self) -> bool {
        let now = self.shared.clock.now();
        let mut connections = self.shared.connections.lock();
        connections.table.begin_body(self.id, now)
    }

    /// Records that a request is complete and its response is awaited. Returns `false` if
    /// the connection was closed for another one; the request must not run then.
    #[must_use]
    pub fn begin_response(&self) -> bool {
        let now = self.shared.clock.now();
        let mut connections = self.shared.connections.lock();
        connections.table.begin_response(self.id, now)
    }

    /// Records that a response was written.
    pub fn end_response(&self) {
        let now = self.shared.clock.now();
        let mut connections = self.shared.connections.lock();
        connections.table.end_response(self.id, now);
    }

    /// Records that the caller does not read its response, and reserves memory for what the system
    /// holds for it.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no memory.
    pub fn block_response(&self) -> Result<memory::Reservation, MemoryExhausted> {
        let now = self.shared.clock.now();
        {
            let mut connections = self.shared.connections.lock();
            connections.table.block_response(self.id, now);
        }
        let share = MemoryShare::QueuedEvents;
        self.shared.memory.try_reserve(share, SEND_BUFFER_BYTES)
    }

    /// Records that the caller reads its response again.
    pub fn resume_response(&self) {
        let now = self.shared.clock.now();
        let mut connections = self.shared.connections.lock();
        connections.table.resume_response(self.id, now);
    }

    /// Records that the connection is closed because its caller is too slow or sends too much.
    pub fn record_closing(&self, reason: &str) {
        let closed = &self.shared.metrics.relay.closed_connections;
        closed.with_label_values(&[reason]).inc();
        tracing::info!(event = "connection_closed", reason);
    }
}

impl Drop for CallerConnection {
    fn drop(&mut self) {
        let mut connections = self.shared.connections.lock();
        connections.table.remove(self.id);
        connections.close_tokens.remove(&self.id);
    }
}

/// Counts and logs a connection that is closed for another one.
fn record_closed(shared: &shared::Shared, closed: ClosedConnection) {
    let reason = closed.phase.name();
    let metric = &shared.metrics.relay.closed_connections;
    metric.with_label_values(&[reason]).inc();
    tracing::info!(event = "connection_closed", reason);
}
