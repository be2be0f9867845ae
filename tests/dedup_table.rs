//! Key tables and coverage of idempotency keys. An oracle checks a home and a backup under lost
//! messages, expiry and failover.

use std::collections::HashMap;
use std::sync::Arc;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use sapphirecroft::dedup::*;
use sapphirecroft::model::*;
use sapphirecroft::schema::dedup::{KeyRecord, KeyState, RecordedAnswer, RecordedHeader};

const RETENTION: Millis = Millis(1_000);
/// Maximum delay of a message. The request path gives messages up after 2 s, at a retention of
/// 600 s.
const MAX_DELAY: Millis = Millis(500);

const MAX_RECORDS: usize = 6;
const MAX_BYTES: usize = 600;

#[derive(Clone, Debug)]
enum Op {
    /// Records a key at the home and, unless the message is lost, at the backup.
    Record { key: usize, lost: bool },
    /// Completes the newest attempt of a key and, unless the message is lost, notifies the backup.
    End { key: usize, how: usize, lost: bool },
    /// Delivers the delayed messages to the backup.
    Deliver,
    /// Advances the clock.
    Advance { ms: u64 },
    /// Replaces the home by the backup, and hands all its records over to a new backup.
    Failover,
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        6 => (0..8usize, prop::bool::weighted(0.2)).prop_map(|(key, lost)| Op::Record { key, lost }),
        5 => (0..8usize, 0..4usize, any::<bool>())
            .prop_map(|(key, how, lost)| Op::End { key, how, lost }),
        2 => Just(Op::Deliver),
        2 => (1..600u64).prop_map(|ms| Op::Advance { ms }),
        1 => Just(Op::Failover),
    ]
}

/// Actual history of the newest attempt of a key.
#[derive(Clone, Debug)]
struct AttemptHistory {
    attempt: WriterToken,
    at: Millis,
    ended: Option<Completion>,
}

impl AttemptHistory {
    fn may_have_run(&self, now: Millis) -> bool {
        now.since(self.at) < RETENTION && self.ended != Some(Completion::NotRun)
    }
}

struct Model {
    home: KeyTable,
    backup: KeyTable,
    histories: HashMap<String, AttemptHistory>,
    delayed: Vec<(Millis, KeyRecord)>,
    now: Millis,
    attempts: u64,
}

fn table() -> KeyTable {
    KeyTable::new(KeyLimits {
        retention: RETENTION,
        max_records: MAX_RECORDS,
        max_bytes: MAX_BYTES,
        max_response_bytes: 200,
    })
}

fn response(size: usize) -> Arc<RecordedAnswer> {
    Arc::new(RecordedAnswer {
        status: 200,
        headers: vec![RecordedHeader {
            name: "x".into(),
            value: "y".into(),
        }],
        body: vec![1; size],
    })
}

impl Model {
    fn new() -> Self {
        Self {
            home: table(),
            backup: table(),
            histories: HashMap::new(),
            delayed: Vec::new(),
            now: Millis::ZERO,
            attempts: 0,
        }
    }

    fn apply(&mut self, op: &Op) {
        match op {
            Op::Record { key, lost } => self.record(&format!("k{key}"), *lost),
            Op::End { key, how, lost } => self.end(&format!("k{key}"), *how, *lost),
            Op::Deliver => {
                for (sent_at, record) in std::mem::take(&mut self.delayed) {
                    if self.now.since(sent_at) <= MAX_DELAY {
                        self.backup.merge(&record, self.now);
                    }
                }
            }
            Op::Advance { ms } => self.now = self.now + Millis(*ms),
            Op::Failover => {
                self.home = std::mem::replace(&mut self.backup, table());
                for key in self.home.keys() {
                    if let Some(record) = self.home.export(&key, self.now) {
                        self.backup.merge(&record, self.now);
                    }
                }
            }
        }
        assert!(self.home.bytes() <= MAX_BYTES);
    }

