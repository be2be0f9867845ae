//! Fault injection tests of membership in a simulated region with virtual time.

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use sapphirecroft::bench::region_sim::{RegionSim, SimConfig};
use sapphirecroft::prelude::*;

/// Longest time until all items have an owner again after a failure.
const TAKEOVER_LIMIT: Millis = Millis(10_000);

/// Time after which a new region of healthy processes is stable.
const STARTUP_TIME: Millis = Millis(15_000);

/// One step of a random history of faults.
#[derive(Clone, Debug)]
enum Op {
    Wait(u64),
    StoreDown,
    StoreUp,
    StoreDownFor(usize),
    StoreSlow(u64),
    LoseAnswers(u32),
    CutOff(Vec<usize>),
    Heal,
    Loss(u32),
    Pause(usize, u64),
    Kill(Vec<usize>),
    Restart(usize),
    Replace(usize),
    Leave(usize),
    VmLag(u64),
}

fn op() -> impl Strategy<Value = Op> {
    let host = 0..12usize;
    prop_oneof![
        6 => (100..9000u64).prop_map(Op::Wait),
        1 => Just(Op::StoreDown),
        1 => Just(Op::StoreUp),
        2 => host.clone().prop_map(Op::StoreDownFor),
        1 => (0..700u64).prop_map(Op::StoreSlow),
        1 => (1..6u32).prop_map(Op::LoseAnswers),
        2 => vec(host.clone(), 1..4).prop_map(Op::CutOff),
        1 => Just(Op::Heal),
        1 => (0..400u32).prop_map(Op::Loss),
        2 => (host.clone(), 500..8000u64).prop_map(|(at, span)| Op::Pause(at, span)),
        2 => vec(host.clone(), 1..3).prop_map(Op::Kill),
        2 => host.clone().prop_map(Op::Restart),
        1 => host.clone().prop_map(Op::Replace),
        1 => host.prop_map(Op::Leave),
        1 => (0..8000u64).prop_map(Op::VmLag),
    ]
}

fn apply(sim: &mut RegionSim, op: &Op) {
    let hosts = sim.present();
    let host = |at: &usize| hosts[at % hosts.len()];
    match op {
        Op::Wait(span) => sim.run_for(Millis(*span)),
        Op::StoreDown => sim.set_store_down(true),
        Op::StoreUp => sim.set_store_down(false),
        Op::StoreDownFor(at) => sim.set_store_down_for(host(at)),
        Op::StoreSlow(delay) => sim.set_store_delay(Millis(*delay)),
        Op::LoseAnswers(count) => sim.lose_store_answers(*count),
        Op::CutOff(some) => sim.cut_off(&some.iter().map(host).collect::<Vec<_>>()),
        Op::Heal => sim.cut_off(&[]),
        Op::Loss(permille) => sim.set_loss(*permille),
        Op::Pause(at, span) => sim.pause(host(at), Millis(*span)),
        Op::Kill(some) => some.iter().for_each(|at| sim.kill(host(at))),
        Op::Restart(at) => sim.restart(host(at)),
        Op::Replace(at) => sim.replace(host(at)),
        Op::Leave(at) => sim.leave(host(at)),
        Op::VmLag(lag) => sim.set_vm_lag(Millis(*lag)),
    }
}

/// Starts a region and lets it run until all items are owned and all slots are usable.
fn started_region(config: SimConfig) -> RegionSim {
    let mut sim = RegionSim::new(config);
    sim.run_for(STARTUP_TIME);
    assert!(sim.is_all_owned() && sim.are_all_slots_usable());
    sim
}

