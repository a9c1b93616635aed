//! A fleet of real processes on loopback: daemons, stand-ins and a relay.
//!
//! Every process has an address of its own under `127.N.zone.host`, where `N` belongs to the fleet
//! as long as it lives, so that fleets can run side by side.

mod config;
mod control;
pub mod process;
mod range;

use std::{fmt, fs, io, net, path, time};

pub use config::{Config, tables_toml, tables_with_batch_timeout};
pub use process::{Process, build, program};

use crate::platform;

const HTTP_PORT: u16 = 8080;
const PEER_PORT: u16 = 7000;
const ENGINE_PORT: u16 = 9000;
const SERVICE_PORT: u16 = 9100;
const PLATFORM_PORT: u16 = 5000;
const RELAYED: u16 = 10_000;
const FIRST_DAEMON: u8 = 10;
const FIRST_ENGINE: u8 = 100;
const FIRST_SERVICE: u8 = 200;

/// The zone number of the platform.
pub const PLATFORM_ZONE: u8 = 250;

/// A condition that does not come true within this time fails the run.
pub const PATIENCE: time::Duration = time::Duration::from_secs(60);

/// Why a fleet could not do what it was told.
#[derive(Debug)]
pub enum Error {
    /// A file or process operation failed.
    Io(io::Error),
    /// A call of a process failed.
    Http(reqwest::Error),
    /// A program could not be built.
    Build,
    /// A condition did not come true in time.
    TimedOut(&'static str),
    /// No range of loopback addresses is free.
    NoAddresses,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Io(e) => write!(f, "{e}"),
            Error::Http(e) => write!(f, "{e}"),
            Error::Build => f.write_str("the programs could not be built"),
            Error::TimedOut(condition) => write!(f, "timed out: {condition}"),
            Error::NoAddresses => f.write_str("no range of loopback addresses is free"),
        }
    }
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Error {
        Error::Io(error)
    }
}

impl From<reqwest::Error> for Error {
    fn from(error: reqwest::Error) -> Error {
        Error::Http(error)
    }
}

/// Alias for a `Result` with the fleet's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// A daemon of the fleet.
pub struct Daemon {
    /// Its name.
    pub name: String,
    /// Its zone, from one.
    pub zone: u8,
    /// Where it takes callers' requests.
    pub http: net::SocketAddr,
    /// Its process, unless it was stopped.
    pub process: Option<Process>,
}

impl Daemon {
    /// Returns its URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.http)
    }
}

/// An upstream of the fleet.
pub struct Upstream {
    /// Its name.
    pub name: String,
    /// Its zone, from one.
    pub zone: u8,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Its process, unless it was stopped.
    pub process: Option<Process>,
}

impl Upstream {
    /// Returns its URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }
}

/// All processes of a fleet; they end when it is dropped.
pub struct Fleet {
    config: Config,
    folder: path::PathBuf,
    /// The daemons.
    pub daemons: Vec<Daemon>,
    /// The engines.
    pub engines: Vec<Upstream>,
    /// The plain services.
    pub services: Vec<Upstream>,
    platform: Option<Process>,
    relay: Option<Process>,
    http: reqwest::Client,
    /// Fields are dropped in this order, and the addresses are free only when all processes ended.
    range: range::Range,
}

impl Fleet {
    /// Starts the stand-ins and the daemons, without tables.
    ///
    /// # Errors
    ///
    /// Fails if a process cannot be started or does not answer.
    pub async fn start(config: Config) -> Result<Fleet> {
        let range = range::Range::claim()?;
        let folder = std::env::temp_dir().join(format!(
            "limpetkeel-{}-{}",
            std::process::id(),
            range.number
        ));
        fs::create_dir_all(&folder)?;
        let mut fleet = Fleet {
            config,
            folder,
            daemons: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            platform: None,
            relay: None,
            http: reqwest::Client::new(),
            range,
        };
        fleet.start_platform().await?;
        fleet.start_upstreams()?;
        fleet.start_relay()?;
        fleet.register_upstreams().await?;
        for zone in 1..=fleet.config.zones {
            for index in 0..fleet.config.daemons_per_zone {
                fleet.start_daemon(zone, index).await?;
            }
        }
        fleet.wait_for_daemons().await?;
        Ok(fleet)
    }

    /// Returns the address that is held as long as the fleet's range of addresses is taken.
    pub fn claim(&self) -> net::SocketAddr {
        self.range.claimed()
    }

    /// Returns the address of the platform.
    pub fn platform_address(&self) -> net::SocketAddr {
        self.range.at(PLATFORM_ZONE, 1, PLATFORM_PORT)
    }

    /// Returns the URL of the platform.
    pub fn platform_url(&self) -> String {
        format!("http://{}", self.platform_address())
    }

    async fn start_platform(&mut self) -> Result<()> {
        let listen = self.range.at(PLATFORM_ZONE, 1, PLATFORM_PORT);
        let lag = self.config.list_lag.as_millis().to_string();
        let args = ["--listen", &listen.to_string(), "--lag-ms", &lag];
        self.platform = Some(Process::start("platform", &args, &self.folder)?);
        let url = format!("{}/calls", self.platform_url());
        self.wait_until("platform answers", async || {
            self.http.get(&url).send().await.is_ok()
        })
        .await
    }

