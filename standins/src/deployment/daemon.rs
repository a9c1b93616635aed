//! A deployment of daemon processes that relay requests to stand-in upstreams.

use std::{net, path, sync, time};

use platform::names;

use crate::{
    deployment::{
        self,
        options::DaemonOptions,
        store::Store,
        table::{self, Table},
        upstream::{Behavior, PathFault, Upstream},
    },
    fleet::process,
};

/// The time limit for a condition to be met.
const CONDITION_TIMEOUT: time::Duration = time::Duration::from_secs(20);

/// The interval at which conditions are checked.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(10);

/// A daemon process.
pub struct Daemon {
    /// The process.
    pub process: process::Process,
    /// The address that accepts callers' requests.
    pub http_address: net::SocketAddr,
    /// The address of the readiness probe.
    pub ready_address: net::SocketAddr,
    /// The address that serves metrics.
    pub status_address: net::SocketAddr,
    /// The path of the settings file.
    pub settings_path: path::PathBuf,
}

/// A response as a caller received it.
#[derive(Clone, Debug)]
pub struct CallerResponse {
    /// The HTTP status.
    pub status: u16,
    /// The name of the upstream that signed the response.
    pub signed_by: Option<String>,
    /// The value of the `retry-after` header, in seconds.
    pub retry_after: Option<String>,
    /// The body, if it was received completely.
    pub body: Option<String>,
}

/// A running deployment.
pub struct Deployment {
    /// The store of the platform.
    pub store: Store,
    /// The upstreams.
    pub upstreams: Vec<Upstream>,
    /// The daemon processes.
    pub daemons: Vec<Daemon>,
    options: DaemonOptions,
    directory: path::PathBuf,
    http_client: reqwest::Client,
}

/// The ports that deployments use. They are below the ephemeral ports, which the system assigns to
/// outgoing connections.
const PORT_RANGE: std::ops::Range<u16> = 12_000..32_000;

/// The number of ports that one test process reserves for itself.
const PORTS_PER_BLOCK: u16 = 500;

/// A block of ports that this test process has reserved. Listening on the first port keeps other
/// test processes out of the block.
struct PortBlock {
    first: u16,
    _guard: net::TcpListener,
}

/// The block of ports of this test process; `None` if no block was free.
static PORT_BLOCK: sync::OnceLock<Option<PortBlock>> = sync::OnceLock::new();

/// The offset in the block at which the next search for a free port begins.
static NEXT_PORT_OFFSET: sync::atomic::AtomicU16 = sync::atomic::AtomicU16::new(0);

/// Reserves the first free block of ports.
fn reserve_port_block() -> Option<PortBlock> {
    PORT_RANGE
        .step_by(usize::from(PORTS_PER_BLOCK))
        .find_map(|first| {
            let guard = net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, first)).ok()?;
            Some(PortBlock {
                first,
                _guard: guard,
            })
        })
}

