//! Queues of the waiting requests of one service, one per class.

use std::collections::BTreeMap;

use super::ClassQueue;
use crate::prelude::*;
use crate::routing::RequestId;
use crate::schema::bundle::{ClassSpec, TeamSpec};

/// Maximum number of queued requests of one service. It bounds memory while waits cannot be
/// estimated.
const MAX_QUEUED: usize = 8192;

/// Maximum credit of a class, in requests.
const MAX_CREDIT: f64 = 2.0;

/// Lower and upper bound of the cost of one request relative to the service's mean.
const COST_RANGE: (f64, f64) = (0.1, 10.0);

/// Request with the class and team that it is queued under.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueEntry {
    /// Id of the request.
    pub id: RequestId,
    /// Class of the request.
    pub class: ClassName,
    /// Team of the request, if it names one.
    pub team: Option<TeamId>,
}

/// Number of slots of a service at this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotCounts {
    /// Free slots.
    pub free: u32,
    /// All slots, free or in use.
    pub total: u32,
}

/// Queues of all classes of a service, sorted by urgency.
///
/// While classes compete, each earns its guaranteed share of every sent request as credit. A
/// class whose credit covers one request is served first. Otherwise the most urgent class is.
#[derive(Clone, Debug, Default)]
pub struct ServiceQueue {
    classes: Vec<ClassQueue>,
    weights: BTreeMap<TeamId, u32>,
}

impl ServiceQueue {
    /// Applies the classes and teams of a bundle and returns the requests whose class was removed.
    pub fn configure(
        &mut self,
        classes: &BTreeMap<ClassName, ClassSpec>,
        teams: &BTreeMap<TeamId, TeamSpec>,
    ) -> Vec<RequestId> {
        let mut orphans = Vec::new();
        self.classes.retain_mut(|queue| {
            let keep = classes.contains_key(&queue.name);
            if !keep {
                orphans.extend(queue.drain());
            }
            keep
        });
        for (name, spec) in classes {
            match self.classes.iter_mut().find(|queue| queue.name == *name) {
                Some(queue) => queue.spec = spec.clone(),
                None => self
                    .classes
                    .push(ClassQueue::new(name.clone(), spec.clone())),
            }
        }
        self.classes.sort_by_key(|queue| queue.spec.urgency);
        self.weights = teams
            .iter()
            .map(|(team, spec)| (team.clone(), spec.share))
            .collect();
        for queue in &mut self.classes {
            queue.set_weights(|team| share_of(&self.weights, team));
        }
        orphans
    }

    /// Returns the queue of a class.
    pub fn class(&self, name: &ClassName) -> Option<&ClassQueue> {
        self.classes.iter().find(|queue| queue.name == *name)
    }

    /// Returns a mutable reference to the queue of a class.
    pub fn class_mut(&mut self, name: &ClassName) -> Option<&mut ClassQueue> {
        self.classes.iter_mut().find(|queue| queue.name == *name)
    }

    /// Returns whether the bundle in force has the team.
    pub fn has_team(&self, team: &TeamId) -> bool {
        self.weights.contains_key(team)
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.classes.iter().map(ClassQueue::len).sum()
    }

    /// Returns whether no request is queued.
    pub fn is_empty(&self) -> bool {
        self.classes.iter().all(ClassQueue::is_empty)
    }

    /// Returns whether a request fits under the maximum number of queued requests.
    pub fn has_room(&self, class: &ClassName, team: &Option<TeamId>) -> bool {
        let max_queued = MAX_QUEUED / self.classes.len().max(1);
        self.class(class)
            .is_some_and(|queue| queue.has_room(team, max_queued))
    }

    /// Adds a request at the back of its team's queue, or at the front.
    pub fn push(&mut self, entry: &QueueEntry, front: bool) {
        let weights = &self.weights;
        let queue = self
            .classes
            .iter_mut()
            .find(|queue| queue.name == entry.class);
        if let Some(queue) = queue {
            queue.push(entry.id, &entry.team, front, |team| share_of(weights, team));
        }
    }

    /// Removes and returns the next request; `mean` is the service's mean latency.
    pub fn pop(&mut self, mean: Option<f64>, slots: SlotCounts) -> Option<RequestId> {
        let at = self
            .most_credited(mean, slots)
            .or_else(|| self.most_urgent(slots))?;
        self.classes[at].pop()
    }

    /// Returns whether a new request of a class may take a free slot.
    pub fn admits(&self, class: &ClassName, slots: SlotCounts) -> bool {
        let at = self.classes.iter().position(|queue| queue.name == *class);
        at.is_some_and(|at| self.leaves_reserve(at, slots))
    }

