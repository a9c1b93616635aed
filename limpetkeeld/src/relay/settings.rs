//! Settings of a relay instance, read from a TOML file and validated at startup.

use std::{fs, net, path};

use limpetkeel::{AvailabilityZoneName, Bytes, InstanceName, Millis, RetryLimit};

use crate::settings::{
    Error, Problem, SettingsValidator, default_log, in_range, parse_peer_key, parse_settings,
};

/// The settings as written in the file.
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

/// Two workers, so that requests are planned while a large snapshot is applied.
fn default_workers() -> toml::Spanned<usize> {
    toml::Spanned::new(0..0, 2)
}

/// Validated settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The name of the instance.
    pub instance: InstanceName,
    /// The availability zone of the instance.
    pub availability_zone: AvailabilityZoneName,
    /// The address for caller connections.
    pub http_listen: net::SocketAddr,
    /// The address of the readiness check.
    pub ready_listen: net::SocketAddr,
    /// The address that serves the metrics.
    pub status_listen: net::SocketAddr,
    /// The address for peer connections.
    pub peer_listen: net::SocketAddr,
    /// The secret key shared by all peers.
    pub peer_key: Vec<u8>,
    /// The address of the platform's store.
    pub store: net::SocketAddr,
    /// Addresses of peers to contact while the store is unreachable and no other instance is known.
    pub seeds: Vec<net::SocketAddr>,
    /// The number of worker tasks.
    pub workers: usize,
    /// The maximum time to drain. The instance stops after it, even with requests in progress.
    pub drain_timeout: Millis,
    /// The maximum total size of buffered request bodies.
    pub body_budget: Bytes,
    /// The limit on retries over all instances.
    pub retry_limit: RetryLimit,
    /// The log filter.
    pub log: String,
}

/// Valid range of `leave_timeout_ms`.
const DRAIN_TIMEOUT_BOUNDS_MS: (u64, u64) = (1_000, 600_000);

/// Valid range of `retry_window_ms`.
const RETRY_WINDOW_BOUNDS_MS: (u64, u64) = (100, 600_000);

/// Valid range of `memory_limit_mb`.
const MEMORY_LIMIT_BOUNDS_MB: (u64, u64) = (1, 1 << 20);

/// Bytes per megabyte.
const BYTES_PER_MB: u64 = 1024 * 1024;

/// Share of the memory limit available to request bodies, in percent. The rest is for tables,
/// connections and responses.
const BODY_MEMORY_PERCENT: u8 = 50;

/// Maximum value of `retry_allowance`.
const MAX_RETRY_ALLOWANCE: u64 = 1_000_000;

impl Raw {
    fn validate(&self, validator: &mut SettingsValidator<'_>) -> Option<Settings> {
        let instance = validator.parse_name("instance", &self.instance);
        let availability_zone = validator.parse_name("availability_zone", &self.availability_zone);
        let http_listen = validator.parse_address("http_listen", &self.http_listen);
        let ready_listen = validator.parse_address("ready_listen", &self.ready_listen);
        let status_listen = validator.parse_address("status_listen", &self.status_listen);
        let peer_listen = validator.parse_address("peer_listen", &self.peer_listen);
        let peer_key = validator.check("peer_key", &self.peer_key, |text| parse_peer_key(text));
        let store = validator.parse_address("store", &self.store);
        let seeds = validator.parse_addresses("seeds", &self.seeds);
        let workers = validator.parse_workers(&self.workers);
        let (min, max) = DRAIN_TIMEOUT_BOUNDS_MS;
        let drain_timeout = validator.check(
            "leave_timeout_ms",
            &self.leave_timeout_ms,
            in_range(min, max),
        );
        let (min, max) = MEMORY_LIMIT_BOUNDS_MB;
        let memory = validator.check("memory_limit_mb", &self.memory_limit_mb, in_range(min, max));
        let ratio = validator.check("retry_ratio", &self.retry_ratio, |ratio| {
            let valid = ratio.is_finite() && (0.0..=1.0).contains(ratio);
            valid.then_some(*ratio).ok_or(Problem::OutOfRange(0, 1))
        });
        let allowance = validator.check(
            "retry_allowance",
            &self.retry_allowance,
            in_range(0, MAX_RETRY_ALLOWANCE),
        );
        let (min, max) = RETRY_WINDOW_BOUNDS_MS;
        let window = validator.check("retry_window_ms", &self.retry_window_ms, in_range(min, max));
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
            drain_timeout: Millis(drain_timeout?),
            body_budget: Bytes(memory? * BYTES_PER_MB).percent(BODY_MEMORY_PERCENT),
            retry_limit: RetryLimit {
                ratio: ratio?,
                allowance: allowance? as f64,
                window: Millis(window?),
            },
            log: self.log.clone(),
        })
    }
}

impl Settings {
    /// Returns `true` if the settings differ in a value that only a restart applies.
    pub fn needs_restart(&self, other: &Settings) -> bool {
        let with_retry_limit = Settings {
            retry_limit: other.retry_limit,
            ..self.clone()
        };
        with_retry_limit != *other
    }

    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, or all faults that it contains.
    pub fn read(file: &path::Path) -> Result<Settings, Error> {
        let text = fs::read_to_string(file).map_err(Error::File)?;
        Settings::try_from(text.as_str())
    }
}

impl TryFrom<&str> for Settings {
    type Error = Error;

    fn try_from(text: &str) -> Result<Settings, Error> {
        parse_settings(text, Raw::validate)
    }
}
