//! The settings of the daemon, read from TOML and validated before anything starts.

use std::{fmt, fs, io, net, path};

use limpetkeel::{AvailabilityZoneName, Bytes, InstanceName, Millis, Policy};

/// The minimum length of the key that peers share, in bytes.
pub const MIN_KEY_BYTES: usize = 16;

/// The settings as written in the file.
#[derive(Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct RawSettings {
    instance: toml::Spanned<String>,
    availability_zone: toml::Spanned<String>,
    http_listen: toml::Spanned<String>,
    peer_listen: toml::Spanned<String>,
    #[serde(default)]
    peer_advertise: Option<toml::Spanned<String>>,
    peer_key: toml::Spanned<String>,
    platform: toml::Spanned<String>,
    #[serde(default)]
    seeds: Vec<toml::Spanned<String>>,
    #[serde(default = "default_workers")]
    workers: toml::Spanned<usize>,
    #[serde(default = "default_max_body")]
    max_body_bytes: toml::Spanned<u64>,
    #[serde(default = "default_body_budget")]
    body_budget_bytes: toml::Spanned<u64>,
    #[serde(default = "default_report_interval")]
    report_interval_ms: toml::Spanned<u64>,
    #[serde(default)]
    policy: Policy,
    #[serde(default = "default_log")]
    log: String,
}

fn default_workers() -> toml::Spanned<usize> {
    toml::Spanned::new(0..0, 4)
}

fn default_max_body() -> toml::Spanned<u64> {
    toml::Spanned::new(0..0, 16 * 1024 * 1024)
}

fn default_body_budget() -> toml::Spanned<u64> {
    toml::Spanned::new(0..0, 256 * 1024 * 1024)
}

fn default_report_interval() -> toml::Spanned<u64> {
    toml::Spanned::new(0..0, 1_000)
}

pub(crate) fn default_log() -> String {
    "info".to_owned()
}

/// Validated settings.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of the instance.
    pub instance: InstanceName,
    /// The availability zone of the instance.
    pub availability_zone: AvailabilityZoneName,
    /// The address on which to listen for callers.
    pub http_listen: net::SocketAddr,
    /// The address on which to listen for peers.
    pub peer_listen: net::SocketAddr,
    /// The address that is announced to peers.
    pub peer_advertise: net::SocketAddr,
    /// The shared key with which peers authenticate each other.
    pub peer_key: Vec<u8>,
    /// The URL of the platform.
    pub platform: String,
    /// The peers to contact before the platform's list is known.
    pub seeds: Vec<net::SocketAddr>,
    /// The number of workers that make decisions.
    pub workers: usize,
    /// The maximum size of a request body.
    pub max_body: Bytes,
    /// The maximum total size of the request bodies held in memory.
    pub body_budget: Bytes,
    /// The interval between load reports of an upstream.
    pub report_interval: Millis,
    /// The placement policy.
    pub policy: Policy,
    /// The log filter.
    pub log: String,
}

/// The reason why a setting is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Problem {
    /// The file is not TOML, or a key is missing, unknown or of the wrong type.
    Syntax(String),
    /// The value is not a valid name.
    Name,
    /// The value is not an address and port.
    Address,
    /// The value is not an HTTP URL.
    Url,
    /// The value is less than the first or greater than the second bound.
    OutOfRange(u64, u64),
    /// The key is too short.
    ShortKey,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Problem::Syntax(detail) => f.write_str(detail),
            Problem::Name => f.write_str("not a valid name"),
            Problem::Address => f.write_str("not an IP address and port"),
            Problem::Url => f.write_str("not an http:// URL"),
            Problem::OutOfRange(low, high) => write!(f, "must lie between {low} and {high}"),
            Problem::ShortKey => write!(f, "must have at least {MIN_KEY_BYTES} bytes"),
        }
    }
}

/// An invalid setting in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The key of the setting, or `settings` if the file itself is invalid.
    pub key: String,
    /// The line number, starting at one.
    pub line: usize,
    /// The reason.
    pub problem: Problem,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}: {}", self.line, self.key, self.problem)
    }
}

/// An error of reading settings.
#[derive(Debug)]
pub enum Error {
    /// The file cannot be read.
    File(io::Error),
    /// The file contains invalid settings.
    Faults(Vec<Fault>),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::File(e) => write!(f, "{e}"),
            Error::Faults(faults) => {
                let lines: Vec<_> = faults.iter().map(Fault::to_string).collect();
                f.write_str(&lines.join("\n"))
            }
        }
    }
}

impl std::error::Error for Error {}

/// Validates settings and collects all faults of a file, so that they are reported together.
pub(crate) struct SettingsValidator<'a> {
    text: &'a str,
    faults: Vec<Fault>,
}

/// The maximum number of workers of an instance.
const MAX_WORKERS: u64 = 64;

