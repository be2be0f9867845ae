//! Bounds of a key table.

use crate::prelude::*;

/// Time for which a key is remembered.
const RETENTION: Millis = Millis::from_secs(600);

/// Keys held at once.
const MAX_RECORDS: usize = 100_000;

/// Memory for keys and recorded answers.
const MAX_BYTES: usize = 16 << 20;

/// Largest answer that is kept for repeats.
const MAX_ANSWER_BYTES: usize = 64 << 10;

/// How much a table keeps, and for how long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyLimits {
    /// Time from the recording of a key until it is forgotten.
    pub retention: Millis,
    /// Keys held at once; further keys are refused.
    pub max_records: usize,
    /// Bytes of keys and answers; the oldest answers are dropped beyond it.
    pub max_bytes: usize,
    /// Bytes of one recorded answer.
    pub max_answer_bytes: usize,
}

impl Default for KeyLimits {
    fn default() -> Self {
        Self {
            retention: RETENTION,
            max_records: MAX_RECORDS,
            max_bytes: MAX_BYTES,
            max_answer_bytes: MAX_ANSWER_BYTES,
        }
    }
}