    /// Removes a request and returns whether it was queued.
    pub fn remove(&mut self, entry: &QueueEntry) -> bool {
        self.class_mut(&entry.class)
            .is_some_and(|queue| queue.remove(entry.id, &entry.team))
    }

    /// Charges the class and team of a request that was sent; `waited` tells whether it was queued.
    ///
    /// `mean` is the service's mean latency. A class with longer requests pays more per request,
    /// so that shares are shares of slot time.
    pub fn charge(&mut self, entry: &QueueEntry, waited: bool, mean: Option<f64>, now: Millis) {
        let Some(at) = self.classes.iter().position(|q| q.name == entry.class) else {
            return;
        };
        self.classes[at].rate.record(now);
        if !waited {
            return;
        }
        let cost = self.classes[at].cost(mean);
        for (index, queue) in self.classes.iter_mut().enumerate() {
            if index == at || !queue.is_empty() {
                let max_credit = MAX_CREDIT * queue.cost(mean);
                queue.credit = (queue.credit + queue.share() * cost).min(max_credit);
            }
        }
        self.classes[at].credit = (self.classes[at].credit - cost).max(0.0);
        self.classes[at].charge(&entry.team);
    }

    /// Estimates the wait of a new request if `capacity` requests complete per millisecond.
    ///
    /// Returns `None` if neither its share nor its urgency lets the class be served.
    pub fn expected_wait(
        &self,
        class: &ClassName,
        team: &Option<TeamId>,
        capacity: f64,
    ) -> Option<Millis> {
        let at = self.classes.iter().position(|q| q.name == *class)?;
        let own = self.classes[at].ahead_of(team) + 1.0;
        let before: usize = self.classes[..at].iter().map(ClassQueue::len).sum();
        let used: f64 = self.classes[..at].iter().map(|q| q.rate.per_ms()).sum();
        let owed: f64 = self.classes[at + 1..]
            .iter()
            .filter(|queue| !queue.is_empty())
            .map(|queue| queue.share() * capacity)
            .sum();
        let guaranteed = self.classes[at].share() * capacity;
        let rest = capacity - used - owed;
        let by_share = (guaranteed > 0.0).then(|| own / guaranteed);
        let by_urgency = (rest > 0.0).then(|| (own + before as f64) / rest);
        let wait = match (by_share, by_urgency) {
            (Some(a), Some(b)) => a.min(b),
            (a, b) => a.or(b)?,
        };
        Some(Millis(wait.min(1e12).ceil() as u64))
    }

    /// Advances the rates and latency windows to `now`.
    pub fn advance(&mut self, now: Millis) {
        for queue in &mut self.classes {
            queue.rate.advance(now);
            queue.latency.advance(now);
        }
    }

    /// Returns the class with the most credit among those whose credit covers one request.
    fn most_credited(&self, mean: Option<f64>, slots: SlotCounts) -> Option<usize> {
        let credit = |at: usize| self.classes[at].credit / self.classes[at].cost(mean);
        (0..self.classes.len())
            .filter(|&at| self.is_eligible(at, slots) && credit(at) >= 1.0)
            .max_by(|&a, &b| credit(a).total_cmp(&credit(b)).then(b.cmp(&a)))
    }

    fn most_urgent(&self, slots: SlotCounts) -> Option<usize> {
        (0..self.classes.len()).find(|&at| self.is_eligible(at, slots))
    }

    fn is_eligible(&self, at: usize, slots: SlotCounts) -> bool {
        !self.classes[at].is_empty() && self.leaves_reserve(at, slots)
    }

    /// Returns whether the reserve of more urgent classes stays free if a class takes a slot.
    fn leaves_reserve(&self, at: usize, slots: SlotCounts) -> bool {
        let Some(mean) = self.classes[at].latency.mean() else {
            return true;
        };
        let release_interval = mean / f64::from(slots.total.max(1));
        let reserved: u32 = self.classes[..at]
            .iter()
            .map(|queue| queue.reserve(slots.total, release_interval))
            .sum();
        reserved == 0 || slots.free > reserved.min(slots.total / 2)
    }
}

impl ClassQueue {
    /// Returns the mean slot time of one request relative to the service's mean.
    fn cost(&self, mean: Option<f64>) -> f64 {
        match (self.latency.mean(), mean) {
            (Some(own), Some(mean)) => (own / mean).clamp(COST_RANGE.0, COST_RANGE.1),
            _ => 1.0,
        }
    }
}

/// Returns the weight of a team; teams that the bundle does not have get one.
fn share_of(weights: &BTreeMap<TeamId, u32>, team: &TeamId) -> u32 {
    weights.get(team).copied().unwrap_or(1)
}
