//! Rendezvous hashing: who prefers to own what.
//!
//! Every instance computes the same order from the same names, so a failover
//! needs no election. The module decides preference only; safety rests on the
//! platform's conditional updates.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns how much a node prefers to own a key.
pub fn score(member: &str, key: &str) -> u64 {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    xxh3_64_with_seed(member.as_bytes(), seed)
}

/// Returns the node that prefers most to own a key.
pub fn owner<'a>(
    members: impl IntoIterator<Item = &'a str>,
    key: &str,
) -> Option<&'a str> {
    members.into_iter().max_by_key(|member| (score(member, key), *member))
}

/// Returns the nodes in order of preference for a key.
pub fn ranking<'a>(
    members: impl IntoIterator<Item = &'a str>,
    key: &str,
) -> Vec<&'a str> {
    let mut ranked: Vec<&str> = members.into_iter().collect();
    ranked.sort_by_key(|member| {
        std::cmp::Reverse((score(member, key), *member))
    });
    ranked
}
