//! The lease that allows a keeper to order versions on upstreams, with one type for each state.
//!
//! The platform grants the lease with a fencing number that increases with each holder. The holder
//! measures the lifetime on its own clock, from before its request, so that it never sends an order
//! under a lease that may have expired. `Waiting` becomes `Held` once all other keepers of the pool
//! have stopped granting requests and the last order of an earlier holder must have ended. The
//! latter wait is omitted if the upstreams check the fencing number. A holder that was paused
//! returns to `Waiting`, since another keeper may have granted requests in the meantime.

use crate::unit;

/// A lease expires when it is not renewed for this long.
pub const LEASE_LIFETIME: unit::Millis = unit::Millis(6_000);

/// The timeout of an order without a response.
pub const ORDER_TIMEOUT: unit::Millis = unit::Millis(1_000);

/// Other keepers of the pool have stopped granting requests after this long.
///
/// By then they and the instances that send them placement requests know the new keeper.
pub const KEEPER_HANDOVER: unit::Millis = unit::Millis(10_000);

/// A holder that has not checked its lease for longer than this counts as paused.
pub const MAX_HOLDER_PAUSE: unit::Millis = unit::Millis(2_000);

/// The allowed clock drift between the holder and the platform during one lease lifetime.
const CLOCK_MARGIN: unit::Millis = unit::Millis(500);

/// A fencing number, which identifies a lease holder; a later holder has a higher number.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
#[serde(transparent)]
pub struct FencingNumber(pub u64);

/// The lease is held, but other keepers or an order of an earlier holder may still be active.
#[derive(Debug)]
pub struct Waiting {
    since: unit::Timestamp,
}

/// The lease is held and orders may be sent.
#[derive(Debug)]
pub struct Held {
    last_checked: unit::Timestamp,
}

/// A lease in one of its states.
#[derive(Debug)]
pub struct Lease<S> {
    fencing: FencingNumber,
    expires_at: unit::Timestamp,
    state: S,
}

impl<S> Lease<S> {
    /// Returns the fencing number.
    pub fn fencing(&self) -> FencingNumber {
        self.fencing
    }

    /// Returns `true` if the lease outlasts an order that is sent now.
    fn is_current(&self, now: unit::Timestamp) -> bool {
        now.after(ORDER_TIMEOUT).after(CLOCK_MARGIN) < self.expires_at
    }

    fn renew(&mut self, requested_at: unit::Timestamp) {
        self.expires_at = requested_at.after(LEASE_LIFETIME);
    }
}

impl Lease<Waiting> {
    /// Creates a lease that was requested at `requested_at` and has been granted.
    pub fn acquired(
        requested_at: unit::Timestamp,
        now: unit::Timestamp,
        fencing: FencingNumber,
    ) -> Self {
        let expires_at = requested_at.after(LEASE_LIFETIME);
        Lease {
            fencing,
            expires_at,
            state: Waiting { since: now },
        }
    }

    /// Makes the lease usable once other keepers and earlier holders must have stopped.
    ///
    /// `checks_fencing` states whether the upstreams check the fencing number.
    ///
    /// # Errors
    ///
    /// Returns the lease unchanged before that time.
    pub fn try_hold(self, now: unit::Timestamp, checks_fencing: bool) -> Result<Lease<Held>, Self> {
        let handover = self.state.since.after(KEEPER_HANDOVER);
        let ended = handover.after(ORDER_TIMEOUT).after(CLOCK_MARGIN);
        if now < if checks_fencing { handover } else { ended } {
            return Err(self);
        }
        Ok(Lease {
            fencing: self.fencing,
            expires_at: self.expires_at,
            state: Held { last_checked: now },
        })
    }
}

impl Lease<Held> {
    /// Returns the fencing number for an order that is sent now.
    ///
    /// Returns `None` if the lease may expire before the order ends or if the holder was paused.
    pub fn order_fencing(&self, now: unit::Timestamp) -> Option<FencingNumber> {
        let paused = now.since(self.state.last_checked) > MAX_HOLDER_PAUSE;
        (!paused && self.is_current(now)).then_some(self.fencing)
    }

    /// Records that the holder is running at `now`.
    ///
    /// # Errors
    ///
    /// Returns the lease in the waiting state if the holder was paused.
    pub fn check_running(mut self, now: unit::Timestamp) -> Result<Self, Lease<Waiting>> {
        if now.since(self.state.last_checked) > MAX_HOLDER_PAUSE {
            let (fencing, expires_at) = (self.fencing, self.expires_at);
            return Err(Lease {
                fencing,
                expires_at,
                state: Waiting { since: now },
            });
        }
        self.state.last_checked = now;
        Ok(self)
    }
}

/// The lease of an instance in any of its states.
#[derive(Debug, Default)]
pub enum LeaseState {
    /// The instance does not hold the lease.
    #[default]
    None,
    /// The lease is held, but must not be used yet.
    Waiting(Lease<Waiting>),
    /// The lease is held and may be used.
    Held(Lease<Held>),
}

impl LeaseState {
    /// Records that the platform granted or renewed the lease.
    ///
    /// A lease with a new fencing number starts in the waiting state.
    pub fn apply_grant(
        self,
        requested_at: unit::Timestamp,
        now: unit::Timestamp,
        fencing: FencingNumber,
    ) -> LeaseState {
        match self {
            LeaseState::Waiting(mut lease) if lease.fencing() == fencing => {
                lease.renew(requested_at);
                LeaseState::Waiting(lease)
            }
            LeaseState::Held(mut lease) if lease.fencing() == fencing => {
                lease.renew(requested_at);
                LeaseState::Held(lease)
            }
            _ => LeaseState::Waiting(Lease::acquired(requested_at, now, fencing)),
        }
    }

    /// Updates the state for the current time. See [`Lease::try_hold`] and
    /// [`Lease::check_running`].
    pub fn update(self, now: unit::Timestamp, checks_fencing: bool) -> LeaseState {
        match self {
            LeaseState::Waiting(lease) => lease
                .try_hold(now, checks_fencing)
                .map_or_else(LeaseState::Waiting, LeaseState::Held),
            LeaseState::Held(lease) => lease
                .check_running(now)
                .map_or_else(LeaseState::Waiting, LeaseState::Held),
            LeaseState::None => LeaseState::None,
        }
    }

    /// Returns the fencing number for an order if orders may be sent now.
    pub fn order_fencing(&self, now: unit::Timestamp) -> Option<FencingNumber> {
        match self {
            LeaseState::Held(lease) => lease.order_fencing(now),
            LeaseState::None | LeaseState::Waiting(_) => None,
        }
    }
}
