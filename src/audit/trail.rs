//! Appending to, reading and verifying the audit trail in the key-value service.

use crate::prelude::*;
use crate::provider::{Expected, WallClock};
use crate::records::{AUDIT_OPEN, Records, StoredRecord, TypedRecord, WriteOutcome, audit_segment};
use crate::schema::config::{
    AuditAction, AuditEntry, AuditFault, AuditOutcome, AuditPage, AuditReport, AuditSegment,
};

use super::chain::{first_seq, oldest_kept, segment_of};

/// Maximum number of attempts to append an entry while concurrent appends come first.
const APPEND_ATTEMPTS: u32 = 30;

/// Maximum number of entries in one page.
const MAX_PAGE: usize = 500;

/// Content of an audit entry before it has a sequence number, time and hash.
#[derive(Clone, Debug, PartialEq)]
pub struct AuditDraft {
    /// Operator who made the change.
    pub who: OperatorId,
    /// Kind of the change.
    pub action: AuditAction,
    /// Object that was changed.
    pub subject: String,
    /// Bundle version that the change concerns.
    pub version: Option<Version>,
    /// Outcome of the change.
    pub outcome: AuditOutcome,
    /// Reason of a failure, or further data.
    pub detail: String,
}

impl TypedRecord for AuditSegment {
    fn writer(&self) -> &WriterToken {
        &self.writer
    }
}

/// Appends to the audit trail, reads it and verifies it.
pub struct AuditTrail {
    records: Arc<Records>,
    clock: WallClock,
}

impl AuditTrail {
    /// Accesses the trail in `records`; `clock` gives the time of new entries.
    pub fn new(records: Arc<Records>, clock: WallClock) -> Self {
        Self { records, clock }
    }

    /// Appends an entry exactly once.
    ///
    /// Without contention this takes one read and one write, and another write when a segment is
    /// full.
    pub async fn append(&self, draft: &AuditDraft) -> Result<(), BundleError> {
        let token = self.records.token();
        for _ in 0..APPEND_ATTEMPTS {
            let open = self.open_segment().await?;
            if self.contains_write(&open, &token).await? {
                return Ok(());
            }
            let (expected, mut segment) = match open {
                None => (Expected::Absent, AuditSegment::first(token.clone())),
                Some(stored) => {
                    let expected = Expected::At(stored.revision);
                    (
                        expected,
                        self.segment_with_space(stored.value, &token).await?,
                    )
                }
            };
            segment.push(draft, (self.clock)(), &token);
            segment.writer = token.clone();
            let written = self.records.write(AUDIT_OPEN, expected, &segment).await?;
            if let WriteOutcome::Done(_) = written {
                if segment.entries.len() == 1
                    && let Err(err) = self.delete_expired(&segment).await
                {
                    tracing::warn!(%err, "expired audit segment stays in the store");
                }
                return Ok(());
            }
        }
        Err(BundleError::Unavailable(
            "audit trail has too many concurrent writers".to_string(),
        ))
    }

    /// Returns at most `limit` entries after sequence number `after`; `None` selects the newest
    /// ones.
    pub async fn list(&self, after: Option<u64>, limit: usize) -> Result<AuditPage, BundleError> {
        let Some(open) = self.open_segment().await? else {
            return Ok(AuditPage {
                entries: Vec::new(),
                last: 0,
            });
        };
        let open = open.value;
        let limit = limit.clamp(1, MAX_PAGE);
        let last = open.last_seq();
        let after = after.unwrap_or_else(|| last.saturating_sub(limit as u64));
        let after = after.max(first_seq(open.oldest) - 1);
        let mut entries = Vec::new();
        // Bounded by the retention, so that a tampered `oldest` cannot cause an unbounded number of
        // reads.
        let first = segment_of(after.saturating_add(1)).max(oldest_kept(open.number));
        for number in first..=open.number {
            let segment = self.segment(number, &open).await?;
            let found = segment.into_iter().flat_map(|segment| segment.entries);
            entries.extend(found.filter(|entry| entry.seq > after));
            if entries.len() >= limit {
                break;
            }
        }
        entries.truncate(limit);
        Ok(AuditPage { entries, last })
    }

    /// Returns the entry with a sequence number.
    pub async fn show(&self, seq: u64) -> Result<AuditEntry, BundleError> {
        let missing = || BundleError::NotFound(format!("audit entry {seq}"));
        let page = self
            .list(Some(seq.checked_sub(1).ok_or_else(missing)?), 1)
            .await?;
        page.entries
            .into_iter()
            .find(|entry| entry.seq == seq)
            .ok_or_else(missing)
    }

