//! The budget of bytes that an instance holds for callers and endpoints that
//! read slowly.
//!
//! Every holder of buffered bytes (a request body, the unread part of a
//! response) reserves them here. If the budget is exhausted, the largest holder
//! is evicted. Nothing in this module performs I/O. The invariant: the sum of
//! all reservations never exceeds the budget.

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
