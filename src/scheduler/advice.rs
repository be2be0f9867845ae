//! Which workers a queue's policy allows for a step, as the advice service has told.

use std::collections::{BTreeMap, BTreeSet};

use super::{Command, Job, Scheduler, TaskKey, Worker};
use crate::prelude::*;

/// Most workers that one call may name.
const MAX_NAMED: usize = 100;

/// Workers that a call names for each open task: the policy may allow only a few of them.
const NAMED_PER_TASK: usize = 4;

/// Fewest workers that a call names; a step is expected to need one call on as many.
const LEAST_NAMED: usize = 30;

/// Calls that wait at once; the service takes 32 of one machine.
const MAX_CALLS: usize = 16;

/// Part of a ticket's validity that is left unused: the record is written before the start.
const TICKET_MARGIN: Millis = Millis(400);

/// Time after which a call that failed is made again.
const RETRY_AFTER: Millis = Millis(300);

/// What a queue says of its advice service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdviceSettings {
    /// Fixed time of a call.
    pub fixed_latency: Millis,
    /// Time of a call for each worker that it names.
    pub latency_per_worker: Millis,
    /// Validity of a ticket.
    pub ticket_validity: Millis,
}

/// Asks which of some workers may run a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdviceRequest {
    /// Job of the step.
    pub job: JobId,
    /// Occurrence of a scheduled job.
    pub occurrence: u32,
    /// Number of the step.
    pub step: u32,
    /// The workers.
    pub workers: Vec<WorkerId>,
    /// Time that the call is expected to take.
    pub expected: Millis,
}

/// Leave to run a step on one life of a worker.
#[derive(Clone, Debug)]
struct Ticket {
    text: String,
    incarnation: u64,
    until: Millis,
}

/// What is known for one step.
#[derive(Clone, Debug, Default)]
pub(super) struct Advice {
    calling: bool,
    retry_at: Millis,
    tickets: BTreeMap<WorkerId, Ticket>,
    refused: BTreeSet<WorkerId>,
}

impl Advice {
    /// Ticket for a worker that is valid for a start soon.
    pub fn ticket(&self, worker: &Worker, now: Millis) -> Option<&str> {
        let ticket = self.tickets.get(&worker.id)?;
        (ticket.incarnation == worker.incarnation && now < ticket.until)
            .then_some(ticket.text.as_str())
    }
}

/// A step of one occurrence of a job.
pub(super) type StepKey = (JobId, usize);

impl Scheduler {
    /// Asks for leave on workers that have room for a step, unless a call is under way.
    pub(super) fn ask_advice(&mut self, job: &Job, unit: usize, service: &str, now: Millis) {
        let Some(terms) = self
            .queues
            .queues
            .get(&job.spec.queue)
            .and_then(|queue| queue.advice)
        else {
            return;
        };
        let calls = self.advice.values().filter(|advice| advice.calling).count();
        let room = job.step(unit).reservation();
        let known = self.advice.entry((job.id.clone(), unit)).or_default();
        if known.calling || now < known.retry_at || calls >= MAX_CALLS {
            return;
        }
        let open = job.units[unit].open_tasks().count();
        let most = (open * NAMED_PER_TASK).clamp(LEAST_NAMED, MAX_NAMED);
        let mut found: Vec<(u64, &WorkerId)> = self
            .workers
            .values()
            .filter(|worker| worker.is_open() && worker.fenced && worker.misses == 0)
            .filter(|worker| worker.serves(service) && room.fits(&worker.free()))
            .filter(|worker| !known.refused.contains(&worker.id))
            .filter(|worker| known.ticket(worker, now).is_none())
            .map(|worker| (worker.busy, &worker.id))
            .collect();
        found.sort_unstable();
        let workers: Vec<WorkerId> = found
            .into_iter()
            .take(most)
            .map(|(_, id)| id.clone())
            .collect();
        if workers.is_empty() {
            return;
        }
        known.calling = true;
        let named = u64::try_from(workers.len()).unwrap_or(u64::MAX);
        self.orders.push(Command::Advise(AdviceRequest {
            job: job.id.clone(),
            occurrence: job.units[unit].occurrence,
            step: job.units[unit].step,
            workers,
            expected: terms.fixed_latency
                + Millis(terms.latency_per_worker.0.saturating_mul(named)),
        }));
    }

    /// Forgets a ticket that a worker has not accepted.
    pub(super) fn drop_ticket(&mut self, id: &WorkerId, key: &TaskKey) {
        let unit = self.jobs.get(&key.job).and_then(|job| job.unit_of(key));
        let known = unit.and_then(|unit| self.advice.get_mut(&(key.job.clone(), unit)));
        if let Some(known) = known {
            known.tickets.remove(id);
        }
    }

    /// Takes in which workers may run a step, with their tickets; `None` if nobody answered.
    pub fn on_advice(
        &mut self,
        order: &AdviceRequest,
        answer: Option<&[(WorkerId, String)]>,
        now: Millis,
    ) {
        self.replan = true;
        let Some(job) = self.jobs.get(&order.job) else {
            return;
        };
        let unit = order.occurrence as usize * job.spec.steps.len() + order.step as usize;
        let valid = self
            .queues
            .queues
            .get(&job.spec.queue)
            .and_then(|queue| queue.advice)
            .map_or(Millis::ZERO, |terms| terms.ticket_validity);
        let Some(known) = self.advice.get_mut(&(order.job.clone(), unit)) else {
            return;
        };
        known.calling = false;
        let Some(allowed) = answer else {
            known.retry_at = now + RETRY_AFTER;
            return;
        };
        for id in &order.workers {
            if !allowed.iter().any(|(worker, _)| worker == id) {
                known.refused.insert(id.clone());
            }
        }
        for (id, text) in allowed {
            let Some(worker) = self.workers.get(id) else {
                continue;
            };
            let ticket = Ticket {
                text: text.clone(),
                incarnation: worker.incarnation,
                until: now + valid - TICKET_MARGIN,
            };
            known.tickets.insert(id.clone(), ticket);
        }
    }
}