impl SettingsValidator<'_> {
    pub(crate) fn parse_name<'t, N: TryFrom<&'t str>>(
        &mut self,
        key: &str,
        raw: &'t toml::Spanned<String>,
    ) -> Option<N> {
        let name = N::try_from(raw.get_ref()).map_err(|_| Problem::Name);
        self.check(key, raw, |_| name)
    }

    pub(crate) fn parse_address(
        &mut self,
        key: &str,
        raw: &toml::Spanned<String>,
    ) -> Option<net::SocketAddr> {
        self.check(key, raw, |text| text.parse().map_err(|_| Problem::Address))
    }

    pub(crate) fn parse_addresses(
        &mut self,
        key: &str,
        raw: &[toml::Spanned<String>],
    ) -> Option<Vec<net::SocketAddr>> {
        // Collected first, so that every address is checked even after a fault.
        let addresses: Vec<_> = raw.iter().map(|raw| self.parse_address(key, raw)).collect();
        addresses.into_iter().collect()
    }

    pub(crate) fn parse_workers(&mut self, raw: &toml::Spanned<usize>) -> Option<usize> {
        self.check("workers", raw, |count| {
            in_range(1, MAX_WORKERS)(&(*count as u64)).map(|count| count as usize)
        })
    }

    pub(crate) fn check<T, U>(
        &mut self,
        key: &str,
        raw: &toml::Spanned<T>,
        check: impl FnOnce(&T) -> Result<U, Problem>,
    ) -> Option<U> {
        match check(raw.get_ref()) {
            Ok(value) => Some(value),
            Err(problem) => {
                let line = line_of(self.text, raw.span().start);
                self.faults.push(Fault {
                    key: key.to_owned(),
                    line,
                    problem,
                });
                None
            }
        }
    }
}

fn line_of(text: &str, offset: usize) -> usize {
    text.bytes()
        .take(offset)
        .filter(|byte| *byte == b'\n')
        .count()
        + 1
}

fn parse_url(text: &str) -> Result<String, Problem> {
    let valid = text.starts_with("http://") && reqwest::Url::parse(text).is_ok();
    if valid {
        Ok(text.trim_end_matches('/').to_owned())
    } else {
        Err(Problem::Url)
    }
}

pub(crate) fn parse_peer_key(text: &str) -> Result<Vec<u8>, Problem> {
    if text.len() < MIN_KEY_BYTES {
        return Err(Problem::ShortKey);
    }
    Ok(text.as_bytes().to_vec())
}

pub(crate) fn in_range(low: u64, high: u64) -> impl Fn(&u64) -> Result<u64, Problem> {
    move |value| {
        if (low..=high).contains(value) {
            Ok(*value)
        } else {
            Err(Problem::OutOfRange(low, high))
        }
    }
}

/// Accepts a decimal number from the first to the second bound.
pub(crate) fn decimal_in_range((low, high): (u64, u64)) -> impl Fn(&f64) -> Result<f64, Problem> {
    move |value| {
        // Not a number is in no range.
        if (low as f64..=high as f64).contains(value) {
            Ok(*value)
        } else {
            Err(Problem::OutOfRange(low, high))
        }
    }
}

impl TryFrom<&str> for Settings {
    type Error = Error;

    /// # Errors
    ///
    /// Returns an error that lists all faults of the text.
    fn try_from(text: &str) -> Result<Settings, Error> {
        parse_settings(text, RawSettings::validate)
    }
}

/// Parses a text and validates it.
///
/// # Errors
///
/// Returns an error that lists all faults of the text.
pub(crate) fn parse_settings<R: serde::de::DeserializeOwned, S>(
    text: &str,
    check: impl FnOnce(&R, &mut SettingsValidator<'_>) -> Option<S>,
) -> Result<S, Error> {
    let raw: R = toml::from_str(text).map_err(|e| {
        let line = e.span().map_or(1, |span| line_of(text, span.start));
        let problem = Problem::Syntax(e.message().to_owned());
        Error::Faults(vec![Fault {
            key: "settings".to_owned(),
            line,
            problem,
        }])
    })?;
    let mut validator = SettingsValidator {
        text,
        faults: Vec::new(),
    };
    let settings = check(&raw, &mut validator);
    settings.ok_or(Error::Faults(validator.faults))
}

impl RawSettings {
    fn validate(&self, validator: &mut SettingsValidator<'_>) -> Option<Settings> {
        let instance = validator.parse_name("instance", &self.instance);
        let availability_zone = validator.parse_name("availability_zone", &self.availability_zone);
        let http_listen = validator.parse_address("http_listen", &self.http_listen);
        let peer_listen = validator.parse_address("peer_listen", &self.peer_listen);
        let advertised = self.peer_advertise.as_ref().unwrap_or(&self.peer_listen);
        let peer_advertise = validator.parse_address("peer_advertise", advertised);
        let peer_key = validator.check("peer_key", &self.peer_key, |text| parse_peer_key(text));
        let platform = validator.check("platform", &self.platform, |text| parse_url(text));
        let seeds = validator.parse_addresses("seeds", &self.seeds);
        let workers = validator.parse_workers(&self.workers);
        let max_body = validator.check(
            "max_body_bytes",
            &self.max_body_bytes,
            in_range(1_024, 1 << 30),
        );
        let body_budget = validator.check(
            "body_budget_bytes",
            &self.body_budget_bytes,
            in_range(1_024, 1 << 40),
        );
        let report_interval = validator.check(
            "report_interval_ms",
            &self.report_interval_ms,
            in_range(50, 2_000),
        );
        Some(Settings {
            instance: instance?,
            availability_zone: availability_zone?,
            http_listen: http_listen?,
            peer_listen: peer_listen?,
            peer_advertise: peer_advertise?,
            peer_key: peer_key?,
            platform: platform?,
            seeds: seeds?,
            workers: workers?,
            max_body: Bytes(max_body?),
            body_budget: Bytes(body_budget?),
            report_interval: Millis(report_interval?),
            policy: self.policy,
            log: self.log.clone(),
        })
    }
}

impl Settings {
    /// Reads and validates a file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read, or one that lists all faults that it contains.
    pub fn read(file: &path::Path) -> Result<Settings, Error> {
        let text = fs::read_to_string(file).map_err(Error::File)?;
        Settings::try_from(text.as_str())
    }
}
