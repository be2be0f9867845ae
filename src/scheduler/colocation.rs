//! Keeps tasks that fill from harming tasks that serve on the same worker.

use super::interference::{Noise, Uses};
use super::worker::{Run, RunState};
use super::{Command, Scheduler, StepSpec, StopCommand, TaskKey, Worker};
use crate::prelude::*;

/// Shortest time between two changes that speed a run up; figures are of half a second.
const FASTER_GAP: Millis = Millis(550);

/// Shortest time between two changes that slow a run down.
const SLOWER_GAP: Millis = Millis(250);

/// Step of the pace, in percent; smaller changes are not worth a call.
const PACE_STEP: u32 = 10;

/// Coefficient above which a pair counts as noisy; calm pairs have about 0.3.
const NOISY_COEFFICIENT: f64 = 1.2;

/// Pace, in percent, at which a run is better off elsewhere.
const MOVE_PACE: u32 = 20;

/// Time at such a pace after which a run that saves checkpoints is moved.
const MOVE_AFTER: Millis = Millis(900);

/// Part of the time after which a harm counts, in thousandths, after which all tasks that fill are
/// halted, whatever the model says of them; a halt shows within another such part.
const HALT_PERMILLE: u64 = 250;

/// Part of that time after which they are ended.
const END_PERMILLE: u64 = 500;

/// Slack that a placement leaves to spare: a tail is read with an error of about 8%.
const PLACE_RESERVE: f64 = 0.1;

/// Time for which a placement looks ahead, in seconds; a best-effort task runs about as long.
const PLACE_AHEAD_S: f64 = 1.5;

/// Slack that a pace leaves to spare.
const PACE_RESERVE: f64 = 0.15;

/// Time for which a pace looks ahead, in seconds: until the next one can take effect.
const PACE_AHEAD_S: f64 = 0.7;

/// Share of its reserved processors, in thousandths, that a serving task uses on average.
const SERVING_USE_PERMILLE: u64 = 450;

impl Run {
    /// Processors that the run is expected to use.
    pub(super) fn busy(&self) -> u64 {
        if self.target.is_some() {
            self.room.cpu.0 * SERVING_USE_PERMILLE / 1000
        } else if self.best_effort {
            self.cpu.0
        } else {
            self.room.cpu.0
        }
    }

    /// Tells whether its tail can be read.
    fn is_serving(&self) -> bool {
        self.state == RunState::Placed && self.percent >= 100 && self.gauge > 0
    }
}

impl Worker {
    /// Processors that tasks which fill can count on.
    pub(super) fn idle(&self) -> u64 {
        let capacity = self.entry.as_ref().map_or(0, |entry| entry.capacity.cpu.0);
        capacity.saturating_sub(self.busy)
    }

    fn capacity(&self) -> f64 {
        self.entry
            .as_ref()
            .map_or(1.0, |entry| entry.capacity.cpu.0.max(1) as f64)
    }
}

impl Scheduler {
    /// Shares of a worker's processors that tasks which fill use now, or would at full pace.
    fn uses(&mut self, id: &WorkerId, full: bool) -> Uses {
        let Some(worker) = self.workers.get(id) else {
            return Uses::new();
        };
        let capacity = worker.capacity();
        let mut uses = Uses::new();
        for run in worker.runs.values().filter(|run| run.best_effort) {
            let used = if full { run.cpu.0 } else { run.gauge };
            let place = self.interference.filling_place(&run.image);
            let share = used as f64 / capacity;
            match uses.iter_mut().find(|(at, _)| *at == place) {
                Some((_, sum)) => *sum += share,
                None => uses.push((place, share)),
            }
        }
        uses
    }

    /// Brings the slack to spare on all workers up to date.
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

    /// Brings the slack to spare on one worker up to date.
    pub(super) fn refresh_margin(&mut self, id: &WorkerId) {
        let uses = self.uses(id, true);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let mut margins: Vec<(Option<usize>, f64)> = Vec::new();
        for run in worker.runs.values().filter(|run| run.target.is_some()) {
            let place = self.interference.place(&run.image);
            let base = run
                .slack
                .ahead(PLACE_AHEAD_S)
                .unwrap_or_else(|| self.interference.mean_slack(place));
            let margin = base - 1.0 - PLACE_RESERVE - self.interference.loss(place, &uses);
            match margins.iter_mut().find(|(known, _)| *known == place) {
                Some((_, least)) => *least = least.min(margin),
                None => margins.push((place, margin)),
            }
        }
        worker.margins = Some(margins);
    }

    /// Slack that is to spare beside one more best-effort task, and the most that it costs a serving
    /// task; the former is negative if a target would be missed.
    pub(super) fn headroom(worker: &Worker, step: &StepSpec, noise: &Noise) -> (f64, f64) {
        let share = step.need.cpu.0 as f64 / worker.capacity();
        let margins = worker.margins.iter().flatten();
        margins.fold((f64::INFINITY, 0.0), |(least, most), (place, margin)| {
            let loss = noise.of(*place) * share;
            (least.min(margin - loss), loss.max(most))
        })
    }

