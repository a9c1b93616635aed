//! A deployment of real daemon processes before stand-in upstreams.

use std::{net, path, sync, time};

use platform::names;

use crate::{
    fleet::process,
    site::{
        self,
        store::Store,
        table::{self, Table},
        upstream::{Conduct, Upstream},
    },
};

/// Conditions are awaited for this long at most.
const PATIENCE: time::Duration = time::Duration::from_secs(20);

/// The pause between two looks at a condition.
const LOOK: time::Duration = time::Duration::from_millis(10);

/// A daemon process.
pub struct Node {
    /// The process.
    pub process: process::Process,
    /// Where callers connect.
    pub http: net::SocketAddr,
    /// Where readiness is asked.
    pub ready: net::SocketAddr,
    /// Where metrics are read.
    pub status: net::SocketAddr,
    /// The settings file.
    pub settings: path::PathBuf,
}

/// What a caller got.
#[derive(Clone, Debug)]
pub struct Got {
    /// The status.
    pub status: u16,
    /// The name of the upstream that vouches for the answer.
    pub sealed_by: Option<String>,
    /// Seconds after which to come back.
    pub retry_after: Option<String>,
    /// The body, if it was complete.
    pub body: Option<String>,
}

/// A running deployment.
pub struct Site {
    /// The store.
    pub store: Store,
    /// The upstreams.
    pub upstreams: Vec<Upstream>,
    /// The daemons.
    pub nodes: Vec<Node>,
    folder: path::PathBuf,
    http: reqwest::Client,
}

/// Ports below those that the system gives to outgoing connections.
const PORTS: std::ops::Range<u16> = 12_000..32_000;

/// Ports that one test process has for itself.
const BLOCK: u16 = 500;

/// The first port of a block; listening on it keeps other test processes out of the block.
struct Block {
    first: u16,
    _guard: net::TcpListener,
}

/// The block of this process.
static OWN_BLOCK: sync::OnceLock<Option<Block>> = sync::OnceLock::new();

/// The place in the block at which the next look begins.
static NEXT_PORT: sync::atomic::AtomicU16 = sync::atomic::AtomicU16::new(0);

fn take_block() -> Option<Block> {
    PORTS.step_by(usize::from(BLOCK)).find_map(|first| {
        let guard = net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, first)).ok()?;
        Some(Block {
            first,
            _guard: guard,
        })
    })
}

/// Returns an address that nobody listens on and that no other test process takes.
fn free_address() -> site::Result<net::SocketAddr> {
    let block = OWN_BLOCK.get_or_init(take_block).as_ref();
    let block = block.ok_or(site::Error::TimedOut("a free block of ports"))?;
    for _ in 1..BLOCK {
        let next = NEXT_PORT.fetch_add(1, sync::atomic::Ordering::Relaxed);
        let address = (
            net::Ipv4Addr::LOCALHOST,
            block.first + 1 + next % (BLOCK - 1),
        );
        if net::TcpListener::bind(address).is_ok() {
            return Ok(address.into());
        }
    }
    Err(site::Error::TimedOut("a free port"))
}

impl Site {
    /// Starts a deployment and waits until all daemons are ready.
    ///
    /// # Errors
    ///
    /// Fails if something cannot be started or is not ready in time.
    pub async fn start(nodes: usize, upstreams: usize) -> site::Result<Site> {
        let mut site = Site::start_unready(nodes, upstreams).await?;
        site.publish(&Table::default())?;
        for upstream in &site.upstreams {
            site.list(upstream, "ready")?;
        }
        for node in 0..site.nodes.len() {
            site.wait_ready(node).await?;
        }
        site.http = reqwest::Client::new();
        Ok(site)
    }

    /// Starts a deployment whose store is empty.
    ///
    /// # Errors
    ///
    /// Fails if something cannot be started.
    pub async fn start_unready(nodes: usize, upstreams: usize) -> site::Result<Site> {
        let folder =
            std::env::temp_dir().join(format!("limpetkeel-{:016x}", rand::random::<u64>()));
        std::fs::create_dir_all(&folder)?;
        let mut site = Site {
            store: Store::start(nodes.max(1)).await?,
            upstreams: Vec::new(),
            nodes: Vec::new(),
            folder,
            http: reqwest::Client::new(),
        };
        for index in 0..upstreams {
            let upstream = Upstream::start(&format!("u{index}")).await?;
            site.upstreams.push(upstream);
        }
        for index in 0..nodes {
            let node = site.start_node(index)?;
            site.nodes.push(node);
        }
        Ok(site)
    }

