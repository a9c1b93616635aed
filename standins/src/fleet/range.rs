//! Reservation of a range of loopback addresses for a fleet.

use std::net;

use crate::fleet;

const GUARD_ZONE: u8 = 252;
const GUARD_PORT: u16 = 4999;

/// A range of loopback addresses reserved for one fleet.
pub(super) struct AddressRange {
    pub(super) number: u8,
    /// Stays bound so that no other fleet reserves the range.
    _guard: net::TcpListener,
}

impl AddressRange {
    /// Reserves a range that no other fleet uses.
    ///
    /// # Errors
    ///
    /// Returns an error if all ranges are reserved.
    pub(super) fn reserve() -> fleet::Result<AddressRange> {
        let first = (std::process::id() % 200) as u8;
        for offset in 0..200 {
            let number = 20 + (first + offset) % 200;
            let guard = net::TcpListener::bind(loopback_address(number, GUARD_ZONE, 1, GUARD_PORT));
            if let Ok(guard) = guard {
                return Ok(AddressRange {
                    number,
                    _guard: guard,
                });
            }
        }
        Err(fleet::Error::NoFreeAddressRange)
    }

    /// Returns the address that stays bound while the range is reserved.
    pub(super) fn guard_address(&self) -> net::SocketAddr {
        self.address(GUARD_ZONE, 1, GUARD_PORT)
    }

    /// Returns an address of the range.
    pub(super) fn address(&self, zone: u8, host: u8, port: u16) -> net::SocketAddr {
        loopback_address(self.number, zone, host, port)
    }
}

fn loopback_address(range: u8, zone: u8, host: u8, port: u16) -> net::SocketAddr {
    (net::Ipv4Addr::new(127, range, zone, host), port).into()
}
