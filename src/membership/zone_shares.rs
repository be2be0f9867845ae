//! How the slots of an endpoint are split between the availability zones of the members.

use std::collections::BTreeMap;

use super::view::SLOTS_PER_ENDPOINT;
use crate::prelude::*;

/// Parts into which a slot is divided while shares are fractions.
const UNIT: u64 = 1 << 20;

/// The members of each availability zone, as places in the order of member ids.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct ZoneMembers {
    places: BTreeMap<ZoneId, Vec<usize>>,
    members: u64,
}

impl ZoneMembers {
    pub(super) fn new(zones: impl Iterator<Item = ZoneId>) -> Self {
        let mut found = Self::default();
        for (place, zone) in zones.enumerate() {
            found.places.entry(zone).or_default().push(place);
            found.members += 1;
        }
        found
    }

    /// Splits the slots of an endpoint in `home`; `None` if no member is there.
    ///
    /// Slots stay in their zone as far as the totals of all members remain equal. A slot that is
    /// used from another zone is also held during the round trip, and that cost 7% of capacity.
    /// `item` decides how fractions are rounded, so that they add up over many endpoints.
    pub(super) fn split(&self, home: &ZoneId, item: u64) -> Option<Vec<(&[usize], u32)>> {
        self.places.get(home)?;
        let mut split = Vec::with_capacity(self.places.len());
        let mut sum = item % UNIT;
        for (zone, weight) in self.weights(home) {
            let before = sum / UNIT;
            sum += weight;
            let slots = u32::try_from(sum / UNIT - before).unwrap_or_default();
            split.push((self.places[zone].as_slice(), slots));
        }
        Some(split)
    }

    /// Returns the slots that each zone should hold of an endpoint in `home`, in units.
    ///
    /// Endpoints are taken to be spread evenly over the zones. A zone with few members keeps what
    /// makes their totals equal to the mean; the rest goes to zones with many members, in
    /// proportion to what those lack.
    fn weights(&self, home: &ZoneId) -> Vec<(&ZoneId, u64)> {
        let all = u64::from(SLOTS_PER_ENDPOINT) * UNIT;
        let zones = self.places.len() as u64;
        let lacking = |count: usize| (count as u64 * zones).saturating_sub(self.members);
        let kept = self.places.get(home).map_or(0, |places| {
            (all * places.len() as u64 * zones / self.members.max(1)).min(all)
        });
        let needs: u64 = self
            .places
            .values()
            .map(|places| lacking(places.len()))
            .sum();
        let rest = if needs > 0 { all - kept } else { 0 };
        let mut weights: Vec<(&ZoneId, u64)> = self
            .places
            .iter()
            .map(|(zone, places)| {
                let share = rest * lacking(places.len()) / needs.max(1);
                (zone, if zone == home { 0 } else { share })
            })
            .collect();
        // Rounding is left to the home zone, so that the sum is exact.
        let given: u64 = weights.iter().map(|(_, weight)| weight).sum();
        if let Some(own) = weights.iter_mut().find(|(zone, _)| *zone == home) {
            own.1 = all - given;
        }
        weights
    }
}