    fn start_node(&self, index: usize) -> site::Result<Node> {
        let (http, ready) = (free_address()?, free_address()?);
        let (status, peers) = (free_address()?, free_address()?);
        let settings = self.folder.join(format!("node{index}.toml"));
        let text = format!(
            "instance = \"node{index}\"\navailability_zone = \"z\"\nhttp_listen = \"{http}\"\n\
             ready_listen = \"{ready}\"\nstatus_listen = \"{status}\"\npeer_listen = \"{peers}\"\n\
             peer_key = \"a key that all peers share\"\nstore = \"{}\"\nleave_timeout_ms = 7000\n\
             memory_limit_mb = 1\n\
             retry_ratio = 0.2\nretry_allowance = 50\nretry_window_ms = 10000\n",
            self.store.doors[index],
        );
        std::fs::write(&settings, text)?;
        let file = settings.to_string_lossy().into_owned();
        let process =
            process::Process::start("limpetkeel-node", &["--config", &file], &self.folder)
                .map_err(|e| std::io::Error::other(e.to_string()))?;
        Ok(Node {
            process,
            http,
            ready,
            status,
            settings,
        })
    }

    /// Writes the operator's table.
    ///
    /// # Errors
    ///
    /// Fails if the table cannot be encoded.
    pub fn publish(&self, table: &Table) -> site::Result<()> {
        self.store.put(names::TABLE_KEY, &table.encode()?);
        Ok(())
    }

    /// Lists an upstream in the store.
    ///
    /// # Errors
    ///
    /// Fails if the entry cannot be encoded.
    pub fn list(&self, upstream: &Upstream, state: &str) -> site::Result<()> {
        let key = format!("{}{}", names::UPSTREAM_PREFIX, upstream.name);
        self.store.put(&key, &upstream.entry("desk", "z", state)?);
        Ok(())
    }

    /// Tells whether a daemon says that it is ready.
    pub async fn is_ready(&self, node: usize) -> bool {
        let url = format!("http://{}/ready", self.nodes[node].ready);
        let asked = self.http.get(url).send().await;
        asked.is_ok_and(|res| res.status().is_success())
    }

    /// Returns what the daemons have logged; nothing before the first line.
    pub fn log(&self) -> String {
        std::fs::read_to_string(self.folder.join("limpetkeel-node.log")).unwrap_or_default()
    }

    /// Waits until a daemon is ready.
    ///
    /// # Errors
    ///
    /// Fails if it is not in time.
    pub async fn wait_ready(&self, node: usize) -> site::Result<()> {
        let deadline = time::Instant::now() + PATIENCE;
        while !self.is_ready(node).await {
            if time::Instant::now() > deadline {
                return Err(site::Error::NotReady(self.log()));
            }
            tokio::time::sleep(LOOK).await;
        }
        Ok(())
    }

    /// Builds a request of a caller under an identity.
    pub fn request(
        &self,
        node: usize,
        method: &str,
        path: &str,
        id: &str,
    ) -> reqwest::RequestBuilder {
        let url = format!("http://{}{path}", self.nodes[node].http);
        let method = reqwest::Method::from_bytes(method.as_bytes()).unwrap_or_default();
        self.http
            .request(method, url)
            .header("host", table::HOST)
            .header(names::REQUEST_ID, id)
            .header(names::DEADLINE, 4_000)
            .header(
                "authorization",
                format!("{}{}", names::KEY_SCHEME, table::KEY),
            )
    }

    /// Sends a request and returns what came back.
    ///
    /// # Errors
    ///
    /// Fails if no answer comes.
    pub async fn ask(&self, req: reqwest::RequestBuilder) -> site::Result<Got> {
        let res = req.send().await?;
        let header = |name: &str| {
            let value = res.headers().get(name)?;
            value.to_str().ok().map(str::to_owned)
        };
        Ok(Got {
            status: res.status().as_u16(),
            sealed_by: header(names::SEAL.as_str()),
            retry_after: header("retry-after"),
            body: res.text().await.ok(),
        })
    }

    /// Asks for a path under an identity of its own, and returns the status; zero without an answer.
    pub async fn status(&self, node: usize, path: &str) -> u16 {
        let id = format!("{:016x}", rand::random::<u64>());
        let got = self.ask(self.request(node, "GET", path, &id)).await;
        got.map_or(0, |got| got.status)
    }

    /// Sets the conduct of all upstreams.
    pub fn set_conduct(&self, conduct: Conduct) {
        for upstream in &self.upstreams {
            upstream.set_conduct(conduct);
        }
    }

    /// Returns how often a request ran on all upstreams.
    pub fn runs(&self, id: &str) -> usize {
        self.upstreams
            .iter()
            .map(|upstream| upstream.runs(id))
            .sum()
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.nodes.clear();
        // The folder lies among temporary files in any case.
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Waits until a condition holds.
///
/// # Errors
///
/// Fails if it does not in time.
pub async fn eventually(
    what: &'static str,
    mut holds: impl AsyncFnMut() -> bool,
) -> site::Result<()> {
    let deadline = time::Instant::now() + PATIENCE;
    while !holds().await {
        if time::Instant::now() > deadline {
            return Err(site::Error::TimedOut(what));
        }
        tokio::time::sleep(LOOK).await;
    }
    Ok(())
}
