//! Settings of a relay instance, read from a TOML file and validated at startup.

use std::{fs, net, path};

use limpetkeel::{
    AvailabilityZoneName, Bytes, HedgeLimit, InstanceName, Millicores, Millis, RetryLimit,
};

use crate::{
    process_limit,
    settings::{
        Error, SettingsValidator, decimal_in_range, default_log, parse_peer_key, parse_settings,
    },
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
    #[serde(default = "default_processor_share")]
    processor_share: toml::Spanned<f64>,
    #[serde(default = "default_leave_timeout")]
    leave_timeout_s: toml::Spanned<f64>,
    #[serde(default = "default_memory_limit")]
    memory_limit_mb: toml::Spanned<f64>,
    #[serde(default = "default_descriptor_limit")]
    descriptor_limit: toml::Spanned<f64>,
    #[serde(default = "default_retry_ratio")]
    retry_ratio: toml::Spanned<f64>,
    #[serde(default = "default_retry_allowance")]
    retry_allowance: toml::Spanned<f64>,
    #[serde(default = "default_retry_window")]
    retry_window_s: toml::Spanned<f64>,
    #[serde(default = "default_hedge_ratio")]
    hedge_ratio: toml::Spanned<f64>,
    #[serde(default = "default_hedge_quantile")]
    hedge_quantile: toml::Spanned<f64>,
    #[serde(default = "default_log")]
    log: String,
}

/// Two workers, so that requests are planned while a large snapshot is applied.
fn default_workers() -> toml::Spanned<usize> {
    toml::Spanned::new(0..0, 2)
}

/// A complete core.
fn default_processor_share() -> toml::Spanned<f64> {
    toml::Spanned::new(0..0, 1.0)
}

/// Long enough for the streams of most requests, in seconds.
fn default_leave_timeout() -> toml::Spanned<f64> {
    toml::Spanned::new(0..0, 8.0)
}

/// The memory of a small instance, in megabytes.
fn default_memory_limit() -> toml::Spanned<f64> {
    toml::Spanned::new(0..0, 112.0)
}

/// The limit on open descriptors that the process was started with. A file always has one.
fn default_descriptor_limit() -> toml::Spanned<f64> {
    toml::Spanned::new(0..0, process_limit::open_descriptors() as f64)
}

fn default_retry_ratio() -> toml::Spanned<f64> {
    toml::Spanned::new(0..0, 0.1)
}

fn default_retry_allowance() -> toml::Spanned<f64> {
    toml::Spanned::new(0..0, 20.0)
}

/// No hedges.
fn default_hedge_ratio() -> toml::Spanned<f64> {
    toml::Spanned::new(0..0, 0.0)
}

fn default_hedge_quantile() -> toml::Spanned<f64> {
    toml::Spanned::new(0..0, 0.95)
}

/// In seconds.
fn default_retry_window() -> toml::Spanned<f64> {
    toml::Spanned::new(0..0, 10.0)
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
    /// The processor time of the machine, by which planners and watchers are chosen.
    pub processor: Millicores,
    /// The number of worker tasks.
    pub workers: usize,
    /// The maximum time to drain. The instance stops after it, even with requests in progress.
    pub drain_timeout: Millis,
    /// The memory that the process may take.
    pub memory_limit: Bytes,
    /// The number of descriptors that the process may open.
    pub descriptor_limit: usize,
    /// The limit on retries over all instances.
    pub retry_limit: RetryLimit,
    /// The limit on hedged requests of this instance.
    pub hedge_limit: HedgeLimit,
    /// The log filter.
    pub log: String,
}

impl Settings {
    /// Returns the address from which the instance connects to peers and upstreams.
    pub fn source(&self) -> net::IpAddr {
        self.peer_listen.ip()
    }
}

/// Valid range of `processor_share`, in cores.
const PROCESSOR_SHARE_BOUNDS: (u64, u64) = (0, 1_024);

/// Thousandths of a core.
const MILLICORES_PER_CORE: f64 = 1_000.0;

