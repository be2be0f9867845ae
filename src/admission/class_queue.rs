//! Queue of the waiting requests of one class, with fair queueing between teams.

use std::collections::{BTreeMap, VecDeque};

use super::{LatencyWindow, RateMeter};
use crate::prelude::*;
use crate::routing::RequestId;
use crate::schema::bundle::ClassSpec;

/// Weight of requests without a team.
const NO_TEAM_WEIGHT: u32 = 1;

/// Slots that must be released on average within the maximum wait of a class for the class to
/// need no reserve. With fewer than five, more than 0.7% of its requests would wait too long.
const RELEASES_PER_MAX_WAIT: f64 = 5.0;

/// Request rate, per millisecond, below which no slots are reserved for a class.
const MIN_RATE_PER_MS: f64 = 0.0005;

/// Factor by which the reserve exceeds the mean demand.
const DEMAND_MARGIN: f64 = 1.5;

/// Divisor of a class's queue capacity; the resulting part is kept for teams with few waiting
/// requests.
const SMALL_TEAM_DIVISOR: usize = 4;

/// Queue of one request class.
///
/// Teams share the class by start-time fair queueing: a team's tag advances by the inverse of its
/// weight with each of its requests that is sent, and the team with the lowest tag is next.
#[derive(Clone, Debug)]
pub struct ClassQueue {
    /// Name of the class in the bundle.
    pub name: ClassName,
    /// Settings of the class in the bundle.
    pub spec: ClassSpec,
    /// Requests that the class may send ahead of more urgent classes, from its guaranteed share.
    pub credit: f64,
    /// Rate at which requests of the class are sent.
    pub rate: RateMeter,
    /// Response latencies of the class.
    pub latency: LatencyWindow,
    /// Number of attempts in flight.
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

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the guaranteed share as a fraction.
    pub fn share(&self) -> f64 {
        f64::from(self.spec.share.get()) / 1000.0
    }

    /// Returns how many of `slots` a less urgent class must leave free for this one if one of
    /// the slots is released every `release_interval` milliseconds on average.
    ///
    /// Returns zero while slots are released often enough for this class to wait for one.
    pub fn reserve(&self, slots: u32, release_interval: f64) -> u32 {
        let max_interval = self.spec.max_wait_ms.get() as f64 / RELEASES_PER_MAX_WAIT;
        if release_interval <= max_interval || self.rate.per_ms() < MIN_RATE_PER_MS {
            return 0;
        }
        let demand = self.rate.per_ms() * self.latency.mean().unwrap_or(0.0);
        let required = (demand * DEMAND_MARGIN).ceil().max(1.0);
        let guaranteed = (self.share() * f64::from(slots)).floor();
        (required.min(guaranteed) as u32).saturating_sub(self.in_flight)
    }

    /// Updates the weights of the teams.
    pub fn set_weights(&mut self, weight_of: impl Fn(&TeamId) -> u32) {
        for (team, flow) in &mut self.flows {
            flow.weight = weight(team, &weight_of);
        }
    }

    /// Returns whether a request of `team` fits into the queue if it may hold `capacity` requests.
    pub fn has_room(&self, team: &Option<TeamId>, capacity: usize) -> bool {
        let kept = capacity / SMALL_TEAM_DIVISOR;
        if self.len < capacity - kept {
            return true;
        }
        let own = self.flows.get(team).map_or(0, |flow| flow.waiting.len());
        self.len < capacity && own < kept / self.active_teams(team).max(1)
    }

    /// Adds a request at the back of its team's queue, or at the front.
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

    /// Removes and returns the next request in fair order.
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

    /// Advances the tag of `team` after one of its queued requests was sent.
    pub fn charge(&mut self, team: &Option<TeamId>) {
        if let Some(flow) = self.flows.get_mut(team) {
            flow.tag += 1.0 / flow.weight;
        }
    }

    /// Removes a request and returns whether it was queued.
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

    /// Estimates how many requests of this class will be sent before a new one of `team`.
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

    /// Removes and returns all requests.
    pub fn drain(&mut self) -> Vec<RequestId> {
        self.len = 0;
        self.flows
            .values_mut()
            .flat_map(|flow| flow.waiting.drain(..))
            .collect()
    }

    /// Returns the number of teams with queued requests, including `team` if it is known.
    fn active_teams(&self, team: &Option<TeamId>) -> usize {
        self.flows
            .iter()
            .filter(|(name, flow)| *name == team || !flow.waiting.is_empty())
            .count()
    }
}

fn weight(team: &Option<TeamId>, weight_of: impl Fn(&TeamId) -> u32) -> f64 {
    f64::from(team.as_ref().map_or(NO_TEAM_WEIGHT, weight_of).max(1))
}