    /// Records a key as the request path does. The request counts as sent if both tables have it.
    fn record(&mut self, key: &str, lost: bool) {
        self.attempts += 1;
        let attempt: WriterToken = format!("m:{}", self.attempts).parse().expect("token");
        let before = self.histories.get(key).cloned();
        let ran = before
            .as_ref()
            .is_some_and(|history| history.may_have_run(self.now));
        match self.home.record(key, "POST /", &attempt, self.now) {
            RecordResult::New { replaces } => {
                assert!(!ran, "{key} is recorded again, but {before:?}");
                // Merged records may exceed the limit, but no key is granted beyond it.
                assert!(self.home.len() <= MAX_RECORDS);
                let record = self.home.export(key, self.now).expect("record exists");
                let copied = if lost {
                    BackupResult::Full
                } else {
                    self.backup
                        .record_backup(&record, replaces.as_ref(), self.now)
                };
                if copied != BackupResult::Recorded {
                    // The request is not sent, so it did not run.
                    self.home.complete(key, &attempt, Completion::NotRun);
                    return;
                }
                let (at, ended) = (self.now, None);
                let history = AttemptHistory { attempt, at, ended };
                self.histories.insert(key.to_string(), history);
            }
            RecordResult::Repeat(Repeat::Answered(given)) => {
                let ended = before.and_then(|history| history.ended);
                assert_eq!(ended, Some(Completion::Answered(given)), "{key}");
            }
            RecordResult::Repeat(Repeat::Unknown) => {
                // The first request was sent, or its record could not be withdrawn at a backup.
                assert!(self.home.lookup(key, self.now).is_some());
            }
            RecordResult::Repeat(Repeat::OtherRequest) => panic!("all requests are the same"),
            RecordResult::Full => assert!(self.home.len() >= MAX_RECORDS),
        }
    }

    fn end(&mut self, key: &str, how: usize, lost: bool) {
        let Some(history) = self
            .histories
            .get_mut(key)
            .filter(|history| history.ended.is_none())
        else {
            return;
        };
        let completion = match how {
            0 => Completion::NotRun,
            1 => Completion::Unknown,
            2 => Completion::Answered(response(100)),
            _ => Completion::Answered(response(190)),
        };
        history.ended = Some(completion.clone());
        self.home.complete(key, &history.attempt, completion);
        if let Some(record) = self.home.export(key, self.now) {
            if lost {
                self.delayed.push((self.now, record));
            } else {
                self.backup.merge(&record, self.now);
            }
        }
    }
}

