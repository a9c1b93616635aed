//! The memory account of an instance.
//!
//! Whatever callers, upstreams and peers can make an instance hold is reserved here first. Each
//! [`MemoryShare`] has a guaranteed part, which the others cannot take, and a maximum; what is not
//! guaranteed to any share is common to all. Messages of peers are never refused, since without
//! them the instance could not work; they leave less to the others.
//!
//! Request bodies that are still being received can be dropped to make room for another one:
//! stalled bodies before moving ones, and large bodies before small ones.

use std::{collections, error, fmt};

use crate::unit;

/// The memory that is left to the program, the tables and the plans. The tables and plans take up to
/// 32 MB at the design size.
const PROGRAM_RESERVE: unit::Bytes = unit::Bytes(48 << 20);

/// The largest percentage of a memory limit that [`PROGRAM_RESERVE`] takes.
const PROGRAM_RESERVE_PERCENT: u8 = 50;

/// The smallest share of request heads. It allows some connections whatever the memory limit is.
const MIN_HEAD_SHARE: unit::Bytes = unit::Bytes(4 << 20);

/// The time after which a body that has received nothing is stalled.
pub const STALLED_AFTER: unit::Millis = unit::Millis(1_000);

/// How many times as large as the body that needs memory a moving body is at least that is dropped
/// for it. Bodies of similar size would only replace each other.
const MOVING_SIZE_RATIO: u64 = 2;

/// A share of the memory account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemoryShare {
    /// The connections of callers: their state and the buffers that heads are read into.
    RequestHeads,
    /// Request bodies.
    RequestBodies,
    /// Response bodies that are held until they are complete.
    ResponseBodies,
    /// Events that are queued for slow callers, and the buffers that events are read into.
    QueuedEvents,
    /// Messages of peers that are being received or handled.
    Messages,
    /// Connections to upstreams that are open for peers.
    Tunnels,
    /// Connections of callers that wait to be accepted, with what the system receives on them.
    WaitingConnections,
}

/// All shares and their percentages: the guaranteed part and the maximum.
const SHARES: [(MemoryShare, u8, u8); 7] = [
    (MemoryShare::RequestHeads, 30, 30),
    (MemoryShare::RequestBodies, 15, 35),
    (MemoryShare::ResponseBodies, 10, 35),
    (MemoryShare::QueuedEvents, 10, 20),
    (MemoryShare::Messages, 5, 20),
    (MemoryShare::Tunnels, 0, 20),
    (MemoryShare::WaitingConnections, 10, 10),
];

impl MemoryShare {
    /// Returns all shares.
    pub fn all() -> impl Iterator<Item = MemoryShare> {
        SHARES.into_iter().map(|(share, ..)| share)
    }

    /// Returns the name used in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            MemoryShare::RequestHeads => "request_heads",
            MemoryShare::RequestBodies => "request_bodies",
            MemoryShare::ResponseBodies => "response_bodies",
            MemoryShare::QueuedEvents => "queued_events",
            MemoryShare::Messages => "messages",
            MemoryShare::Tunnels => "tunnels",
            MemoryShare::WaitingConnections => "waiting_connections",
        }
    }
}

/// The memory account has no room for a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryExhausted;

impl fmt::Display for MemoryExhausted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the memory account has no room")
    }
}

impl error::Error for MemoryExhausted {}

/// Identifies a request body in the memory account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct BodyId(u64);

/// A request body that is being received.
#[derive(Clone, Copy, Debug)]
struct IncomingBody {
    reserved: unit::Bytes,
    moved_at: unit::Timestamp,
}

impl IncomingBody {
    fn is_stalled(&self, now: unit::Timestamp) -> bool {
        now.since(self.moved_at) >= STALLED_AFTER
    }
}

#[derive(Clone, Copy, Debug)]
struct ShareState {
    guaranteed: unit::Bytes,
    maximum: unit::Bytes,
    reserved: unit::Bytes,
}

impl ShareState {
    /// Returns the part of the account that is not available to other shares.
    fn taken(&self) -> unit::Bytes {
        self.reserved.max(self.guaranteed)
    }
}

/// The memory that callers, upstreams and peers may take, divided into shares.
#[derive(Debug)]
pub struct MemoryAccount {
    total: unit::Bytes,
    shares: collections::BTreeMap<MemoryShare, ShareState>,
    incoming: collections::BTreeMap<BodyId, IncomingBody>,
    next_body: u64,
}

impl MemoryAccount {
    /// Creates the account of a process with a memory limit.
    pub fn new(memory_limit: unit::Bytes) -> MemoryAccount {
        let reserve = PROGRAM_RESERVE.min(memory_limit.percent(PROGRAM_RESERVE_PERCENT));
        let available = memory_limit.saturating_sub(reserve);
        let mut total = available;
        let shares = SHARES.map(|(share, guaranteed, maximum)| {
            let mut state = ShareState {
                guaranteed: available.percent(guaranteed),
                maximum: available.percent(maximum),
                reserved: unit::Bytes::ZERO,
            };
            if share == MemoryShare::RequestHeads {
                let missing = MIN_HEAD_SHARE.saturating_sub(state.maximum);
                state.guaranteed += missing;
                state.maximum += missing;
                total += missing;
            }
            (share, state)
        });
        MemoryAccount {
            total,
            shares: shares.into_iter().collect(),
            incoming: collections::BTreeMap::new(),
            next_body: 0,
        }
    }

    /// Returns the reserved bytes of a share.
    pub fn reserved(&self, share: MemoryShare) -> unit::Bytes {
        self.shares[&share].reserved
    }

