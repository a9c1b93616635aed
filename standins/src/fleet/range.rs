//! The loopback addresses of a fleet.

use std::net;

use crate::fleet;

const CLAIM_ZONE: u8 = 252;
const CLAIM_PORT: u16 = 4999;

/// The loopback addresses of one fleet.
pub(super) struct Range {
    pub(super) number: u8,
    /// Held open so that no other fleet takes the range.
    _claim: net::TcpListener,
}

impl Range {
    /// Takes a range that no other fleet has.
    ///
    /// # Errors
    ///
    /// Fails if all are taken.
    pub(super) fn claim() -> fleet::Result<Range> {
        let start = (std::process::id() % 200) as u8;
        for step in 0..200 {
            let number = 20 + (start + step) % 200;
            let claim = net::TcpListener::bind(address_of(number, CLAIM_ZONE, 1, CLAIM_PORT));
            if let Ok(claim) = claim {
                return Ok(Range {
                    number,
                    _claim: claim,
                });
            }
        }
        Err(fleet::Error::NoAddresses)
    }

    /// Returns the address that is held as long as the range is taken.
    pub(super) fn claimed(&self) -> net::SocketAddr {
        self.at(CLAIM_ZONE, 1, CLAIM_PORT)
    }

    /// Returns an address of the range.
    pub(super) fn at(&self, zone: u8, host: u8, port: u16) -> net::SocketAddr {
        address_of(self.number, zone, host, port)
    }
}

fn address_of(range: u8, zone: u8, host: u8, port: u16) -> net::SocketAddr {
    (net::Ipv4Addr::new(127, range, zone, host), port).into()
}
