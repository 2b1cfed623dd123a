//! The budget of bytes that an instance holds for callers and endpoints that
//! read slowly.
//!
//! Every holder of buffered bytes (a request body, the unread part of a
//! response) reserves them here. If the budget is exhausted, the largest holder
//! is evicted. Nothing in this module performs I/O. The invariant: the sum of
//! all reservations never exceeds the budget.

use std::collections::HashMap;

/// Identifies a holder of buffered bytes.
pub type HolderId = u64;

/// The result of a reservation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reservation {
    /// The bytes are reserved.
    Granted,
    /// The bytes are reserved, and this holder must be evicted: its bytes no
    /// longer count.
    GrantedAfterEvicting(HolderId),
    /// The bytes do not fit, and no other holder is larger.
    Denied,
}

/// A holder and the bytes that it has reserved.
#[derive(Clone, Copy, Debug)]
struct Holder {
    bytes: u64,
    /// Whether the holder may be evicted. The body of a request that may run
    /// is never evicted, because its caller could not be told the outcome.
    is_evictable: bool,
}

/// The reservations of all holders of one instance.
#[derive(Clone, Debug)]
pub struct BufferBudget {
    limit: u64,
    held: u64,
    next_id: HolderId,
    holders: HashMap<HolderId, Holder>,
}

impl BufferBudget {
    /// Returns an unused budget of `limit` bytes.
    pub fn new(limit: u64) -> BufferBudget {
        BufferBudget { limit, held: 0, next_id: 0, holders: HashMap::new() }
    }

    /// Returns the size of the budget in bytes.
    pub fn limit(&self) -> u64 {
        self.limit
    }

    /// Returns the sum of all reservations in bytes.
    pub fn held(&self) -> u64 {
        self.held
    }

    /// Returns the bytes that a holder has reserved.
    pub fn held_by(&self, id: HolderId) -> u64 {
        self.holders.get(&id).map_or(0, |holder| holder.bytes)
    }

    /// Adds a holder that has reserved nothing yet and may not be evicted.
    pub fn open(&mut self) -> HolderId {
        let id = self.next_id;
        self.next_id += 1;
        let holder = Holder { bytes: 0, is_evictable: false };
        self.holders.insert(id, holder);
        id
    }

    /// Allows a holder to be evicted from now on.
    pub fn allow_eviction(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.is_evictable = true;
        }
    }

    /// Reserves bytes that are needed to serve a request. If they do not fit,
    /// evicts the largest holder that allows it, provided that it is larger
    /// than this holder would become.
    pub fn reserve(&mut self, id: HolderId, bytes: u64) -> Reservation {
        if self.reserve_spare(id, bytes) {
            return Reservation::Granted;
        }
        let Some(own) = self.holders.get(&id) else {
            return Reservation::Denied;
        };
        let wanted = own.bytes.saturating_add(bytes);
        let largest = self
            .holders
            .iter()
            .filter(|(other, holder)| **other != id && holder.is_evictable)
            .max_by_key(|(other, holder)| (holder.bytes, **other))
            .map(|(other, holder)| (*other, holder.bytes));
        match largest {
            // The evicted holder is larger than `bytes`, so the bytes fit.
            Some((evicted, size)) if size > wanted => {
                self.close(evicted);
                let is_reserved = self.reserve_spare(id, bytes);
                debug_assert!(is_reserved);
                Reservation::GrantedAfterEvicting(evicted)
            }
            _ => Reservation::Denied,
        }
    }

    /// Reserves bytes that are only useful, such as those that are read ahead,
    /// and evicts nobody for them. Returns whether they are reserved.
    pub fn reserve_spare(&mut self, id: HolderId, bytes: u64) -> bool {
        let Some(holder) = self.holders.get_mut(&id) else { return false };
        if bytes > self.limit - self.held {
            return false;
        }
        holder.bytes += bytes;
        self.held += bytes;
        true
    }

    /// Releases bytes that a holder has reserved. An evicted holder has none.
    pub fn release(&mut self, id: HolderId, bytes: u64) {
        let Some(holder) = self.holders.get_mut(&id) else { return };
        let released = bytes.min(holder.bytes);
        holder.bytes -= released;
        self.held -= released;
    }

    /// Removes a holder and releases all its bytes.
    pub fn close(&mut self, id: HolderId) {
        if let Some(holder) = self.holders.remove(&id) {
            self.held -= holder.bytes;
        }
    }
}