    /// Returns the largest number of bytes that a share may reserve.
    pub fn maximum(&self, share: MemoryShare) -> unit::Bytes {
        self.shares[&share].maximum
    }

    /// Reserves bytes of a share.
    ///
    /// # Errors
    ///
    /// Returns [`MemoryExhausted`] if the share or the account has less room. A reservation for
    /// [`MemoryShare::Messages`] always succeeds.
    pub fn try_reserve(
        &mut self,
        share: MemoryShare,
        bytes: unit::Bytes,
    ) -> Result<(), MemoryExhausted> {
        if share != MemoryShare::Messages && self.shortfall(share, bytes) > unit::Bytes::ZERO {
            return Err(MemoryExhausted);
        }
        self.share(share).reserved += bytes;
        Ok(())
    }

    /// Returns reserved bytes to the account.
    pub fn release(&mut self, share: MemoryShare, bytes: unit::Bytes) {
        let state = self.share(share);
        state.reserved = state.reserved.saturating_sub(bytes);
    }

    fn share(&mut self, share: MemoryShare) -> &mut ShareState {
        self.shares
            .get_mut(&share)
            .expect("every share has a state")
    }

    /// Returns the bytes that a share would have to release before it can reserve so many more.
    fn shortfall(&self, share: MemoryShare, bytes: unit::Bytes) -> unit::Bytes {
        let state = &self.shares[&share];
        let wanted = state.reserved + bytes;
        let others = self.shares.iter().filter(|(other, _)| **other != share);
        let others = others.map(|(_, state)| state.taken()).sum();
        // A share always gets its guaranteed part, also while messages exceed their maximum.
        let allowed = self.total.saturating_sub(others).max(state.guaranteed);
        wanted.saturating_sub(allowed.min(state.maximum))
    }

    /// Adds a request body that is about to be received.
    pub fn open_body(&mut self, now: unit::Timestamp) -> BodyId {
        let id = BodyId(self.next_body);
        self.next_body += 1;
        let body = IncomingBody {
            reserved: unit::Bytes::ZERO,
            moved_at: now,
        };
        self.incoming.insert(id, body);
        id
    }

    /// Records that a body has received something.
    pub fn touch_body(&mut self, id: BodyId, now: unit::Timestamp) {
        if let Some(body) = self.incoming.get_mut(&id) {
            body.moved_at = now;
        }
    }

    /// Reserves bytes for a body that is being received. Returns the bodies that are dropped for it;
    /// their bytes are released already.
    ///
    /// # Errors
    ///
    /// Returns [`MemoryExhausted`] if there is no room and dropping other bodies would not make
    /// enough, or if the body itself was dropped.
    pub fn grow_body(
        &mut self,
        id: BodyId,
        bytes: unit::Bytes,
        now: unit::Timestamp,
    ) -> Result<Vec<BodyId>, MemoryExhausted> {
        let body = *self.incoming.get(&id).ok_or(MemoryExhausted)?;
        let shortfall = self.shortfall(MemoryShare::RequestBodies, bytes);
        let dropped = self.bodies_to_drop(id, body.reserved + bytes, shortfall, now)?;
        for id in &dropped {
            self.close_body(*id);
        }
        self.share(MemoryShare::RequestBodies).reserved += bytes;
        let grown = IncomingBody {
            reserved: body.reserved + bytes,
            moved_at: now,
        };
        self.incoming.insert(id, grown);
        Ok(dropped)
    }

    /// Chooses the bodies to drop so that at least `shortfall` is released for a body of `size`.
    fn bodies_to_drop(
        &self,
        id: BodyId,
        size: unit::Bytes,
        shortfall: unit::Bytes,
        now: unit::Timestamp,
    ) -> Result<Vec<BodyId>, MemoryExhausted> {
        let mut dropped = Vec::new();
        if shortfall == unit::Bytes::ZERO {
            return Ok(dropped);
        }
        let others = self.incoming.iter().filter(|(other, _)| **other != id);
        let mut candidates: Vec<_> = others
            .filter(|(_, body)| {
                let is_larger = body.reserved.0 >= size.0.saturating_mul(MOVING_SIZE_RATIO);
                body.reserved > unit::Bytes::ZERO && (body.is_stalled(now) || is_larger)
            })
            .collect();
        candidates.sort_by_key(|(_, body)| {
            (
                !body.is_stalled(now),
                std::cmp::Reverse(body.reserved),
                body.moved_at,
            )
        });
        let mut released = unit::Bytes::ZERO;
        for (id, body) in candidates {
            if released >= shortfall {
                break;
            }
            released += body.reserved;
            dropped.push(*id);
        }
        if released < shortfall {
            return Err(MemoryExhausted);
        }
        Ok(dropped)
    }

    /// Ends the reception of a body, which keeps `size` bytes reserved. It can no longer be dropped,
    /// and [`MemoryAccount::release`] returns its bytes.
    ///
    /// # Errors
    ///
    /// Returns [`MemoryExhausted`] if the body was dropped.
    pub fn complete_body(&mut self, id: BodyId, size: unit::Bytes) -> Result<(), MemoryExhausted> {
        let body = self.incoming.remove(&id).ok_or(MemoryExhausted)?;
        let unused = body.reserved.saturating_sub(size);
        self.release(MemoryShare::RequestBodies, unused);
        Ok(())
    }

    /// Removes a body that is not received completely, and releases its bytes. Does nothing if the
    /// body was dropped or is complete.
    pub fn close_body(&mut self, id: BodyId) {
        if let Some(body) = self.incoming.remove(&id) {
            self.release(MemoryShare::RequestBodies, body.reserved);
        }
    }
}
