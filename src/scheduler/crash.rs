//! What follows for a task when workers crash under it.

use super::worker::{Run, RunState};
use super::{Crash, Crashes, Evidence, RunOutcome, TaskKey};
use crate::prelude::*;

/// Time on one worker after which a run is not suspected of a crash, and its task no longer of
/// earlier ones.
pub(super) const CLEARED_AFTER: Millis = Millis(10_000);

/// Length of a trial: a suspected task that crashes its worker does so within this time.
pub(super) const TRIAL_PERIOD: Millis = Millis(3000);

/// Time on a worker, as of its last report, after which a run without earlier crashes is not
/// suspected beside a trial. A trial begins beside runs of `TRIAL_PERIOD`, and a report may be a
/// second old.
const SETTLED_AFTER: Millis = Millis(2000);

/// Crashes in a row from which a task is tried apart from other new and suspected runs.
const CRASHES_TO_TRY_ALONE: u32 = 2;

/// Crashes in a row after which a task is given up if it was the only suspect of the last one.
const CRASHES_TO_GIVE_UP_ALONE: u32 = 3;

/// Crashes in a row after which a task is given up whatever ran beside it.
const CRASHES_TO_GIVE_UP: u32 = 4;

/// Certain crashes without which a task is given up only after a longer series.
const CERTAIN_CRASHES_TO_GIVE_UP: usize = 2;

/// Probable crashes after which a task is given up although changes of the leader have hidden them.
const PROBABLE_CRASHES_TO_GIVE_UP: usize = 4;

/// Crashes after which a task is given up however often workers crash: it must not be started three
/// times more after three crashes.
const CRASHES_IN_ANY_CASE: u32 = 5;

/// Largest probability that a sound task has met its crashes by chance, for it to be given up. A busy
/// fleet runs some ten thousand tasks in the time that workers in a row take to crash.
const MAX_COINCIDENCE: f64 = 1e-5;

/// Time on the worker that is assumed for a run whose start is not known.
const UNKNOWN_EXPOSURE: Millis = TRIAL_PERIOD;

/// Age of the last report of a worker when it crashes, at most.
const REPORT_AGE: Millis = Millis(1000);

/// What follows from the crashes under a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// The task starts again, away from other suspects if possible.
    Suspected,
    /// The task starts again without other new or suspected runs on its worker.
    TryAlone,
    /// The task does not start again, and its job fails.
    GiveUp,
}

/// Decides on a task under which workers in a row have crashed, the last one while the task was
/// `alone` if so. `crash_rate` is the number of crashes of one worker in a second, for all reasons.
pub(super) fn verdict(crashes: &Crashes, alone: bool, crash_rate: f64) -> Verdict {
    let count = crashes.count();
    let certain = crashes.with(Evidence::Certain).count();
    let probable = crashes.with(Evidence::Probable).count();
    let is_blamed = count >= CRASHES_TO_GIVE_UP || (alone && count >= CRASHES_TO_GIVE_UP_ALONE);
    let is_proved = certain >= CERTAIN_CRASHES_TO_GIVE_UP
        || probable >= PROBABLE_CRASHES_TO_GIVE_UP
        || (certain > 0 && count >= CRASHES_IN_ANY_CASE);
    let is_no_chance =
        count >= CRASHES_IN_ANY_CASE || coincidence(crashes, crash_rate) <= MAX_COINCIDENCE;
    if is_blamed && is_proved && is_no_chance {
        Verdict::GiveUp
    } else if needs_trial(count) {
        Verdict::TryAlone
    } else {
        Verdict::Suspected
    }
}

/// Returns the probability that workers crash like this under a task that has no part in it.
fn coincidence(crashes: &Crashes, crash_rate: f64) -> f64 {
    let chance = |crash: &Crash| 1.0 - (-crash_rate * crash.exposure.0 as f64 / 1000.0).exp();
    crashes.with(Evidence::Probable).map(chance).product()
}

/// Returns whether a task is tried alone after this number of crashes.
pub(super) fn needs_trial(crashes: u32) -> bool {
    crashes >= CRASHES_TO_TRY_ALONE
}

/// Returns whether the end of a run on a sound worker clears its task. A stop may come before the
/// task has done anything.
pub(super) fn run_clears_task(outcome: RunOutcome, run: Option<&Run>, now: Millis) -> bool {
    outcome != RunOutcome::Interrupted
        || run.is_some_and(|run| now.since(run.started_at) >= TRIAL_PERIOD)
}

/// A run that was lost with its worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct LostRun {
    pub key: TaskKey,
    pub run: u32,
    /// Crashes under the task at its assignment.
    pub crashes: u32,
    /// Time from the start to the last report of the worker.
    pub survived: Millis,
    /// What the crash of its worker would show.
    pub evidence: Evidence,
    /// Longest time for which the run was there.
    pub exposure: Millis,
}

impl LostRun {
    /// Returns what a crash of the worker says about a run; `None` if the run had not been started
    /// or is known to have been stopped.
    pub fn new(key: &TaskKey, run: &Run, last_report_at: Millis) -> Option<Self> {
        let may_be_present = match run.state {
            RunState::Planned { .. } => false,
            RunState::Sent | RunState::Running => true,
            RunState::Stopping => run.settled_at.is_none(),
        };
        let survived = last_report_at.since(run.started_at);
        (may_be_present && !run.left_over).then(|| Self {
            key: key.clone(),
            run: run.run,
            crashes: run.crashes,
            survived,
            evidence: match (run.was_seen, run.is_restored) {
                (true, _) => Evidence::Certain,
                (false, true) => Evidence::Probable,
                (false, false) => Evidence::Possible,
            },
            exposure: match run.is_restored {
                true => UNKNOWN_EXPOSURE.max(survived + REPORT_AGE),
                false => survived + REPORT_AGE,
            },
        })
    }

    fn is_suspect(&self) -> bool {
        self.survived < CLEARED_AFTER
    }

    /// Returns whether the run was neither new on its worker nor suspected.
    fn is_settled(&self) -> bool {
        self.crashes == 0 && self.survived >= SETTLED_AFTER
    }
}

/// A worker process that is gone, or perhaps only cut off, and the runs that it had.
#[derive(Clone, Debug)]
pub(super) struct LostWorker {
    pub id: WorkerId,
    pub address: String,
    pub incarnation: u64,
    /// Runs that had been started.
    pub runs: Vec<LostRun>,
    /// The crash came while the worker had the runs; a silent worker may first have been cut off.
    pub has_runs: bool,
    /// Another process has taken the place of the worker.
    pub is_replaced: bool,
    pub at: Millis,
}

impl LostWorker {
    /// Returns the runs that may have crashed the worker.
    pub fn suspects(&self) -> impl Iterator<Item = &LostRun> {
        self.runs.iter().filter(|run| run.is_suspect())
    }

    /// Returns whether no other run can have crashed the worker.
    pub fn is_only_suspect(&self, suspect: &LostRun) -> bool {
        let mut others = self.runs.iter().filter(|run| run.key != suspect.key);
        self.has_runs && others.all(LostRun::is_settled)
    }
}
