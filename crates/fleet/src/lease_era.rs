//! Epochs of the lease on orders across restores of the platform's store.
//!
//! A store that was restored from a copy has lost the latest lease records, so
//! that their epochs would be given out again. An epoch therefore contains the
//! store's era. The invariant: each epoch of an era is higher than all epochs
//! of earlier eras.

use sedgewall_state::id::Epoch;

use crate::revision::StoreEra;

/// The number of bits of an epoch that count the holders within an era. All
/// epochs are below 2^48, which JSON numbers represent exactly.
const COUNT_BITS: u32 = 32;

/// Returns the lowest epoch of an era; 0 if the era is unknown.
pub fn epoch_floor(era: StoreEra) -> Epoch {
    match era {
        0 => 0,
        era => (Epoch::from(era) << COUNT_BITS) + 1,
    }
}

/// Returns the era in which an epoch began; 0 if it is unknown.
pub fn era_of(epoch: Epoch) -> StoreEra {
    StoreEra::try_from(epoch >> COUNT_BITS).unwrap_or(StoreEra::MAX)
}