/// Runs a history of faults, and checks that all items are owned in time after the faults end.
fn run_history(seed: u64, members: usize, ops: &[Op]) -> Result<(), TestCaseError> {
    let mut sim = RegionSim::new(SimConfig {
        seed,
        members,
        ..SimConfig::default()
    });
    sim.set_store_rate(1000 + seed % 101);
    for op in ops {
        apply(&mut sim, op);
        sim.run_for(Millis(50));
        prop_assert!(sim.violations().is_empty(), "{:#?}", sim.violations());
    }
    sim.end_faults();
    if sim.has_terminated_vms() {
        // A member counts as terminated only after its VM has been missing from a process's VM list
        // for 30 s. A process that starts last begins to count only then.
        sim.run_for(Millis(45_000));
    }
    let owned = sim.run_until(TAKEOVER_LIMIT, RegionSim::is_all_owned);
    prop_assert!(
        owned.is_some(),
        "not all owned within {TAKEOVER_LIMIT} ms\n{}",
        sim.describe()
    );
    let deadline = SimConfig::default().timing.request_deadline;
    let usable = sim.run_until(TAKEOVER_LIMIT + deadline, RegionSim::are_all_slots_usable);
    prop_assert!(
        usable.is_some(),
        "not all slots are usable\n{}",
        sim.describe()
    );
    prop_assert!(sim.violations().is_empty(), "{:#?}", sim.violations());
    Ok(())
}