    /// Learns from the tails on a worker and sets the pace of the tasks that fill beside them.
    pub(super) fn watch_sharing(&mut self, id: &WorkerId, now: Millis) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        if worker.serving == 0 && worker.filling.0 == 0 {
            return;
        }
        self.read_tails(id, now);
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let since = worker.over_since.map_or(Millis::ZERO, |at| now.since(at));
        let harm = self.timing.violation_after;
        let fillers: Vec<TaskKey> = worker
            .runs
            .iter()
            .filter(|(_, run)| run.best_effort && run.state == RunState::Placed)
            .map(|(key, _)| key.clone())
            .collect();
        if fillers.is_empty() {
            return;
        }
        let limits = self.pace_limits(id);
        for key in fillers {
            if since > harm.scale_permille(END_PERMILLE) {
                tracing::info!(task = %key, worker = %id, over_ms = since.0, "run ends beside a serving task over its target");
                self.stop(id, &key, now);
            } else if since > harm.scale_permille(HALT_PERMILLE) {
                self.send_pace(id, &key, 0, now);
            } else {
                self.set_pace(id, &key, &limits, now);
            }
        }
    }

    /// Learns from the tails on a worker, and notes since when one is over its target.
    fn read_tails(&mut self, id: &WorkerId, now: Millis) {
        let uses = Arc::new(self.uses(id, false));
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let mut over = false;
        for run in worker.runs.values_mut() {
            let (Some(target), true) = (run.target, run.is_serving()) else {
                continue;
            };
            let slack = target.0 as f64 / run.gauge as f64;
            over |= slack < 1.0;
            if !run.slack.is_due(now) {
                continue;
            }
            let place = self.interference.place(&run.image);
            let loss = self.interference.loss(place, &uses);
            self.interference.note_slack(&run.image, slack + loss);
            if let Some(earlier) = run.slack.read(slack, loss, uses.clone(), now) {
                self.interference
                    .learn(&run.image, (earlier.slack, &earlier.uses), (slack, &uses));
            }
        }
        worker.margins = None;
        worker.over_since = over.then(|| worker.over_since.unwrap_or(now));
    }

    /// Pace at which the noisy neighbours of each serving image leave it below its target, by its
    /// place in the model.
    fn pace_limits(&mut self, id: &WorkerId) -> Vec<(Option<usize>, f64)> {
        let uses = self.uses(id, true);
        let Some(worker) = self.workers.get(id) else {
            return Vec::new();
        };
        let mut limits: Vec<(Option<usize>, f64)> = Vec::new();
        for run in worker.runs.values() {
            if run.target.is_none() || !run.is_serving() {
                continue;
            }
            let Some(base) = run.slack.ahead(PACE_AHEAD_S) else {
                continue;
            };
            let place = self.interference.place(&run.image);
            let (noisy, calm): (Uses, Uses) = uses.iter().partition(|(image, _)| {
                self.interference.coefficient(place, *image) > NOISY_COEFFICIENT
            });
            let noisy = self.interference.loss(place, &noisy);
            if noisy <= 0.0 {
                continue;
            }
            let spare = base - 1.0 - PACE_RESERVE - self.interference.loss(place, &calm);
            let limit = (spare / noisy).clamp(0.0, 1.0);
            match limits.iter_mut().find(|(known, _)| *known == place) {
                Some((_, least)) => *least = least.min(limit),
                None => limits.push((place, limit)),
            }
        }
        limits
    }

    /// Slows a run that disturbs a serving task down as far as needed, or speeds it up again.
    fn set_pace(
        &mut self,
        id: &WorkerId,
        key: &TaskKey,
        limits: &[(Option<usize>, f64)],
        now: Millis,
    ) {
        let Some(run) = self.workers.get(id).and_then(|worker| worker.runs.get(key)) else {
            return;
        };
        let (pace, paced, saved) = (run.pace, run.paced, run.saved);
        let noise = self.interference.noise(&run.image);
        let limit = limits
            .iter()
            .filter(|(place, _)| noise.of(*place) > NOISY_COEFFICIENT)
            .fold(1.0, |least: f64, (_, limit)| least.min(*limit));
        let steps = (limit * f64::from(100 / PACE_STEP)).floor() as u32;
        let wanted = steps * PACE_STEP;
        let waited = now.since(paced);
        if pace <= MOVE_PACE && wanted <= MOVE_PACE {
            if saved && waited > MOVE_AFTER {
                tracing::info!(task = %key, worker = %id, pace, "run is moved away from serving tasks");
                self.stop(id, key, now);
            }
            return;
        }
        if (wanted < pace && waited >= SLOWER_GAP) || (wanted > pace && waited >= FASTER_GAP) {
            self.send_pace(id, key, wanted, now);
        }
    }

    fn send_pace(&mut self, id: &WorkerId, key: &TaskKey, percent: u32, now: Millis) {
        let fence = self.fence;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let address = worker.address.clone();
        let Some(run) = worker.runs.get_mut(key) else {
            return;
        };
        if percent == run.pace {
            return;
        }
        run.pace = percent;
        run.paced = now;
        run.moved = now;
        self.orders.push(Command::Pace {
            run: StopCommand {
                worker: id.clone(),
                address,
                task: key.clone(),
                run: run.run,
                fence,
            },
            percent,
        });
    }
}
