//! Handles requests from peers.

use std::sync;

use crate::{
    peer::{message, server},
    relay::{adopt, follow, planning, shared},
};

/// Serves peer requests from the shared tables.
pub struct PeerHandler {
    shared: sync::Arc<shared::Shared>,
}

impl PeerHandler {
    /// Creates a handler over the shared tables.
    pub fn new(shared: &sync::Arc<shared::Shared>) -> PeerHandler {
        PeerHandler {
            shared: shared.clone(),
        }
    }
}

impl server::Answer for PeerHandler {
    async fn answer(&self, req: message::Request) -> message::Response {
        match req {
            message::Request::Plan(plan_request) => {
                if self.shared.membership.lock().local_state.is_leaving() {
                    let draining = limpetkeel::Error::KeeperUnreachable;
                    return message::Response::Planned(Err(draining));
                }
                message::Response::Planned(self.shared.jobs.plan(plan_request).await)
            }
            message::Request::Note(note) => {
                planning::submit_note(&self.shared, note);
                message::Response::Done
            }
            message::Request::Catalog(revision) => {
                message::Response::Catalog(adopt::snapshot_after(&self.shared, revision))
            }
            message::Request::Follow(after) => {
                message::Response::Followed(follow::respond(&self.shared, after).await)
            }
            _ => message::Response::Unsupported,
        }
    }
}
