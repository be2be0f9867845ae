//! Crashes that tasks cause, and the starts of such tasks afterwards.

use std::collections::BTreeMap;

/// Crashes under a task after which its further starts are counted.
const CRASHES_TO_BLAME: usize = 3;

/// Starts of a task that are tolerated after these crashes.
const TOLERATED_STARTS: usize = 2;

/// Crashes under one task, and its starts after the decisive one.
#[derive(Default)]
struct TaskCrashes {
    crashes: usize,
    later_starts: usize,
}

/// Crashes under each crashing task of a site.
#[derive(Default)]
pub struct CrashLog {
    tasks: BTreeMap<String, TaskCrashes>,
}

impl CrashLog {
    /// Records that a worker has crashed under a crashing task.
    pub fn record_crash(&mut self, task: &str) {
        self.tasks.entry(task.to_string()).or_default().crashes += 1;
    }

    /// Records a start of a task; returns the violation if it has been started too often.
    pub fn record_start(&mut self, task: &str) -> Option<String> {
        let found = self.tasks.get_mut(task)?;
        if found.crashes < CRASHES_TO_BLAME {
            return None;
        }
        found.later_starts += 1;
        (found.later_starts > TOLERATED_STARTS).then(|| {
            let (crashes, starts) = (found.crashes, found.later_starts);
            format!(
                "{task} is start {starts} after {CRASHES_TO_BLAME} of {crashes} crashes under it"
            )
        })
    }
}
