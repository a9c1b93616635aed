//! A small deployment for relayed traffic: the platform's store, upstreams that misbehave on
//! demand, and real daemon processes.

pub mod node;
pub mod store;
pub mod table;
pub mod upstream;

use std::{fmt, io};

/// Why a deployment could not be started or driven.
#[derive(Debug)]
pub enum Error {
    /// A process, a file or a socket.
    Io(io::Error),
    /// A call of HTTP.
    Http(reqwest::Error),
    /// A value could not be encoded.
    Encode(serde_json::Error),
    /// Something was awaited in vain.
    TimedOut(&'static str),
    /// A daemon is not ready in time; the end of its log is given.
    NotReady(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Io(e) => write!(f, "{e}"),
            Error::Http(e) => write!(f, "{e}"),
            Error::Encode(e) => write!(f, "{e}"),
            Error::NotReady(log) => write!(f, "a daemon is not ready: {log}"),
            Error::TimedOut(what) => write!(f, "{what} did not happen in time"),
        }
    }
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(e: io::Error) -> Error {
        Error::Io(e)
    }
}

impl From<reqwest::Error> for Error {
    fn from(e: reqwest::Error) -> Error {
        Error::Http(e)
    }
}

impl From<serde_json::Error> for Error {
    fn from(e: serde_json::Error) -> Error {
        Error::Encode(e)
    }
}

/// Alias for a `Result` with this module's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;
