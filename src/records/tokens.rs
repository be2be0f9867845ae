//! Writer tokens, each of which identifies a single write.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::bundle::digest_of;
use crate::prelude::*;

/// Maximum length in bytes of a member id that a token contains unchanged.
const MAX_MEMBER_BYTES: usize = 100;

/// Generates one token per write from the member id and a counter.
#[derive(Debug)]
pub struct WriterTokens {
    member: String,
    counter: AtomicU64,
}

impl WriterTokens {
    /// Creates the generator of one process; `member` must be unique for every start of a process,
    /// because the counter begins anew.
    ///
    /// A long member id is replaced by its digest, because member and counter must fit into a
    /// token.
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
