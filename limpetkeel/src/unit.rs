//! Quantities with units.

use std::{fmt, iter, ops, time};

use serde::{Deserialize as _, Serialize as _};

macro_rules! quantity {
    ($(#[$doc:meta])* $name:ident, $suffix:literal) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash,
            serde::Serialize, serde::Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Zero.
            pub const ZERO: $name = $name(0);

            /// Subtracts `other`; the result is at least zero.
            pub fn saturating_sub(self, other: $name) -> $name {
                $name(self.0.saturating_sub(other.0))
            }

            /// Returns this percentage of the quantity, rounded down.
            pub fn percent(self, percent: u8) -> $name {
                $name(self.0.saturating_mul(u64::from(percent)) / 100)
            }
        }

        impl ops::Add for $name {
            type Output = $name;

            fn add(self, other: $name) -> $name {
                $name(self.0.saturating_add(other.0))
            }
        }

        impl ops::AddAssign for $name {
            fn add_assign(&mut self, other: $name) {
                *self = *self + other;
            }
        }

        impl iter::Sum for $name {
            fn sum<I: Iterator<Item = $name>>(iter: I) -> $name {
                iter.fold($name::ZERO, |total, next| total + next)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{} ", $suffix), self.0)
            }
        }
    };
}

quantity!(
    /// A number of model tokens.
    Tokens,
    "tokens"
);
quantity!(
    /// A number of bytes.
    Bytes,
    "bytes"
);
quantity!(
    /// A duration in milliseconds.
    Millis,
    "ms"
);
quantity!(
    /// A share of processor time, in thousandths of a core.
    Millicores,
    "millicores"
);
quantity!(
    /// A point in time, in milliseconds since an epoch that the caller chooses.
    Timestamp,
    "ms since start"
);

impl Millis {
    /// Converts the duration to [`time::Duration`].
    pub fn duration(self) -> time::Duration {
        time::Duration::from_millis(self.0)
    }
}

impl Timestamp {
    /// Returns the time that is `duration` after this one.
    pub fn after(self, duration: Millis) -> Timestamp {
        Timestamp(self.0.saturating_add(duration.0))
    }

    /// Returns the duration since `earlier`, or zero if `earlier` is later than this time.
    pub fn since(self, earlier: Timestamp) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

/// A rate in tokens per second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(transparent)]
pub struct TokensPerSecond(pub u64);

impl TokensPerSecond {
    /// Returns the time that the tokens take at this rate.
    ///
    /// A rate of zero is treated as one.
    pub fn time_for(self, tokens: Tokens) -> Millis {
        Millis(tokens.0.saturating_mul(1000) / self.0.max(1))
    }
}

/// A `serde_with` adapter that encodes a 64-bit identifier as a string of 16 hexadecimal digits.
///
/// Many JSON parsers lose precision for numbers above 2^53. Binary formats use the number itself.
pub struct HexId;

impl serde_with::SerializeAs<u64> for HexId {
    fn serialize_as<S: serde::Serializer>(id: &u64, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            return format!("{id:016x}").serialize(serializer);
        }
        id.serialize(serializer)
    }
}

impl<'de> serde_with::DeserializeAs<'de, u64> for HexId {
    fn deserialize_as<D: serde::Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
        if !deserializer.is_human_readable() {
            return u64::deserialize(deserializer);
        }
        let text = String::deserialize(deserializer)?;
        u64::from_str_radix(&text, 16).map_err(serde::de::Error::custom)
    }
}
