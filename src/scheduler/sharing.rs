//! Keeps tasks that fill from harming tasks that serve on the same worker.

use super::worker::RunState;
use super::{Order, Scheduler, StopOrder, TaskKey};
use crate::prelude::*;

/// Time after a harm in which no task that fills is added to the worker.
const HARM_MEMORY: Millis = Millis(10_000);

/// Shortest time between two changes of pace; the effect shows in figures of half a second.
const PACE_GAP: Millis = Millis(600);

/// Share of a target, in thousandths, above which tasks that fill are slowed down.
const SLOW_PERMILLE: u64 = 950;

/// Share of a target, in thousandths, below which they are sped up again.
const SPEED_PERMILLE: u64 = 600;

/// Steps of the pace, in percent.
const PACES: [u32; 4] = [100, 50, 20, 0];

/// What is known of the tails on one worker.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Tail {
    harmed: Option<Millis>,
}

impl Tail {
    pub fn is_harmed(&self, now: Millis) -> bool {
        self.harmed.is_some_and(|at| now.since(at) < HARM_MEMORY)
    }
}

impl Scheduler {
    /// Sets the pace of the tasks that fill by the worst tail beside them.
    pub(super) fn watch_sharing(&mut self, id: &WorkerId, now: Millis) {
        let fence = self.fence;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.serving == 0 && worker.filling.0 == 0 {
            return;
        }
        let worst = worker
            .runs
            .values()
            .filter(|run| run.state == RunState::Placed && run.percent >= 100)
            .filter_map(|run| Some(run.gauge * 1000 / run.target?.0.max(1)))
            .max();
        let fillers: Vec<TaskKey> = worker
            .runs
            .iter()
            .filter(|(_, run)| run.fills && run.state == RunState::Placed)
            .map(|(key, _)| key.clone())
            .collect();
        let slower = worst.is_some_and(|share| share > SLOW_PERMILLE);
        let faster = worst.is_none_or(|share| share < SPEED_PERMILLE);
        if slower && !fillers.is_empty() {
            worker.tail.harmed = Some(now);
        }
        let address = worker.address.clone();
        for key in fillers {
            let Some(run) = worker.runs.get_mut(&key) else {
                continue;
            };
            let at = PACES.iter().position(|pace| *pace <= run.pace).unwrap_or(0);
            let next = if slower && run.pace > 0 {
                PACES[(at + 1).min(PACES.len() - 1)]
            } else if faster && run.pace < 100 {
                PACES[at.saturating_sub(1)]
            } else {
                continue;
            };
            if now.since(run.paced) < PACE_GAP {
                continue;
            }
            run.pace = next;
            run.paced = now;
            run.moved = now;
            tracing::debug!(task = %key, worker = %id, pace = next, worst, "pace set");
            self.orders.push(Order::Pace {
                run: StopOrder {
                    worker: id.clone(),
                    address: address.clone(),
                    task: key.clone(),
                    run: run.run,
                    fence,
                },
                percent: next,
            });
        }
    }
}