/// Returns an address with this IP on which nothing listens. Its port belongs to the block of this
/// process, so that no other test process uses it.
fn free_address(ip: net::IpAddr) -> deployment::Result<net::SocketAddr> {
    let block = PORT_BLOCK.get_or_init(reserve_port_block).as_ref();
    let block = block.ok_or(deployment::Error::TimedOut("a block of ports is free"))?;
    for _ in 1..PORTS_PER_BLOCK {
        let offset = NEXT_PORT_OFFSET.fetch_add(1, sync::atomic::Ordering::Relaxed);
        let port = block.first + 1 + offset % (PORTS_PER_BLOCK - 1);
        let address = net::SocketAddr::new(ip, port);
        if net::TcpListener::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(deployment::Error::TimedOut("a port is free"))
}

/// Returns the address from which a daemon connects to peers and upstreams. It tells daemons apart.
pub fn source_address(daemon_index: usize) -> net::IpAddr {
    net::Ipv4Addr::new(127, 0, 1, 1 + daemon_index as u8).into()
}

impl Deployment {
    /// Starts a deployment with the default table, registers all upstreams and waits until all
    /// daemons are ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a part of the deployment cannot be started or is not ready in time.
    pub async fn start(
        daemon_count: usize,
        upstream_count: usize,
    ) -> deployment::Result<Deployment> {
        let options = DaemonOptions::default();
        Deployment::start_with(daemon_count, upstream_count, options, &Table::default()).await
    }

    /// Starts a deployment like [`Deployment::start`] whose daemons have the given drain timeout.
    ///
    /// # Errors
    ///
    /// Returns an error if a part of the deployment cannot be started or is not ready in time.
    pub async fn start_with_drain_timeout(
        daemon_count: usize,
        upstream_count: usize,
        drain_timeout: time::Duration,
    ) -> deployment::Result<Deployment> {
        let options = DaemonOptions {
            drain_timeout,
            ..DaemonOptions::default()
        };
        Deployment::start_with(daemon_count, upstream_count, options, &Table::default()).await
    }

    /// Starts a deployment like [`Deployment::start`] with other settings of the daemons and another
    /// table.
    ///
    /// # Errors
    ///
    /// Returns an error if a part of the deployment cannot be started or is not ready in time.
    pub async fn start_with(
        daemon_count: usize,
        upstream_count: usize,
        options: DaemonOptions,
        table: &Table,
    ) -> deployment::Result<Deployment> {
        let mut deployment =
            Deployment::start_daemons(daemon_count, upstream_count, options).await?;
        deployment.publish_table(table)?;
        for upstream in &deployment.upstreams {
            deployment.register_upstream(upstream, "ready")?;
        }
        for daemon_index in 0..deployment.daemons.len() {
            deployment.wait_ready(daemon_index).await?;
        }
        deployment.http_client = reqwest::Client::new();
        Ok(deployment)
    }

    /// Starts a deployment whose store is empty, without waiting until the daemons are ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a part of the deployment cannot be started.
    pub async fn start_with_empty_store(
        daemon_count: usize,
        upstream_count: usize,
    ) -> deployment::Result<Deployment> {
        let options = DaemonOptions::default();
        Deployment::start_daemons(daemon_count, upstream_count, options).await
    }

    async fn start_daemons(
        daemon_count: usize,
        upstream_count: usize,
        options: DaemonOptions,
    ) -> deployment::Result<Deployment> {
        let directory =
            std::env::temp_dir().join(format!("limpetkeel-{:016x}", rand::random::<u64>()));
        std::fs::create_dir_all(&directory)?;
        let mut deployment = Deployment {
            store: Store::start(daemon_count.max(1)).await?,
            upstreams: Vec::new(),
            daemons: Vec::new(),
            options,
            directory,
            http_client: reqwest::Client::new(),
        };
        for index in 0..upstream_count {
            let upstream = Upstream::start(&format!("u{index}")).await?;
            deployment.upstreams.push(upstream);
        }
        for index in 0..daemon_count {
            let daemon = deployment.start_daemon(index)?;
            deployment.daemons.push(daemon);
        }
        Ok(deployment)
    }

    fn start_daemon(&self, index: usize) -> deployment::Result<Daemon> {
        let local = net::Ipv4Addr::LOCALHOST.into();
        let (http_address, ready_address) = (free_address(local)?, free_address(local)?);
        let status_address = free_address(local)?;
        let peer_address = free_address(source_address(index))?;
        let settings_path = self.directory.join(format!("node{index}.toml"));
        let hedging = self
            .options
            .hedging
            .map_or(String::new(), |(ratio, quantile)| {
                format!("hedge_ratio = {ratio}\nhedge_quantile = {quantile}\n")
            });
        let settings = format!(
            "instance = \"node{index}\"\navailability_zone = \"z\"\nhttp_listen = \"{http_address}\"\n\
             ready_listen = \"{ready_address}\"\nstatus_listen = \"{status_address}\"\npeer_listen = \"{peer_address}\"\n\
             peer_key = \"a key that all peers share\"\nstore = \"{}\"\nleave_timeout_s = {}\n\
             memory_limit_mb = {}\n\
             retry_ratio = 0.2\nretry_allowance = 50\nretry_window_s = 10\n{hedging}",
            self.store.addresses[index],
            self.options.drain_timeout.as_secs_f64(),
            self.options.memory_limit_mb,
        );
        std::fs::write(&settings_path, settings)?;
        let file = settings_path.to_string_lossy().into_owned();
        let args = ["--config", file.as_str()];
        let process = match self.options.descriptor_limit {
            Some(limit) => process::Process::start_with_descriptor_limit(
                "limpetkeel-node",
                &args,
                &self.directory,
                limit,
            ),
            None => process::Process::start("limpetkeel-node", &args, &self.directory),
        };
        let process = process.map_err(|e| std::io::Error::other(e.to_string()))?;
        Ok(Daemon {
            process,
            http_address,
            ready_address,
            status_address,
            settings_path,
        })
    }

    /// Kills all daemons at once and starts them again with an empty state, at other addresses.
    /// Does not wait until they are ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a daemon cannot be started.
    pub fn restart_daemons(&mut self) -> deployment::Result<()> {
        let count = self.daemons.len();
        self.daemons.clear();
        for index in 0..count {
            let daemon = self.start_daemon(index)?;
            self.daemons.push(daemon);
        }
        Ok(())
    }

    /// Kills one daemon and starts it again with an empty state, at other addresses. Does not wait
    /// until it is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon cannot be started.
    pub fn restart_daemon(&mut self, daemon_index: usize) -> deployment::Result<()> {
        self.daemons[daemon_index] = self.start_daemon(daemon_index)?;
        Ok(())
    }

    /// Writes the operator's table to the store.
    ///
    /// # Errors
    ///
    /// Returns an error if the table cannot be encoded.
    pub fn publish_table(&self, table: &Table) -> deployment::Result<()> {
        self.store.put(names::ROUTING_TABLE_KEY, &table.encode()?);
        Ok(())
    }

    /// Registers an upstream in the store with a state, `ready` or `draining`.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry cannot be encoded.
    pub fn register_upstream(&self, upstream: &Upstream, state: &str) -> deployment::Result<()> {
        let key = format!("{}{}", names::UPSTREAM_PREFIX, upstream.name);
        self.store
            .put(&key, &upstream.registry_entry("desk", "z", state)?);
        Ok(())
    }

    /// Returns `true` if the readiness probe of a daemon succeeds.
    pub async fn is_ready(&self, daemon_index: usize) -> bool {
        let url = format!("http://{}/ready", self.daemons[daemon_index].ready_address);
        let probe = self.http_client.get(url).send().await;
        probe.is_ok_and(|res| res.status().is_success())
    }

    /// Returns the log of the daemons; empty if nothing is logged yet.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.directory.join("limpetkeel-node.log")).unwrap_or_default()
    }

    /// Waits until a daemon is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon is not ready in time.
    pub async fn wait_ready(&self, daemon_index: usize) -> deployment::Result<()> {
        let deadline = time::Instant::now() + CONDITION_TIMEOUT;
        while !self.is_ready(daemon_index).await {
            if time::Instant::now() > deadline {
                return Err(deployment::Error::NotReady(self.log()));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    /// Waits until all daemons know each other, so that one of them plans all requests.
    ///
    /// A table that is published after they are registered comes after their entries in the store.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemons do not know each other in time.
    pub async fn wait_for_common_planner(&self) -> deployment::Result<()> {
        wait_until("all daemons are registered", async || {
            self.log().matches("event=registered").count() == self.daemons.len()
        })
        .await?;
        self.publish_table(&Table {
            version: 2,
            extra_routes: vec!["new".to_owned()],
            ..Table::default()
        })?;
        wait_until("the table is in force", async || {
            let daemons = 0..self.daemons.len();
            let statuses = daemons.map(|index| self.get_status(index, "/new/x"));
            let statuses = futures_util::future::join_all(statuses).await;
            statuses.iter().all(|status| *status == 200)
        })
        .await
    }

    /// Builds a caller's request with a request id, the default API key and a deadline.
    pub fn request(
        &self,
        daemon_index: usize,
        method: &str,
        path: &str,
        id: &str,
    ) -> reqwest::RequestBuilder {
        let url = format!("http://{}{path}", self.daemons[daemon_index].http_address);
        let method = reqwest::Method::from_bytes(method.as_bytes()).unwrap_or_default();
        self.http_client
            .request(method, url)
            .header("host", table::HOST)
            .header(names::REQUEST_ID, id)
            .header(names::REMAINING_MS, 4_000)
            .header(
                "authorization",
                format!("{}{}", names::KEY_SCHEME, table::API_KEY),
            )
    }

    /// Sends a request and returns the response.
    ///
    /// # Errors
    ///
    /// Returns an error if no response is received.
    pub async fn send(&self, req: reqwest::RequestBuilder) -> deployment::Result<CallerResponse> {
        let res = req.send().await?;
        let header = |name: &str| {
            let value = res.headers().get(name)?;
            value.to_str().ok().map(str::to_owned)
        };
        Ok(CallerResponse {
            status: res.status().as_u16(),
            signed_by: header(names::RESPONSE_SIGNATURE.as_str()),
            retry_after: header("retry-after"),
            body: res.text().await.ok(),
        })
    }

    /// Sends a `GET` request with a random request id and returns the HTTP status; 0 if no response
    /// is received.
    pub async fn get_status(&self, daemon_index: usize, path: &str) -> u16 {
        let id = format!("{:016x}", rand::random::<u64>());
        let response = self
            .send(self.request(daemon_index, "GET", path, &id))
            .await;
        response.map_or(0, |response| response.status)
    }

    /// Sets or ends a fault of the paths between a daemon and all upstreams.
    ///
    /// # Errors
    ///
    /// Returns an error if the packets of new connections cannot be dropped.
    pub fn set_path_faults(
        &self,
        daemon_index: usize,
        fault: Option<PathFault>,
    ) -> deployment::Result<()> {
        let source = source_address(daemon_index);
        for upstream in &self.upstreams {
            upstream.set_path_fault(source, fault)?;
        }
        Ok(())
    }

    /// Sets the behavior of all upstreams.
    pub fn set_behavior(&self, behavior: Behavior) {
        for upstream in &self.upstreams {
            upstream.set_behavior(behavior);
        }
    }

    /// Returns how many times a request ran, over all upstreams.
    pub fn run_count(&self, id: &str) -> usize {
        self.upstreams
            .iter()
            .map(|upstream| upstream.run_count(id))
            .sum()
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.daemons.clear();
        // An error is ignored: the directory is in the system's directory for temporary files.
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// Waits until a condition is met. `description` names the condition in the error.
///
/// # Errors
///
/// Returns an error if the condition is not met in time.
pub async fn wait_until(
    description: &'static str,
    mut is_met: impl AsyncFnMut() -> bool,
) -> deployment::Result<()> {
    let deadline = time::Instant::now() + CONDITION_TIMEOUT;
    while !is_met().await {
        if time::Instant::now() > deadline {
            return Err(deployment::Error::TimedOut(description));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}
