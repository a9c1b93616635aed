//! Mutual authentication of both sides of a link with a shared key.
//!
//! The client sends a nonce. The server responds with its own nonce and an HMAC over both nonces.
//! The client sends another HMAC over both. The key itself is never sent.

use hmac::Mac as _;

use crate::peer;

type Hmac = hmac::Hmac<sha2::Sha256>;

/// The client's first message.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Hello {
    /// The client's version.
    pub version: u32,
    /// The client's nonce.
    pub nonce: u128,
}

/// The server's response to [`Hello`].
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Welcome {
    /// The server's version.
    pub version: u32,
    /// The server's nonce.
    pub nonce: u128,
    /// The server's authentication code.
    pub code: [u8; 32],
}

/// The client's second message.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
pub struct Proof {
    /// The client's authentication code.
    pub code: [u8; 32],
}

/// The side that computes a code. Its name is part of the input, so that a code cannot be
/// reflected to its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The side that connected.
    Client,
    /// The side that accepted.
    Server,
}

/// The nonces of one handshake.
#[derive(Clone, Copy, Debug)]
pub struct Nonces {
    /// The client's nonce.
    pub client: u128,
    /// The server's nonce.
    pub server: u128,
}

fn keyed_hmac(key: &[u8], side: Side, nonces: Nonces) -> Result<Hmac, peer::Error> {
    let mut mac = Hmac::new_from_slice(key).map_err(|_| peer::Error::Unauthenticated)?;
    mac.update(match side {
        Side::Client => b"limpetkeel client",
        Side::Server => b"limpetkeel server",
    });
    mac.update(&nonces.client.to_be_bytes());
    mac.update(&nonces.server.to_be_bytes());
    Ok(mac)
}

/// Computes the authentication code of one side.
pub fn compute_code(key: &[u8], side: Side, nonces: Nonces) -> Result<[u8; 32], peer::Error> {
    Ok(keyed_hmac(key, side, nonces)?
        .finalize()
        .into_bytes()
        .into())
}

/// Verifies the authentication code of the other side in constant time.
///
/// # Errors
///
/// Returns [`peer::Error::Unauthenticated`] if the code does not match.
pub fn verify_code(
    key: &[u8],
    side: Side,
    nonces: Nonces,
    code: &[u8; 32],
) -> Result<(), peer::Error> {
    keyed_hmac(key, side, nonces)?
        .verify_slice(code)
        .map_err(|_| peer::Error::Unauthenticated)
}
