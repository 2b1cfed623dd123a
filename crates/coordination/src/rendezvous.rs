//! Rendezvous (highest-random-weight) hashing of keys to members.
//!
//! Every instance computes the same ranking from the same names, so a failover
//! needs no election. The ranking is only a preference: safety rests on the
//! platform's conditional updates.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the weight of a member for a key; the member with the highest
/// weight owns the key.
pub fn score(member: &str, key: &str) -> u64 {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    xxh3_64_with_seed(member.as_bytes(), seed)
}

/// Returns the member with the highest weight for a key, or `None` if there
/// are no members.
pub fn owner<'a>(
    members: impl IntoIterator<Item = &'a str>,
    key: &str,
) -> Option<&'a str> {
    members.into_iter().max_by_key(|member| (score(member, key), *member))
}

/// Returns the members in descending order of their weight for a key.
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
