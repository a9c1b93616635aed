//! Answers to the messages of peers.

use std::sync;

use crate::{
    peer::{message, server},
    relay::{adopt, follow, jobs, shared},
};

/// Answers peers from the shared tables.
pub struct Answers {
    shared: sync::Arc<shared::Shared>,
}

impl Answers {
    /// Creates the answerer of an instance.
    pub fn new(shared: &sync::Arc<shared::Shared>) -> Answers {
        Answers {
            shared: shared.clone(),
        }
    }
}

impl server::Answer for Answers {
    async fn answer(&self, req: message::Request) -> message::Response {
        match req {
            message::Request::Plan(demand) => {
                if self.shared.membership.lock().is_leaving() {
                    let leaving = limpetkeel::Error::KeeperUnreachable;
                    return message::Response::Planned(Err(leaving));
                }
                message::Response::Planned(self.shared.jobs.plan(demand).await)
            }
            message::Request::AssertPlans(assertions) => {
                self.shared.jobs.submit(jobs::Job::Assert(assertions));
                message::Response::Done
            }
            message::Request::Begun(pool, id) => {
                self.shared.jobs.submit(jobs::Job::Begun(pool, id));
                message::Response::Done
            }
            message::Request::Settle(settlement) => {
                self.shared.jobs.submit(jobs::Job::Settle(settlement));
                message::Response::Done
            }
            message::Request::Catalog(than) => {
                message::Response::Catalog(adopt::catalog(&self.shared, than))
            }
            message::Request::Follow(after) => {
                message::Response::Followed(follow::answer(&self.shared, after).await)
            }
            _ => message::Response::Unsupported,
        }
    }
}
