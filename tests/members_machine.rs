//! Tests of single membership state machines and of the messages between them.

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

/// Guards against leave notices that are not relayed. A member whose VM list is older would keep
/// sending requests to the leaving endpoint.
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

/// Guards against an idempotency key whose home member and backup are in the same availability
/// zone. The loss of the zone would lose the key.
#[test]
fn key_holders_are_in_different_zones() {
    let a = machine("a");

    for key in 0..100 {
        let holders = a.key_holders(&format!("key-{key}"));

        assert_eq!(holders.len(), 2);
        let in_second_zone = |id: &MemberId| id.as_str() == "c";
        assert_ne!(
            in_second_zone(&holders[0]),
            in_second_zone(&holders[1]),
            "{holders:?}"
        );
    }
}

/// Guards against a process that becomes active before it has a lease, because it received the
/// member record from a peer while the store does not respond.
#[test]
fn process_without_a_lease_is_not_active() {
    let outsider = Membership::new(member("d", "zone-1"), id("region"), Timing::default());
    for mut machine in [machine("a"), outsider] {
        machine.step(Input::ViewReceived(record()), NOW);
        machine.step(Input::LeaseCallFailed, NOW);

        assert_eq!(machine.epoch(), Epoch(1));
        assert!(!machine.is_active(NOW));
    }
}

/// Guards against a member that reports another one as silent and then acknowledges it again, while
/// a removal that relies on the report may still be written.
#[test]
fn reported_member_is_not_acknowledged_in_the_same_epoch() {
    let (mut a, mut b, mut c) = (machine("a"), machine("b"), machine("c"));
    let after_silence = NOW + Millis(4500);
    let of_a = heartbeat(&mut a, "b:7101", NOW);
    let mut of_c = heartbeat(&mut c, "b:7101", NOW);
    of_c.lapsed = vec![id("a")];

    let before = b.receive(&of_a, NOW);
    let report = b.receive(&of_c, after_silence);
    let after = b.receive(&of_a, after_silence);
    let mut next = record();
    next.epoch = Epoch(2);
    b.step(Input::ViewReceived(next), after_silence);
    let in_next_epoch = b.receive(&of_a, after_silence);

    assert!(before.acknowledged);
    assert_eq!(report.silent, [id("a")]);
    assert!(!after.acknowledged);
    assert!(in_next_epoch.acknowledged);
}

/// Returns the heartbeat that a machine sends to an address when the next one is due.
fn heartbeat(machine: &mut Membership, to: &str, now: Millis) -> Heartbeat {
    let next = now + Millis(2000);
    let outputs = machine.step(Input::Tick, next);
    let beat = outputs.into_iter().find_map(|output| match output {
        Output::SendHeartbeat(address, beat) if address == to => Some(beat),
        _ => None,
    });
    beat.expect("a heartbeat is due")
}

/// Returns a member whose store lease was granted at `granted` by a call sent at `NOW`.
fn leased(granted: Millis) -> Membership {
    let mut machine = machine("a");
    machine.step(Input::VmListRead(Vec::new()), NOW);
    let outputs = machine.step(Input::Tick, NOW);
    let grants = |output: &Output| matches!(output, Output::CreateLease(_));
    assert!(outputs.iter().any(grants));
    machine.step(Input::LeaseGranted(NOW), granted);
    // A peer sent the record before the first grant, so the lease needs a new epoch.
    let read = Input::RecordRead {
        started: granted,
        record: Some((record(), Revision(7))),
        entries: vec![member("a", "zone-1")],
    };
    machine.step(read, granted);
    machine.step(Input::RecordWritten, granted);
    assert_eq!(machine.epoch(), Epoch(2));
    machine
}

/// Guards against a lease whose validity is counted from the response instead of the call, or that
/// leaves no margin for a slow clock. Its holder would rely on it after the store's expiry.
#[test]
fn lease_is_valid_from_the_call_with_a_clock_margin() {
    let machine = leased(NOW + Millis(900));

    assert!(machine.is_active(NOW + Millis(3300)));
    assert!(!machine.is_active(NOW + Millis(4000 * 10 / 11 - 300)));
}

/// Guards against acknowledgements of another epoch, and thus another set of members, that count
/// for the quorum.
#[test]
fn acknowledgements_count_in_their_epoch_only() {
    let later = NOW + Millis(5000);
    for (epoch, active) in [(Epoch(2), true), (Epoch(1), false), (Epoch(3), false)] {
        let mut machine = leased(NOW);
        machine.step(Input::Tick, later);
        machine.step(Input::LeaseCallFailed, later);
        let mut response = heartbeat(&mut self::machine("b"), "a:7101", later);
        response.epoch = epoch;

        machine.step(Input::HeartbeatResponse(later, response), later);

        assert_eq!(machine.is_active(later), active, "epoch {epoch}");
        assert!(!machine.is_active(later + Millis(2500)), "it ends");
    }
}

/// Guards against a removal that relies on an expired lease read before the reports arrived. The
/// member could have been granted the lease anew in between.
#[test]
fn removal_needs_an_expired_lease_read_after_the_reports() {
    let silent = NOW + Millis(4500);
    let reported = silent + Millis(100);
    let cases = [
        (silent + Millis(50), vec!["a", "b"], false),
        (silent + Millis(200), vec!["a", "b", "c"], false),
        (silent + Millis(200), vec!["a", "b"], true),
    ];
    for (started, live, removes) in cases {
        let mut machine = leased(NOW);
        let mut of_b = heartbeat(&mut self::machine("b"), "a:7101", NOW);
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
