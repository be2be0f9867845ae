//! Slots of endpoints go to members in the same availability zone first.

use std::collections::BTreeMap;

use sapphirecroft::membership::{Bound, MemberView, SLOTS_PER_ENDPOINT, SlotSums};
use sapphirecroft::prelude::*;

const ZONES: usize = 3;

fn zone(at: usize) -> ZoneId {
    format!("zone-{}", at % ZONES).parse().expect("valid id")
}

fn member(at: usize) -> MemberId {
    format!("entry-{at}-run").parse().expect("valid id")
}

fn endpoint(at: usize) -> VmId {
    format!("worker-{at}").parse().expect("valid id")
}

fn view(epoch: u64, members: impl Iterator<Item = usize>) -> MemberView {
    let members: BTreeMap<MemberId, ZoneId> = members.map(|at| (member(at), zone(at))).collect();
    MemberView::zoned(Epoch(epoch), members)
}

fn bits(set: u32) -> impl Iterator<Item = usize> {
    (0..8).filter(move |at| set & (1 << at) != 0)
}

/// Guards against endpoints that lose or gain slots when zones have few or no members.
#[test]
fn every_subset_of_members_shares_exactly_eight_slots() {
    for set in 1..256u32 {
        let view = view(1, bits(set));

        for at in 0..30 {
            let shares = view.slot_shares(&endpoint(at), Some(&zone(at)));

            assert_eq!(shares.iter().sum::<u32>(), SLOTS_PER_ENDPOINT, "{set:b}");
        }
    }
}

/// Guards against slots that are held over the round trip to another zone without need, which
/// cost 7% of capacity.
#[test]
fn members_hold_only_slots_of_their_zone_if_zones_have_equally_many() {
    let view = view(1, 0..6);

    for at in 0..300 {
        let shares = view.slot_shares(&endpoint(at), Some(&zone(at)));

        for (place, id) in view.ids().iter().enumerate() {
            let is_local = (0..6).any(|m| member(m) == *id && zone(m) == zone(at));
            assert!(
                is_local || shares[place] == 0,
                "{id} holds {}",
                shares[place]
            );
        }
    }
}

/// Guards against members that hold far fewer slots than others because their zone has more of
/// them; the balancer sends every member the same load.
#[test]
fn totals_are_balanced_if_zones_have_different_numbers_of_members() {
    for members in [4, 5, 7, 8, 10, 37] {
        let view = view(1, 0..members);
        let mut totals = vec![0; members];

        for at in 0..1200 {
            let shares = view.slot_shares(&endpoint(at), Some(&zone(at)));
            for (total, share) in totals.iter_mut().zip(shares) {
                *total += share;
            }
        }

        let mean = 9600.0 / members as f64;
        let worst = totals
            .iter()
            .map(|total| (f64::from(*total) / mean - 1.0).abs())
            .fold(0.0, f64::max);
        assert!(
            worst < 0.2,
            "{members} members: {worst:.2} off the mean, {totals:?}"
        );
    }
}

/// Guards against more than 8 usable slots while some members have adopted the loss of others.
#[test]
fn handover_to_every_subset_stays_within_eight_slots() {
    for alive in 1..256u32 {
        let views = [view(1, 0..8), view(2, bits(alive))];
        for adopted in (1..=alive).filter(|adopted| adopted & !alive == 0) {
            let at = (alive + adopted) as usize;

            let total = used(&views, adopted, at);

            assert!(
                total <= SLOTS_PER_ENDPOINT,
                "{alive:b} {adopted:b}: {total}"
            );
        }
    }
}

/// Sums up what may be used when the members in `adopted` have drained to the second view.
fn used(views: &[MemberView; 2], adopted: u32, at: usize) -> u32 {
    let (vm, home) = (endpoint(at), zone(at));
    let old = views[0].slot_shares(&vm, Some(&home));
    (0..8)
        .map(|me| {
            if adopted & (1 << me) == 0 {
                return old[me];
            }
            let others = (0..8).filter(|other| *other != me);
            let bounds: Vec<Bound> = others
                .map(|other| Bound {
                    id: member(other),
                    from: Epoch(1 + u64::from(adopted >> other & 1)),
                })
                .collect();
            SlotSums::new(views, &member(me), &bounds).usable_at(&vm, Some(&home))
        })
        .sum()
}
