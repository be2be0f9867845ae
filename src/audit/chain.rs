//! Segments of the audit trail and the hash chain over their entries.

use sha2::{Digest as _, Sha256};

use super::AuditDraft;
use crate::prelude::*;
use crate::schema::config::{AuditEntry, AuditFault, AuditSegment};

/// Number of entries in a full segment. An entry takes at most 1.3 KB, so that a segment stays
/// below the store's record limit of 1 MB.
pub const SEGMENT_ENTRIES: usize = 512;

/// Number of full segments that are retained: 36 days at 10,000 entries a day, which are five for
/// each of 2,000 changes.
pub const KEPT_SEGMENTS: u64 = 704;

/// Maximum length in bytes of the subject and of the detail of an entry.
const MAX_TEXT_BYTES: usize = 400;

/// Domain separation prefix of the hashed bytes.
const DOMAIN: &[u8] = b"sapphirecroft audit 1\n";

impl AuditSegment {
    /// Creates the first segment of a new trail, without entries.
    pub(super) fn first(writer: WriterToken) -> Self {
        Self {
            writer,
            number: 0,
            oldest: 0,
            anchor: Digest::default(),
            entries: Vec::new(),
        }
    }

    /// Creates the empty segment that follows this one and is anchored to its last hash.
    pub(super) fn next_segment(&self, writer: WriterToken) -> Self {
        let number = self.number.saturating_add(1);
        Self {
            writer,
            number,
            oldest: oldest_kept(number),
            anchor: self.head(),
            entries: Vec::new(),
        }
    }

    pub(super) fn is_full(&self) -> bool {
        self.entries.len() >= SEGMENT_ENTRIES
    }

    /// Returns the hash of the newest entry, or the anchor if the segment is empty.
    pub(super) fn head(&self) -> Digest {
        self.entries.last().map_or(self.anchor, |entry| entry.hash)
    }

    /// Returns the sequence number of the segment's first entry.
    pub(super) fn first_seq(&self) -> u64 {
        first_seq(self.number)
    }

    /// Returns the sequence number of the segment's newest entry; if it is empty, that of the last
    /// entry before it.
    pub(super) fn last_seq(&self) -> u64 {
        (self.first_seq() - 1).saturating_add(self.entries.len() as u64)
    }

    /// Appends an entry with the next sequence number and its hash.
    pub(super) fn push(&mut self, draft: &AuditDraft, at: Timestamp, writer: &WriterToken) {
        let mut entry = AuditEntry {
            seq: self.last_seq().saturating_add(1),
            at,
            who: draft.who.clone(),
            action: draft.action,
            subject: truncate(&draft.subject),
            version: draft.version,
            outcome: draft.outcome,
            detail: truncate(&draft.detail),
            writer: writer.clone(),
            previous: self.head(),
            hash: Digest::default(),
        };
        entry.hash = hash(&entry);
        self.entries.push(entry);
    }

    /// Checks sequence numbers and hashes. `expected_anchor` is the last hash of the previous
    /// segment; `None` if that segment is missing or deleted.
    pub(super) fn check(&self, expected_anchor: Option<Digest>) -> Vec<AuditFault> {
        let mut faults = Vec::new();
        let mut fault = |seq, message: &str| {
            faults.push(AuditFault {
                seq,
                message: message.to_string(),
            });
        };
        let mut previous = self.anchor;
        if expected_anchor.is_some_and(|expected_hash| expected_hash != self.anchor) {
            fault(
                self.first_seq(),
                "segment does not continue the one before it",
            );
        }
        for (offset, entry) in (0_u64..).zip(&self.entries) {
            let expected = self.first_seq().saturating_add(offset);
            if entry.seq != expected {
                fault(expected, "entry is missing or out of order");
            }
            if entry.previous != previous {
                fault(expected, "entry does not continue the one before it");
            }
            if hash(entry) != entry.hash {
                fault(expected, "entry was edited");
            }
            previous = entry.hash;
        }
        if self.entries.len() > SEGMENT_ENTRIES {
            fault(self.last_seq(), "segment is too long");
        }
        faults
    }
}

/// Returns the number of the segment that contains a sequence number.
pub(super) fn segment_of(seq: u64) -> u64 {
    seq.saturating_sub(1) / SEGMENT_ENTRIES as u64
}

/// Returns the sequence number of the first entry of a segment.
pub(super) fn first_seq(number: u64) -> u64 {
    number
        .saturating_mul(SEGMENT_ENTRIES as u64)
        .saturating_add(1)
}

/// Returns the number of the oldest retained segment while `number` is the open segment.
pub(super) fn oldest_kept(number: u64) -> u64 {
    number.saturating_sub(KEPT_SEGMENTS)
}

/// Hashes every field except the hash itself. Each field is prefixed with its length, so that
/// different fields never produce the same bytes.
fn hash(entry: &AuditEntry) -> Digest {
    let mut hasher = Sha256::new();
    hasher.update(DOMAIN);
    let version = entry
        .version
        .map_or_else(String::new, |version| version.to_string());
    let action = entry.action.to_string();
    let outcome = entry.outcome.to_string();
    let seq = entry.seq.to_be_bytes();
    let at = entry.at.get().to_be_bytes();
    let fields: [&[u8]; 10] = [
        &seq,
        &at,
        entry.who.as_str().as_bytes(),
        action.as_bytes(),
        entry.subject.as_bytes(),
        version.as_bytes(),
        outcome.as_bytes(),
        entry.detail.as_bytes(),
        entry.writer.as_str().as_bytes(),
        &entry.previous.0,
    ];
    for field in fields {
        hasher.update((field.len() as u64).to_be_bytes());
        hasher.update(field);
    }
    Digest(hasher.finalize().into())
}

/// Truncates a text to `MAX_TEXT_BYTES` at a character boundary.
fn truncate(text: &str) -> String {
    let end = (0..=MAX_TEXT_BYTES.min(text.len()))
        .rev()
        .find(|end| text.is_char_boundary(*end))
        .unwrap_or(0);
    text.get(..end).unwrap_or_default().to_string()
}
