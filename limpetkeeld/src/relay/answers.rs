//! Answers to the messages of peers.

use std::sync;

use crate::{
    peer::{message, server},
    relay::{adopt, follow, planning, shared},
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
                if self.shared.membership.lock().own.is_leaving() {
                    let leaving = limpetkeel::Error::KeeperUnreachable;
                    return message::Response::Planned(Err(leaving));
                }
                message::Response::Planned(self.shared.jobs.plan(demand).await)
            }
            message::Request::Note(note) => {
                planning::note_here(&self.shared, note);
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