    /// Reads the whole trail and reports every fault, as well as attempts without an outcome.
    pub async fn verify(&self) -> Result<AuditReport, BundleError> {
        let Some(open) = self.open_segment().await? else {
            return Ok(AuditReport {
                first: 0,
                last: 0,
                head: Digest::default(),
                faults: Vec::new(),
                open: Vec::new(),
            });
        };
        let open = open.value;
        let mut faults = Vec::new();
        if open.oldest != oldest_kept(open.number) {
            faults.push(AuditFault {
                seq: first_seq(open.oldest),
                message: "oldest segment differs from the retention".to_string(),
            });
        }
        let mut attempts = Vec::new();
        let mut expected_anchor = (open.oldest == 0).then(Digest::default);
        let first = open.oldest.max(oldest_kept(open.number));
        for number in first..=open.number {
            let Some(segment) = self.segment(number, &open).await? else {
                faults.extend(self.missing_segment_fault(number).await?);
                expected_anchor = None;
                continue;
            };
            if segment.number != number || (number < open.number && !segment.is_full()) {
                faults.push(AuditFault {
                    seq: first_seq(number),
                    message: "segment is incomplete".to_string(),
                });
            }
            faults.extend(segment.check(expected_anchor));
            expected_anchor = Some(segment.head());
            segment
                .entries
                .iter()
                .for_each(|entry| match_outcome(&mut attempts, entry));
        }
        Ok(AuditReport {
            first: first_seq(open.oldest),
            last: open.last_seq(),
            head: open.head(),
            faults,
            open: attempts
                .into_iter()
                .map(|entry| missing_outcome_fault(&entry))
                .collect(),
        })
    }

    async fn open_segment(&self) -> Result<Option<StoredRecord<AuditSegment>>, BundleError> {
        self.records.read(AUDIT_OPEN).await
    }

    async fn segment(
        &self,
        number: u64,
        open: &AuditSegment,
    ) -> Result<Option<AuditSegment>, BundleError> {
        if number == open.number {
            return Ok(Some(open.clone()));
        }
        let stored = self.records.read(&audit_segment(number)).await?;
        Ok(stored.map(|stored: StoredRecord<AuditSegment>| stored.value))
    }

    /// Returns whether the trail already contains an entry with this token, that is, whether an
    /// earlier attempt with a lost response succeeded.
    async fn contains_write(
        &self,
        open: &Option<StoredRecord<AuditSegment>>,
        token: &WriterToken,
    ) -> Result<bool, BundleError> {
        let contains = |segment: &AuditSegment| segment.entries.iter().any(|e| e.writer == *token);
        let Some(open) = open else { return Ok(false) };
        if contains(&open.value) {
            return Ok(true);
        }
        // If the segment was sealed since the response was lost, the entry is near the end of the
        // sealed segment.
        let Some(before) = open.value.number.checked_sub(1) else {
            return Ok(false);
        };
        if open.value.entries.len() >= APPEND_ATTEMPTS as usize {
            return Ok(false);
        }
        let sealed = self.segment(before, &open.value).await?;
        Ok(sealed.is_some_and(|segment| contains(&segment)))
    }

    /// Returns the open segment; if it is full, seals it and returns its successor.
    async fn segment_with_space(
        &self,
        open: AuditSegment,
        token: &WriterToken,
    ) -> Result<AuditSegment, BundleError> {
        if !open.is_full() {
            return Ok(open);
        }
        let key = audit_segment(open.number);
        // Several processes may seal the same full segment concurrently. A conflict does no harm,
        // because all of them write the same content.
        self.records.write(&key, Expected::Absent, &open).await?;
        Ok(open.next_segment(token.clone()))
    }

    /// Deletes the segment whose retention ended when segment `open` was started.
    async fn delete_expired(&self, open: &AuditSegment) -> Result<(), BundleError> {
        let Some(number) = open.oldest.checked_sub(1) else {
            return Ok(());
        };
        let key = audit_segment(number);
        let expired: Option<StoredRecord<AuditSegment>> = self.records.read(&key).await?;
        if let Some(stored) = expired {
            self.records.discard(&key, stored.revision).await;
        }
        Ok(())
    }

    /// Returns the fault for a missing segment, or `None` if its retention ended while the trail
    /// was being read.
    async fn missing_segment_fault(&self, number: u64) -> Result<Option<AuditFault>, BundleError> {
        let open = self.open_segment().await?;
        if open.is_some_and(|open| open.value.oldest > number) {
            return Ok(None);
        }
        Ok(Some(AuditFault {
            seq: first_seq(number),
            message: "segment is missing".to_string(),
        }))
    }
}

/// Adds an attempt to `attempts`, or removes the attempt whose outcome `entry` records.
fn match_outcome(attempts: &mut Vec<AuditEntry>, entry: &AuditEntry) {
    if entry.outcome == AuditOutcome::Attempted {
        attempts.push(entry.clone());
        return;
    }
    let found = attempts.iter().position(|attempt| {
        attempt.who == entry.who
            && attempt.action == entry.action
            && attempt.subject == entry.subject
    });
    if let Some(index) = found {
        attempts.remove(index);
    }
}

fn missing_outcome_fault(entry: &AuditEntry) -> AuditFault {
    AuditFault {
        seq: entry.seq,
        message: format!(
            "{} of {} by {} has no outcome",
            entry.action, entry.subject, entry.who
        ),
    }
}