/// Valid range of `leave_timeout_s`, in seconds.
const LEAVE_TIMEOUT_BOUNDS_S: (u64, u64) = (1, 600);

/// Valid range of `retry_window_s`, in seconds.
const RETRY_WINDOW_BOUNDS_S: (u64, u64) = (0, 600);

/// The shortest retry window. A shorter one would count hardly any request.
const MIN_RETRY_WINDOW: Millis = Millis(100);

/// Valid range of `memory_limit_mb`, in megabytes.
const MEMORY_LIMIT_BOUNDS_MB: (u64, u64) = (1, 1 << 20);

/// Valid range of `retry_ratio`.
const RETRY_RATIO_BOUNDS: (u64, u64) = (0, 1);

/// Milliseconds per second.
const MS_PER_S: f64 = 1_000.0;

/// Bytes per megabyte.
const BYTES_PER_MB: f64 = 1_048_576.0;

/// Valid range of `descriptor_limit`. An instance with less could not hold its own connections.
const DESCRIPTOR_LIMIT_BOUNDS: (u64, u64) = (64, 1 << 20);

/// Valid range of `retry_allowance`.
const RETRY_ALLOWANCE_BOUNDS: (u64, u64) = (0, 1_000_000);

/// Valid range of `hedge_ratio`.
const HEDGE_RATIO_BOUNDS: (u64, u64) = (0, 1);

/// Valid range of `hedge_quantile`.
const HEDGE_QUANTILE_BOUNDS: (u64, u64) = (0, 1);

/// The window in which hedges are counted. It covers the deadlines of most requests.
const HEDGE_WINDOW: Millis = Millis(10_000);

/// Converts seconds to milliseconds, rounded to the nearest.
fn millis_from_seconds(seconds: f64) -> Millis {
    Millis((seconds * MS_PER_S).round() as u64)
}

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
        let processor_share = validator.check(
            "processor_share",
            &self.processor_share,
            decimal_in_range(PROCESSOR_SHARE_BOUNDS),
        );
        let drain_timeout = validator.check(
            "leave_timeout_s",
            &self.leave_timeout_s,
            decimal_in_range(LEAVE_TIMEOUT_BOUNDS_S),
        );
        let memory_mb = validator.check(
            "memory_limit_mb",
            &self.memory_limit_mb,
            decimal_in_range(MEMORY_LIMIT_BOUNDS_MB),
        );
        let descriptor_limit = validator.check(
            "descriptor_limit",
            &self.descriptor_limit,
            decimal_in_range(DESCRIPTOR_LIMIT_BOUNDS),
        );
        let ratio = validator.check(
            "retry_ratio",
            &self.retry_ratio,
            decimal_in_range(RETRY_RATIO_BOUNDS),
        );
        let allowance = validator.check(
            "retry_allowance",
            &self.retry_allowance,
            decimal_in_range(RETRY_ALLOWANCE_BOUNDS),
        );
        let window = validator.check(
            "retry_window_s",
            &self.retry_window_s,
            decimal_in_range(RETRY_WINDOW_BOUNDS_S),
        );
        let hedge_ratio = validator.check(
            "hedge_ratio",
            &self.hedge_ratio,
            decimal_in_range(HEDGE_RATIO_BOUNDS),
        );
        let hedge_quantile = validator.check(
            "hedge_quantile",
            &self.hedge_quantile,
            decimal_in_range(HEDGE_QUANTILE_BOUNDS),
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
            processor: Millicores((processor_share? * MILLICORES_PER_CORE).round() as u64),
            workers: workers?,
            drain_timeout: millis_from_seconds(drain_timeout?),
            memory_limit: Bytes((memory_mb? * BYTES_PER_MB) as u64),
            descriptor_limit: descriptor_limit? as usize,
            retry_limit: RetryLimit {
                ratio: ratio?,
                allowance: allowance?,
                window: millis_from_seconds(window?).max(MIN_RETRY_WINDOW),
            },
            hedge_limit: HedgeLimit {
                ratio: hedge_ratio?,
                quantile: hedge_quantile?,
                window: HEDGE_WINDOW,
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