    fn start_upstreams(&mut self) -> Result<()> {
        for zone in 1..=self.config.zones {
            for index in 0..self.config.engines_per_zone {
                let address = self.range.at(zone, FIRST_ENGINE + index, ENGINE_PORT);
                let name = format!("engine-{zone}-{index}");
                let process = Some(self.start_engine(address)?);
                self.engines.push(Upstream {
                    name,
                    zone,
                    address,
                    process,
                });
            }
            for index in 0..self.config.services_per_zone {
                let address = self.range.at(zone, FIRST_SERVICE + index, SERVICE_PORT);
                let name = format!("service-{zone}-{index}");
                let listen = address.to_string();
                let process = Process::start("service", &["--listen", &listen], &self.folder)?;
                self.services.push(Upstream {
                    name,
                    zone,
                    address,
                    process: Some(process),
                });
            }
        }
        Ok(())
    }

    fn start_engine(&self, address: net::SocketAddr) -> Result<Process> {
        let listen = address.to_string();
        let mut args = vec!["--listen", &listen];
        args.extend(self.config.engine_args.iter().map(String::as_str));
        Process::start("engine", &args, &self.folder)
    }

    /// Starts an engine again that was stopped.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be started.
    pub fn restart_engine(&mut self, index: usize) -> Result<()> {
        let process = self.start_engine(self.engines[index].address)?;
        self.engines[index].process = Some(process);
        Ok(())
    }

    fn relayed(&self, address: net::SocketAddr) -> net::SocketAddr {
        if !self.config.relayed {
            return address;
        }
        net::SocketAddr::new(address.ip(), address.port() + RELAYED)
    }

    fn start_relay(&mut self) -> Result<()> {
        if !self.config.relayed {
            return Ok(());
        }
        let control = self.range.at(251, 1, PLATFORM_PORT).to_string();
        let mut targets = vec![self.range.at(PLATFORM_ZONE, 1, PLATFORM_PORT)];
        targets.extend(
            self.engines
                .iter()
                .chain(&self.services)
                .map(|up| up.address),
        );
        for zone in 1..=self.config.zones {
            let hosts = 0..self.config.daemons_per_zone + self.config.spare_daemons;
            targets.extend(hosts.map(|i| self.range.at(zone, FIRST_DAEMON + i, PEER_PORT)));
        }
        let mut args = vec!["--control".to_owned(), control];
        for target in targets {
            args.push("--map".to_owned());
            args.push(format!("{}={target}", self.relayed(target)));
        }
        let args: Vec<_> = args.iter().map(String::as_str).collect();
        self.relay = Some(Process::start("relay", &args, &self.folder)?);
        Ok(())
    }

    async fn register_upstreams(&self) -> Result<()> {
        for (pool, upstreams) in [
            (config::MODEL_POOL, &self.engines),
            (config::SERVICE_POOL, &self.services),
        ] {
            for upstream in upstreams {
                self.list(&upstream.name, &self.upstream_line(pool, upstream))
                    .await?;
            }
        }
        Ok(())
    }

    fn upstream_line(&self, pool: &str, upstream: &Upstream) -> platform::Instance {
        platform::Instance {
            role: platform::Role::Upstream(pool.to_owned()),
            availability_zone: self.config.zone_name(upstream.zone),
            address: self.relayed(upstream.address),
            http_address: None,
            leaving: false,
        }
    }

    /// Starts a daemon and lists it; returns its index.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be started.
    pub async fn start_daemon(&mut self, zone: u8, index: u8) -> Result<usize> {
        let name = format!("entry-{zone}-{index}");
        let http = self.range.at(zone, FIRST_DAEMON + index, HTTP_PORT);
        let peer = self.range.at(zone, FIRST_DAEMON + index, PEER_PORT);
        let platform = self.relayed(self.range.at(PLATFORM_ZONE, 1, PLATFORM_PORT));
        let seed = self.relayed(self.range.at(zone, FIRST_DAEMON, PEER_PORT));
        let settings = self.config.settings(&config::DaemonAddresses {
            name: &name,
            zone,
            http,
            peer,
            advertise: self.relayed(peer),
            platform,
            seed,
        });
        let file = self.folder.join(format!("{name}.toml"));
        fs::write(&file, settings)?;
        let file = file.display().to_string();
        let process = Process::start("limpetkeeld", &["--config", &file], &self.folder)?;
        let line = platform::Instance {
            role: platform::Role::Entry,
            availability_zone: self.config.zone_name(zone),
            address: self.relayed(peer),
            http_address: Some(http),
            leaving: false,
        };
        self.list(&name, &line).await?;
        let daemon = Daemon {
            name,
            zone,
            http,
            process: Some(process),
        };
        if let Some(known) = self
            .daemons
            .iter()
            .position(|known| known.name == daemon.name)
        {
            self.daemons[known] = daemon;
            return Ok(known);
        }
        self.daemons.push(daemon);
        Ok(self.daemons.len() - 1)
    }

    /// Applies the tables with the command-line tool and waits until they are in force and
    /// every daemon is ready.
    ///
    /// # Errors
    ///
    /// Fails if the tool fails or a daemon does not become ready.
    pub async fn apply(&self, tables: &str) -> Result<()> {
        let file = self.folder.join("tables.toml");
        fs::write(&file, tables)?;
        let file = file.display().to_string();
        let url = self.platform_url();
        let args = ["--platform", &url, "apply", &file, "--wait", "30"];
        let output = tokio::process::Command::new(program("limpetkeel"))
            .args(args)
            .output()
            .await?;
        if !output.status.success() {
            return Err(Error::Io(io::Error::other(
                String::from_utf8_lossy(&output.stderr).into_owned(),
            )));
        }
        self.wait_ready().await
    }

    /// Returns the folder of the fleet's files.
    pub fn folder(&self) -> &path::Path {
        &self.folder
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}
