//! Positions in the history of the platform's store.
//!
//! The store numbers its changes. It may be restored from a copy that is some
//! seconds old: it then loses its latest changes and gives out their numbers
//! again, in a new era. This module is the only one that compares the numbers.
//! The invariant: a number of one era is never taken for the same or a later
//! change than an equal or lower number of another era.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The number of bits of a [`Revision`] on the wire that hold the number.
const NUMBER_BITS: u32 = 48;

const MAX_NUMBER: u64 = (1 << NUMBER_BITS) - 1;

/// An era of the store, which begins with a restore. Eras are numbered from 1;
/// 0 stands for an unknown era.
pub type StoreEra = u16;

/// The position of a change in the store's history.
///
/// The order is that of what the store showed: whatever it showed in a later
/// era is newer. It is not the order of the changes themselves, because a later
/// era also shows earlier changes, which the copy held; see
/// [`Revision::is_certainly_after`].
///
/// Instances send the era in the upper 16 bits of one number. Without an era
/// this is the bare number, which is also what instances of the previous
/// release send.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(from = "u64", into = "u64")]
pub struct Revision {
    era: StoreEra,
    number: u64,
}

impl Revision {
    /// The highest revision.
    pub const MAX: Revision =
        Revision { era: StoreEra::MAX, number: MAX_NUMBER };

    /// Returns the revision with this number in an era.
    pub fn new(era: StoreEra, number: u64) -> Revision {
        Revision { era, number: number.min(MAX_NUMBER) }
    }

    /// Returns the era in which the store showed the change.
    pub fn era(self) -> StoreEra {
        self.era
    }

    /// Returns the number of the change, which is unique within the era.
    pub fn number(self) -> u64 {
        self.number
    }

    /// Returns this revision, in the given era if its own is unknown.
    pub fn or_in_era(self, era: StoreEra) -> Revision {
        match self.era {
            0 => Revision { era, ..self },
            _ => self,
        }
    }

    /// Returns this revision with an unknown era.
    pub fn without_era(self) -> Revision {
        Revision { era: 0, ..self }
    }

    /// Returns whether the change was certainly made after another one.
    ///
    /// A copy from which the store was restored holds the numbers up to its
    /// own revision, and all numbers lost in the restore are higher. So a
    /// change in a later era with a higher number than a known one was made
    /// later, whether or not the copy holds it; one with a lower number may be
    /// an earlier change that the copy holds.
    pub fn is_certainly_after(self, other: Revision) -> bool {
        self.era >= other.era && self.number > other.number
    }

    /// Returns whether every change that is certainly after this revision is
    /// also certainly after `other`.
    pub fn covers(self, other: Revision) -> bool {
        self.era >= other.era && self.number >= other.number
    }

    /// Returns the lowest revision that covers both.
    pub fn join(self, other: Revision) -> Revision {
        Revision {
            era: self.era.max(other.era),
            number: self.number.max(other.number),
        }
    }
}

impl From<u64> for Revision {
    fn from(wire: u64) -> Revision {
        let era = (wire >> NUMBER_BITS) as StoreEra;
        Revision { era, number: wire & MAX_NUMBER }
    }
}

impl From<Revision> for u64 {
    fn from(revision: Revision) -> u64 {
        (u64::from(revision.era) << NUMBER_BITS) | revision.number
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era {
            0 => write!(f, "{}", self.number),
            era => write!(f, "{}@{era}", self.number),
        }
    }
}
