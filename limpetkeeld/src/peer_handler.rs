//! Handling of peer messages by the daemon.

use std::sync;

use crate::{
    gossip,
    peer::{message, server},
    placement, run_once, shared, tables, worker,
};

/// Handles peer messages using the shared tables.
pub struct PeerHandler {
    shared: sync::Arc<shared::Shared>,
}

impl PeerHandler {
    /// Creates the handler of an instance.
    pub fn new(shared: &sync::Arc<shared::Shared>) -> PeerHandler {
        PeerHandler {
            shared: shared.clone(),
        }
    }

    async fn submit(&self, job: worker::Job) -> message::Response {
        self.shared.jobs.submit(job).await;
        message::Response::Accepted
    }

    async fn run_once(&self, updates: Vec<limpetkeel::RecordUpdate>) -> message::Response {
        let results = updates
            .into_iter()
            .map(|update| run_once::apply_locally(&self.shared, update));
        message::Response::Applied(futures_util::future::join_all(results).await)
    }
}

impl server::RequestHandler for PeerHandler {
    async fn handle(&self, req: message::Request) -> message::Response {
        match req {
            message::Request::RequestPlacement(request) => message::Response::Placement(
                placement::request_from_local_keeper(&self.shared, request).await,
            ),
            message::Request::Release(release) => self.submit(worker::Job::Release(release)).await,
            message::Request::Prefilled(held) => self.submit(worker::Job::Prefilled(held)).await,
            message::Request::RenewGrants(held) => {
                self.submit(worker::Job::RenewGrants(held)).await
            }
            message::Request::Gossip(gossip) => {
                message::Response::Gossip(gossip::handle(&self.shared, gossip))
            }
            message::Request::ExchangeContacts(exchange) => {
                let now = self.shared.clock.now();
                let members = &mut self.shared.membership.lock().members;
                members.add_contacts(now, exchange.contacts);
                message::Response::Contacts(members.contacts(&exchange.wanted))
            }
            message::Request::AnnounceRevision(announcement) => {
                let local_revision = self.shared.in_force.lock().tables.revision();
                if announcement.revision > local_revision {
                    let shared = self.shared.clone();
                    tokio::spawn(async move {
                        tables::fetch_from(&shared, announcement.from.address).await
                    });
                }
                message::Response::Accepted
            }
            message::Request::FetchTables(revision) => {
                message::Response::Tables(tables::snapshot(&self.shared, revision))
            }
            message::Request::ApplyRunOnce(updates) => self.run_once(updates).await,
            message::Request::RequestPlan(..)
            | message::Request::ReportPlan(_)
            | message::Request::FetchSnapshot(_)
            | message::Request::WaitForChanges(_)
            | message::Request::ReportStatement(_) => message::Response::Unsupported,
        }
    }
}
