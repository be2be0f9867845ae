//! The audit trail: every change is recorded exactly once, and missing, duplicated or edited
//! entries are detected.

mod bundle_support;

use bundle_support::*;
use sapphirecroft::audit::{AuditDraft, KEPT_SEGMENTS, SEGMENT_ENTRIES};
use sapphirecroft::prelude::*;
use sapphirecroft::provider::{Expected, Store};
use sapphirecroft::records::{AUDIT_OPEN, audit_segment};
use sapphirecroft::schema::config::{AuditAction, AuditOutcome, AuditSegment};
use sapphirecroft::standin::KvServer;
use sapphirecroft::web::{decode, encode};

fn draft(subject: &str) -> AuditDraft {
    AuditDraft {
        who: id("ana"),
        action: AuditAction::Other,
        subject: subject.to_string(),
        version: Some(Version(1)),
        outcome: AuditOutcome::Done,
        detail: String::new(),
    }
}

async fn fill(p: &Process, count: usize) {
    for number in 0..count {
        p.audit
            .append(&draft(&format!("change {number}")))
            .await
            .expect("appended");
    }
}

/// Edits a stored segment directly in the store, without the code of the trail.
async fn tamper(kv: &KvServer, key: &str, edit: impl FnOnce(&mut AuditSegment)) {
    let found = kv
        .get(key)
        .await
        .expect("store answers")
        .expect("segment exists");
    let mut segment: AuditSegment = decode(&found.value).expect("segment is valid");
    edit(&mut segment);
    let buf = encode(&segment).expect("segment can be encoded");
    let expected = Expected::At(found.revision);
    kv.cas(key, expected, Some(buf), None)
        .await
        .expect("written");
}

/// Guards against entries that lack the operator, action, outcome or version of a change, as when a
/// roll-out loses a race.
#[test]
fn changes_are_listed_with_who_what_when_version_and_outcome() {
    run(async {
        let (_, p) = site().await;
        release(&p, variant(1)).await;
        let proposal = signed(&p, variant(2)).await;
        let other = signed(&p, variant(3)).await;
        p.manager
            .roll_out(&id("cam"), &proposal.id)
            .await
            .expect("rolled out");
        let _ = p.manager.roll_out(&id("ana"), &other.id).await;

        let page = p.audit.list(Some(0), 100).await.expect("readable");

        let found: Vec<(String, String, String)> = page
            .entries
            .iter()
            .rev()
            .take(3)
            .map(|e| {
                (
                    e.who.to_string(),
                    e.action.to_string(),
                    e.outcome.to_string(),
                )
            })
            .collect();
        let entry = |who: &str, outcome: &str| {
            (who.to_string(), "roll_out".to_string(), outcome.to_string())
        };
        assert_eq!(
            found,
            [
                entry("ana", "conflict"),
                entry("cam", "done"),
                entry("cam", "attempted")
            ]
        );
        let last = page.entries.last().expect("entry exists");
        assert_eq!(last.version, Some(Version(2)));
        assert!(
            last.detail.contains("roll-out of version 2 by cam"),
            "{}",
            last.detail
        );
        assert!(page.entries.is_sorted_by_key(|entry| entry.seq));
        assert_eq!(page.last, page.entries.len() as u64);
        let report = p.audit.verify().await.expect("readable");
        assert_eq!((report.faults, report.open), (Vec::new(), Vec::new()));
    });
}

/// Guards against entries that are lost or duplicated after lost responses, while several processes
/// append concurrently.
#[test]
fn appends_are_stored_exactly_once() {
    run(async {
        let kv = KvServer::new();
        let writers: Vec<Process> = (0..4)
            .map(|n| process(&kv, &format!("entry-{n}")))
            .collect();
        let count = 25;
        fill(&writers[0], SEGMENT_ENTRIES - 40).await;
        let appends = writers.iter().enumerate().map(|(n, p)| async move {
            for number in 0..count {
                if number % 7 == n {
                    let loss = if number % 2 == 0 {
                        Loss::Response
                    } else {
                        Loss::Request
                    };
                    p.link.lose_write(0, loss);
                }
                p.audit
                    .append(&draft(&format!("{n}-{number}")))
                    .await
                    .expect("appended");
            }
        });

        futures_util::future::join_all(appends).await;

        let trail = &writers[0].audit;
        let report = trail.verify().await.expect("readable");
        assert_eq!(report.faults, Vec::new());
        assert_eq!(report.last as usize, SEGMENT_ENTRIES - 40 + 4 * count);
        let mut subjects = std::collections::BTreeSet::new();
        let mut after = 0;
        while after < report.last {
            let page = trail.list(Some(after), 100).await.expect("readable");
            after = page.entries.last().expect("page has entries").seq;
            subjects.extend(page.entries.into_iter().map(|entry| entry.subject));
        }
        assert_eq!(subjects.len(), SEGMENT_ENTRIES - 40 + 4 * count);
    });
}

/// Guards against a duplicated entry: its response is lost, and another process appends and seals
/// the segment before the outcome is known.
#[test]
fn overtaken_append_is_not_repeated() {
    for room in [5, 1] {
        run(async {
            let kv = KvServer::new();
            let (p, q) = (process(&kv, "entry-0"), process(&kv, "entry-1"));
            fill(&p, SEGMENT_ENTRIES - room).await;
            p.link.lose_write(0, Loss::Response);
            p.link.pause_after_loss();
            let slow = draft("slow");
            let append = p.audit.append(&slow);
            let overtake = async {
                p.link.until_paused().await;
                fill(&q, 2).await;
                p.link.resume();
            };

            let (appended, ()) = tokio::join!(append, overtake);

            appended.expect("took effect");
            let report = p.audit.verify().await.expect("readable");
            assert_eq!(report.faults, Vec::new());
            assert_eq!(report.last as usize, SEGMENT_ENTRIES - room + 3);
        });
    }
}

