//! Expiry of task leases: when a rack owner may report an attempt on an unresponsive worker as
//! gone.

mod batch_support;

use batch_support::view::View;
use batch_support::{bundle, id, worker};
use sapphirecroft::batch::{job_id, task_id};
use sapphirecroft::placement::{Fleet, RackOwner};
use sapphirecroft::prelude::*;
use sapphirecroft::provider::AgentCommand;
use sapphirecroft::schema::batch::{AttemptState, EndKind, Place, RackCall, StartAttempt};
use sapphirecroft::schema::vm::VmRecord;
use sapphirecroft::schema::worker::{AgentRefusal, AgentReply, TaskPhase, TaskReport, WorkerState};

/// Time until a lease has certainly expired: 15 s on a clock that may be 10% slow, and 1 s of
/// margin.
const CERTAIN_EXPIRY: Millis = Millis(17_500);

const CORE: Resources = Resources::new(1000, 1000, 0);

fn owner(view: &Arc<View>) -> RackOwner {
    let mut owner = RackOwner::new(view.clone(), 1);
    let fleet = Fleet::new(&id("r1"), &[worker(0)]);
    owner.adopt_epoch(Millis(0));
    owner.set_fleet_and_bundle(&fleet, Some(Arc::new(bundle())), Millis(0));
    owner
}

fn view() -> Arc<View> {
    View::new(id("m1"), Epoch(1), vec![id("m1")])
}

/// Responds to the due claim with a state in which the attempt runs.
fn claim(owner: &mut RackOwner, now: Millis) {
    let work = owner.due_commands(now).remove(0);
    assert!(matches!(work.command, AgentCommand::Claim(_)));
    let state = WorkerState {
        vm: id("w0"),
        epoch: owner.epoch(),
        capacity: worker(0).capacity,
        clock: Millis(70_000),
        tasks: vec![TaskReport {
            task: task(),
            attempt: Attempt(1),
            phase: TaskPhase::Running,
            resources: CORE,
            kind: "plan".to_string(),
            checkpoint: None,
            slowdown: Permille(1000),
            measured_age: Millis(0),
            used: CORE,
        }],
    };
    owner.handle_agent_response(
        &work.worker,
        work.number,
        Some(AgentReply::Done(state)),
        now,
    );
}

fn task() -> TaskId {
    task_id(&job_id(0, 1), 0)
}

fn place() -> Place {
    Place {
        worker: id("w0"),
        rack: id("rack0"),
    }
}

fn start_call(owner: &RackOwner) -> RackCall {
    RackCall {
        epoch: owner.epoch(),
        from: id("m1"),
        release: Vec::new(),
        stop: Vec::new(),
        start: vec![StartAttempt {
            task: task(),
            attempt: Attempt(1),
            place: place(),
            resources: CORE,
            kind: "plan".to_string(),
            can_checkpoint: true,
            evictable: true,
            run_time: Millis(600_000),
            resume_from: None,
        }],
        reserve: Vec::new(),
        blame: Vec::new(),
        teams: Vec::new(),
    }
}

/// Returns the state of the attempt as its job owner receives it.
fn attempt_state(owner: &mut RackOwner, now: Millis) -> AttemptState {
    let call = start_call(owner);
    owner.handle(&call, now).status[0].state.clone()
}

/// Runs rounds in which every command times out. Returns when the attempt was reported gone.
fn gone_at(owner: &mut RackOwner, shown: &[VmRecord], from: Millis) -> Millis {
    for step in 0..1000 {
        let now = from + Millis(step * 100);
        if step % 10 == 0 {
            let fleet = Fleet::new(&id("r1"), shown);
            owner.set_fleet_and_bundle(&fleet, Some(Arc::new(bundle())), now);
        }
        for work in owner.due_commands(now) {
            owner.handle_agent_response(&work.worker, work.number, None, now);
        }
        if let AttemptState::Ended(end) = attempt_state(owner, now) {
            assert_eq!(end.kind, EndKind::Gone);
            return now;
        }
    }
    panic!("attempt was never reported as gone");
}

/// Guards against a new attempt while the old one still runs: the previous owner may have renewed
/// the lease just before the claim, so the wait must start at the claim.
#[test]
fn leases_renewed_before_a_claim_must_expire() {
    let mut owner = owner(&view());
    let claimed = Millis(5000);

    // The worker responds to the claim and is unresponsive before the first renewal is sent.
    claim(&mut owner, claimed);
    let gone = gone_at(&mut owner, &[worker(0)], claimed + Millis(7000));

    assert!(
        gone > claimed + CERTAIN_EXPIRY,
        "reported gone after {} ms",
        gone - claimed
    );
    assert!(gone <= claimed + CERTAIN_EXPIRY + Millis(1000));
}

/// Guards against an attempt reported gone while a lease of a removed owner may still be valid, and
/// against one that never ends because the VM list no longer shows its worker.
#[test]
fn attempts_on_an_unclaimed_worker_end_after_old_leases_expire() {
    for shown in [vec![worker(0)], vec![worker(1)], Vec::new()] {
        let mut owner = owner(&view());

        let gone = gone_at(&mut owner, &shown, Millis(0));

        assert!(
            gone > CERTAIN_EXPIRY && gone <= CERTAIN_EXPIRY + Millis(200),
            "{gone}"
        );
    }
}

/// Guards against trust in an end from an earlier epoch: another owner of the rack may have started
/// the attempt since.
#[test]
fn ends_from_an_earlier_epoch_prove_nothing() {
    let view = view();
    let mut owner = owner(&view);
    claim(&mut owner, Millis(5000));
    let gone = gone_at(&mut owner, &[worker(0)], Millis(12_000));

    let mut state = view.state.lock().expect("not poisoned");
    state.adopt(Epoch(3), vec![id("m1")]);
    drop(state);
    owner.adopt_epoch(gone);
    claim(&mut owner, gone);

    assert_eq!(attempt_state(&mut owner, gone), AttemptState::Running);
}

/// Guards against starvation of reads and renewals: starts that are refused because of a stale
/// clock reading are retried, and succeed only after a new reading.
#[test]
fn refused_starts_do_not_starve_reads_and_renewals() {
    let mut owner = owner(&view());
    claim(&mut owner, Millis(1000));
    let mut call = start_call(&owner);
    let first = call.start[0].clone();
    call.start = (1..7)
        .map(|index| StartAttempt {
            task: task_id(&job_id(0, 1), index),
            ..first.clone()
        })
        .collect();
    owner.handle(&call, Millis(1000));

    let mut reads = 0;
    for step in 0..40 {
        let now = Millis(1000 + step * 100);
        for work in owner.due_commands(now) {
            let start = matches!(work.command, AgentCommand::Start(_));
            reads += u32::from(!start);
            let reply = start.then_some(AgentReply::Refused(AgentRefusal::LeaseEnded));
            owner.handle_agent_response(&work.worker, work.number, reply, now);
        }
    }

    assert!(reads > 0);
}
