//! A fleet of real processes on loopback: daemons, stand-ins and a relay.
//!
//! Every process has its own address `127.N.zone.host`. `N` is reserved for one fleet while it
//! runs, so that several fleets can run concurrently.

mod config;
mod control;
pub mod process;
mod range;

use std::{fmt, fs, io, net, path, time};

pub use config::{Config, tables_toml, tables_toml_with_batch_timeout};
pub use process::{Process, build_programs, program_path};

use crate::platform;

const HTTP_PORT: u16 = 8080;
const PEER_PORT: u16 = 7000;
const ENGINE_PORT: u16 = 9000;
const SERVICE_PORT: u16 = 9100;
const PLATFORM_PORT: u16 = 5000;
const RELAY_PORT_OFFSET: u16 = 10_000;
const FIRST_DAEMON_HOST: u8 = 10;
const FIRST_ENGINE_HOST: u8 = 100;
const FIRST_SERVICE_HOST: u8 = 200;

/// The zone number of the platform in loopback addresses.
pub const PLATFORM_ZONE: u8 = 250;

/// How long to wait for a condition before the run fails.
pub const WAIT_TIMEOUT: time::Duration = time::Duration::from_secs(60);

/// An error of a fleet operation.
#[derive(Debug)]
pub enum Error {
    /// A file or process operation failed.
    Io(io::Error),
    /// An HTTP request to a process failed.
    Http(reqwest::Error),
    /// The programs could not be built.
    BuildFailed,
    /// A condition, described by the string, was not met in time.
    TimedOut(&'static str),
    /// No range of loopback addresses is free.
    NoFreeAddressRange,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Io(e) => write!(f, "{e}"),
            Error::Http(e) => write!(f, "{e}"),
            Error::BuildFailed => f.write_str("the programs could not be built"),
            Error::TimedOut(condition) => write!(f, "timed out waiting until {condition}"),
            Error::NoFreeAddressRange => f.write_str("no range of loopback addresses is free"),
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

/// A `Result` with the fleet's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

/// A daemon of the fleet.
pub struct Daemon {
    /// The instance name.
    pub name: String,
    /// The number of its zone, starting at 1.
    pub zone: u8,
    /// The address on which it accepts requests from callers.
    pub http: net::SocketAddr,
    /// The process, or `None` if it was stopped.
    pub process: Option<Process>,
}

impl Daemon {
    /// Returns the base URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.http)
    }
}

/// An upstream of the fleet.
pub struct Upstream {
    /// The upstream name.
    pub name: String,
    /// The number of its zone, starting at 1.
    pub zone: u8,
    /// The address on which it listens.
    pub address: net::SocketAddr,
    /// The process, or `None` if it was stopped.
    pub process: Option<Process>,
}

impl Upstream {
    /// Returns the base URL.
    pub fn url(&self) -> String {
        format!("http://{}", self.address)
    }
}

/// The processes of a fleet. They are killed when the fleet is dropped.
pub struct Fleet {
    config: Config,
    directory: path::PathBuf,
    /// The daemons.
    pub daemons: Vec<Daemon>,
    /// The engines.
    pub engines: Vec<Upstream>,
    /// The services.
    pub services: Vec<Upstream>,
    platform: Option<Process>,
    relay: Option<Process>,
    http: reqwest::Client,
    /// Must be the last field: fields are dropped in declaration order, and the addresses may be
    /// released only after all processes have exited.
    range: range::AddressRange,
}

impl Fleet {
    /// Starts the stand-ins and the daemons, without tables.
    ///
    /// # Errors
    ///
    /// Returns an error if a process cannot be started or does not respond.
    pub async fn start(config: Config) -> Result<Fleet> {
        let range = range::AddressRange::reserve()?;
        let directory = std::env::temp_dir().join(format!(
            "limpetkeel-{}-{}",
            std::process::id(),
            range.number
        ));
        fs::create_dir_all(&directory)?;
        let mut fleet = Fleet {
            config,
            directory,
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

    /// Returns the address that stays bound while the address range of the fleet is reserved.
    pub fn guard_address(&self) -> net::SocketAddr {
        self.range.guard_address()
    }

    /// Returns the address of the platform.
    pub fn platform_address(&self) -> net::SocketAddr {
        self.range.address(PLATFORM_ZONE, 1, PLATFORM_PORT)
    }

    /// Returns the URL of the platform.
    pub fn platform_url(&self) -> String {
        format!("http://{}", self.platform_address())
    }

    async fn start_platform(&mut self) -> Result<()> {
        let listen = self.range.address(PLATFORM_ZONE, 1, PLATFORM_PORT);
        let lag = self.config.list_lag.as_millis().to_string();
        let args = ["--listen", &listen.to_string(), "--lag-ms", &lag];
        self.platform = Some(Process::start("platform", &args, &self.directory)?);
        let url = format!("{}/calls", self.platform_url());
        self.wait_until("the platform responds", async || {
            self.http.get(&url).send().await.is_ok()
        })
        .await
    }

    fn start_upstreams(&mut self) -> Result<()> {
        for zone in 1..=self.config.zones {
            for index in 0..self.config.engines_per_zone {
                let address = self
                    .range
                    .address(zone, FIRST_ENGINE_HOST + index, ENGINE_PORT);
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
                let address = self
                    .range
                    .address(zone, FIRST_SERVICE_HOST + index, SERVICE_PORT);
                let name = format!("service-{zone}-{index}");
                let listen = address.to_string();
                let process = Process::start("service", &["--listen", &listen], &self.directory)?;
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
        Process::start("engine", &args, &self.directory)
    }

    /// Restarts a stopped engine.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started.
    pub fn restart_engine(&mut self, index: usize) -> Result<()> {
        let process = self.start_engine(self.engines[index].address)?;
        self.engines[index].process = Some(process);
        Ok(())
    }

    fn relay_address(&self, address: net::SocketAddr) -> net::SocketAddr {
        if !self.config.relayed {
            return address;
        }
        net::SocketAddr::new(address.ip(), address.port() + RELAY_PORT_OFFSET)
    }

    fn start_relay(&mut self) -> Result<()> {
        if !self.config.relayed {
            return Ok(());
        }
        let control = self.range.address(251, 1, PLATFORM_PORT).to_string();
        let mut targets = vec![self.range.address(PLATFORM_ZONE, 1, PLATFORM_PORT)];
        targets.extend(
            self.engines
                .iter()
                .chain(&self.services)
                .map(|upstream| upstream.address),
        );
        for zone in 1..=self.config.zones {
            let hosts = 0..self.config.daemons_per_zone + self.config.spare_daemons;
            targets
                .extend(hosts.map(|i| self.range.address(zone, FIRST_DAEMON_HOST + i, PEER_PORT)));
        }
        let mut args = vec!["--control".to_owned(), control];
        for target in targets {
            args.push("--map".to_owned());
            args.push(format!("{}={target}", self.relay_address(target)));
        }
        let args: Vec<_> = args.iter().map(String::as_str).collect();
        self.relay = Some(Process::start("relay", &args, &self.directory)?);
        Ok(())
    }

    async fn register_upstreams(&self) -> Result<()> {
        for (pool, upstreams) in [
            (config::MODEL_POOL, &self.engines),
            (config::SERVICE_POOL, &self.services),
        ] {
            for upstream in upstreams {
                self.register_instance(&upstream.name, &self.upstream_entry(pool, upstream))
                    .await?;
            }
        }
        Ok(())
    }

    fn upstream_entry(&self, pool: &str, upstream: &Upstream) -> platform::Instance {
        platform::Instance {
            role: platform::Role::Upstream(pool.to_owned()),
            availability_zone: self.config.zone_name(upstream.zone),
            address: self.relay_address(upstream.address),
            http_address: None,
            draining: false,
        }
    }

    /// Starts a daemon, registers it in the instance list and returns its index.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started or the platform does not respond.
    pub async fn start_daemon(&mut self, zone: u8, index: u8) -> Result<usize> {
        let name = format!("entry-{zone}-{index}");
        let http = self
            .range
            .address(zone, FIRST_DAEMON_HOST + index, HTTP_PORT);
        let peer = self
            .range
            .address(zone, FIRST_DAEMON_HOST + index, PEER_PORT);
        let platform = self.relay_address(self.range.address(PLATFORM_ZONE, 1, PLATFORM_PORT));
        let seed = self.relay_address(self.range.address(zone, FIRST_DAEMON_HOST, PEER_PORT));
        let settings = self.config.settings(&config::DaemonAddresses {
            name: &name,
            zone,
            http,
            peer,
            advertise: self.relay_address(peer),
            platform,
            seed,
        });
        let file = self.directory.join(format!("{name}.toml"));
        fs::write(&file, settings)?;
        let file = file.display().to_string();
        let process = Process::start("limpetkeeld", &["--config", &file], &self.directory)?;
        let entry = platform::Instance {
            role: platform::Role::Daemon,
            availability_zone: self.config.zone_name(zone),
            address: self.relay_address(peer),
            http_address: Some(http),
            draining: false,
        };
        self.register_instance(&name, &entry).await?;
        let daemon = Daemon {
            name,
            zone,
            http,
            process: Some(process),
        };
        if let Some(index) = self
            .daemons
            .iter()
            .position(|registered| registered.name == daemon.name)
        {
            self.daemons[index] = daemon;
            return Ok(index);
        }
        self.daemons.push(daemon);
        Ok(self.daemons.len() - 1)
    }

    /// Applies tables with the command-line tool and waits until they are in force and every
    /// daemon is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if the tool exits with an error or a daemon does not become ready.
    pub async fn apply_tables(&self, tables: &str) -> Result<()> {
        let file = self.directory.join("tables.toml");
        fs::write(&file, tables)?;
        let file = file.display().to_string();
        let url = self.platform_url();
        let args = ["--platform", &url, "apply", &file, "--wait", "30"];
        let output = tokio::process::Command::new(program_path("limpetkeel"))
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

    /// Returns the directory that contains the settings and logs of the fleet.
    pub fn directory(&self) -> &path::Path {
        &self.directory
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.directory);
    }
}
