//! Handles the reports and responses of workers.

use super::crash::CLEARED_AFTER;
use super::worker::{Run, RunState};
use super::{
    RunStatus, Scheduler, StartCommand, StartResponse, StopCommand, TaskKey, WorkerReport,
};
use crate::prelude::*;

/// Maximum number of completions in one report; a full report may omit later ones.
const MAX_REPORTED_COMPLETIONS: usize = 500;

/// Unanswered calls after which a worker gets no new runs.
const MISSED_POLLS_TO_EXCLUDE: u32 = 1;

impl Scheduler {
    /// Handles a worker's report, requested at `requested_at`.
    pub fn on_report(
        &mut self,
        id: &WorkerId,
        requested_at: Millis,
        now: Millis,
        wall: Timestamp,
        report: &WorkerReport,
    ) {
        self.wall = (now, wall);
        let longest_lease = self.timing.longest_lease;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if report.incarnation < worker.current.number {
            return;
        }
        if report.incarnation > worker.current.number {
            self.begin_incarnation(id, report.incarnation, now);
        }
        self.note_returned(id, report.incarnation, now);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if !worker.current.is_fenced() || worker.current.missed_polls > 0 {
            self.replan = true;
        }
        if worker.current.missed_polls >= 3 {
            tracing::info!(worker = %id, misses = worker.current.missed_polls, "worker answers again");
        }
        worker
            .current
            .lease
            .confirm(now, report.clock, longest_lease);
        worker.current.note_delivery();
        worker.current.missed_polls = 0;
        worker.current.reports += 1;
        worker.current.last_report_at = now;
        let last_handled = worker.current.last_handled;
        for end in report
            .ended
            .iter()
            .filter(|end| end.sequence > last_handled)
        {
            self.apply_completion(id, end, now, wall);
        }
        for status in &report.running {
            self.apply_run_status(id, status, now);
        }
        if report.ended.len() < MAX_REPORTED_COMPLETIONS {
            self.release_absent_runs(id, requested_at, now);
        }
        self.acknowledge_completions(id);
        self.control_paces(id, now);
    }

    fn apply_run_status(&mut self, id: &WorkerId, status: &RunStatus, now: Millis) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let expected = worker.runs.get_mut(&status.task);
        let expected = expected.filter(|run| run.run == status.run);
        let mut crashes = 0;
        let mut wanted = false;
        if let Some(job) = self.jobs.get_mut(&status.task.job) {
            job.started = true;
            let active = job.is_active();
            if let Some(task) = job.task_mut(&status.task) {
                crashes = task.crashes.count();
                wanted = active && !task.done && task.run == status.run;
            }
            if expected.is_some()
                && wanted
                && !status.checkpoint.is_empty()
                && let Some(checkpoint) = job.checkpoint_mut(&status.task)
                && *checkpoint != status.checkpoint
            {
                checkpoint.clone_from(&status.checkpoint);
            }
        }
        if let Some(run) = expected {
            run.note_status(status, worker.current.reports, now);
            if crashes > 0 && now.since(run.started_at) >= CLEARED_AFTER {
                worker.clear_suspect(&status.task);
                self.clear_crashes(&status.task, now);
            }
            if !wanted {
                self.stop(id, &status.task, now);
            }
            return;
        }
        tracing::warn!(worker = %id, task = %status.task, run = status.run, "run is not expected here");
        let (reservation, cpu) = self
            .jobs
            .get(&status.task.job)
            .and_then(|job| Some(job.step(job.instance_of(&status.task)?).clone()))
            .map(|step| (step.reservation(), step.need.cpu))
            .unwrap_or_default();
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.runs.contains_key(&status.task) {
            return;
        }
        let unexpected = Run {
            state: RunState::Stopping,
            ..Run::new(status.run, reservation, cpu, now)
        };
        worker.add_run(status.task.clone(), unexpected);
        self.send_stop(id, &status.task, now);
    }

    /// Releases runs that the present report, which is complete, does not list.
    fn release_absent_runs(&mut self, id: &WorkerId, requested_at: Millis, now: Millis) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let placement = worker.placement();
        let absent: Vec<(TaskKey, u32)> = worker
            .runs
            .iter()
            .filter(|(_, run)| run.settled_at.is_some_and(|at| at < requested_at))
            .filter(|(_, run)| run.listed_in != worker.current.reports)
            .map(|(key, run)| (key.clone(), run.run))
            .collect();
        for (key, run) in absent {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.remove_run(&key);
            }
            self.replan = true;
            if self.release_task(&key, &placement, run, now) {
                tracing::info!(task = %key, run, worker = %id, "run is not on its worker; it starts again");
            }
        }
    }

    /// Handles the response to a start.
    pub fn on_start_response(
        &mut self,
        command: &StartCommand,
        response: StartResponse,
        now: Millis,
    ) {
        let (id, key) = (&command.worker, &command.task);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let Some(run) = worker.runs.get_mut(key) else {
            return;
        };
        if run.run != command.run {
            return;
        }
        run.call_in_flight = false;
        if worker.current.number != command.incarnation {
            return;
        }
        match response {
            StartResponse::Started => {
                run.was_seen = true;
                if run.state == RunState::Sent {
                    run.state = RunState::Running;
                    run.settled_at = Some(now);
                }
                if let Some(job) = self.jobs.get_mut(&key.job) {
                    job.started = true;
                }
            }
            StartResponse::OtherIncarnation => self.mark_worker_dead(id, command.incarnation, now),
            StartResponse::Unknown => {
                run.in_doubt = true;
                worker.current.missed_polls =
                    worker.current.missed_polls.max(MISSED_POLLS_TO_EXCLUDE);
            }
            // An earlier copy of this start may have been executed, so the next report decides.
            StartResponse::AlreadyEnded => run.settled_at = Some(now),
            StartResponse::Fenced
            | StartResponse::Late
            | StartResponse::NoRoom
            | StartResponse::NoTicket
            | StartResponse::Refused => {
                tracing::info!(task = %key, run = command.run, worker = %id, answer = ?response, "start rejected");
                if response == StartResponse::Refused || response == StartResponse::NoRoom {
                    worker.current.health.cool_down(now);
                }
                if run.state == RunState::Sent {
                    run.state = RunState::Stopping;
                    run.settled_at = None;
                    self.send_stop(id, key, now);
                }
                if response == StartResponse::NoTicket {
                    self.discard_ticket(id, key);
                }
                if response == StartResponse::Fenced {
                    self.may_start = false;
                }
            }
        }
    }

    /// Handles the result of a stop; `acknowledged` is whether the worker accepted it.
    pub fn on_stop_response(&mut self, command: &StopCommand, acknowledged: bool, now: Millis) {
        let Some(worker) = self.workers.get_mut(&command.worker) else {
            return;
        };
        let Some(run) = worker.runs.get_mut(&command.task) else {
            return;
        };
        if run.run != command.run || run.state != RunState::Stopping {
            return;
        }
        run.call_in_flight = false;
        // A former incarnation knows nothing of what the present one runs.
        if acknowledged && worker.current.number == command.incarnation {
            run.settled_at = Some(now);
        }
    }

    /// Records that an incarnation of a worker did not answer a poll.
    pub fn on_poll_failure(&mut self, id: &WorkerId, incarnation: u64, reason: &str) {
        if let Some(worker) = self.workers.get_mut(id)
            && worker.current.number == incarnation
        {
            worker.current.missed_polls += 1;
            if worker.current.missed_polls == 3 {
                tracing::warn!(worker = %id, runs = worker.runs.len(), reason, "worker does not answer");
            }
        }
    }
}
