//! Slot shares, their handover between epochs, and item owners, as functions of the member view.

use sapphirecroft::membership::{Domain, MemberView, SLOTS_PER_ENDPOINT, SlotBound, SlotHandover};
use sapphirecroft::prelude::*;

fn member(at: usize) -> MemberId {
    format!("entry-{at}-run").parse().expect("valid id")
}

fn view(epoch: u64, members: impl Iterator<Item = usize>) -> MemberView {
    MemberView::new(Epoch(epoch), members.map(member).collect())
}

fn endpoint(at: usize) -> VmId {
    format!("worker-{at}").parse().expect("valid id")
}

fn bits(set: u32) -> impl Iterator<Item = usize> {
    (0..8).filter(move |at| set & (1 << at) != 0)
}

/// Guards against shares whose sum differs from the 8 slots of an endpoint, or that are uneven, for
/// some set of members.
#[test]
fn every_subset_of_members_shares_exactly_eight_slots() {
    for set in 1..256u32 {
        let view = view(1, bits(set));

        for at in 0..30 {
            let shares = view.slot_shares(&endpoint(at));

            assert_eq!(shares.iter().sum::<u32>(), SLOTS_PER_ENDPOINT, "{set:b}");
            let spread = shares.iter().max().zip(shares.iter().min());
            assert!(spread.is_some_and(|(max, min)| max - min <= 1), "{set:b}");
        }
    }
}

/// Guards against more than 8 usable slots of an endpoint while only some of the remaining members
/// have drained to the epoch in which others were removed.
#[test]
fn handover_to_every_subset_stays_within_eight_slots() {
    for alive in 1..256u32 {
        let views = [view(1, 0..8), view(2, bits(alive))];
        for adopted in (1..=alive).filter(|adopted| adopted & !alive == 0) {
            for at in 0..3 {
                let total = total_usable(&views, adopted, &endpoint(at));

                assert!(
                    total <= SLOTS_PER_ENDPOINT,
                    "{alive:b} {adopted:b}: {total}"
                );
            }
        }
    }
}

/// Returns the usable slots of all members when those in `adopted` have drained to the second view.
fn total_usable(views: &[MemberView; 2], adopted: u32, vm: &VmId) -> u32 {
    let old = views[0].slot_shares(vm);
    (0..8)
        .map(|me| {
            if adopted & (1 << me) == 0 {
                return old[me];
            }
            let others = (0..8).filter(|at| *at != me);
            let bounds: Vec<SlotBound> = others
                .map(|at| SlotBound {
                    id: member(at),
                    drained_epoch: Epoch(1 + u64::from(adopted >> at & 1)),
                })
                .collect();
            SlotHandover::new(views, &member(me), &bounds).usable_at(vm)
        })
        .sum()
}

/// Guards against members that hold far more slots than others, and against slots of live members
/// that change their holder when a member is removed.
#[test]
fn large_region_is_balanced_and_a_removal_moves_few_slots() {
    let before = view(1, 0..37);
    let after = view(2, (0..37).filter(|at| *at != 20));
    let dead = before.position(&member(20)).expect("listed");
    let mut totals = [0; 37];
    let mut moved = 0;

    for at in 0..1000 {
        let old = before.slot_shares(&endpoint(at));
        let new = after.slot_shares(&endpoint(at));
        for (index, id) in before.ids().iter().enumerate() {
            totals[index] += old[index];
            let now = after.position(id).map_or(0, |index| new[index]);
            moved += old[index].saturating_sub(now);
        }
    }

    assert_eq!(
        moved, totals[dead],
        "only the slots of the dead member move"
    );
    let mean = 8000.0 / 37.0;
    let worst = totals
        .iter()
        .map(|total| (f64::from(*total) / mean - 1.0).abs());
    let worst = worst.fold(0.0, f64::max);
    assert!(worst < 0.2, "a member is {worst:.2} off the mean");
}

/// Guards against owners that depend on the order in which members are listed, and against items of
/// remaining members that change their owner when a member is removed.
#[test]
fn owners_depend_on_the_members_only() {
    let before = view(1, 0..8);
    let shuffled = view(1, (0..8).rev());
    let after = view(2, 0..7);

    for at in 0..200 {
        let rack = format!("rack-{at}");
        let owner = before.owner(Domain::Rack, &rack);
        assert_eq!(owner, shuffled.owner(Domain::Rack, &rack));
        if owner != Some(&member(7)) {
            assert_eq!(owner, after.owner(Domain::Rack, &rack), "{rack} moves");
        }
    }
}
