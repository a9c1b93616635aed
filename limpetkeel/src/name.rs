//! Validated names, each a shared immutable string.

use std::{borrow, fmt, sync};

use crate::error;

/// The maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// The kind of entity that a name identifies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub enum Kind {
    /// An availability zone.
    AvailabilityZone,
    /// An instance of the system.
    Instance,
    /// An idempotency key.
    Key,
    /// A pool of upstreams.
    Pool,
    /// A route.
    Route,
    /// An upstream.
    Upstream,
    /// A workspace.
    Workspace,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Kind::AvailabilityZone => "availability zone",
            Kind::Instance => "instance",
            Kind::Key => "idempotency key",
            Kind::Pool => "pool",
            Kind::Route => "route",
            Kind::Upstream => "upstream",
            Kind::Workspace => "workspace",
        })
    }
}

/// Returns `true` if the byte may occur in a name other than an idempotency key.
fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || matches!(byte, b'-' | b'_' | b'.' | b':')
}

/// Returns `true` if the byte may occur in an idempotency key.
fn is_key_byte(byte: u8) -> bool {
    byte.is_ascii_graphic()
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident, $kind:expr, $accepts:expr) => {
        $(#[$doc])*
        ///
        /// Clones share the text.
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(sync::Arc<str>);

        impl $name {
            /// Returns the text of the name.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<&str> for $name {
            type Error = error::Error;

            /// # Errors
            ///
            /// Returns [`error::Error::InvalidName`] if the text is empty, too long or contains a
            /// forbidden character.
            fn try_from(text: &str) -> error::Result<Self> {
                let valid_length = !text.is_empty() && text.len() <= MAX_NAME_BYTES;
                if valid_length && text.bytes().all($accepts) {
                    return Ok($name(text.into()));
                }
                let text = text.chars().take(MAX_NAME_BYTES).collect();
                Err(error::Error::InvalidName { kind: $kind, text })
            }
        }

        impl TryFrom<String> for $name {
            type Error = error::Error;

            fn try_from(text: String) -> error::Result<Self> {
                $name::try_from(text.as_str())
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.as_ref().to_owned()
            }
        }

        impl borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&self.0, f)
            }
        }
    };
}

name_type!(
    /// The name of an availability zone.
    AvailabilityZoneName,
    Kind::AvailabilityZone,
    is_name_byte
);
name_type!(
    /// The name of an instance of the system.
    InstanceName,
    Kind::Instance,
    is_name_byte
);
name_type!(
    /// The key of a call that may run at most once, chosen by its caller.
    IdempotencyKey,
    Kind::Key,
    is_key_byte
);
name_type!(
    /// The name of a pool.
    PoolName,
    Kind::Pool,
    is_name_byte
);
name_type!(
    /// The name of a route.
    RouteName,
    Kind::Route,
    is_name_byte
);
name_type!(
    /// The name of an upstream.
    UpstreamName,
    Kind::Upstream,
    is_name_byte
);
name_type!(
    /// The name of a workspace.
    WorkspaceName,
    Kind::Workspace,
    is_name_byte
);
