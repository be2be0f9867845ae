//! Tokens that identify single writes.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::prelude::*;

/// Hands out one token per write: the member id and a counter.
#[derive(Debug)]
pub struct WriterTokens {
    member: MemberId,
    counter: AtomicU64,
}

impl WriterTokens {
    /// Starts counting for one run of a process; `member` must be new for every run.
    pub fn new(member: MemberId) -> Self {
        Self {
            member,
            counter: AtomicU64::new(0),
        }
    }

    /// Returns the next token.
    pub fn next(&self) -> WriterToken {
        let count = self.counter.fetch_add(1, Ordering::Relaxed) + 1;
        format!("{}:{count}", self.member)
            .parse()
            .unwrap_or_default()
    }
}
