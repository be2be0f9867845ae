//! Limits the slowdown that best-effort tasks cause to serving tasks on the same worker.

use super::interference::{CpuShares, ImageImpact};
use super::worker::{Run, RunState};
use super::{Command, Scheduler, StepSpec, StopCommand, TaskKey, Worker};
use crate::prelude::*;

/// Minimum time between two changes that speed a run up; a reported tail covers half a second.
const SPEED_UP_INTERVAL: Millis = Millis(550);

/// Minimum time between two changes that slow a run down.
const SLOW_DOWN_INTERVAL: Millis = Millis(250);

/// Granularity of the pace, in percent; smaller changes do not justify a call.
const PACE_STEP: u32 = 10;

/// Coefficient above which a best-effort image is a noisy neighbour of a serving image; calm pairs
/// have about 0.3.
const NOISY_COEFFICIENT: f64 = 1.2;

/// Pace, in percent, at or below which a run makes better progress on another worker.
const MOVE_PACE: u32 = 20;

/// Time at such a pace after which a run that saves checkpoints is moved.
const MOVE_AFTER: Millis = Millis(900);

/// Time over the target after which all best-effort tasks are halted, whatever the model predicts,
/// in thousandths of the time after which the target counts as violated. A halt takes effect within
/// as much time again.
const HALT_PERMILLE: u64 = 250;

/// Time over the target after which best-effort tasks are stopped, in thousandths of the time after
/// which the target counts as violated.
const STOP_PERMILLE: u64 = 500;

/// Slack that a placement keeps in reserve; the error of a tail reading is about 8%.
const PLACEMENT_RESERVE: f64 = 0.1;

/// Lookahead of a placement, in seconds; a best-effort task runs for about as long.
const PLACEMENT_LOOKAHEAD_S: f64 = 1.5;

/// Slack that a pace keeps in reserve.
const PACE_RESERVE: f64 = 0.15;

/// Lookahead of a pace, in seconds: the time until the next pace takes effect.
const PACE_LOOKAHEAD_S: f64 = 0.7;

/// Share of its reserved CPU, in thousandths, that a serving task uses on average.
const SERVING_USE_PERMILLE: u64 = 450;

impl Run {
    /// Returns the CPU that the run is expected to use, in millicores.
    pub(super) fn expected_cpu(&self) -> u64 {
        if self.target.is_some() {
            self.reservation.cpu.0 * SERVING_USE_PERMILLE / 1000
        } else if self.best_effort {
            self.cpu.0
        } else {
            self.reservation.cpu.0
        }
    }

    /// Returns whether the run is ready and reports a tail latency.
    fn has_tail_reading(&self) -> bool {
        self.state == RunState::Running && self.percent >= 100 && self.gauge > 0
    }
}

impl Worker {
    /// Returns the CPU that best-effort tasks can expect to get, in millicores.
    pub(super) fn idle_cpu(&self) -> u64 {
        self.capacity().cpu.0.saturating_sub(self.expected_cpu)
    }

    /// Returns the CPU in millicores up to which the worker may take a best-effort task with this
    /// impact; rounded up, so that a larger task is certain to be refused.
    pub(super) fn best_effort_limit(&self, impact: &ImageImpact) -> u64 {
        if self.current.over_target_since.is_some() {
            return 0;
        }
        let idle = self.idle_cpu();
        if self.serving_runs == 0 {
            return idle;
        }
        let margins = self.margins.iter().flatten();
        let limit = margins.fold(f64::INFINITY, |least, (index, margin)| {
            let coefficient = impact.of(*index);
            let most = match coefficient > 0.0 {
                true => margin / coefficient * self.processors(),
                false if *margin < 0.0 => 0.0,
                false => f64::INFINITY,
            };
            least.min(most)
        });
        idle.min((limit.max(0.0).ceil() as u64).saturating_add(1))
    }

    /// Returns the processors that the runs share, in millicores. A worker that offers less than
    /// before has as many processors as before.
    fn processors(&self) -> f64 {
        self.current.largest_cpu.0.max(self.reserved.cpu.0).max(1) as f64
    }
}