/// Guards against a key that is granted again although its request may have run, against
/// responses of another attempt, and against unbounded tables. Lost and delayed messages and
/// failover can let home and backup disagree.
#[test]
fn key_tables_agree_with_the_oracle() {
    let config = Config {
        cases: 2_000,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let ops = prop::collection::vec(op(), 1..120);

    let result = runner.run(&ops, |ops| {
        let mut model = Model::new();
        ops.iter().for_each(|op| model.apply(op));
        Ok(())
    });

    assert!(result.is_ok(), "{}", result.unwrap_err());
}

/// Guards against keys that stay taken after their expiry.
#[test]
fn keys_are_free_after_their_expiry() {
    let mut table = table();
    let attempt: WriterToken = "m:1".parse().expect("token");
    table.record("k", "POST /", &attempt, Millis(0));

    let early = table.record("k", "POST /", &attempt, Millis(999));
    let late = table.record("k", "POST /", &attempt, Millis(1_000));

    assert_eq!(early, RecordResult::Repeat(Repeat::Unknown));
    assert_eq!(late, RecordResult::New { replaces: None });
}

fn record(attempt: &str, age: u64, state: KeyState) -> KeyRecord {
    KeyRecord {
        key: "k".into(),
        request: "POST /".into(),
        attempt: attempt.parse().expect("token"),
        age_ms: Millis(age),
        state,
        answer: (state == KeyState::Answered).then(|| response(10).as_ref().clone()),
    }
}

/// Guards against repeating the response of an older attempt, and against removing a newer attempt
/// when the older one expires. A delayed record brings two attempts under one key.
#[test]
fn two_attempts_that_may_both_have_run_give_no_response() {
    let mut table = table();
    table.merge(&record("m:1", 900, KeyState::Answered), Millis(0));
    table.merge(&record("m:2", 100, KeyState::InProgress), Millis(0));

    let early = table.lookup("k", Millis(0));
    let later = table.lookup("k", Millis(899));
    let expired = table.lookup("k", Millis(900));

    assert_eq!(early, Some(Repeat::Unknown));
    assert_eq!(later, Some(Repeat::Unknown));
    assert_eq!(expired, None);
}

/// Guards against a second run after a failover: the new home records a key that the backup has
/// recorded for the old one.
#[test]
fn backup_refuses_another_attempt_unless_the_first_did_not_run() {
    let mut table = table();
    let first = record("m:1", 0, KeyState::InProgress);
    let second = record("n:1", 0, KeyState::InProgress);
    table.record_backup(&first, None, Millis(0));

    let refused = table.record_backup(&second, None, Millis(1));
    let replaced = table.record_backup(&second, Some(&first.attempt), Millis(1));

    assert!(matches!(refused, BackupResult::Conflict(held) if held.attempt == first.attempt));
    assert_eq!(replaced, BackupResult::Recorded);
}

struct View(u64, Vec<&'static str>);

impl KeyView for View {
    fn epoch(&self) -> Epoch {
        Epoch(self.0)
    }

    fn members(&self) -> Vec<MemberId> {
        self.1.iter().map(|name| member(name)).collect()
    }

    /// Returns the first two members, which hold every key.
    fn holders(&self, _key: &str) -> Vec<MemberId> {
        self.members().into_iter().take(2).collect()
    }
}

fn member(name: &str) -> MemberId {
    name.parse().expect("member")
}

fn coverage(epoch: u64, names: &[&'static str]) -> Coverage {
    let view = Arc::new(View(epoch, names.to_vec()));
    Coverage::new(member("c"), RETENTION, view, Millis(0))
}

/// Guards against a new holder that grants keys before a settled earlier holder has handed its
/// records over.
#[test]
fn new_holder_waits_for_a_handover_of_an_earlier_holder() {
    let mut coverage = coverage(1, &["a", "b", "c"]);
    coverage.adopt(Arc::new(View(2, vec!["b", "c"])), Millis(100));
    let until = Millis(1_100);

    let before = coverage.status_of("k", Millis(200));
    coverage.record_handover(&member("b"), Epoch(2), false, 1);
    let unsettled = coverage.status_of("k", Millis(200));
    coverage.record_handover(&member("b"), Epoch(2), true, 1);
    let after = coverage.status_of("k", Millis(200));

    assert_eq!(before, CoverageStatus::Waiting { until });
    assert_eq!(unsettled, CoverageStatus::Waiting { until });
    assert_eq!(after, CoverageStatus::Complete);
}

/// Guards against granting keys whose earlier holders were all removed at once, and against
/// refusing them after the retention.
#[test]
fn keys_without_surviving_holders_are_refused_for_the_retention() {
    let mut coverage = coverage(1, &["a", "b", "c"]);
    coverage.adopt(Arc::new(View(2, vec!["c", "d"])), Millis(100));
    coverage.adopt(Arc::new(View(3, vec!["c", "e"])), Millis(300));

    let during = coverage.status_of("k", Millis(1_099));
    let after = coverage.status_of("k", Millis(1_100));

    let until = Millis(1_100);
    assert_eq!(during, CoverageStatus::Lost { until });
    assert_eq!(after, CoverageStatus::Complete);
}

/// Guards against a process that joins a running region and grants keys from its empty table.
#[test]
fn joining_holder_needs_handovers_of_all_members() {
    let mut joined = coverage(5, &["a", "c", "d"]);
    let alone = coverage(5, &["c"]);
    let first = coverage(1, &["c"]);

    joined.record_handover(&member("a"), Epoch(5), true, 1);
    let partly = joined.status_of("k", Millis(10));
    joined.record_handover(&member("d"), Epoch(5), true, 1);
    let complete = joined.status_of("k", Millis(10));
    joined.record_handover(&member("d"), Epoch(5), true, 2);
    let both_lost = joined.status_of("k", Millis(10));

    let until = Millis(1_000);
    assert_eq!(partly, CoverageStatus::Waiting { until });
    assert_eq!(complete, CoverageStatus::Complete);
    assert_eq!(both_lost, CoverageStatus::Lost { until });
    assert_eq!(
        alone.status_of("k", Millis(10)),
        CoverageStatus::Lost { until }
    );
    assert_eq!(first.status_of("k", Millis(10)), CoverageStatus::Complete);
}
