//! Rendezvous hashing that is equal on every process.

use std::cmp::Reverse;
use std::hash::Hasher;

use siphasher::sip::SipHasher13;

/// Keys of the hash; a change of them reassigns everything and needs a new record name.
const KEYS: (u64, u64) = (0x7361_7070_6869_7265, 0x6372_6f66_742d_3031);

/// What is assigned; equal names of different kinds hash differently.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Domain {
    /// A rack of workers.
    Rack,
    /// A shard of job records.
    Shard,
    /// The request slots of an endpoint.
    Slot,
    /// An idempotency key.
    Key,
    /// A duty of a few members, such as watching the store.
    Responsibility,
}

/// Hashes the name of an item.
pub fn item_key(domain: Domain, name: &str) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(KEYS.0, KEYS.1);
    hasher.write(&[domain as u8]);
    hasher.write(name.as_bytes());
    hasher.finish()
}

/// Hashes the name of a member.
pub fn member_key(name: &str) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(KEYS.1, KEYS.0);
    hasher.write(name.as_bytes());
    hasher.finish()
}

/// Returns the weight of a member for an item; the highest weight wins.
pub fn score(item: u64, member: u64) -> u64 {
    SipHasher13::new_with_keys(item, member).finish()
}

/// Returns the index of the member with the highest weight.
pub fn winner(item: u64, members: &[u64]) -> Option<usize> {
    (0..members.len()).max_by_key(|at| (score(item, members[*at]), Reverse(*at)))
}

/// Returns the indices of the `count` members with the highest weights, in order.
pub fn top(item: u64, members: &[u64], count: usize) -> Vec<usize> {
    let mut ranked: Vec<(Reverse<u64>, usize)> = members
        .iter()
        .enumerate()
        .map(|(at, member)| (Reverse(score(item, *member)), at))
        .collect();
    if count < ranked.len() {
        ranked.select_nth_unstable(count);
        ranked.truncate(count);
    }
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, at)| at).collect()
}
