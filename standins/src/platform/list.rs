//! The instance list, which readers see with a delay.

use std::{collections, net, time};

/// The role of an instance.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// An instance of the system, which accepts callers' requests.
    #[serde(rename = "entry")]
    Daemon,
    /// An upstream of the given pool.
    Upstream(String),
}

/// An entry of the instance list.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Instance {
    /// The role of the instance.
    pub role: Role,
    /// The availability zone of the instance.
    pub availability_zone: String,
    /// The peer address of an instance of the system, or the service address of an upstream.
    pub address: net::SocketAddr,
    /// The address at which an instance of the system accepts callers' requests.
    #[serde(default)]
    pub http_address: Option<net::SocketAddr>,
    /// Whether the instance is draining because the platform is removing it.
    #[serde(default, rename = "leaving")]
    pub draining: bool,
}

type Instances = collections::BTreeMap<String, Instance>;

/// The instance list and its recent versions.
pub struct InstanceList {
    lag: time::Duration,
    /// The versions by the time of the change, oldest first.
    versions: parking_lot::Mutex<collections::VecDeque<(time::Instant, Instances)>>,
}

impl InstanceList {
    /// Creates an empty list.
    pub fn new(lag: time::Duration) -> InstanceList {
        let first = (time::Instant::now(), Instances::new());
        InstanceList {
            lag,
            versions: parking_lot::Mutex::new([first].into()),
        }
    }

    /// Adds or replaces an entry.
    pub fn put(&self, name: String, instance: Instance) {
        self.change(|instances| drop(instances.insert(name, instance)));
    }

    /// Removes an entry.
    pub fn delete(&self, name: &str) {
        self.change(|instances| drop(instances.remove(name)));
    }

    fn change(&self, change: impl FnOnce(&mut Instances)) {
        let mut versions = self.versions.lock();
        let mut instances = versions
            .back()
            .map(|(_, instances)| instances.clone())
            .unwrap_or_default();
        change(&mut instances);
        versions.push_back((time::Instant::now(), instances));
    }

    /// Returns the newest version that is at least as old as the lag; if there is none, the oldest
    /// version.
    pub fn read(&self) -> Instances {
        let now = time::Instant::now();
        let mut versions = self.versions.lock();
        while versions.len() > 1 && now.duration_since(versions[1].0) >= self.lag {
            versions.pop_front();
        }
        versions
            .front()
            .map(|(_, instances)| instances.clone())
            .unwrap_or_default()
    }
}
