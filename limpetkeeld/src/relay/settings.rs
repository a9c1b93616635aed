//! Settings of a relaying instance, read from TOML and checked before anything starts.

use std::{fs, net, path};

use limpetkeel::{AvailabilityZoneName, Bytes, InstanceName, Millis, RetryBound};

use crate::settings::{Checker, Error, Problem, between, default_log, key, parse};

/// Settings as the file holds them.
#[derive(Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    instance: toml::Spanned<String>,
    availability_zone: toml::Spanned<String>,
    http_listen: toml::Spanned<String>,
    ready_listen: toml::Spanned<String>,
    status_listen: toml::Spanned<String>,
    peer_listen: toml::Spanned<String>,
    peer_key: toml::Spanned<String>,
    store: toml::Spanned<String>,
    #[serde(default)]
    seeds: Vec<toml::Spanned<String>>,
    #[serde(default = "default_workers")]
    workers: toml::Spanned<usize>,
    leave_timeout_ms: toml::Spanned<u64>,
    memory_limit_mb: toml::Spanned<u64>,
    retry_ratio: toml::Spanned<f64>,
    retry_allowance: toml::Spanned<u64>,
    retry_window_ms: toml::Spanned<u64>,
    #[serde(default = "default_log")]
    log: String,
}

/// Two workers: one may decide while the other takes in a large table.
fn default_workers() -> toml::Spanned<usize> {
    toml::Spanned::new(0..0, 2)
}

/// Checked settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The name of the instance.
    pub instance: InstanceName,
    /// Its availability zone.
    pub availability_zone: AvailabilityZoneName,
    /// Where callers connect.
    pub http_listen: net::SocketAddr,
    /// Where balancers ask whether the instance is ready.
    pub ready_listen: net::SocketAddr,
    /// Where operators read the metrics.
    pub status_listen: net::SocketAddr,
    /// Where peers connect.
    pub peer_listen: net::SocketAddr,
    /// The key that peers prove to share.
    pub peer_key: Vec<u8>,
    /// The platform's store.
    pub store: net::SocketAddr,
    /// Peers to ask while the store does not answer and no instance is known.
    pub seeds: Vec<net::SocketAddr>,
    /// Workers that decide.
    pub workers: usize,
    /// A leaving instance stops after this long, even with requests in progress.
    pub leave_timeout: Millis,
    /// Bytes of request bodies that are held at once.
    pub body_budget: Bytes,
    /// The bound on repeated sends over all instances.
    pub retry_bound: RetryBound,
    /// The log filter.
    pub log: String,
}

/// The bounds of `leave_timeout_ms`.
const LEAVE_BOUNDS: (u64, u64) = (1_000, 600_000);

/// The bounds of `retry_window_ms`.
const WINDOW_BOUNDS: (u64, u64) = (100, 600_000);

/// The bounds of `memory_limit_mb`.
const MEMORY_BOUNDS: (u64, u64) = (1, 1 << 20);

/// Bytes of a megabyte.
const BYTES_PER_MB: u64 = 1024 * 1024;

/// The part of the memory that request bodies may take; the rest is for tables, connections and
/// answers.
const BODY_PERCENT: u8 = 50;

/// The largest `retry_allowance`.
const MOST_ALLOWANCE: u64 = 1_000_000;

impl Raw {
    fn check(&self, checker: &mut Checker<'_>) -> Option<Settings> {
        let instance = checker.name("instance", &self.instance);
        let availability_zone = checker.name("availability_zone", &self.availability_zone);
        let http_listen = checker.address("http_listen", &self.http_listen);
        let ready_listen = checker.address("ready_listen", &self.ready_listen);
        let status_listen = checker.address("status_listen", &self.status_listen);
        let peer_listen = checker.address("peer_listen", &self.peer_listen);
        let peer_key = checker.check("peer_key", &self.peer_key, |text| key(text));
        let store = checker.address("store", &self.store);
        let seeds = checker.addresses("seeds", &self.seeds);
        let workers = checker.workers(&self.workers);
        let (least, most) = LEAVE_BOUNDS;
        let leave = checker.check(
            "leave_timeout_ms",
            &self.leave_timeout_ms,
            between(least, most),
        );
        let (least, most) = MEMORY_BOUNDS;
        let memory = checker.check(
            "memory_limit_mb",
            &self.memory_limit_mb,
            between(least, most),
        );
        let ratio = checker.check("retry_ratio", &self.retry_ratio, |ratio| {
            let valid = ratio.is_finite() && (0.0..=1.0).contains(ratio);
            valid.then_some(*ratio).ok_or(Problem::Bounds(0, 1))
        });
        let allowance = checker.check(
            "retry_allowance",
            &self.retry_allowance,
            between(0, MOST_ALLOWANCE),
        );
        let (least, most) = WINDOW_BOUNDS;
        let window = checker.check(
            "retry_window_ms",
            &self.retry_window_ms,
            between(least, most),
        );
        Some(Settings {
            instance: instance?,
            availability_zone: availability_zone?,
            http_listen: http_listen?,
            ready_listen: ready_listen?,
            status_listen: status_listen?,
            peer_listen: peer_listen?,
            peer_key: peer_key?,
            store: store?,
            seeds: seeds?,
            workers: workers?,
            leave_timeout: Millis(leave?),
            body_budget: Bytes(memory? * BYTES_PER_MB).percent(BODY_PERCENT),
            retry_bound: RetryBound {
                ratio: ratio?,
                allowance: allowance? as f64,
                window: Millis(window?),
            },
            log: self.log.clone(),
        })
    }
}

impl Settings {
    /// Tells whether something differs that only a restart takes over.
    pub fn needs_restart(&self, other: &Settings) -> bool {
        let taken = Settings {
            retry_bound: other.retry_bound,
            ..self.clone()
        };
        taken != *other
    }

    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, or with every fault that it holds.
    pub fn read(file: &path::Path) -> Result<Settings, Error> {
        let text = fs::read_to_string(file).map_err(Error::File)?;
        Settings::try_from(text.as_str())
    }
}

impl TryFrom<&str> for Settings {
    type Error = Error;

    fn try_from(text: &str) -> Result<Settings, Error> {
        parse(text, Raw::check)
    }
}
