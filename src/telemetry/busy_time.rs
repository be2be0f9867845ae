//! Processor time of the process by activity.
//!
//! A thread has one current activity. Entering another one suspends it, so nested activities are
//! not counted twice. Time is read from the steady clock, which on a thread that does not block is
//! the time that it has run.

use std::cell::Cell;
use std::future::Future;
use std::marker::PhantomData;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use pin_project_lite::pin_project;

/// What a thread spends its time on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activity {
    /// Planning rounds of the leader.
    Plan,
    /// Reports of workers, from the decoded lists to the resulting commands.
    Report,
    /// Periodic checks of the scheduler.
    Tick,
    /// Encoding of records and the consequences of their writes.
    Record,
    /// Changes of jobs and worker entries that a watch has shown.
    Watch,
    /// Loading of the state at the start of a term.
    Load,
    /// Renewal and watch of the leader key.
    Lease,
    /// Polls of workers: encoding, transfer and decoding.
    Poll,
    /// Start, stop and pace calls to workers.
    Command,
    /// Connections to workers.
    WorkerLink,
    /// Connections to the store.
    StoreLink,
    /// Formatting and writing of log lines.
    Log,
    /// Requests of callers and peers.
    Request,
}

impl Activity {
    /// All activities, in the order of their declaration.
    pub const ALL: [Self; 13] = [
        Self::Plan,
        Self::Report,
        Self::Tick,
        Self::Record,
        Self::Watch,
        Self::Load,
        Self::Lease,
        Self::Poll,
        Self::Command,
        Self::WorkerLink,
        Self::StoreLink,
        Self::Log,
        Self::Request,
    ];

    /// Returns the name of the activity in metrics and log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Plan => "plan",
            Self::Report => "report",
            Self::Tick => "tick",
            Self::Record => "record",
            Self::Watch => "watch",
            Self::Load => "load",
            Self::Lease => "lease",
            Self::Poll => "poll",
            Self::Command => "command",
            Self::WorkerLink => "worker_link",
            Self::StoreLink => "store_link",
            Self::Log => "log",
            Self::Request => "request",
        }
    }

    /// Returns the time that all threads have spent on the activity so far.
    pub fn total(self) -> Duration {
        Duration::from_nanos(TOTAL_NANOS[self as usize].load(Ordering::Relaxed))
    }

    /// Makes this the current activity of the thread until the guard is dropped.
    pub fn enter(self) -> ActivityGuard {
        ActivityGuard {
            previous: switch_to(Some(self)),
            not_send: PhantomData,
        }
    }

    /// Measures every poll of a future as this activity.
    pub fn measure<F: Future>(self, future: F) -> Measured<F> {
        Measured {
            future,
            activity: self,
        }
    }
}

static TOTAL_NANOS: [AtomicU64; Activity::ALL.len()] =
    [const { AtomicU64::new(0) }; Activity::ALL.len()];

thread_local! {
    static CURRENT: Cell<Option<(Activity, Instant)>> = const { Cell::new(None) };
}

/// Ends an activity of the thread and resumes the one before.
#[must_use = "the activity ends when the guard is dropped"]
pub struct ActivityGuard {
    previous: Option<Activity>,
    /// The activity belongs to the thread that has entered it.
    not_send: PhantomData<*const ()>,
}

impl Drop for ActivityGuard {
    fn drop(&mut self) {
        switch_to(self.previous);
    }
}

pin_project! {
    /// A future whose polls are measured as an activity.
    pub struct Measured<F> {
        #[pin]
        future: F,
        activity: Activity,
    }
}

impl<F: Future> Future for Measured<F> {
    type Output = F::Output;

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Self::Output> {
        let this = self.project();
        let _guard = this.activity.enter();
        this.future.poll(cx)
    }
}

/// Adds the time since the last switch to the current activity and makes `next` the current one;
/// returns the activity before.
fn switch_to(next: Option<Activity>) -> Option<Activity> {
    let now = Instant::now();
    let (before, since) = CURRENT.replace(next.map(|activity| (activity, now)))?;
    let spent = u64::try_from(now.duration_since(since).as_nanos()).unwrap_or(u64::MAX);
    TOTAL_NANOS[before as usize].fetch_add(spent, Ordering::Relaxed);
    Some(before)
}
