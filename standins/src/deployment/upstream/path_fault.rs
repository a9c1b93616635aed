//! Faults of the network paths between single instances and an upstream.

use std::{collections, io, net};

use tokio::sync::watch;

/// What happens on the path between an instance and an upstream. New connections of the instance
/// time out in every case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathFault {
    /// Established connections hang.
    Hang,
    /// Established connections are reset.
    Reset,
    /// Established connections live on.
    DropNew,
}

/// The faults by the address of the instance.
type Faults = collections::BTreeMap<net::IpAddr, PathFault>;

/// The path faults of one upstream.
#[derive(Debug, Default)]
pub(super) struct PathFaults {
    faults: watch::Sender<Faults>,
}

impl PathFaults {
    /// Sets or ends the fault of the path from `source`, and drops the packets that would open a
    /// connection on a faulty path.
    pub(super) fn set(
        &self,
        listener: &tokio::net::TcpListener,
        source: net::IpAddr,
        fault: Option<PathFault>,
    ) -> io::Result<()> {
        self.faults.send_modify(|faults| {
            match fault {
                Some(fault) => faults.insert(source, fault),
                None => faults.remove(&source),
            };
        });
        let socket = socket2::SockRef::from(listener);
        let sources: Vec<_> = self.faults.borrow().keys().copied().collect();
        if sources.is_empty() {
            socket.detach_filter()
        } else {
            socket.attach_filter(&drop_packets_from(&sources))
        }
    }

    /// Waits until established connections of `source` hang or are reset, and returns which.
    pub(super) async fn broken(&self, source: net::IpAddr) -> PathFault {
        let mut faults = self.faults.subscribe();
        let is_broken = |faults: &Faults| {
            let fault = faults.get(&source).copied();
            fault.is_some_and(|fault| fault != PathFault::DropNew)
        };
        // The sender lives as long as the upstream.
        let broken = faults.wait_for(is_broken).await;
        broken.map_or(PathFault::Reset, |faults| faults[&source])
    }

    /// Waits until the path from `source` has no fault.
    pub(super) async fn healed(&self, source: net::IpAddr) {
        let mut faults = self.faults.subscribe();
        let _ = faults
            .wait_for(|faults| !faults.contains_key(&source))
            .await;
    }
}

/// Drops all packets that arrive on a connection, or stops dropping them.
///
/// # Errors
///
/// Returns an error if the filter cannot be changed.
pub(super) fn set_packet_drop(stream: &tokio::net::TcpStream, is_dropping: bool) -> io::Result<()> {
    let socket = socket2::SockRef::from(stream);
    if is_dropping {
        socket.attach_filter(&[DROP])
    } else {
        socket.detach_filter()
    }
}

/// The operations of classic BPF programs that the filters use.
const LOAD_WORD: u16 = 0x20;
const JUMP_IF_EQUAL: u16 = 0x15;
const RETURN: u16 = 0x06;

/// The position of the source address in the IPv4 header. Positions from the beginning of that
/// header have the base `SKF_NET_OFF`.
const IPV4_SOURCE: u32 = 0xfff0_0000 + 12;

const LOAD_SOURCE: socket2::SockFilter = socket2::SockFilter::new(LOAD_WORD, 0, 0, IPV4_SOURCE);
const ACCEPT: socket2::SockFilter = socket2::SockFilter::new(RETURN, 0, 0, u32::MAX);
const DROP: socket2::SockFilter = socket2::SockFilter::new(RETURN, 0, 0, 0);

/// Returns a packet filter that drops what comes from IPv4 addresses.
fn drop_packets_from(sources: &[net::IpAddr]) -> Vec<socket2::SockFilter> {
    let sources: Vec<u32> = sources
        .iter()
        .filter_map(|source| match source {
            net::IpAddr::V4(address) => Some(u32::from(*address)),
            net::IpAddr::V6(_) => None,
        })
        .collect();
    let mut program = vec![LOAD_SOURCE];
    for (index, source) in sources.iter().enumerate() {
        let instructions_to_drop = (sources.len() - index) as u8;
        program.push(socket2::SockFilter::new(
            JUMP_IF_EQUAL,
            instructions_to_drop,
            0,
            *source,
        ));
    }
    program.extend([ACCEPT, DROP]);
    program
}
