//! Memory that is set aside on the engines of a group while their request lives.

use std::{net, sync, time};

use limpetkeel::{Helper, Millis, RequestId, Tokens, UpstreamName};

use crate::relay::{port, shared, task, upstream};

/// A reservation lapses by itself after this long, so that an instance that dies leaves nothing
/// behind for longer than engines may hold unused memory.
const LIFETIME: Millis = Millis(3_500);

/// The time between two renewals: one may be lost.
const RENEWAL_INTERVAL: time::Duration = time::Duration::from_millis(1_400);

/// An engine that has a reservation.
#[derive(Clone)]
struct Member {
    address: net::SocketAddr,
    id: port::ReservationId,
    tokens: Tokens,
}

/// Why a group has no memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// An engine has no room.
    Refused(UpstreamName),
    /// An engine did not answer.
    Unanswered(UpstreamName),
}

/// The helpers of a request, with the memory that they hold.
pub struct Group {
    shared: sync::Arc<shared::Shared>,
    helpers: Vec<port::HelperRef>,
    members: Vec<Member>,
    renewal: Option<task::Owned>,
}

impl Group {
    /// Reserves memory on every helper that is to hold a part, all or nothing.
    ///
    /// # Errors
    ///
    /// Fails if an engine has no room or does not answer; what was reserved is released.
    pub async fn reserve(
        shared: &sync::Arc<shared::Shared>,
        id: RequestId,
        helpers: &[Helper],
    ) -> Result<Group, Error> {
        let mut group = Group {
            shared: shared.clone(),
            helpers: Vec::new(),
            members: Vec::new(),
            renewal: None,
        };
        let mut names = Vec::new();
        for (index, helper) in helpers.iter().enumerate() {
            let address = helper.place.address;
            let reservation = helper.reserve.map(|tokens| {
                let id = port::ReservationId(format!("{id}-{index}").into());
                // Listed before the call: a lost answer may hide a reservation that took effect.
                group.members.push(Member {
                    address,
                    id: id.clone(),
                    tokens,
                });
                names.push(helper.place.upstream.clone());
                id
            });
            group.helpers.push(port::HelperRef {
                address,
                reservation,
            });
        }
        let reserving = group.members.iter().map(|member| hold(shared, member));
        let reserved = futures_util::future::join_all(reserving).await;
        for (name, reserved) in names.into_iter().zip(reserved) {
            match reserved {
                Ok(port::Reserved::Held) => {}
                Ok(port::Reserved::Refused) => return Err(Error::Refused(name)),
                Err(_) => return Err(Error::Unanswered(name)),
            }
        }
        if !group.members.is_empty() {
            let renewal = renew(shared.clone(), group.members.clone());
            group.renewal = Some(task::Owned::spawn(renewal));
        }
        Ok(group)
    }

    /// Returns the helpers as the request names them.
    pub fn helpers(&self) -> &[port::HelperRef] {
        &self.helpers
    }
}

impl Drop for Group {
    fn drop(&mut self) {
        self.renewal = None;
        for member in std::mem::take(&mut self.members) {
            let shared = self.shared.clone();
            tokio::spawn(async move {
                let req = shared.codec.encode_release(member.address, &member.id);
                if let Err(e) = upstream::order(member.address, req).await {
                    // The reservation lapses by itself.
                    tracing::info!(event = "release_unanswered", reservation = %member.id.0, error = ?e);
                }
            });
        }
    }
}

async fn hold(shared: &shared::Shared, member: &Member) -> Result<port::Reserved, upstream::Error> {
    let codec = &shared.codec;
    let req = codec.encode_reserve(member.address, &member.id, member.tokens, LIFETIME);
    let ordered = upstream::order(member.address, req).await;
    let reserved = ordered.map(|status| codec.decode_reserve(status));
    let label = match &reserved {
        Ok(port::Reserved::Held) => "held",
        Ok(port::Reserved::Refused) => "refused",
        Err(_) => "unanswered",
    };
    let reservations = &shared.metrics.relay.reservations;
    reservations.with_label_values(&[label]).inc();
    reserved
}

async fn renew(shared: sync::Arc<shared::Shared>, members: Vec<Member>) {
    loop {
        tokio::time::sleep(RENEWAL_INTERVAL).await;
        let renewing = members.iter().map(|member| hold(&shared, member));
        for (member, renewed) in members
            .iter()
            .zip(futures_util::future::join_all(renewing).await)
        {
            if renewed != Ok(port::Reserved::Held) {
                // The engine cuts the request off if the memory lapses.
                tracing::info!(event = "renewal_failed", reservation = %member.id.0, result = ?renewed);
            }
        }
    }
}
