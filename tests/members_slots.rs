//! Slot shares, their handover, and duties, as functions of the member view.

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

/// Guards against endpoints that get more or fewer than 8 slots from the members that are alive.
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

/// Guards against more than 8 usable slots while some members have adopted the loss of others.
#[test]
fn handover_to_every_subset_stays_within_eight_slots() {
    for alive in 1..256u32 {
        let views = [view(1, 0..8), view(2, bits(alive))];
        for adopted in (1..=alive).filter(|adopted| adopted & !alive == 0) {
            for at in 0..3 {
                let total = used(&views, adopted, &endpoint(at));

                assert!(
                    total <= SLOTS_PER_ENDPOINT,
                    "{alive:b} {adopted:b}: {total}"
                );
            }
        }
    }
}

/// Sums up what may be used when the members in `adopted` have drained to the second view.
fn used(views: &[MemberView; 2], adopted: u32, vm: &VmId) -> u32 {
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
                    drained: Epoch(1 + u64::from(adopted >> at & 1)),
                })
                .collect();
            SlotHandover::new(views, &member(me), &bounds).usable_at(vm)
        })
        .sum()
}

/// Guards against members that hold far more slots than others, and against needless movement.
#[test]
fn large_region_is_balanced_and_a_death_moves_little() {
    let before = view(1, 0..37);
    let after = view(2, (0..37).filter(|at| *at != 20));
    let dead = before.position(&member(20)).expect("listed");
    let mut totals = [0; 37];
    let mut moved = 0;

    for at in 0..1000 {
        let old = before.slot_shares(&endpoint(at));
        let new = after.slot_shares(&endpoint(at));
        for (place, id) in before.ids().iter().enumerate() {
            totals[place] += old[place];
            let now = after.position(id).map_or(0, |place| new[place]);
            moved += old[place].saturating_sub(now);
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

/// Guards against owners that depend on the order of members, and against mass movement.
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
