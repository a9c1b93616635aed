//! A TCP relay that simulates the network between availability zones. Links between zones can be
//! cut.
//!
//! The third octet of an IPv4 address is its zone. `PUT /cuts` sets the pairs of zones whose link is
//! cut. As in a network partition, data between them is held back until the link is restored: open
//! connections stay open but transfer nothing, and new connections do not reach their target.

use std::{net, sync};

use salvo::http;
use tokio::{io, net as tcp, sync::watch};

use crate::http_server;

/// Two zones whose link is cut in both directions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct ZoneCut {
    /// One zone.
    #[serde(rename = "a")]
    pub first_zone: u8,
    /// The other zone.
    #[serde(rename = "b")]
    pub second_zone: u8,
}

impl ZoneCut {
    /// Returns `true` if the cut separates the two zones.
    fn separates(self, from: u8, to: u8) -> bool {
        (self.first_zone == from && self.second_zone == to)
            || (self.first_zone == to && self.second_zone == from)
    }
}

/// Returns the zone of an address: the third octet for IPv4, 0 for IPv6.
fn zone_of(address: net::SocketAddr) -> u8 {
    match address.ip() {
        net::IpAddr::V4(ip) => ip.octets()[2],
        net::IpAddr::V6(_) => 0,
    }
}

/// The links between all zones, and the cuts in them.
#[derive(Clone)]
pub struct Links {
    cuts: sync::Arc<watch::Sender<Vec<ZoneCut>>>,
}

impl Default for Links {
    fn default() -> Links {
        Links {
            cuts: sync::Arc::new(watch::Sender::new(Vec::new())),
        }
    }
}

/// A relayed connection from one zone to another.
struct Connection {
    links: Links,
    from: u8,
    to: u8,
}

impl Links {
    /// Replaces all cuts.
    pub fn set_cuts(&self, cuts: Vec<ZoneCut>) {
        self.cuts.send_replace(cuts);
    }

    /// Accepts connections at one address and relays them to another until the process exits.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound or a connection cannot be accepted.
    pub async fn relay(&self, listen: net::SocketAddr, target: net::SocketAddr) -> io::Result<()> {
        let listener = tcp::TcpListener::bind(listen).await?;
        loop {
            let (client, source) = listener.accept().await?;
            let connection = Connection {
                links: self.clone(),
                from: zone_of(source),
                to: zone_of(target),
            };
            tokio::spawn(async move { connection.relay(client, target).await });
        }
    }
}

impl Connection {
    /// Relays the connection in both directions until one of them ends.
    async fn relay(&self, client: tcp::TcpStream, target: net::SocketAddr) -> io::Result<()> {
        self.wait_until_linked().await;
        let upstream = tcp::TcpStream::connect(target).await?;
        client.set_nodelay(true)?;
        upstream.set_nodelay(true)?;
        let (from_client, to_client) = client.into_split();
        let (from_upstream, to_upstream) = upstream.into_split();
        tokio::select! {
            result = self.copy(from_client, to_upstream) => result,
            result = self.copy(from_upstream, to_client) => result,
        }
    }

    /// Waits until no cut separates the zones of the connection.
    async fn wait_until_linked(&self) {
        let mut cuts = self.links.cuts.subscribe();
        let linked =
            |cuts: &Vec<ZoneCut>| !cuts.iter().any(|cut| cut.separates(self.from, self.to));
        let _ = cuts.wait_for(linked).await;
    }

    /// Copies one direction of the connection until the sender closes it.
    async fn copy(
        &self,
        mut from: tcp::tcp::OwnedReadHalf,
        mut to: tcp::tcp::OwnedWriteHalf,
    ) -> io::Result<()> {
        use io::{AsyncReadExt as _, AsyncWriteExt as _};

        let mut buf = vec![0; 64 * 1024];
        loop {
            let len = from.read(&mut buf).await?;
            self.wait_until_linked().await;
            if len == 0 {
                return Ok(());
            }
            to.write_all(&buf[..len]).await?;
        }
    }
}

/// Builds the router of the control interface.
pub fn router(links: Links) -> salvo::Router {
    salvo::Router::with_path("cuts").put(SetCuts(links))
}

struct SetCuts(Links);

#[salvo::handler]
impl SetCuts {
    async fn handle(&self, req: &mut salvo::Request, res: &mut salvo::Response) {
        if let Some(cuts) = http_server::read_json(req, res).await {
            self.0.set_cuts(cuts);
            http_server::send_status(res, http::StatusCode::NO_CONTENT);
        }
    }
}
