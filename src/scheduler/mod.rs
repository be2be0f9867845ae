//! Decisions of the leader: which task runs on which worker, and what becomes of every run.
//!
//! Plain state and plain functions: time and answers are passed in, orders are taken out.

mod advice;
mod blame;
mod choose;
mod commit;
mod entries;
mod hold;
mod intake;
mod interference;
mod job;
mod order;
mod plan;
mod preempt;
mod queue;
mod record;
mod report;
mod round;
mod sharing;
mod slack;
mod spec;
mod state;
mod tick;
mod worker;

pub use advice::{AdviceTerms, AdviseOrder};
pub use commit::{Batch, RecordWrite};
pub use job::{Job, JobView, Phase};
pub use order::{HoldPlan, Order, StartAnswer, StartOrder, StopOrder};
pub use queue::{Queue, QueueTable};
pub use record::{JobRecord, Place, TaskRecord};
pub use report::{EndKind, Ended, Report, Running};
pub use spec::{JobSpec, Repeat, StepSpec, TaskKey};
pub use state::{Scheduler, Timing};
pub use worker::{Worker, WorkerEntry};
