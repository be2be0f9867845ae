//! Tickets of the advice service, for queues whose policy allows only some workers for a step.

use std::collections::{BTreeMap, BTreeSet};

use super::{Command, Job, Scheduler, TaskKey, Worker};
use crate::prelude::*;

/// Maximum number of workers that one call names.
const MAX_WORKERS_PER_CALL: usize = 100;

/// Workers that a call names for each open task, since the policy may allow only a few of them.
const WORKERS_PER_TASK: usize = 4;

/// Minimum number of workers that a call names, so that a step is likely to need only one call.
const MIN_WORKERS_PER_CALL: usize = 30;

/// Maximum number of calls in flight; the service accepts 32 from one machine.
const MAX_CONCURRENT_CALLS: usize = 16;

/// Part of a ticket's validity that is left unused, because the record is written before the start
/// is sent.
const TICKET_MARGIN: Millis = Millis(400);

/// Delay before a failed call is retried.
const RETRY_AFTER: Millis = Millis(300);

/// How a queue's advice service behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize, serde::Deserialize)]
pub struct AdviceSettings {
    /// Fixed part of the duration of a call.
    pub fixed_latency: Millis,
    /// Duration that each named worker adds to a call.
    pub latency_per_worker: Millis,
    /// Time for which a ticket is valid.
    pub ticket_validity: Millis,
}

/// A request for the workers, among those named, that may run a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AdviceRequest {
    /// Job of the step.
    pub job: JobId,
    /// Occurrence of a scheduled job.
    pub occurrence: u32,
    /// Number of the step.
    pub step: u32,
    /// Workers that the call names.
    pub workers: Vec<WorkerId>,
    /// Expected duration of the call.
    pub expected: Millis,
}

/// Permission to run a step on one incarnation of a worker.
#[derive(Clone, Debug)]
struct Ticket {
    text: String,
    incarnation: u64,
    valid_until: Millis,
}

/// Advice that was received for one step.
#[derive(Clone, Debug, Default)]
pub(super) struct Advice {
    call_in_flight: bool,
    retry_at: Millis,
    tickets: BTreeMap<WorkerId, Ticket>,
    refused: BTreeSet<WorkerId>,
}

impl Advice {
    /// Returns the ticket for a worker, if it is valid long enough for a start.
    pub fn ticket(&self, worker: &Worker, now: Millis) -> Option<&str> {
        let ticket = self.tickets.get(&worker.id)?;
        (ticket.incarnation == worker.current.number && now < ticket.valid_until)
            .then_some(ticket.text.as_str())
    }
}

/// A job and the index of one of its step instances.
pub(super) type StepKey = (JobId, usize);

impl Scheduler {
    /// Requests advice on workers with enough free resources for a step, unless a call is in
    /// flight.
    pub(super) fn request_advice(
        &mut self,
        job: &Job,
        instance: usize,
        service: &str,
        now: Millis,
    ) {
        let Some(settings) = self.queues.of(&job.spec).and_then(|queue| queue.advice) else {
            return;
        };
        let calls = self
            .advice
            .values()
            .filter(|advice| advice.call_in_flight)
            .count();
        let step = job.step(instance);
        let reservation = step.reservation();
        let has_label = |worker: &Worker| {
            let label = step.requires.as_ref();
            label.is_none_or(|label| worker.has_label(label))
        };
        let step_advice = self.advice.entry((job.id.clone(), instance)).or_default();
        if step_advice.call_in_flight || now < step_advice.retry_at || calls >= MAX_CONCURRENT_CALLS
        {
            return;
        }
        let open = job.instances[instance].open_tasks().count();
        let max_named = (open * WORKERS_PER_TASK).clamp(MIN_WORKERS_PER_CALL, MAX_WORKERS_PER_CALL);
        let mut candidates: Vec<(u64, &WorkerId)> = self
            .workers
            .values()
            .filter(|worker| {
                worker.accepts_work()
                    && worker.current.is_fenced()
                    && worker.current.missed_polls == 0
            })
            .filter(|worker| worker.belongs_to(service) && reservation.fits(&worker.free()))
            .filter(|worker| has_label(worker))
            .filter(|worker| !step_advice.refused.contains(&worker.id))
            .filter(|worker| step_advice.ticket(worker, now).is_none())
            .map(|worker| (worker.expected_cpu, &worker.id))
            .collect();
        candidates.sort_unstable();
        let workers: Vec<WorkerId> = candidates
            .into_iter()
            .take(max_named)
            .map(|(_, id)| id.clone())
            .collect();
        if workers.is_empty() {
            return;
        }
        step_advice.call_in_flight = true;
        let named = u64::try_from(workers.len()).unwrap_or(u64::MAX);
        self.commands.push(Command::Advise(AdviceRequest {
            job: job.id.clone(),
            occurrence: job.instances[instance].occurrence,
            step: job.instances[instance].step,
            workers,
            expected: settings.fixed_latency
                + Millis(settings.latency_per_worker.0.saturating_mul(named)),
        }));
    }

    /// Discards a ticket that a worker rejected.
    pub(super) fn discard_ticket(&mut self, id: &WorkerId, key: &TaskKey) {
        let instance = self.jobs.get(&key.job).and_then(|job| job.instance_of(key));
        let step_advice =
            instance.and_then(|instance| self.advice.get_mut(&(key.job.clone(), instance)));
        if let Some(step_advice) = step_advice {
            step_advice.tickets.remove(id);
        }
    }

    /// Handles the response to an advice request: the allowed workers with their tickets, or `None`
    /// if the call failed.
    pub fn on_advice(
        &mut self,
        request: &AdviceRequest,
        response: Option<&[(WorkerId, String)]>,
        now: Millis,
    ) {
        self.replan = true;
        let Some(job) = self.jobs.get(&request.job) else {
            return;
        };
        let instance = request.occurrence as usize * job.spec.steps.len() + request.step as usize;
        let validity = self
            .queues
            .of(&job.spec)
            .and_then(|queue| queue.advice)
            .map_or(Millis::ZERO, |settings| settings.ticket_validity);
        let Some(step_advice) = self.advice.get_mut(&(request.job.clone(), instance)) else {
            return;
        };
        step_advice.call_in_flight = false;
        let Some(allowed) = response else {
            step_advice.retry_at = now + RETRY_AFTER;
            return;
        };
        for id in &request.workers {
            if !allowed.iter().any(|(worker, _)| worker == id) {
                step_advice.refused.insert(id.clone());
            }
        }
        for (id, text) in allowed {
            let Some(worker) = self.workers.get(id) else {
                continue;
            };
            let ticket = Ticket {
                text: text.clone(),
                incarnation: worker.current.number,
                valid_until: now + validity - TICKET_MARGIN,
            };
            step_advice.tickets.insert(id.clone(), ticket);
        }
    }
}