impl Scheduler {
    /// Returns the shares of a worker's CPU that best-effort tasks use now, or with `full`, would
    /// use at full pace.
    fn cpu_shares(&mut self, id: &WorkerId, full: bool) -> CpuShares {
        let Some(worker) = self.workers.get(id) else {
            return CpuShares::new();
        };
        let processors = worker.processors();
        let mut uses = CpuShares::new();
        for run in worker.runs.values().filter(|run| run.best_effort) {
            let used = if full { run.cpu.0 } else { run.gauge };
            let index = self.interference.best_effort_index(&run.image);
            let share = used as f64 / processors;
            match uses.iter_mut().find(|(at, _)| *at == index) {
                Some((_, sum)) => *sum += share,
                None => uses.push((index, share)),
            }
        }
        uses
    }

    /// Recomputes the slack margins of all workers where they are out of date.
    pub(super) fn refresh_margins(&mut self) {
        let stale: Vec<WorkerId> = self
            .workers
            .values()
            .filter(|worker| worker.margins.is_none())
            .map(|worker| worker.id.clone())
            .collect();
        for id in stale {
            self.refresh_margin(&id);
        }
    }

    /// Recomputes the slack margins of one worker.
    pub(super) fn refresh_margin(&mut self, id: &WorkerId) {
        let uses = self.cpu_shares(id, true);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let mut margins: Vec<(Option<usize>, f64)> = Vec::new();
        for run in worker.runs.values().filter(|run| run.target.is_some()) {
            let index = self.interference.index_of(&run.image);
            let baseline = run
                .slack
                .predict(PLACEMENT_LOOKAHEAD_S)
                .unwrap_or_else(|| self.interference.mean_slack(index));
            let margin = baseline - 1.0 - PLACEMENT_RESERVE - self.interference.loss(index, &uses);
            match margins.iter_mut().find(|(known, _)| *known == index) {
                Some((_, least)) => *least = least.min(margin),
                None => margins.push((index, margin)),
            }
        }
        worker.margins = Some(margins);
    }

    /// Returns the slack margin that remains beside one more best-effort task, and the largest
    /// slack that the task costs a serving task. The margin is negative if a target would be
    /// missed.
    pub(super) fn headroom(worker: &Worker, step: &StepSpec, impact: &ImageImpact) -> (f64, f64) {
        let share = step.need.cpu.0 as f64 / worker.processors();
        let margins = worker.margins.iter().flatten();
        margins.fold((f64::INFINITY, 0.0), |(least, most), (index, margin)| {
            let loss = impact.of(*index) * share;
            (least.min(margin - loss), loss.max(most))
        })
    }

