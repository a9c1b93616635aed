//! The memory that one response holds.

use limpetkeel::{MAX_UNRESERVED, MemoryExhausted, MemoryShare};

use crate::relay::memory;

/// The memory of a part of a response. What exceeds [`MAX_UNRESERVED`] is reserved in the memory
/// account, and is released on drop.
#[derive(Debug)]
pub struct ResponseMemory {
    memory: memory::Memory,
    share: MemoryShare,
    reservation: Option<memory::Reservation>,
}

impl ResponseMemory {
    /// Creates the memory of a response that holds nothing.
    pub fn new(memory: &memory::Memory, share: MemoryShare) -> ResponseMemory {
        ResponseMemory {
            memory: memory.clone(),
            share,
            reservation: None,
        }
    }

    /// Changes the number of bytes that are held.
    ///
    /// # Errors
    ///
    /// Returns an error if the account has no room. The held bytes are unchanged.
    pub fn resize(&mut self, len: usize) -> Result<(), MemoryExhausted> {
        if len as u64 <= MAX_UNRESERVED.0 {
            self.reservation = None;
            return Ok(());
        }
        let Some(reservation) = &mut self.reservation else {
            self.reservation = Some(self.memory.try_reserve(self.share, len)?);
            return Ok(());
        };
        match len.checked_sub(reservation.len()) {
            Some(missing) => reservation.try_grow(missing),
            None => {
                reservation.shrink_to(len);
                Ok(())
            }
        }
    }
}
