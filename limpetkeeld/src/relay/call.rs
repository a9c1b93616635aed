//! A caller's request.

use std::sync;

use bytes::{Bytes, BytesMut};
use limpetkeel::{Admission, Millis};

use crate::relay::{port, shared};

/// A caller's request, held until it ends.
pub struct Call {
    /// What its head says.
    pub head: port::CallHead,
    /// Its head as it came.
    pub parts: http::request::Parts,
    /// Its body.
    pub body: HeldBody,
    /// Its route and workspace.
    pub admission: Admission,
    /// The version of the table that admitted it.
    pub version: u64,
    /// Whether its pool has model engines.
    pub to_engine: bool,
}

/// A body that counts against the instance's budget while it is held.
pub struct HeldBody {
    shared: sync::Arc<shared::Shared>,
    bytes: BytesMut,
}

impl HeldBody {
    /// Creates an empty body.
    pub fn new(shared: &sync::Arc<shared::Shared>) -> HeldBody {
        HeldBody {
            shared: shared.clone(),
            bytes: BytesMut::new(),
        }
    }

    /// Returns the length in bytes.
    pub fn len(&self) -> u64 {
        self.bytes.len() as u64
    }

    /// Tells whether there is no body.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Adds a part.
    ///
    /// # Errors
    ///
    /// Fails if the instance holds too many bodies.
    pub fn push(&mut self, part: Bytes) -> limpetkeel::Result<()> {
        let len = limpetkeel::Bytes(part.len() as u64);
        self.shared.bodies.lock().reserve(len)?;
        self.bytes.extend_from_slice(&part);
        Ok(())
    }

    /// Returns a copy to send.
    pub fn to_bytes(&self) -> Bytes {
        Bytes::copy_from_slice(&self.bytes)
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        let len = limpetkeel::Bytes(self.len());
        self.shared.bodies.lock().release(len);
    }
}

/// Multiplies a span.
pub fn scale(span: Millis, factor: f64) -> Millis {
    Millis((span.0 as f64 * factor) as u64)
}
