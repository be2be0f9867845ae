//! Keeps tasks that fill from harming tasks that serve on the same worker.

use super::interference::{Noise, Usage};
use super::worker::{Run, RunState};
use super::{Order, Scheduler, StepSpec, StopOrder, TaskKey, Worker};
use crate::prelude::*;

/// Shortest time between two changes of pace; the effect shows in figures of half a second.
const PACE_GAP: Millis = Millis(550);

/// Share of a target, in thousandths, above which tasks that fill are slowed down.
const SLOW_PERMILLE: u64 = 900;

/// Share of a target, in thousandths, below which they are sped up again.
const SPEED_PERMILLE: u64 = 600;

/// Coefficient above which a pair counts as noisy.
const NOISY_COEFFICIENT: f64 = 1.2;

/// Steps of the pace, in percent.
const PACES: [u32; 3] = [100, 30, 0];

/// Time at pace 0 after which a run is moved to another worker.
const MOVE_AFTER: Millis = Millis(900);

/// Part of the time after which a harm counts, in thousandths, after which all tasks that fill are
/// halted, whatever the model says of them; a halt shows within another such part.
const HALT_PERMILLE: u64 = 250;

/// Part of that time after which they are ended.
const END_PERMILLE: u64 = 500;

/// Weight of a new sample in a serving run's residual; its load swings within about 14 s.
const RESIDUAL_GAIN: f64 = 0.4;

/// Bounds of a residual: a low load rises again, and a high one is bounded by its swing.
const LEAST_RESIDUAL: f64 = -0.2;
const MOST_RESIDUAL: f64 = 0.8;

/// Headroom, as a logarithm, that a placement leaves for the swing of a serving task's load.
const SWING_HEADROOM: f64 = 0.35;

/// Share of its reserved processors, in thousandths, that a serving task uses on average.
const SERVING_USE_PERMILLE: u64 = 450;

impl Run {
    /// Processors that the run is expected to use.
    pub(super) fn busy(&self) -> u64 {
        if self.target.is_some() {
            self.room.cpu.0 * SERVING_USE_PERMILLE / 1000
        } else if self.fills {
            self.cpu.0
        } else {
            self.room.cpu.0
        }
    }
}

impl Worker {
    /// Processors that tasks which fill can count on.
    pub(super) fn idle(&self) -> u64 {
        let capacity = self.entry.as_ref().map_or(0, |entry| entry.capacity.cpu.0);
        capacity.saturating_sub(self.busy)
    }

    /// Shares of its processors that tasks which fill use now, or would at full pace.
    fn uses(&self, full: bool) -> Vec<Usage> {
        let capacity = self.capacity();
        self.runs
            .values()
            .filter(|run| run.fills)
            .map(|run| {
                let used = if full { run.cpu.0 } else { run.gauge };
                (run.image.clone(), used as f64 / capacity)
            })
            .collect()
    }

    fn capacity(&self) -> f64 {
        self.entry
            .as_ref()
            .map_or(1.0, |entry| entry.capacity.cpu.0.max(1) as f64)
    }
}

impl Scheduler {
    /// Brings the headrooms of all serving runs up to date.
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

