//! Handles requests from peers.

use std::sync;

use crate::{
    peer::{message, server, tunnel as peer_tunnel},
    relay::{
        availability, freshness, memory, planning, shared, store_updates, store_watch, tunnel,
    },
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

impl server::RequestHandler for PeerHandler {
    fn memory(&self) -> Option<&memory::Memory> {
        Some(&self.shared.memory)
    }

    async fn connect(
        &self,
        req: message::TunnelRequest,
    ) -> Result<peer_tunnel::Outlet, message::TunnelRefusal> {
        tunnel::connect(&self.shared, req).await
    }

    async fn handle(&self, req: message::Request) -> message::Response {
        match req {
            message::Request::RequestPlan(plan_request, requester) => {
                if self.shared.membership.lock().local_state.is_draining() {
                    let draining = limpetkeel::Error::KeeperUnreachable;
                    return message::Response::Plan(Err(draining));
                }
                let awaited = freshness::await_tables(&self.shared, &plan_request, &requester);
                if let Err(e) = awaited.await {
                    return message::Response::Plan(Err(e));
                }
                message::Response::Plan(self.shared.jobs.plan(plan_request).await)
            }
            message::Request::ReportPlan(report) => {
                planning::submit_plan_report(&self.shared, report);
                message::Response::Accepted
            }
            message::Request::FetchSnapshot(known) => {
                message::Response::Snapshot(store_updates::snapshot_after(&self.shared, known))
            }
            message::Request::WaitForChanges(req) => {
                message::Response::Changes(store_watch::wait_for_changes(&self.shared, req).await)
            }
            message::Request::ReportStatement(statement) => {
                availability::record_statement(&self.shared, &statement);
                message::Response::Accepted
            }
            _ => message::Response::Unsupported,
        }
    }
}