/// Guards against two owners of an item, the removal of an active member, and items without an
/// owner, after random sequences of crashes, pauses, partitions and store outages.
#[test]
fn no_history_of_faults_breaks_ownership() {
    let config = Config {
        cases: 150,
        failure_persistence: None,
        max_shrink_iters: 60,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let cases = (any::<u64>(), 1..8usize, vec(op(), 1..25));

    let outcome = TestRunner::new_with_rng(config, rng).run(&cases, |(seed, members, ops)| {
        run_history(seed, members, &ops)
    });

    if let Err(err) = outcome {
        panic!("{err}");
    }
}

/// Guards against a takeover that is too slow after a member dies: detection, reports and removal
/// together must stay within the limit.
#[test]
fn items_of_a_dead_member_are_taken_over_in_time() {
    for seed in 0..20 {
        let mut sim = started_region(SimConfig {
            seed,
            items: 16,
            ..SimConfig::default()
        });

        sim.kill(2);

        sim.run_for(Millis(20));
        assert!(!sim.is_all_owned(), "seed {seed}");
        let taken = sim.run_until(TAKEOVER_LIMIT, RegionSim::is_all_owned);
        assert!(taken.is_some(), "seed {seed}");
        assert_eq!(sim.violations(), [""; 0], "seed {seed}");
    }
}

/// Guards against owners that become inactive when their store leases expire in an outage, or when
/// the leases are granted anew after it.
#[test]
fn store_outage_keeps_owners_active() {
    let mut sim = started_region(SimConfig::default());
    let epoch = sim.epoch();

    sim.set_store_down(true);
    let inactive_in_outage = sim.run_until(Millis(600_000), |sim| sim.active() < 6);
    sim.set_store_down(false);
    let inactive_after_outage = sim.run_until(Millis(30_000), |sim| sim.active() < 6);

    assert_eq!((inactive_in_outage, inactive_after_outage), (None, None));
    assert_eq!(sim.epoch(), epoch, "an outage alone needs no new epoch");
    assert!(sim.is_all_owned());
}

/// Guards against a member record that changes while the store is down, and against a dead member
/// that is not removed after the outage.
#[test]
fn membership_does_not_change_in_a_store_outage() {
    let mut sim = started_region(SimConfig::default());
    let epoch = sim.epoch();

    sim.set_store_down(true);
    sim.run_for(Millis(10_000));
    sim.kill(1);
    sim.run_for(Millis(60_000));
    let epoch_in_outage = sim.epoch();
    sim.set_store_down(false);
    let taken = sim.run_until(TAKEOVER_LIMIT, RegionSim::is_all_owned);

    assert_eq!(epoch_in_outage, epoch);
    assert!(taken.is_some());
    assert_eq!(sim.violations(), [""; 0]);
}

/// Guards against an owner that resumes after a long pause and still acts on its old ownership,
/// although it was removed in the meantime.
#[test]
fn paused_owner_is_inactive_until_it_has_rejoined() {
    let mut sim = started_region(SimConfig::default());
    let epoch = sim.epoch();

    sim.pause(3, Millis(20_000));
    sim.run_for(Millis(19_990));
    assert!(sim.epoch() > epoch, "the paused member was removed");
    let epoch_at_resume = sim.epoch();
    let active = sim.run_until(TAKEOVER_LIMIT, |sim| sim.is_active(3));

    assert!(active.is_some(), "it joins again");
    assert!(
        sim.epoch() > epoch_at_resume,
        "it is active in a new epoch only"
    );
    assert_eq!(sim.violations(), [""; 0]);
}

/// Guards against members that are never removed because a whole zone dies at once, which leaves
/// fewer members to report them.
#[test]
fn lost_zone_is_taken_over_in_time() {
    for (members, zones) in [(6, 3), (7, 3), (8, 4)] {
        let mut sim = started_region(SimConfig {
            members,
            zones,
            items: 16,
            ..SimConfig::default()
        });

        for host in (0..members).filter(|host| host % zones == 1) {
            sim.kill(host);
        }

        sim.run_for(Millis(20));
        assert!(!sim.is_all_owned());
        let taken = sim.run_until(TAKEOVER_LIMIT, RegionSim::is_all_owned);
        assert!(taken.is_some(), "{members} members in {zones} zones");
        assert_eq!(sim.violations(), [""; 0]);
    }
}

/// Guards against a minority that reaches the store and removes members of the majority, which stay
/// active by their quorum although the store does not respond to them.
#[test]
fn minority_with_the_store_removes_no_active_member() {
    for members in 3..8 {
        let mut sim = started_region(SimConfig {
            members,
            ..SimConfig::default()
        });
        let majority: Vec<usize> = (0..=members / 2).collect();

        for host in &majority {
            sim.set_store_down_for(*host);
        }
        sim.cut_off(&majority);
        sim.run_for(Millis(60_000));

        assert_eq!(sim.violations(), [""; 0], "{members} members");
        assert!(majority.iter().all(|host| sim.is_active(*host)));
    }
}

/// Guards against members that join later and outvote a cut-off majority of an older epoch, and
/// against owners that do not wait for members in an older epoch.
#[test]
fn members_that_join_later_remove_no_active_member() {
    for members in 3..6 {
        let mut sim = started_region(SimConfig {
            members,
            ..SimConfig::default()
        });
        let majority: Vec<usize> = (0..=members / 2).collect();

        for host in &majority {
            sim.set_store_down_for(*host);
        }
        sim.cut_off(&majority);
        for _ in 0..members {
            sim.grow();
        }
        sim.run_for(Millis(60_000));

        assert_eq!(sim.violations(), [""; 0], "{members} members");
        assert!(majority.iter().all(|host| sim.is_active(*host)));
        sim.end_faults();
        assert!(
            sim.run_until(TAKEOVER_LIMIT, RegionSim::is_all_owned)
                .is_some()
        );
    }
}

/// Guards against a half of the members that stays active by acknowledgements while the other half,
/// which reaches the store, may remove it.
#[test]
fn cut_off_half_is_inactive_when_it_is_removed() {
    for members in [2, 4, 6] {
        let mut sim = started_region(SimConfig {
            members,
            ..SimConfig::default()
        });
        let epoch = sim.epoch();
        let half: Vec<usize> = (0..members / 2).collect();

        for host in &half {
            sim.set_store_down_for(*host);
        }
        sim.cut_off(&half);
        sim.run_for(Millis(30_000));

        assert_eq!(sim.violations(), [""; 0], "{members} members");
        assert!(
            sim.epoch() > epoch,
            "the half with the store removes the other one"
        );
        assert!(sim.is_all_owned());
    }
}

/// Guards against a member that relies on a lease granted anew, while a removal that is based on
/// the expiry of the old lease may still be written.
#[test]
fn expired_lease_is_relied_on_again_in_a_new_epoch_only() {
    let mut sim = started_region(SimConfig {
        members: 1,
        ..SimConfig::default()
    });
    let epoch = sim.epoch();

    sim.pause(0, Millis(6000));
    sim.run_for(Millis(5990));
    assert!(!sim.is_active(0));
    let active = sim.run_until(TAKEOVER_LIMIT, |sim| sim.is_active(0));

    assert!(active.is_some());
    assert!(sim.epoch() > epoch);
}
