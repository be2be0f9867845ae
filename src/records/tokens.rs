//! Tokens that identify single writes.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::bundle::digest_of;
use crate::prelude::*;

/// Longest member id that is part of a token as it is.
const MAX_MEMBER_BYTES: usize = 100;

/// Hands out one token per write: the member id and a counter.
#[derive(Debug)]
pub struct WriterTokens {
    member: String,
    counter: AtomicU64,
}

impl WriterTokens {
    /// Starts counting for one run of a process; `member` must be new for every run.
    ///
    /// A long member id is replaced by its digest, because member and counter must fit a token.
    pub fn new(member: MemberId) -> Self {
        let name = member.as_str();
        let name = match name.len() <= MAX_MEMBER_BYTES {
            true => name.to_string(),
            false => digest_of(name.as_bytes()).to_string(),
        };
        Self {
            member: name,
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
