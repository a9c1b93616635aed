//! The errors of commands and their exit codes.

use std::{fmt, io};

use limpetkeel::Revision;
use limpetkeeld::platform;

/// An error of a command.
#[derive(Debug)]
pub enum Error {
    /// The arguments do not form a command.
    Usage(String),
    /// A file cannot be read.
    File(String, io::Error),
    /// A file does not parse as declarations or as an entry.
    Syntax(String),
    /// The declarations are not valid; nothing was written.
    InvalidDeclarations(Vec<limpetkeel::Error>),
    /// The named entry or request does not exist.
    NotFound(String),
    /// The tables are not at the expected revision; contains their current revision.
    Conflict(Revision),
    /// A call to the platform failed.
    Platform(platform::Error),
    /// The HTTP client could not be created.
    Client(reqwest::Error),
    /// The named instances are reachable but did not have the revision in force before the
    /// deadline.
    NotInForce(Vec<String>),
}

/// A `Result` with the tool's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;

impl Error {
    /// Returns the exit code of the process.
    pub fn exit_code(&self) -> u8 {
        match self {
            Error::Usage(_)
            | Error::File(..)
            | Error::Syntax(_)
            | Error::InvalidDeclarations(_) => 2,
            Error::Conflict(_) => 3,
            Error::NotInForce(_) => 4,
            Error::NotFound(_) | Error::Platform(_) | Error::Client(_) => 1,
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Usage(detail) | Error::Syntax(detail) => f.write_str(detail),
            Error::File(name, e) => write!(f, "{name}: {e}"),
            Error::InvalidDeclarations(errors) => {
                f.write_str("the declarations are invalid; nothing was changed")?;
                errors.iter().try_for_each(|error| write!(f, "\n  {error}"))
            }
            Error::NotFound(name) => write!(f, "{name} does not exist"),
            Error::Conflict(current) => write!(
                f,
                "revision conflict: the tables are at revision {current}; nothing was changed"
            ),
            Error::Platform(e) => write!(f, "{e}"),
            Error::Client(e) => write!(f, "{e}"),
            Error::NotInForce(names) => {
                write!(f, "the revision is not in force on: {}", names.join(", "))
            }
        }
    }
}

impl std::error::Error for Error {}

impl From<platform::Error> for Error {
    fn from(error: platform::Error) -> Error {
        match error {
            platform::Error::Conflict(current) => Error::Conflict(current),
            other => Error::Platform(other),
        }
    }
}
