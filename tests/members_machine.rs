//! One membership machine, and what it tells another one.

use sapphirecroft::membership::{Input, Membership, Output, Timing};
use sapphirecroft::prelude::*;
use sapphirecroft::schema::peer::{Heartbeat, Member, MemberRecord};
use sapphirecroft::schema::vm::{VmRecord, VmRole, VmState};

const NOW: Millis = Millis(50_000);

fn id<T: std::str::FromStr<Err = ModelError>>(text: &str) -> T {
    text.parse().expect("identifier is valid")
}

fn member(name: &str, zone: &str) -> Member {
    Member {
        id: id(name),
        vm: id(name),
        zone: id(zone),
        address: format!("{name}:7101"),
        listed: true,
    }
}

fn record() -> MemberRecord {
    MemberRecord {
        epoch: Epoch(1),
        members: vec![
            member("a", "zone-1"),
            member("b", "zone-1"),
            member("c", "zone-2"),
        ],
        changes: Vec::new(),
        writer: id("a:1"),
    }
}

fn machine(name: &str) -> Membership {
    let mut machine = Membership::new(member(name, "zone-1"), id("region"), Timing::default());
    machine.step(Input::ViewReceived(record()), NOW);
    machine.step(Input::Tick, NOW);
    machine
}

fn worker(name: &str, state: VmState) -> VmRecord {
    VmRecord {
        vm: id(name),
        role: VmRole::Worker,
        state,
        zone: id("zone-1"),
        region: id("region"),
        rack: id("rack-1"),
        address: "10.0.0.1:80".to_string(),
        agent: String::new(),
        service: Some(id("booking")),
        capacity: Resources::default(),
    }
}

/// Guards against a leaving endpoint that other members learn of only from their own VM list.
#[test]
fn leaving_endpoint_is_relayed_with_the_next_tick() {
    let (mut a, mut b) = (machine("a"), machine("b"));
    let stale = vec![worker("worker-1", VmState::Live)];
    b.step(Input::VmListRead(stale.clone()), NOW);
    let later = NOW + Millis(100);

    a.step(
        Input::VmListRead(vec![worker("worker-1", VmState::Leaving)]),
        later,
    );
    let sent = a.step(Input::Tick, later);
    for output in sent {
        if let Output::SendHeartbeat(address, beat) = output
            && address == "b:7101"
        {
            b.receive(&beat, later);
        }
    }
    b.step(Input::VmListRead(stale), later + Millis(1000));

    assert!(b.vms().leaving().contains(&id("worker-1")));
}

/// Guards against a backup of keys in the same availability zone as their home.
#[test]
fn key_holders_are_in_different_zones() {
    let a = machine("a");

    for key in 0..100 {
        let holders = a.key_holders(&format!("key-{key}"));

        assert_eq!(holders.len(), 2);
        let in_second = |id: &MemberId| id.as_str() == "c";
        assert_ne!(
            in_second(&holders[0]),
            in_second(&holders[1]),
            "{holders:?}"
        );
    }
}

/// Guards against a member that owns something before it has a lease.
#[test]
fn process_that_knows_the_record_only_from_peers_owns_nothing() {
    let outsider = Membership::new(member("d", "zone-1"), id("region"), Timing::default());
    for mut machine in [machine("a"), outsider] {
        machine.step(Input::ViewReceived(record()), NOW);
        machine.step(Input::LeaseCallFailed, NOW);

        assert_eq!(machine.epoch(), Epoch(1));
        assert!(!machine.is_active(NOW));
    }
}

/// Guards against a reporter of a silent member that acknowledges it again while a removal that
/// counts on the report may still be written.
#[test]
fn reported_member_is_not_acknowledged_in_the_same_epoch() {
    let (mut a, mut b, mut c) = (machine("a"), machine("b"), machine("c"));
    let silence = NOW + Millis(4500);
    let of_a = beat(&mut a, "b:7101", NOW);
    let mut of_c = beat(&mut c, "b:7101", NOW);
    of_c.lapsed = vec![id("a")];

    let before = b.receive(&of_a, NOW);
    let report = b.receive(&of_c, silence);
    let after = b.receive(&of_a, silence);
    let mut next = record();
    next.epoch = Epoch(2);
    b.step(Input::ViewReceived(next), silence);
    let healed = b.receive(&of_a, silence);

    assert!(before.acknowledged);
    assert_eq!(report.silent, [id("a")]);
    assert!(!after.acknowledged);
    assert!(healed.acknowledged);
}

