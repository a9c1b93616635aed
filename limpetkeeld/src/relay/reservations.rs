//! Reserves memory on helper engines for the duration of a request.

use std::{sync, time};

use limpetkeel::{Helper, Millis, RequestId, Tokens, UpstreamAddress, UpstreamName};

use crate::relay::{path, port, shared, task, upstream};

/// Lifetime of a reservation. Reservations of a crashed instance expire within the four seconds for
/// which memory may stay reserved on an engine without a request.
const RESERVATION_LIFETIME: Millis = Millis(3_500);

/// Interval between renewals. One renewal may be lost before the reservation expires.
const RENEWAL_INTERVAL: time::Duration = time::Duration::from_millis(1_400);

/// A memory reservation on an engine.
#[derive(Clone)]
struct Reservation {
    engine: UpstreamAddress,
    id: port::ReservationId,
    tokens: Tokens,
}

/// The reason why a group could not be reserved.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// An engine did not have enough memory.
    Refused(UpstreamName),
    /// An engine did not respond.
    NoResponse(UpstreamName),
}

/// The helper engines of a request and their reservations. Dropping the group releases the
/// reservations.
pub struct HelperGroup {
    shared: sync::Arc<shared::Shared>,
    helpers: Vec<port::HelperRef>,
    reservations: Vec<Reservation>,
    renewal: Option<task::AbortOnDrop>,
}

impl HelperGroup {
    /// Reserves memory on every helper that the plan assigns a reservation. Either all reservations
    /// succeed or none is kept.
    ///
    /// # Errors
    ///
    /// Returns an error if an engine refuses or does not respond. Reservations that were made are
    /// released.
    pub async fn reserve(
        shared: &sync::Arc<shared::Shared>,
        id: RequestId,
        helpers: &[Helper],
    ) -> Result<HelperGroup, Error> {
        let mut group = HelperGroup {
            shared: shared.clone(),
            helpers: Vec::new(),
            reservations: Vec::new(),
            renewal: None,
        };
        let mut upstreams = Vec::new();
        for (index, helper) in helpers.iter().enumerate() {
            let reservation = helper.reserve.map(|tokens| {
                let id = port::ReservationId(format!("{id}-{index}").into());
                // Recorded before the call, because a reservation whose response is lost may still
                // have taken effect and must be released.
                group.reservations.push(Reservation {
                    engine: helper.engine.clone(),
                    id: id.clone(),
                    tokens,
                });
                upstreams.push(helper.engine.upstream.clone());
                id
            });
            group.helpers.push(port::HelperRef {
                address: helper.engine.address,
                reservation,
            });
        }
        let reserving = group
            .reservations
            .iter()
            .map(|reservation| reserve_memory(shared, reservation));
        let reserved = futures_util::future::join_all(reserving).await;
        for (name, reserved) in upstreams.into_iter().zip(reserved) {
            match reserved {
                Ok(port::ReservationStatus::Reserved) => {}
                Ok(port::ReservationStatus::Refused) => return Err(Error::Refused(name)),
                Err(_) => return Err(Error::NoResponse(name)),
            }
        }
        if !group.reservations.is_empty() {
            let renewal = renew_reservations(shared.clone(), group.reservations.clone());
            group.renewal = Some(task::AbortOnDrop::spawn(renewal));
        }
        Ok(group)
    }

    /// Returns the helpers to name in the request to the lead.
    pub fn helpers(&self) -> &[port::HelperRef] {
        &self.helpers
    }
}

impl Drop for HelperGroup {
    fn drop(&mut self) {
        self.renewal = None;
        for reservation in std::mem::take(&mut self.reservations) {
            let shared = self.shared.clone();
            tokio::spawn(async move {
                let req = shared
                    .codec
                    .encode_release(reservation.engine.address, &reservation.id);
                if let Err(e) = path::send_order(&shared, &reservation.engine, req).await {
                    // The reservation expires by itself.
                    tracing::info!(event = "release_unanswered", reservation = %reservation.id.0, error = ?e);
                }
            });
        }
    }
}

/// Makes or renews a reservation and counts the result.
async fn reserve_memory(
    shared: &sync::Arc<shared::Shared>,
    reservation: &Reservation,
) -> Result<port::ReservationStatus, upstream::Error> {
    let codec = &shared.codec;
    let req = codec.encode_reserve(
        reservation.engine.address,
        &reservation.id,
        reservation.tokens,
        RESERVATION_LIFETIME,
    );
    let status = path::send_order(shared, &reservation.engine, req).await;
    let reserved = status.map(|status| codec.decode_reserve(status));
    let label = match &reserved {
        Ok(port::ReservationStatus::Reserved) => "held",
        Ok(port::ReservationStatus::Refused) => "refused",
        Err(_) => "unanswered",
    };
    let reservations = &shared.metrics.relay.reservations;
    reservations.with_label_values(&[label]).inc();
    reserved
}

/// Renews reservations at regular intervals until the task is aborted.
async fn renew_reservations(shared: sync::Arc<shared::Shared>, reservations: Vec<Reservation>) {
    loop {
        tokio::time::sleep(RENEWAL_INTERVAL).await;
        let renewing = reservations
            .iter()
            .map(|reservation| reserve_memory(&shared, reservation));
        for (reservation, renewed) in reservations
            .iter()
            .zip(futures_util::future::join_all(renewing).await)
        {
            if renewed != Ok(port::ReservationStatus::Reserved) {
                // The engine aborts the request if its reservation expires.
                tracing::info!(event = "renewal_failed", reservation = %reservation.id.0, result = ?renewed);
            }
        }
    }
}
