//! Time in milliseconds. Decision code takes it as an argument instead of reading a clock.

use std::ops::{Add, Sub};
use std::time::Duration;

use super::newtype::number;

number!(
    /// An instant or a duration, in milliseconds of the local monotonic clock.
    Millis,
    u64
);

impl Millis {
    /// Zero milliseconds.
    pub const ZERO: Self = Self(0);

    /// Creates a duration from whole seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1000)
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Self) -> Self {
        self.saturating_sub(earlier)
    }

    /// Multiplies by `permille` thousandths, rounding up; saturates at the limit of the product.
    pub const fn scale_permille(self, permille: u64) -> Self {
        Self(self.0.saturating_mul(permille).div_ceil(1000))
    }
}

impl Add for Millis {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        self.saturating_add(other)
    }
}

impl Sub for Millis {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        self.saturating_sub(other)
    }
}

impl From<Millis> for Duration {
    fn from(value: Millis) -> Self {
        Duration::from_millis(value.0)
    }
}

impl From<Duration> for Millis {
    fn from(value: Duration) -> Self {
        Self(u64::try_from(value.as_millis()).unwrap_or(u64::MAX))
    }
}