/// Guards against edited, removed, reordered or truncated entries that verification does not
/// detect.
#[test]
fn tampering_is_detected() {
    type Edit = fn(&mut AuditSegment);
    let edits: [(&str, Edit); 6] = [
        ("edited", |s| s.entries[3].who = id("eve")),
        ("outcome edited", |s| {
            s.entries[3].outcome = AuditOutcome::Refused
        }),
        ("removed", |s| drop(s.entries.remove(3))),
        ("swapped", |s| s.entries.swap(3, 4)),
        ("cut", |s| s.entries.truncate(10)),
        ("renumbered", |s| s.number = 7),
    ];
    run(async {
        let kv = KvServer::new();
        let p = process(&kv, "entry-0");
        fill(&p, 2 * SEGMENT_ENTRIES + 10).await;
        for (name, edit) in edits {
            let genuine = kv
                .get(&audit_segment(0))
                .await
                .expect("answers")
                .expect("exists");
            tamper(&kv, &audit_segment(0), edit).await;

            let report = p.audit.verify().await.expect("readable");

            assert!(!report.faults.is_empty(), "{name} is not detected");
            let genuine: AuditSegment = decode(&genuine.value).expect("valid");
            tamper(&kv, &audit_segment(0), |segment| *segment = genuine).await;
            let report = p.audit.verify().await.expect("readable");
            assert_eq!(report.faults, Vec::new());
        }
        let key = audit_segment(1);
        let found = kv.get(&key).await.expect("answers").expect("exists");
        kv.cas(&key, Expected::At(found.revision), None, None)
            .await
            .expect("deleted");

        let report = p.audit.verify().await.expect("readable");

        let seqs: Vec<u64> = report.faults.iter().map(|fault| fault.seq).collect();
        assert_eq!(seqs, [SEGMENT_ENTRIES as u64 + 1]);
    });
}

/// Guards against a panic or an endless loop when the open segment has been tampered with and has
/// an extreme number.
#[test]
fn corrupted_segment_number_is_reported_as_a_fault() {
    run(async {
        for number in [u64::MAX, u64::MAX / 2, 1 << 40] {
            let kv = KvServer::new();
            let p = process(&kv, "entry-0");
            fill(&p, 3).await;
            tamper(&kv, AUDIT_OPEN, |s| s.number = number).await;

            let report = p.audit.verify().await.expect("readable");
            let page = p.audit.list(None, 10).await.expect("readable");
            let _ = p.audit.append(&draft("one more")).await;

            assert!(!report.faults.is_empty());
            assert!(page.entries.len() <= 10);
        }
    });
}

/// Guards against regular retention that is reported as a gap, and against a gap that passes as
/// retention.
#[test]
fn retention_deletes_whole_segments() {
    run(async {
        let kv = KvServer::new();
        let p = process(&kv, "entry-0");
        fill(&p, SEGMENT_ENTRIES).await;
        // Simulates a trail whose next full segment exceeds the retention.
        tamper(&kv, AUDIT_OPEN, |s| s.number = KEPT_SEGMENTS).await;
        let sealed = kv
            .get(AUDIT_OPEN)
            .await
            .expect("answers")
            .expect("exists")
            .value;
        let oldest = audit_segment(0);
        kv.cas(&oldest, Expected::Absent, Some(sealed), None)
            .await
            .expect("written");

        p.audit.append(&draft("one more")).await.expect("appended");

        assert_eq!(kv.get(&oldest).await.expect("answers"), None);
        let open = kv.get(AUDIT_OPEN).await.expect("answers").expect("exists");
        let open: AuditSegment = decode(&open.value).expect("valid");
        assert_eq!((open.number, open.oldest), (KEPT_SEGMENTS + 1, 1));
        tamper(&kv, AUDIT_OPEN, |s| s.oldest = 2).await;
        let report = p.audit.verify().await.expect("readable");
        let found = report
            .faults
            .iter()
            .any(|fault| fault.message.contains("retention"));
        assert!(found, "{:?}", report.faults.first());
    });
}

/// Guards against a segment of maximum-size entries that exceeds the record limit of the store.
#[test]
fn full_segment_stays_under_one_megabyte() {
    run(async {
        let kv = KvServer::new();
        let p = process(&kv, "entry-with-a-name-of-more-than-usual-length");
        let mut long = draft(&"s".repeat(5000));
        long.who = id(&"w".repeat(128));
        long.detail = "\u{1F33E}".repeat(5000);
        for _ in 0..SEGMENT_ENTRIES {
            p.audit.append(&long).await.expect("appended");
        }

        let open = kv.get(AUDIT_OPEN).await.expect("answers").expect("exists");

        assert!(open.value.len() < 1_000_000, "{} bytes", open.value.len());
    });
}

/// Guards against an attempt without an outcome, as after a crash, that verification does not
/// report.
#[test]
fn attempts_without_outcome_are_reported() {
    run(async {
        let (_, p) = site().await;
        let mut attempt = draft("proposal 5-abc");
        attempt.outcome = AuditOutcome::Attempted;
        p.audit.append(&attempt).await.expect("appended");

        let report = p.audit.verify().await.expect("readable");

        assert_eq!(report.faults, Vec::new());
        assert_eq!(report.open.len(), 1);
    });
}
