//! The audit trail in the key-value service.

use crate::prelude::*;
use crate::provider::{Expected, WallClock};
use crate::records::{AUDIT_OPEN, Held, Records, Stored, Written, audit_segment};
use crate::schema::config::{
    AuditAction, AuditEntry, AuditFault, AuditOutcome, AuditPage, AuditReport, AuditSegment,
};

use super::chain::{first_seq, oldest_kept, segment_of};

/// Appends that may come first before an append gives up.
const APPEND_ATTEMPTS: u32 = 30;

/// Most entries of one page.
const MAX_PAGE: usize = 500;

/// An entry before it has its place in the trail.
#[derive(Clone, Debug, PartialEq)]
pub struct AuditDraft {
    /// Operator who made the change.
    pub who: OperatorId,
    /// What was attempted.
    pub action: AuditAction,
    /// What was changed.
    pub subject: String,
    /// Bundle version concerned.
    pub version: Option<Version>,
    /// How it ended.
    pub outcome: AuditOutcome,
    /// Reason or further data.
    pub detail: String,
}

impl Stored for AuditSegment {
    fn writer(&self) -> &WriterToken {
        &self.writer
    }
}

/// Appends to the trail and verifies it.
pub struct AuditTrail {
    records: Arc<Records>,
    clock: WallClock,
}

impl AuditTrail {
    /// Keeps the trail in `records`.
    pub fn new(records: Arc<Records>, clock: WallClock) -> Self {
        Self { records, clock }
    }

    /// Appends an entry exactly once: one read and one write, and one more write per full segment.
    pub async fn append(&self, draft: &AuditDraft) -> Result<(), BundleError> {
        let token = self.records.token();
        for _ in 0..APPEND_ATTEMPTS {
            let open = self.open_segment().await?;
            if self.holds(&open, &token).await? {
                return Ok(());
            }
            let (expected, mut segment) = match open {
                None => (Expected::Absent, AuditSegment::first(token.clone())),
                Some(held) => {
                    let expected = Expected::At(held.revision);
                    (expected, self.room_in(held.value, &token).await?)
                }
            };
            segment.push(draft, (self.clock)(), &token);
            segment.writer = token.clone();
            let written = self.records.write(AUDIT_OPEN, expected, &segment).await?;
            if let Written::Done(_) = written {
                if segment.entries.len() == 1
                    && let Err(err) = self.expire(&segment).await
                {
                    tracing::warn!(%err, "expired audit segment was not deleted");
                }
                return Ok(());
            }
        }
        Err(BundleError::Unavailable(
            "audit trail is being written by too many others".to_string(),
        ))
    }

    /// Returns entries after position `after`; none means the newest ones.
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
        // The retention bounds the number of reads even if the open segment was tampered with.
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

    /// Returns one entry.
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

    /// Reads the whole trail and reports every place where it does not hold.
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
        let mut before = (open.oldest == 0).then(Digest::default);
        let first = open.oldest.max(oldest_kept(open.number));
        for number in first..=open.number {
            let Some(segment) = self.segment(number, &open).await? else {
                faults.extend(self.missing(number).await?);
                before = None;
                continue;
            };
            if segment.number != number || (number < open.number && !segment.is_full()) {
                faults.push(AuditFault {
                    seq: first_seq(number),
                    message: "segment is incomplete".to_string(),
                });
            }
            faults.extend(segment.check(before));
            before = Some(segment.head());
            segment
                .entries
                .iter()
                .for_each(|entry| settle(&mut attempts, entry));
        }
        Ok(AuditReport {
            first: first_seq(open.oldest),
            last: open.last_seq(),
            head: open.head(),
            faults,
            open: attempts
                .into_iter()
                .map(|entry| without_outcome(&entry))
                .collect(),
        })
    }

    async fn open_segment(&self) -> Result<Option<Held<AuditSegment>>, BundleError> {
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
        let held = self.records.read(&audit_segment(number)).await?;
        Ok(held.map(|held: Held<AuditSegment>| held.value))
    }

    /// Tells whether an earlier attempt with this token took effect after all.
    async fn holds(
        &self,
        open: &Option<Held<AuditSegment>>,
        token: &WriterToken,
    ) -> Result<bool, BundleError> {
        let has = |segment: &AuditSegment| segment.entries.iter().any(|e| e.writer == *token);
        let Some(open) = open else { return Ok(false) };
        if has(&open.value) {
            return Ok(true);
        }
        // A segment that was sealed since the lost answer holds the entry near its end.
        let Some(before) = open.value.number.checked_sub(1) else {
            return Ok(false);
        };
        if open.value.entries.len() >= APPEND_ATTEMPTS as usize {
            return Ok(false);
        }
        let sealed = self.segment(before, &open.value).await?;
        Ok(sealed.is_some_and(|segment| has(&segment)))
    }

    /// Returns the open segment, or the next one after sealing a full one.
    async fn room_in(
        &self,
        open: AuditSegment,
        token: &WriterToken,
    ) -> Result<AuditSegment, BundleError> {
        if !open.is_full() {
            return Ok(open);
        }
        let key = audit_segment(open.number);
        // Several processes may seal the same full segment; its content is the same in all.
        self.records.write(&key, Expected::Absent, &open).await?;
        Ok(open.following(token.clone()))
    }

    /// Deletes the segment whose retention ended when `open` began.
    async fn expire(&self, open: &AuditSegment) -> Result<(), BundleError> {
        let Some(number) = open.oldest.checked_sub(1) else {
            return Ok(());
        };
        let key = audit_segment(number);
        let expired: Option<Held<AuditSegment>> = self.records.read(&key).await?;
        if let Some(held) = expired {
            self.records.discard(&key, held.revision).await;
        }
        Ok(())
    }

    /// Reports a missing segment unless it expired while the trail was being read.
    async fn missing(&self, number: u64) -> Result<Option<AuditFault>, BundleError> {
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

/// Tracks attempts until an entry tells how they ended.
fn settle(attempts: &mut Vec<AuditEntry>, entry: &AuditEntry) {
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

fn without_outcome(entry: &AuditEntry) -> AuditFault {
    AuditFault {
        seq: entry.seq,
        message: format!(
            "{} of {} by {} has no outcome",
            entry.action, entry.subject, entry.who
        ),
    }
}
