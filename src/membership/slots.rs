//! Handover of request slots between epochs without exceeding an endpoint's limit.

use super::MemberView;
use super::hash::{Domain, item_hash};
use super::view::SLOTS_PER_ENDPOINT;
use crate::prelude::*;

/// A change of the slots of one endpoint that this process may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotChange {
    /// The endpoint.
    pub vm: VmId,
    /// Usable slots before the change.
    pub before: u32,
    /// Usable slots after the change.
    pub after: u32,
}

/// Limit on the slots that another process may use: its shares of all epochs from `drained_epoch` on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotBound {
    /// The process.
    pub id: MemberId,
    /// Newest epoch whose shares the process has reported not to exceed.
    pub drained_epoch: Epoch,
}

/// Computes the slots that this process may use while other members may be in older epochs.
///
/// A member that has not reported a new epoch as drained is assumed to use its largest share of
/// all epochs that it may be in. This process uses at most the remaining slots, so the old and the
/// new holder of a slot never use it at the same time.
pub struct SlotHandover<'a> {
    views: Vec<&'a MemberView>,
    me: Option<usize>,
    /// For each bound, the position of its process in each view; `None` in views that the process
    /// is not in or has drained.
    holders: Vec<Vec<Option<usize>>>,
}

impl<'a> SlotHandover<'a> {
    /// Prepares the computation from the views of successive epochs; the last one is current.
    pub fn new(views: &'a [MemberView], me: &MemberId, bounds: &[SlotBound]) -> Self {
        let newest = views.last().map_or(Epoch(0), MemberView::epoch);
        let oldest = bounds.iter().map(|bound| bound.drained_epoch).min();
        let from = oldest.unwrap_or(newest).min(newest);
        let mut relevant: Vec<&MemberView> = Vec::new();
        let mut first = Vec::new();
        for view in views.iter().filter(|view| view.epoch() >= from) {
            // Successive epochs with the same members have equal shares.
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
                let start = first.partition_point(|epoch| *epoch <= bound.drained_epoch);
                let start = start.saturating_sub(1);
                let index_in_view = |(index, view): (usize, &&MemberView)| match index >= start {
                    true => view.position(&bound.id),
                    false => None,
                };
                relevant.iter().enumerate().map(index_in_view).collect()
            })
            .collect();
        Self {
            me: relevant.last().and_then(|view| view.position(me)),
            views: relevant,
            holders,
        }
    }

    /// Returns the slots of an endpoint that this process may use.
    pub fn usable_at(&self, vm: &VmId) -> u32 {
        self.usable(item_hash(Domain::Slot, vm.as_str()))
    }

    fn usable(&self, item: u64) -> u32 {
        let shares: Vec<Vec<u32>> = self.views.iter().map(|view| view.shares_of(item)).collect();
        let Some(own) = self.me.zip(shares.last()).map(|(index, last)| last[index]) else {
            return 0;
        };
        if shares.len() == 1 || own == 0 {
            return own;
        }
        let others: u32 = self
            .holders
            .iter()
            .map(|positions| largest_share(positions, &shares))
            .sum();
        own.min(SLOTS_PER_ENDPOINT.saturating_sub(others))
    }
}

/// Returns the largest share over all views that a process may be in.
fn largest_share(positions: &[Option<usize>], shares: &[Vec<u32>]) -> u32 {
    positions
        .iter()
        .zip(shares)
        .filter_map(|(member_index, shares)| member_index.map(|index| shares[index]))
        .max()
        .unwrap_or_default()
}
