//! Rendezvous hashing with the same result on every process.

use std::cmp::Reverse;
use std::hash::Hasher;

use siphasher::sip::SipHasher13;

/// SipHash keys. Changing them reassigns every item, so it also needs a new name for the member
/// record.
const HASH_KEYS: (u64, u64) = (0x7361_7070_6869_7265, 0x6372_6f66_742d_3031);

/// Kind of an assigned item. Equal names in different domains hash differently.
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
    /// A task that one or a few members perform for the region, such as watching the store.
    Responsibility,
}

/// Returns the hash of an item.
pub fn item_hash(domain: Domain, name: &str) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(HASH_KEYS.0, HASH_KEYS.1);
    hasher.write(&[domain as u8]);
    hasher.write(name.as_bytes());
    hasher.finish()
}

/// Returns the hash of a member.
pub fn member_hash(name: &str) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(HASH_KEYS.1, HASH_KEYS.0);
    hasher.write(name.as_bytes());
    hasher.finish()
}

/// Returns the weight of a member for an item. The member with the highest weight owns the item.
pub fn weight(item: u64, member: u64) -> u64 {
    SipHasher13::new_with_keys(item, member).finish()
}

/// Returns the index of the member with the highest weight.
pub fn highest_weight(item: u64, members: &[u64]) -> Option<usize> {
    (0..members.len()).max_by_key(|index| (weight(item, members[*index]), Reverse(*index)))
}

/// Returns the indices of the `count` members with the highest weights, highest first.
pub fn highest_weights(item: u64, members: &[u64], count: usize) -> Vec<usize> {
    let mut ranked: Vec<(Reverse<u64>, usize)> = members
        .iter()
        .enumerate()
        .map(|(index, member)| (Reverse(weight(item, *member)), index))
        .collect();
    if count < ranked.len() {
        ranked.select_nth_unstable(count);
        ranked.truncate(count);
    }
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, index)| index).collect()
}
