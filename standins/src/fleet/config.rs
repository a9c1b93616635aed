//! The configuration of a fleet.

use std::{net, time};

/// The name of the engines' pool.
pub const MODEL_POOL: &str = "keel-advisor";

/// The name of the services' pool.
pub const SERVICE_POOL: &str = "hire-desk";

/// The configuration of a fleet.
#[derive(Clone, Debug)]
pub struct Config {
    /// The number of availability zones.
    pub zones: u8,
    /// The number of daemons in each zone.
    pub daemons_per_zone: u8,
    /// The number of daemons in each zone that may be started later.
    pub spare_daemons: u8,
    /// The number of engines in each zone.
    pub engines_per_zone: u8,
    /// The number of services in each zone.
    pub services_per_zone: u8,
    /// The delay until a change shows in the platform's instance list.
    pub list_lag: time::Duration,
    /// The command-line arguments of the engines.
    pub engine_args: Vec<String>,
    /// The placement policy.
    pub policy: String,
    /// Whether the processes connect through a relay, so that links can be cut.
    pub relayed: bool,
    /// The interval between load reports.
    pub report_interval: time::Duration,
    /// The log filter of the daemons.
    pub log: String,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            zones: 3,
            daemons_per_zone: 2,
            spare_daemons: 1,
            engines_per_zone: 2,
            services_per_zone: 1,
            list_lag: time::Duration::from_millis(500),
            engine_args: Vec::new(),
            policy: "keeper".to_owned(),
            relayed: false,
            report_interval: time::Duration::from_millis(250),
            log: "info".to_owned(),
        }
    }
}

/// The name, zone and addresses of a daemon, for its settings.
pub struct DaemonAddresses<'a> {
    /// The instance name.
    pub name: &'a str,
    /// The number of its zone, starting at 1.
    pub zone: u8,
    /// The address on which it listens for callers.
    pub http: net::SocketAddr,
    /// The address on which it listens for peers.
    pub peer: net::SocketAddr,
    /// The address to which peers connect.
    pub advertise: net::SocketAddr,
    /// The address of the platform.
    pub platform: net::SocketAddr,
    /// The address of a peer in the same zone.
    pub seed: net::SocketAddr,
}

impl Config {
    /// Returns the name of the zone with the given number, starting at 1.
    pub fn zone_name(&self, zone: u8) -> String {
        const NAMES: [&str; 3] = ["bayanzurkh", "khan-uul", "songino"];
        NAMES
            .get(usize::from(zone) - 1)
            .map_or(format!("zone-{zone}"), |name| (*name).to_owned())
    }

    /// Returns the settings file of a daemon as TOML.
    pub fn settings(&self, daemon: &DaemonAddresses<'_>) -> String {
        format!(
            "instance = {name:?}\n\
             availability_zone = {zone:?}\n\
             http_listen = \"{http}\"\n\
             peer_listen = \"{peer}\"\n\
             peer_advertise = \"{advertise}\"\n\
             peer_key = \"a key for tests only\"\n\
             platform = \"http://{platform}\"\n\
             seeds = [\"{seed}\"]\n\
             policy = {policy:?}\n\
             log = {log:?}\n\
             workers = 2\n\
             report_interval_ms = {report_interval}\n",
            name = daemon.name,
            zone = self.zone_name(daemon.zone),
            http = daemon.http,
            peer = daemon.peer,
            advertise = daemon.advertise,
            platform = daemon.platform,
            seed = daemon.seed,
            policy = self.policy,
            report_interval = self.report_interval.as_millis(),
            log = self.log,
        )
    }
}

/// Returns tables as TOML, with one model route of each rank and one service route.
pub fn tables_toml() -> String {
    tables_toml_with_batch_timeout(300_000)
}

/// Returns the same tables with the given timeout of the batch route, in milliseconds.
pub fn tables_toml_with_batch_timeout(batch_ms: u64) -> String {
    format!(
        "[pools.{MODEL_POOL}]\n\
         kind = \"model\"\n\n\
         [pools.{SERVICE_POOL}]\n\
         kind = \"service\"\n\n\
         [routes.fitting]\n\
         kind = \"model\"\npool = \"{MODEL_POOL}\"\nrank = \"urgent\"\ntimeout_ms = 30000\n\n\
         [routes.advice]\n\
         kind = \"model\"\npool = \"{MODEL_POOL}\"\nrank = \"normal\"\ntimeout_ms = 60000\n\n\
         [routes.ledger]\n\
         kind = \"model\"\npool = \"{MODEL_POOL}\"\nrank = \"batch\"\ntimeout_ms = {batch_ms}\n\n\
         [routes.booking]\n\
         kind = \"service\"\npool = \"{SERVICE_POOL}\"\nrank = \"urgent\"\ntimeout_ms = 10000\n"
    )
}
