//! How long ago the configuration in force was known to be the newest.

use crate::prelude::*;

/// Time of the last answer of the store by which no newer configuration existed.
///
/// A daemon may know its configuration to be outdated only by the absence of such answers.
#[derive(Debug)]
pub(super) struct ConfigAge {
    /// Age beyond which the configuration in force may be older than callers can expect.
    limit: Millis,
    /// `None` until the configuration was read.
    confirmed_at: Option<Millis>,
    is_outdated: bool,
}

impl ConfigAge {
    pub fn new(limit: Millis) -> Self {
        Self {
            limit,
            confirmed_at: None,
            is_outdated: false,
        }
    }

    /// Records that no newer configuration existed at this time. Returns the age before, if the
    /// configuration was noted as outdated.
    pub fn confirm(&mut self, at: Millis, now: Millis) -> Option<Millis> {
        let age_before = self.age(now);
        self.confirmed_at = self.confirmed_at.max(Some(at));
        let is_over = self.is_outdated && !self.exceeds_limit(now);
        self.is_outdated &= !is_over;
        age_before.filter(|_| is_over)
    }

    /// Notes that the configuration is outdated. Returns its age if it was not before.
    pub fn note_outdated(&mut self, now: Millis) -> Option<Millis> {
        if self.is_outdated || !self.exceeds_limit(now) {
            return None;
        }
        self.is_outdated = true;
        self.age(now)
    }

    /// Returns the time since the last confirmation; `None` before the first.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        Some(now.since(self.confirmed_at?))
    }

    /// Returns whether a newer configuration may have to be in force by now.
    pub fn exceeds_limit(&self, now: Millis) -> bool {
        self.age(now).is_some_and(|age| age > self.limit)
    }
}
