//! Waiting requests of one class, in fair order between teams.

use std::collections::{BTreeMap, VecDeque};

use super::{LatencyWindow, RateMeter};
use crate::prelude::*;
use crate::routing::RequestId;
use crate::schema::bundle::ClassSpec;

/// Weight of requests without a team.
const NO_TEAM_WEIGHT: u32 = 1;

/// Slots that must be freed on average within the longest wait of a class so that it needs no
/// reserve; fewer than five would let more than 0.7% of its requests wait too long.
const RELEASES_PER_WAIT: f64 = 5.0;

/// Requests per millisecond below which a class has no traffic to reserve slots for.
const MIN_RATE: f64 = 0.0005;

/// Factor by which the reserve exceeds the mean demand.
const DEMAND_MARGIN: f64 = 1.5;

/// Part of a class's room that is kept for teams with few waiting requests.
const ROOM_FOR_OTHERS: usize = 4;

/// Queue of one class of urgency.
///
/// Teams share the class by start-time fair queueing: a team's tag advances by the inverse of its
/// weight with each request that is sent, and the team with the lowest tag is next.
#[derive(Clone, Debug)]
pub struct ClassQueue {
    /// Name in the bundle.
    pub name: ClassName,
    /// Rules in the bundle.
    pub spec: ClassSpec,
    /// Sends that the class is owed under its guaranteed share.
    pub credit: f64,
    /// Rate of requests sent.
    pub rate: RateMeter,
    /// Latency of answers.
    pub latency: LatencyWindow,
    /// Attempts in progress.
    pub in_flight: u32,
    flows: BTreeMap<Option<TeamId>, Flow>,
    virtual_time: f64,
    len: usize,
}

#[derive(Clone, Debug)]
struct Flow {
    weight: f64,
    tag: f64,
    waiting: VecDeque<RequestId>,
}

impl ClassQueue {
    /// Creates an empty queue.
    pub fn new(name: ClassName, spec: ClassSpec) -> Self {
        Self {
            name,
            spec,
            credit: 0.0,
            rate: RateMeter::default(),
            latency: LatencyWindow::default(),
            in_flight: 0,
            flows: BTreeMap::new(),
            virtual_time: 0.0,
            len: 0,
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the guaranteed share as a fraction.
    pub fn share(&self) -> f64 {
        f64::from(self.spec.share.get()) / 1000.0
    }

    /// Returns the slots of `slots` that requests of another class must leave to this one if a
    /// slot they take is freed after `release` milliseconds on average.
    ///
    /// Nothing is reserved while slots are freed often enough for this class to take its turn.
    pub fn reserve(&self, slots: u32, release: f64) -> u32 {
        let patience = self.spec.max_wait_ms.get() as f64 / RELEASES_PER_WAIT;
        if release <= patience || self.rate.per_ms() < MIN_RATE {
            return 0;
        }
        let demand = self.rate.per_ms() * self.latency.mean().unwrap_or(0.0);
        let wanted = (demand * DEMAND_MARGIN).ceil().max(1.0);
        let most = (self.share() * f64::from(slots)).floor();
        (wanted.min(most) as u32).saturating_sub(self.in_flight)
    }

    /// Applies the shares of the teams.
    pub fn set_weights(&mut self, weight_of: impl Fn(&TeamId) -> u32) {
        for (team, flow) in &mut self.flows {
            flow.weight = weight(team, &weight_of);
        }
    }

    /// Tells whether another request of `team` fits if the class has room for `room` requests.
    pub fn has_room(&self, team: &Option<TeamId>, room: usize) -> bool {
        let kept = room / ROOM_FOR_OTHERS;
        if self.len < room - kept {
            return true;
        }
        let own = self.flows.get(team).map_or(0, |flow| flow.waiting.len());
        self.len < room && own < kept / self.active(team).max(1)
    }

    /// Adds a request behind those of its team, or before them.
    pub fn push(
        &mut self,
        id: RequestId,
        team: &Option<TeamId>,
        front: bool,
        weight_of: impl Fn(&TeamId) -> u32,
    ) {
        let now = self.virtual_time;
        let flow = self.flows.entry(team.clone()).or_insert_with(|| Flow {
            weight: weight(team, &weight_of),
            tag: now,
            waiting: VecDeque::new(),
        });
        if flow.waiting.is_empty() {
            flow.tag = flow.tag.max(now);
        }
        if front {
            flow.waiting.push_front(id);
        } else {
            flow.waiting.push_back(id);
        }
        self.len += 1;
    }

    /// Removes and returns the request that is next.
    pub fn pop(&mut self) -> Option<RequestId> {
        let flow = self
            .flows
            .values_mut()
            .filter(|flow| !flow.waiting.is_empty())
            .min_by(|a, b| a.tag.total_cmp(&b.tag))?;
        self.virtual_time = self.virtual_time.max(flow.tag);
        let id = flow.waiting.pop_front()?;
        self.len -= 1;
        Some(id)
    }

    /// Accounts for a waiting request of `team` that was sent.
    pub fn charge(&mut self, team: &Option<TeamId>) {
        if let Some(flow) = self.flows.get_mut(team) {
            flow.tag += 1.0 / flow.weight;
        }
    }

    /// Removes a request; tells whether it was waiting.
    pub fn remove(&mut self, id: RequestId, team: &Option<TeamId>) -> bool {
        let Some(flow) = self.flows.get_mut(team) else {
            return false;
        };
        let Some(at) = flow.waiting.iter().position(|held| *held == id) else {
            return false;
        };
        flow.waiting.remove(at);
        self.len -= 1;
        true
    }

    /// Returns the requests of this class that will be sent before a new one of `team`.
    pub fn ahead_of(&self, team: &Option<TeamId>) -> f64 {
        let active = |flow: &&Flow| !flow.waiting.is_empty();
        let total: f64 = self.flows.values().filter(active).map(|f| f.weight).sum();
        let all = self.len as f64;
        match self.flows.get(team) {
            Some(flow) if !flow.waiting.is_empty() => {
                (flow.waiting.len() as f64 * total / flow.weight).min(all)
            }
            Some(flow) => (total / flow.weight).min(all),
            None => all,
        }
    }

    /// Empties the queue.
    pub fn drain(&mut self) -> Vec<RequestId> {
        self.len = 0;
        self.flows
            .values_mut()
            .flat_map(|flow| flow.waiting.drain(..))
            .collect()
    }

    fn active(&self, team: &Option<TeamId>) -> usize {
        self.flows
            .iter()
            .filter(|(name, flow)| *name == team || !flow.waiting.is_empty())
            .count()
    }
}

fn weight(team: &Option<TeamId>, weight_of: impl Fn(&TeamId) -> u32) -> f64 {
    f64::from(team.as_ref().map_or(NO_TEAM_WEIGHT, weight_of).max(1))
}
