//! A small random generator.

use crate::worker::now_us;

pub struct Random(u64);

impl Random {
    pub fn new() -> Self {
        Self(now_us() as u64 | 1)
    }

    /// Returns a number from 0 to `limit` - 1.
    pub fn below(&mut self, limit: usize) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as usize % limit
    }
}
