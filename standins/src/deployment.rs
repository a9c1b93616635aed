//! A small test deployment for relayed traffic: daemon processes, and stand-ins for the platform's
//! store and for upstreams, whose failures can be controlled.

pub mod crowd;
pub mod daemon;
pub mod options;
pub mod process_usage;
pub mod scripted;
pub mod store;
pub mod table;
pub mod upstream;

use std::{fmt, io};

/// An error of starting or controlling a deployment.
#[derive(Debug)]
pub enum Error {
    /// An operation on a process, a file or a socket failed.
    Io(io::Error),
    /// An HTTP request failed.
    Http(reqwest::Error),
    /// A value could not be encoded.
    Encode(serde_json::Error),
    /// A condition was not met in time; holds its description.
    TimedOut(&'static str),
    /// A daemon was not ready in time; holds the log of the daemons.
    NotReady(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Io(e) => write!(f, "{e}"),
            Error::Http(e) => write!(f, "{e}"),
            Error::Encode(e) => write!(f, "{e}"),
            Error::NotReady(log) => write!(f, "a daemon is not ready: {log}"),
            Error::TimedOut(description) => write!(f, "condition not met in time: {description}"),
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

/// A `Result` with this module's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;
