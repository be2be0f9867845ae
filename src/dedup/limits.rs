//! Limits of a key table.

use crate::prelude::*;

/// Default time for which a key is kept.
const RETENTION: Millis = Millis::from_secs(600);

/// Default number of keys held at once.
const MAX_RECORDS: usize = 100_000;

/// Default memory for keys and recorded responses, in bytes.
const MAX_BYTES: usize = 16 << 20;

/// Default size of the largest response body that is kept for repeats, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 10;

/// Limits on the age, number and size of the records in a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyLimits {
    /// Time from the recording of a key until its expiry.
    pub retention: Millis,
    /// Maximum number of keys; further keys are refused.
    pub max_records: usize,
    /// Maximum bytes of keys and responses; beyond it, the oldest responses are dropped.
    pub max_bytes: usize,
    /// Maximum bytes of one recorded response body.
    pub max_response_bytes: usize,
}

impl Default for KeyLimits {
    fn default() -> Self {
        Self {
            retention: RETENTION,
            max_records: MAX_RECORDS,
            max_bytes: MAX_BYTES,
            max_response_bytes: MAX_RESPONSE_BYTES,
        }
    }
}
