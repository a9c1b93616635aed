//! Revisions of the tables.

use std::{fmt, num, str};

/// The number of times that the store was restored from a backup, counted from any start.
///
/// After a restore, the store assigns the revisions of the lost contents again. A store that reports no era stays in the default one.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct Era(pub u64);

impl fmt::Display for Era {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl str::FromStr for Era {
    type Err = num::ParseIntError;

    /// # Errors
    ///
    /// Returns an error if the text is not a decimal number that fits.
    fn from_str(text: &str) -> Result<Era, num::ParseIntError> {
        text.parse().map(Era)
    }
}

/// The position of an accepted change in the order of all changes.
///
/// Revisions of a later era follow all those of an earlier one. Within an era, the store numbers the
/// versions of a key from one; zero means that the key does not exist.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
)]
pub struct Revision {
    /// Comes first, since it is compared first.
    #[serde(default)]
    era: Era,
    #[serde(rename = "revision")]
    number: u64,
}

impl Revision {
    /// Creates the revision with a number in an era.
    pub fn new(era: Era, number: u64) -> Revision {
        Revision { era, number }
    }

    /// Returns the era.
    pub fn era(self) -> Era {
        self.era
    }

    /// Returns the number, which is unique only within the era.
    pub fn number(self) -> u64 {
        self.number
    }
}

/// Writes the number, after the era and a dot unless that is the default one.
impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.era != Era::default() {
            write!(f, "{}.", self.era)?;
        }
        write!(f, "{}", self.number)
    }
}

impl str::FromStr for Revision {
    type Err = num::ParseIntError;

    /// Reads what [`Display`](fmt::Display) writes.
    ///
    /// # Errors
    ///
    /// Returns an error if the number or the era is not a decimal number that fits.
    fn from_str(text: &str) -> Result<Revision, num::ParseIntError> {
        let (era, number) = match text.split_once('.') {
            Some((era, number)) => (era.parse()?, number),
            None => (Era::default(), text),
        };
        number.parse().map(|number| Revision::new(era, number))
    }
}
