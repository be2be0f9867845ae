//! Group commit of a job shard record: takeover, conflicts and writes in doubt.

mod batch_support;

use batch_support::{id, job};
use sapphirecroft::batch::{JobShard, ShardOp, StoreResult, job_id};
use sapphirecroft::prelude::*;
use sapphirecroft::provider::{Expected, Record};
use sapphirecroft::schema::batch::{JobRecord, ShardRecord};
use sapphirecroft::web::{decode, encode};

const EPOCH: Epoch = Epoch(5);

fn record(epoch: Epoch, writer: &str, revision: u64) -> Record {
    let value = encode(&ShardRecord {
        writer: id(writer),
        epoch,
        next_job: 1,
        jobs: Vec::new(),
    });
    Record {
        key: "jobs/r1/0".to_string(),
        value: value.expect("encodes"),
        revision: Revision(revision),
        lease: None,
    }
}

fn step(shard: &mut JobShard, number: u64, now: u64) -> Option<ShardOp> {
    shard.next_op(EPOCH, number, || id(&format!("m1:{number}")), Millis(now))
}

/// Returns a shard that was read and taken over at revision 8.
fn taken_over() -> JobShard {
    let mut shard = JobShard::new(&id("r1"), 0);
    assert_eq!(step(&mut shard, 1, 0), Some(ShardOp::Read));
    let found = record(Epoch(4), "m0:9", 7);
    shard.complete_op(1, StoreResult::Found(Some(found)), Millis(1));
    let write = step(&mut shard, 2, 600);
    let expected = Expected::At(Revision(7));
    assert!(matches!(write, Some(ShardOp::Write { expected: e, .. }) if e == expected));
    assert!(
        !shard.may_act(EPOCH),
        "a late write of the previous owner may still take effect"
    );
    shard.complete_op(2, StoreResult::Written(Revision(8)), Millis(601));
    assert!(shard.may_act(EPOCH));
    shard
}

fn add(shard: &mut JobShard, key: &str) -> JobId {
    let spec = job(key, 1, Resources::new(1, 1, 0), 1);
    shard.add_job(|number| JobRecord::new(job_id(0, number), spec, Millis(0)))
}

/// Guards against an owner that acts on a record that a late write of the previous owner can still
/// change.
#[test]
fn a_new_owner_acts_only_after_its_first_write() {
    let shard = taken_over();

    assert!(
        !shard.may_act(Epoch(6)),
        "a later epoch needs a write of its own"
    );
}

/// Guards against a process in an old epoch that overwrites the record of a later owner.
#[test]
fn a_record_of_a_later_epoch_is_not_written() {
    let mut shard = JobShard::new(&id("r1"), 0);
    step(&mut shard, 1, 0);
    let found = record(Epoch(6), "m2:1", 7);
    shard.complete_op(1, StoreResult::Found(Some(found)), Millis(1));

    let next = step(&mut shard, 2, 600);

    assert_eq!(next, None);
    assert!(!shard.may_act(EPOCH));
}

/// Guards against blind retries of a write in doubt, and against actions or refusals before a read
/// has shown its outcome.
#[test]
fn a_write_in_doubt_is_resolved_by_its_writer_token() {
    for took_effect in [true, false] {
        let mut shard = taken_over();
        let rollbacks = shard.rollbacks();
        let added = add(&mut shard, "a");
        let Some(ShardOp::Write { value, .. }) = step(&mut shard, 3, 2000) else {
            panic!("a change is written");
        };
        shard.complete_op(3, StoreResult::Unknown, Millis(2500));
        assert!(!shard.may_act(EPOCH));
        assert_eq!(step(&mut shard, 4, 4000), Some(ShardOp::Read));
        let later = add(&mut shard, "b");
        let mut found = record(EPOCH, "m1:2", 8);
        if took_effect {
            let sent: ShardRecord = decode(&value).expect("decodes");
            assert_eq!(sent.jobs.len(), 1);
            found.value = value;
            found.revision = Revision(9);
        }

        shard.complete_op(4, StoreResult::Found(Some(found)), Millis(4100));

        assert_eq!(shard.durable_job(&added).is_some(), took_effect);
        assert_eq!(shard.working_job(&later).is_some(), took_effect);
        assert_eq!(shard.may_act(EPOCH), took_effect);
        assert_eq!(shard.rollbacks() != rollbacks, !took_effect);
    }
}

/// Guards against a stale response: the call was sent before the shard moved to another owner and
/// back.
#[test]
fn responses_to_other_calls_are_ignored() {
    let mut shard = taken_over();
    add(&mut shard, "a");
    assert!(step(&mut shard, 3, 2000).is_some());

    shard.complete_op(2, StoreResult::Written(Revision(9)), Millis(2001));

    assert_eq!(shard.durable().len(), 0);
    assert_eq!(
        step(&mut shard, 4, 2002),
        None,
        "the call in flight is still outstanding"
    );
}
