//! Handling of peer messages by the daemon.

use std::sync;

use crate::{
    gossip,
    peer::{message, server},
    placing, run_once, shared, tables, worker,
};

/// Handles peer messages using the shared tables.
pub struct DaemonMessageHandler {
    shared: sync::Arc<shared::Shared>,
}

impl DaemonMessageHandler {
    /// Creates the handler of an instance.
    pub fn new(shared: &sync::Arc<shared::Shared>) -> DaemonMessageHandler {
        DaemonMessageHandler {
            shared: shared.clone(),
        }
    }

    async fn submit(&self, job: worker::Job) -> message::Response {
        self.shared.jobs.submit(job).await;
        message::Response::Done
    }

    async fn run_once(&self, updates: Vec<limpetkeel::RecordUpdate>) -> message::Response {
        let results = updates
            .into_iter()
            .map(|update| run_once::apply_locally(&self.shared, update));
        message::Response::Applied(futures_util::future::join_all(results).await)
    }
}

impl server::Answer for DaemonMessageHandler {
    async fn answer(&self, req: message::Request) -> message::Response {
        match req {
            message::Request::RequestPlacement(request) => message::Response::Placement(
                placing::request_from_local_keeper(&self.shared, request).await,
            ),
            message::Request::Release(release) => self.submit(worker::Job::Release(release)).await,
            message::Request::Prefilled(held) => self.submit(worker::Job::Prefilled(held)).await,
            message::Request::Assert(held) => self.submit(worker::Job::Assert(held)).await,
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
                message::Response::Done
            }
            message::Request::FetchTables(revision) => {
                message::Response::Tables(tables::snapshot(&self.shared, revision))
            }
            message::Request::ApplyRunOnce(updates) => self.run_once(updates).await,
            message::Request::Plan(_)
            | message::Request::Note(_)
            | message::Request::Catalog(_)
            | message::Request::Follow(_) => message::Response::Unsupported,
        }
    }
}
