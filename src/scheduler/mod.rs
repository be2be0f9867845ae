//! Scheduling decisions of the leader: which task runs on which worker, and what follows when a run
//! ends.
//!
//! The scheduler does no I/O and reads no clock: callers pass in times, reports and responses, and
//! take out commands and records.

mod advice;
mod cancel_marks;
mod candidates;
mod colocation;
mod command;
mod commit;
mod completions;
mod crash;
mod crash_evidence;
mod crash_tracker;
mod entry_age;
mod fleet;
mod incarnation;
mod interference;
mod job;
mod order;
mod plan;
mod poll;
mod poll_gap;
mod preempt;
mod queue;
mod queue_load;
mod record;
mod record_queue;
mod report;
mod round;
mod run_lease;
mod search_budget;
mod selection;
mod silence;
mod slack;
mod spec;
mod state;
mod stop;
mod tick;
mod trial;
mod waits;
mod worker;
mod worker_entries;
mod worker_events;
mod worker_health;

pub use advice::{AdviceRequest, AdviceSettings};
pub use command::{Command, PollPlan, StartAnswer, StartCommand, StartResponse, StopCommand};
pub use commit::{BATCH_RECORDS, Batch, RecordWrite};
pub use crash_evidence::{Crash, Crashes, Evidence};
pub use entry_age::MAX_ENTRIES_AGE;
pub use job::{Job, JobView, Phase};
pub use queue::{Queue, QueueTable};
pub use queue_load::QueueLoad;
pub use record::{JobRecord, Placement, TaskRecord};
pub use report::{RunCompletion, RunOutcome, RunStatus, WorkerReport};
pub use run_lease::with_clock_drift;
pub use silence::SilentWorker;
pub use spec::{JobSpec, MAX_STEPS, Repeat, StepSpec, TaskKey};
pub use state::{PlanCounts, Scheduler, Timing};
pub use worker::{Worker, WorkerEntry};
