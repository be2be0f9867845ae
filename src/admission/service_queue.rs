//! Waiting requests of one service, over all classes.

use std::collections::BTreeMap;

use super::ClassQueue;
use crate::prelude::*;
use crate::routing::RequestId;
use crate::schema::bundle::{ClassSpec, TeamSpec};

/// Most requests that wait for one service; bounds memory when waits cannot be estimated.
const MAX_QUEUED: usize = 8192;

/// Sends that a class may be owed at most.
const MAX_CREDIT: f64 = 2.0;

/// Bounds of the cost of one request relative to the service's mean.
const COST_RANGE: (f64, f64) = (0.1, 10.0);

/// Place of a waiting request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct QueueEntry {
    /// The request.
    pub id: RequestId,
    /// Its class.
    pub class: ClassName,
    /// Its team.
    pub team: Option<TeamId>,
}

/// Slots of a service at this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotCounts {
    /// Slots that are free.
    pub free: u32,
    /// Slots in total.
    pub total: u32,
}

/// Queues of all classes.
///
/// While classes compete, each earns its guaranteed share of every send as credit. A class whose
/// credit covers a send is next; otherwise the most urgent one is.
#[derive(Clone, Debug, Default)]
pub struct ServiceQueue {
    classes: Vec<ClassQueue>,
    weights: BTreeMap<TeamId, u32>,
}

impl ServiceQueue {
    /// Applies the classes and teams of a bundle; returns the requests whose class is gone.
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

    /// Returns the queue of a class for changes.
    pub fn class_mut(&mut self, name: &ClassName) -> Option<&mut ClassQueue> {
        self.classes.iter_mut().find(|queue| queue.name == *name)
    }

    /// Tells whether the bundle has the team.
    pub fn has_team(&self, team: &TeamId) -> bool {
        self.weights.contains_key(team)
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.classes.iter().map(ClassQueue::len).sum()
    }

    /// Tells whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.classes.iter().all(ClassQueue::is_empty)
    }

    /// Tells whether the memory bound leaves room for a request.
    pub fn has_room(&self, class: &ClassName, team: &Option<TeamId>) -> bool {
        let room = MAX_QUEUED / self.classes.len().max(1);
        self.class(class)
            .is_some_and(|queue| queue.has_room(team, room))
    }

    /// Adds a request at the end of its team's queue, or at the front.
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

    /// Removes and returns the request that is next; `mean` is the service's mean latency.
    pub fn pop(&mut self, mean: Option<f64>, room: SlotCounts) -> Option<RequestId> {
        let at = self.owed(mean, room).or_else(|| self.most_urgent(room))?;
        self.classes[at].pop()
    }

    /// Tells whether a new request of a class may take a free slot.
    pub fn admits(&self, class: &ClassName, room: SlotCounts) -> bool {
        let at = self.classes.iter().position(|queue| queue.name == *class);
        at.is_some_and(|at| self.fits(at, room))
    }

    /// Removes a request; tells whether it was waiting.
    pub fn remove(&mut self, entry: &QueueEntry) -> bool {
        self.class_mut(&entry.class)
            .is_some_and(|queue| queue.remove(entry.id, &entry.team))
    }

    /// Accounts for a request that was sent, whether it waited or not.
    ///
    /// `mean` is the service's mean latency; a class with longer requests pays more per send, so
    /// that shares are shares of slot time.
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
                let most = MAX_CREDIT * queue.cost(mean);
                queue.credit = (queue.credit + queue.share() * cost).min(most);
            }
        }
        self.classes[at].credit = (self.classes[at].credit - cost).max(0.0);
        self.classes[at].charge(&entry.team);
    }

    /// Estimates the wait of a new request if `capacity` requests end per millisecond.
    ///
    /// Returns `None` if the class has no prospect of being served.
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

    /// Closes measurements that are due.
    pub fn advance(&mut self, now: Millis) {
        for queue in &mut self.classes {
            queue.rate.advance(now);
            queue.latency.advance(now);
        }
    }

    fn owed(&self, mean: Option<f64>, room: SlotCounts) -> Option<usize> {
        let credit = |at: usize| self.classes[at].credit / self.classes[at].cost(mean);
        (0..self.classes.len())
            .filter(|&at| self.is_next(at, room) && credit(at) >= 1.0)
            .max_by(|&a, &b| credit(a).total_cmp(&credit(b)).then(b.cmp(&a)))
    }

    fn most_urgent(&self, room: SlotCounts) -> Option<usize> {
        (0..self.classes.len()).find(|&at| self.is_next(at, room))
    }

    fn is_next(&self, at: usize, room: SlotCounts) -> bool {
        !self.classes[at].is_empty() && self.fits(at, room)
    }

    /// Tells whether a class leaves the free slots that more urgent ones need.
    fn fits(&self, at: usize, room: SlotCounts) -> bool {
        let Some(mean) = self.classes[at].latency.mean() else {
            return true;
        };
        let release = mean / f64::from(room.total.max(1));
        let reserved: u32 = self.classes[..at]
            .iter()
            .map(|queue| queue.reserve(room.total, release))
            .sum();
        reserved == 0 || room.free > reserved.min(room.total / 2)
    }
}

impl ClassQueue {
    /// Returns the slot time of one request relative to the service's mean.
    fn cost(&self, mean: Option<f64>) -> f64 {
        match (self.latency.mean(), mean) {
            (Some(own), Some(mean)) => (own / mean).clamp(COST_RANGE.0, COST_RANGE.1),
            _ => 1.0,
        }
    }
}

fn share_of(weights: &BTreeMap<TeamId, u32>, team: &TeamId) -> u32 {
    weights.get(team).copied().unwrap_or(1)
}