    /// Updates the model from the tail latencies of a worker, and sets the pace of its best-effort
    /// tasks.
    pub(super) fn control_paces(&mut self, id: &WorkerId, now: Millis) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        if worker.serving_runs == 0 && worker.best_effort_cpu.0 == 0 {
            return;
        }
        self.record_tails(id, now);
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let over_target_for = worker
            .current
            .over_target_since
            .map_or(Millis::ZERO, |at| now.since(at));
        let violation_after = self.timing.violation_after;
        let best_effort_runs: Vec<TaskKey> = worker
            .runs
            .iter()
            .filter(|(_, run)| run.best_effort && run.state == RunState::Running)
            .map(|(key, _)| key.clone())
            .collect();
        if best_effort_runs.is_empty() {
            return;
        }
        let limits = self.pace_limits(id);
        for key in best_effort_runs {
            if over_target_for > violation_after.scale_permille(STOP_PERMILLE) {
                tracing::info!(task = %key, worker = %id, over_ms = over_target_for.0, "run ends beside a serving task over its target");
                self.stop(id, &key, now);
            } else if over_target_for > violation_after.scale_permille(HALT_PERMILLE) {
                self.send_pace(id, &key, 0, now);
            } else {
                self.adjust_pace(id, &key, &limits, now);
            }
        }
    }

    /// Updates the model from the tail latencies of a worker, and records since when one has been
    /// over its target.
    fn record_tails(&mut self, id: &WorkerId, now: Millis) {
        let uses = Arc::new(self.cpu_shares(id, false));
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let mut over_target = false;
        for run in worker.runs.values_mut() {
            let (Some(target), true) = (run.target, run.has_tail_reading()) else {
                continue;
            };
            let slack = target.0 as f64 / run.gauge as f64;
            over_target |= slack < 1.0;
            if !run.slack.is_due(now) {
                continue;
            }
            let index = self.interference.index_of(&run.image);
            let loss = self.interference.loss(index, &uses);
            self.interference.record_slack(&run.image, slack + loss);
            if let Some(previous) = run.slack.add_reading(slack, loss, uses.clone(), now) {
                self.interference.learn(
                    &run.image,
                    (previous.slack, &previous.uses),
                    (slack, &uses),
                );
            }
        }
        worker.margins = None;
        worker.current.over_target_since =
            over_target.then(|| worker.current.over_target_since.unwrap_or(now));
    }

    /// Returns the pace of noisy neighbours at which each serving image stays below its target, by
    /// the image's index in the model.
    fn pace_limits(&mut self, id: &WorkerId) -> Vec<(Option<usize>, f64)> {
        let uses = self.cpu_shares(id, true);
        let Some(worker) = self.workers.get(id) else {
            return Vec::new();
        };
        let mut limits: Vec<(Option<usize>, f64)> = Vec::new();
        for run in worker.runs.values() {
            if run.target.is_none() || !run.has_tail_reading() {
                continue;
            }
            let Some(baseline) = run.slack.predict(PACE_LOOKAHEAD_S) else {
                continue;
            };
            let index = self.interference.index_of(&run.image);
            let (noisy, calm): (CpuShares, CpuShares) = uses.iter().partition(|(image, _)| {
                self.interference.coefficient(index, *image) > NOISY_COEFFICIENT
            });
            let noisy = self.interference.loss(index, &noisy);
            if noisy <= 0.0 {
                continue;
            }
            let available = baseline - 1.0 - PACE_RESERVE - self.interference.loss(index, &calm);
            let limit = (available / noisy).clamp(0.0, 1.0);
            match limits.iter_mut().find(|(known, _)| *known == index) {
                Some((_, least)) => *least = least.min(limit),
                None => limits.push((index, limit)),
            }
        }
        limits
    }

    /// Slows a best-effort run down as far as its serving neighbours need, or speeds it up again.
    fn adjust_pace(
        &mut self,
        id: &WorkerId,
        key: &TaskKey,
        limits: &[(Option<usize>, f64)],
        now: Millis,
    ) {
        let Some(run) = self.workers.get(id).and_then(|worker| worker.runs.get(key)) else {
            return;
        };
        let (pace, pace_changed_at, saves_checkpoints) =
            (run.pace, run.pace_changed_at, run.saves_checkpoints);
        let impact = self.interference.impact(&run.image);
        let limit = limits
            .iter()
            .filter(|(index, _)| impact.of(*index) > NOISY_COEFFICIENT)
            .fold(1.0, |least: f64, (_, limit)| least.min(*limit));
        let steps = (limit * f64::from(100 / PACE_STEP)).floor() as u32;
        let wanted = steps * PACE_STEP;
        let waited = now.since(pace_changed_at);
        if pace <= MOVE_PACE && wanted <= MOVE_PACE {
            if saves_checkpoints && waited > MOVE_AFTER {
                tracing::info!(task = %key, worker = %id, pace, "run is moved away from serving tasks");
                self.stop(id, key, now);
            }
            return;
        }
        if (wanted < pace && waited >= SLOW_DOWN_INTERVAL)
            || (wanted > pace && waited >= SPEED_UP_INTERVAL)
        {
            self.send_pace(id, key, wanted, now);
        }
    }

    fn send_pace(&mut self, id: &WorkerId, key: &TaskKey, percent: u32, now: Millis) {
        let fence = self.fence;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let address = worker.address.clone();
        let incarnation = worker.current.number;
        let Some(run) = worker.runs.get_mut(key) else {
            return;
        };
        if percent == run.pace {
            return;
        }
        run.pace = percent;
        run.pace_changed_at = now;
        run.progressed_at = now;
        self.commands.push(Command::Pace {
            run: StopCommand {
                worker: id.clone(),
                incarnation,
                address,
                task: key.clone(),
                run: run.run,
                fence,
            },
            percent,
        });
    }
}
