//! How many request slots of an endpoint a member may use without exceeding the endpoint's limit.

use super::MemberView;
use super::hash::{Domain, item_key};
use super::view::SLOTS_PER_ENDPOINT;
use crate::prelude::*;

/// A change of the slots of one endpoint that this process may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotChange {
    /// The endpoint.
    pub vm: VmId,
    /// Usable slots before the change.
    pub before: u32,
    /// Usable slots after it.
    pub after: u32,
}

/// A process that may use its shares of all epochs from `drained` on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotBound {
    /// The process.
    pub id: MemberId,
    /// Newest epoch whose shares it has reported to keep to.
    pub drained: Epoch,
}

/// Sums up what other members may use of an endpoint.
///
/// A member that has not reported a new epoch as drained is taken to use its largest share of
/// all epochs it may be in. This process uses at most what is left, so a slot that changes
/// holder is never used by both.
pub struct SlotHandover<'a> {
    views: Vec<&'a MemberView>,
    me: Option<usize>,
    /// For each bound, its first view and its place in each view.
    holders: Vec<Vec<Option<usize>>>,
}

impl<'a> SlotHandover<'a> {
    /// Prepares the sums for the views of successive epochs, of which the last one applies.
    pub fn new(views: &'a [MemberView], me: &MemberId, bounds: &[SlotBound]) -> Self {
        let newest = views.last().map_or(Epoch(0), MemberView::epoch);
        let oldest = bounds.iter().map(|bound| bound.drained).min();
        let from = oldest.unwrap_or(newest).min(newest);
        let mut relevant: Vec<&MemberView> = Vec::new();
        let mut first = Vec::new();
        for view in views.iter().filter(|view| view.epoch() >= from) {
            // Epochs that changed no member have equal shares.
            match relevant.last() {
                Some(last) if last.ids() == view.ids() => {}
                _ => {
                    relevant.push(view);
                    first.push(view.epoch());
                }
            }
        }
        let holders = bounds
            .iter()
            .map(|bound| {
                let start = first.partition_point(|epoch| *epoch <= bound.drained);
                let start = start.saturating_sub(1);
                let place = |(at, view): (usize, &&MemberView)| match at >= start {
                    true => view.position(&bound.id),
                    false => None,
                };
                relevant.iter().enumerate().map(place).collect()
            })
            .collect();
        Self {
            me: relevant.last().and_then(|view| view.position(me)),
            views: relevant,
            holders,
        }
    }

    /// Returns the usable slots of an endpoint.
    pub fn usable_at(&self, vm: &VmId) -> u32 {
        self.usable(item_key(Domain::Slot, vm.as_str()))
    }

    /// Returns the usable slots of the endpoint with a hash.
    fn usable(&self, item: u64) -> u32 {
        let shares: Vec<Vec<u32>> = self.views.iter().map(|view| view.shares_of(item)).collect();
        let Some(own) = self.me.zip(shares.last()).map(|(at, last)| last[at]) else {
            return 0;
        };
        if shares.len() == 1 || own == 0 {
            return own;
        }
        let others: u32 = self
            .holders
            .iter()
            .map(|places| largest(places, &shares))
            .sum();
        own.min(SLOTS_PER_ENDPOINT.saturating_sub(others))
    }
}

fn largest(places: &[Option<usize>], shares: &[Vec<u32>]) -> u32 {
    places
        .iter()
        .zip(shares)
        .filter_map(|(place, shares)| place.map(|at| shares[at]))
        .max()
        .unwrap_or_default()
}
