//! Reservations in the memory account, which are released when they are dropped.

use std::{collections, sync};

use limpetkeel::{
    BodyId, Bytes, LockLevel, MemoryAccount, MemoryExhausted, MemoryShare, OrderedMutex, Timestamp,
};
use tokio_util::sync::CancellationToken;

/// The memory account and the bodies that it may drop.
#[derive(Debug)]
struct Accounting {
    account: MemoryAccount,
    /// Cancelled when the account drops a body that is being received.
    drop_tokens: collections::BTreeMap<BodyId, CancellationToken>,
}

/// The memory of an instance. Clones share one account.
#[derive(Clone, Debug)]
pub struct Memory(sync::Arc<OrderedMutex<Accounting>>);

impl Memory {
    /// Creates the memory of a process with a memory limit.
    pub fn new(memory_limit: Bytes) -> Memory {
        let accounting = Accounting {
            account: MemoryAccount::new(memory_limit),
            drop_tokens: collections::BTreeMap::new(),
        };
        let mutex = OrderedMutex::new(LockLevel::Memory, accounting);
        Memory(sync::Arc::new(mutex))
    }

    /// Returns the reserved bytes of a share.
    pub fn reserved(&self, share: MemoryShare) -> Bytes {
        self.0.lock().account.reserved(share)
    }

    /// Returns the largest number of bytes that a share may reserve.
    pub fn maximum(&self, share: MemoryShare) -> Bytes {
        self.0.lock().account.maximum(share)
    }

    /// Reserves bytes of a share.
    ///
    /// # Errors
    ///
    /// Returns an error if the account has no room.
    pub fn try_reserve(
        &self,
        share: MemoryShare,
        len: usize,
    ) -> Result<Reservation, MemoryExhausted> {
        let mut reservation = Reservation {
            memory: self.clone(),
            share,
            reserved: Bytes::ZERO,
        };
        reservation.try_grow(len)?;
        Ok(reservation)
    }

    /// Adds a request body that is about to be received.
    pub fn open_body(&self, now: Timestamp) -> IncomingReservation {
        let mut accounting = self.0.lock();
        let id = accounting.account.open_body(now);
        let dropped = CancellationToken::new();
        accounting.drop_tokens.insert(id, dropped.clone());
        IncomingReservation {
            memory: self.clone(),
            id,
            dropped,
        }
    }
}

/// Reserved bytes of a share, which are released on drop.
#[derive(Debug)]
pub struct Reservation {
    memory: Memory,
    share: MemoryShare,
    reserved: Bytes,
}

impl Reservation {
    /// Returns the number of reserved bytes.
    pub fn len(&self) -> usize {
        self.reserved.0 as usize
    }

    /// Returns `true` if nothing is reserved.
    pub fn is_empty(&self) -> bool {
        self.reserved == Bytes::ZERO
    }

    /// Reserves more bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the account has no room. The reservation is unchanged.
    pub fn try_grow(&mut self, len: usize) -> Result<(), MemoryExhausted> {
        let len = Bytes(len as u64);
        self.memory.0.lock().account.try_reserve(self.share, len)?;
        self.reserved += len;
        Ok(())
    }

    /// Releases what exceeds `len` bytes.
    pub fn shrink_to(&mut self, len: usize) {
        let excess = self.reserved.saturating_sub(Bytes(len as u64));
        self.memory.0.lock().account.release(self.share, excess);
        self.reserved = self.reserved.saturating_sub(excess);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}

/// The memory of a request body that is being received. The account may drop it.
#[derive(Debug)]
pub struct IncomingReservation {
    memory: Memory,
    id: BodyId,
    dropped: CancellationToken,
}

impl IncomingReservation {
    /// Returns the token that is cancelled when the account drops the body.
    pub fn dropped(&self) -> CancellationToken {
        self.dropped.clone()
    }

    /// Records that the body has received something.
    pub fn touch(&self, now: Timestamp) {
        self.memory.0.lock().account.touch_body(self.id, now);
    }

    /// Reserves more bytes, for which other bodies may be dropped. Returns the number of those
    /// bodies; their memory is freed when their tasks run next.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no room, or if the body itself was dropped.
    pub fn try_grow(&self, len: usize, now: Timestamp) -> Result<usize, MemoryExhausted> {
        let mut accounting = self.memory.0.lock();
        let len = Bytes(len as u64);
        let dropped = accounting.account.grow_body(self.id, len, now)?;
        for id in &dropped {
            if let Some(token) = accounting.drop_tokens.remove(id) {
                token.cancel();
            }
        }
        Ok(dropped.len())
    }

    /// Ends the reception of the body, which keeps `len` bytes reserved.
    ///
    /// # Errors
    ///
    /// Returns an error if the account has dropped the body.
    pub fn complete(self, len: usize) -> Result<Reservation, MemoryExhausted> {
        let reserved = Bytes(len as u64);
        let mut accounting = self.memory.0.lock();
        accounting.account.complete_body(self.id, reserved)?;
        drop(accounting);
        Ok(Reservation {
            memory: self.memory.clone(),
            share: MemoryShare::RequestBodies,
            reserved,
        })
    }
}

impl Drop for IncomingReservation {
    fn drop(&mut self) {
        let mut accounting = self.memory.0.lock();
        accounting.account.close_body(self.id);
        accounting.drop_tokens.remove(&self.id);
    }
}
