//! What the platform's store holds for the relay, as one instance hands it to another.

use std::sync;

use crate::{ingress, member, revision, roster};

/// Everything that the store holds for the relay, complete at one revision.
#[derive(Clone, Debug, Default, serde::Serialize, serde::Deserialize)]
pub struct Catalog {
    /// The revision at which it was complete.
    pub revision: revision::Revision,
    /// The newest table of routes.
    pub ingress: Option<sync::Arc<ingress::Declaration>>,
    /// The upstreams.
    pub upstreams: Vec<roster::Entry>,
    /// The instances of the system.
    pub instances: Vec<member::Contact>,
}