fn beat(machine: &mut Membership, to: &str, now: Millis) -> Heartbeat {
    let next = now + Millis(2000);
    let outputs = machine.step(Input::Tick, next);
    let beat = outputs.into_iter().find_map(|output| match output {
        Output::SendHeartbeat(address, beat) if address == to => Some(beat),
        _ => None,
    });
    beat.expect("a heartbeat is due")
}

/// A member whose store lease was granted by a call that was sent at `NOW`.
fn leased(answered: Millis) -> Membership {
    let mut machine = machine("a");
    machine.step(Input::VmListRead(Vec::new()), NOW);
    let outputs = machine.step(Input::Tick, NOW);
    let grants = |output: &Output| matches!(output, Output::CreateLease(_));
    assert!(outputs.iter().any(grants));
    machine.step(Input::LeaseGranted(NOW), answered);
    // The first grant came after the record was learned from a peer, so it needs a new epoch.
    let read = Input::RecordRead {
        started: answered,
        record: Some((record(), Revision(7))),
        entries: vec![member("a", "zone-1")],
    };
    machine.step(read, answered);
    machine.step(Input::RecordWritten, answered);
    assert_eq!(machine.epoch(), Epoch(2));
    machine
}

/// Guards against a lease that is counted from its answer, or longer than any clock allows.
#[test]
fn lease_counts_from_before_its_renewal_with_an_allowance() {
    let machine = leased(NOW + Millis(900));

    assert!(machine.is_active(NOW + Millis(3300)));
    assert!(!machine.is_active(NOW + Millis(4000 * 10 / 11 - 300)));
}

/// Guards against acknowledgements that were given for another set of members.
#[test]
fn acknowledgements_count_in_their_epoch_only() {
    let later = NOW + Millis(5000);
    for (epoch, active) in [(Epoch(2), true), (Epoch(1), false), (Epoch(3), false)] {
        let mut machine = leased(NOW);
        machine.step(Input::Tick, later);
        machine.step(Input::LeaseCallFailed, later);
        let mut answer = beat(&mut self::machine("b"), "a:7101", later);
        answer.epoch = epoch;

        machine.step(Input::HeartbeatResponse(later, answer), later);

        assert_eq!(machine.is_active(later), active, "epoch {epoch}");
        assert!(!machine.is_active(later + Millis(2500)), "it ends");
    }
}

/// Guards against a removal that relies on a lapse read before the reports, when the member could
/// still be granted its lease again.
#[test]
fn removal_needs_a_lapse_that_was_read_after_the_reports() {
    let silent = NOW + Millis(4500);
    let reported = silent + Millis(100);
    let cases = [
        (silent + Millis(50), vec!["a", "b"], false),
        (silent + Millis(200), vec!["a", "b", "c"], false),
        (silent + Millis(200), vec!["a", "b"], true),
    ];
    for (started, live, removes) in cases {
        let mut machine = leased(NOW);
        let mut of_b = beat(&mut self::machine("b"), "a:7101", NOW);
        machine.step(Input::Tick, silent);
        machine.step(read(&machine, silent, &["a", "b"]), silent);
        of_b.epoch = machine.epoch();
        of_b.silent = vec![id("c")];
        machine.receive(&of_b, reported);

        let now = silent + Millis(300);
        let outputs = machine.step(read(&machine, started, &live), now);

        let written = outputs.iter().find_map(|output| match output {
            Output::WriteRecord(_, record) => record.changes.last(),
            _ => None,
        });
        let removed = written.map(|change| change.removed.clone());
        assert_eq!(removed, removes.then(|| vec![id("c")]), "{live:?}");
    }
}

fn read(machine: &Membership, started: Millis, live: &[&str]) -> Input {
    let record = machine.table().map(|table| table.record().clone());
    Input::RecordRead {
        started,
        record: record.map(|record| (record, Revision(8))),
        entries: live.iter().map(|name| member(name, "zone-1")).collect(),
    }
}