    /// Brings the headrooms of one worker's serving runs up to date.
    pub(super) fn refresh_margin(&mut self, id: &WorkerId) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let mut margins: Vec<(Option<usize>, f64)> = Vec::new();
        if worker.serving > 0 {
            let uses = worker.uses(true);
            for run in worker.runs.values() {
                let Some(target) = run.target else { continue };
                let tail = self.interference.predict(&run.image, &uses) + run.residual;
                let margin = (target.0.max(1) as f64).ln() - SWING_HEADROOM - tail;
                let place = self.interference.place(&run.image);
                match margins.iter_mut().find(|(known, _)| *known == place) {
                    Some((_, least)) => *least = least.min(margin),
                    None => margins.push((place, margin)),
                }
            }
        }
        worker.margins = Some(margins);
    }

    /// Predicts how far the worst tail stays below its target beside one more task that fills, a
    /// logarithm that is negative if a target would be missed; `noise` is of the task's image.
    pub(super) fn headroom(worker: &Worker, step: &StepSpec, noise: &Noise) -> f64 {
        let share = step.need.cpu.0 as f64 / worker.capacity();
        worker
            .margins
            .iter()
            .flatten()
            .map(|(place, margin)| margin - noise.of(*place) * share)
            .fold(f64::INFINITY, f64::min)
    }

    /// Learns from the tails on a worker and sets the pace of the tasks that fill beside them.
    pub(super) fn watch_sharing(&mut self, id: &WorkerId, now: Millis) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        if worker.serving == 0 && worker.filling.0 == 0 {
            return;
        }
        let uses = worker.uses(false);
        let mut worst: Option<(u64, String)> = None;
        let mut residuals = Vec::new();
        for (key, run) in &worker.runs {
            let (Some(target), RunState::Placed) = (run.target, run.state) else {
                continue;
            };
            if run.percent < 100 {
                continue;
            }
            if run.gauge > 0 {
                let expected = self.interference.predict(&run.image, &uses);
                let above = (run.gauge as f64).ln() - expected;
                residuals.push((key.clone(), above));
            }
            self.interference.learn(&run.image, run.gauge, &uses);
            let share = run.gauge * 1000 / target.0.max(1);
            if worst.as_ref().is_none_or(|(most, _)| share > *most) {
                worst = Some((share, run.image.clone()));
            }
        }
        let over = worst.as_ref().is_some_and(|(share, _)| *share > 1000);
        let mut since = Millis::ZERO;
        if let Some(worker) = self.workers.get_mut(id) {
            for (key, above) in residuals {
                if let Some(run) = worker.runs.get_mut(&key) {
                    let mixed = run.residual + RESIDUAL_GAIN * (above - run.residual);
                    run.residual = mixed.clamp(LEAST_RESIDUAL, MOST_RESIDUAL);
                }
            }
            worker.margins = None;
            worker.over_since = over.then(|| worker.over_since.unwrap_or(now));
            since = worker.over_since.map_or(Millis::ZERO, |at| now.since(at));
        }
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let slower = worst
            .as_ref()
            .is_some_and(|(share, _)| *share > SLOW_PERMILLE);
        let faster = worst
            .as_ref()
            .is_none_or(|(share, _)| *share < SPEED_PERMILLE);
        let serving = worst.map(|(_, image)| image).unwrap_or_default();
        let fillers: Vec<(TaskKey, f64)> = worker
            .runs
            .iter()
            .filter(|(_, run)| run.fills && run.state == RunState::Placed)
            .map(|(key, run)| {
                let noise = self.interference.coefficient(&serving, &run.image);
                (key.clone(), noise)
            })
            .collect();
        let any_noisy = fillers.iter().any(|(_, noise)| *noise > NOISY_COEFFICIENT);
        for (key, noise) in fillers {
            if since > self.timing.harm.scale_permille(END_PERMILLE) {
                tracing::info!(task = %key, worker = %id, serving, "run ends beside a serving task over its target");
                self.stop(id, &key, now);
                continue;
            }
            if since > self.timing.harm.scale_permille(HALT_PERMILLE) {
                self.send_pace(id, &key, 0, now);
                continue;
            }
            let slower = slower && (noise > NOISY_COEFFICIENT || !any_noisy);
            self.set_pace(id, &key, slower, faster, now);
        }
    }

    fn set_pace(&mut self, id: &WorkerId, key: &TaskKey, slower: bool, faster: bool, now: Millis) {
        let Some(run) = self
            .workers
            .get_mut(id)
            .and_then(|worker| worker.runs.get_mut(key))
        else {
            return;
        };
        let waited = now.since(run.paced);
        if run.pace == 0 && waited > MOVE_AFTER && !faster {
            tracing::info!(task = %key, worker = %id, image = run.image, "run is moved away from serving tasks");
            self.stop(id, key, now);
            return;
        }
        if waited < PACE_GAP {
            return;
        }
        let at = PACES.iter().position(|pace| *pace <= run.pace).unwrap_or(0);
        let next = match (slower, faster) {
            (true, _) => PACES[(at + 1).min(PACES.len() - 1)],
            (_, true) => PACES[at.saturating_sub(1)],
            _ => return,
        };
        self.send_pace(id, key, next, now);
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
        self.orders.push(Order::Pace {
            run: StopOrder {
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
