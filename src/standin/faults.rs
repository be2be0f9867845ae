//! Faults that the stand-ins can be told to show.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// Faults of the key-value service.
#[derive(Debug, Default)]
pub struct StoreFaults {
    down: AtomicBool,
    lose_answers: AtomicU64,
    delay_ms: AtomicU64,
}

impl StoreFaults {
    /// Refuses every call while set.
    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
    }

    /// Tells whether calls are refused.
    pub fn is_down(&self) -> bool {
        self.down.load(Ordering::SeqCst)
    }

    /// Drops the answers of the next `count` writes after they took effect.
    pub fn lose_answers(&self, count: u64) {
        self.lose_answers.store(count, Ordering::SeqCst);
    }

    /// Takes one lost answer from the budget.
    pub fn takes_answer(&self) -> bool {
        self.lose_answers
            .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |count| {
                count.checked_sub(1)
            })
            .is_ok()
    }

    /// Delays every call.
    pub fn set_delay_ms(&self, delay: u64) {
        self.delay_ms.store(delay, Ordering::SeqCst);
    }

    /// Returns the delay of a call.
    pub fn delay_ms(&self) -> u64 {
        self.delay_ms.load(Ordering::SeqCst)
    }
}

/// Faults of a worker agent.
#[derive(Debug, Default)]
pub struct WorkerFaults {
    fail_all: AtomicBool,
    ignore_stop_ms: AtomicU64,
    report_lag_ms: AtomicU64,
    silent: AtomicBool,
}

impl WorkerFaults {
    /// Fails every task soon after its start while set.
    pub fn set_fail_all(&self, fail: bool) {
        self.fail_all.store(fail, Ordering::SeqCst);
    }

    /// Tells whether tasks fail.
    pub fn fails_all(&self) -> bool {
        self.fail_all.load(Ordering::SeqCst)
    }

    /// Keeps a task running for a while after a stop.
    pub fn set_ignore_stop_ms(&self, ms: u64) {
        self.ignore_stop_ms.store(ms, Ordering::SeqCst);
    }

    /// Returns how long a stop is ignored.
    pub fn ignore_stop_ms(&self) -> u64 {
        self.ignore_stop_ms.load(Ordering::SeqCst)
    }

    /// Sets the age of measurements in reports.
    pub fn set_report_lag_ms(&self, ms: u64) {
        self.report_lag_ms.store(ms, Ordering::SeqCst);
    }

    /// Returns the age of measurements in reports.
    pub fn report_lag_ms(&self) -> u64 {
        self.report_lag_ms.load(Ordering::SeqCst)
    }

    /// Answers no call while set.
    pub fn set_silent(&self, silent: bool) {
        self.silent.store(silent, Ordering::SeqCst);
    }

    /// Tells whether calls go unanswered.
    pub fn is_silent(&self) -> bool {
        self.silent.load(Ordering::SeqCst)
    }
}

/// Faults of a service endpoint.
#[derive(Debug, Default)]
pub struct EndpointFaults {
    refuse: AtomicBool,
    fail: AtomicBool,
    truncate: AtomicBool,
    generation: AtomicU64,
    slow_ms: AtomicU64,
}

impl EndpointFaults {
    /// Refuses requests without running them while set.
    pub fn set_refuse(&self, refuse: bool) {
        self.refuse.store(refuse, Ordering::SeqCst);
    }

    /// Tells whether requests are refused.
    pub fn refuses(&self) -> bool {
        self.refuse.load(Ordering::SeqCst)
    }

    /// Answers requests with status 500 while set.
    pub fn set_fail(&self, fail: bool) {
        self.fail.store(fail, Ordering::SeqCst);
    }

    /// Tells whether requests fail.
    pub fn fails(&self) -> bool {
        self.fail.load(Ordering::SeqCst)
    }

    /// Cuts answers off half-way while set.
    pub fn set_truncate(&self, truncate: bool) {
        self.truncate.store(truncate, Ordering::SeqCst);
    }

    /// Tells whether answers are cut off.
    pub fn truncates(&self) -> bool {
        self.truncate.load(Ordering::SeqCst)
    }

    /// Silences all connections that are open now; new ones work.
    pub fn silence_open_connections(&self) {
        self.generation.fetch_add(1, Ordering::SeqCst);
    }

    /// Returns the number of times that open connections were silenced.
    pub fn generation(&self) -> u64 {
        self.generation.load(Ordering::SeqCst)
    }

    /// Adds to the service time of every request.
    pub fn set_slow_ms(&self, ms: u64) {
        self.slow_ms.store(ms, Ordering::SeqCst);
    }

    /// Returns the addition to service times.
    pub fn slow_ms(&self) -> u64 {
        self.slow_ms.load(Ordering::SeqCst)
    }
}
