//! A caller's request.

use std::sync;

use bytes::Bytes;
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
    taken: limpetkeel::Bytes,
    /// The body, once it is complete.
    pub bytes: Bytes,
}

impl HeldBody {
    /// Creates an empty body.
    pub fn new(shared: &sync::Arc<shared::Shared>) -> HeldBody {
        HeldBody {
            shared: shared.clone(),
            taken: limpetkeel::Bytes::ZERO,
            bytes: Bytes::new(),
        }
    }

    /// Takes bytes out of the budget, before they are kept.
    ///
    /// # Errors
    ///
    /// Fails if the instance holds too many bodies.
    pub fn take(&mut self, len: usize) -> limpetkeel::Result<()> {
        let len = limpetkeel::Bytes(len as u64);
        self.shared.bodies.lock().reserve(len)?;
        self.taken += len;
        Ok(())
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        self.shared.bodies.lock().release(self.taken);
    }
}

/// Multiplies a span.
pub fn scale(span: Millis, factor: f64) -> Millis {
    Millis((span.0 as f64 * factor) as u64)
}
