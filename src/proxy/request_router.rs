//! Asynchronous front of the dispatcher: requests await its decisions here.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};

use parking_lot::Mutex;
use tokio::sync::{Notify, oneshot};

use super::Clock;
use crate::prelude::*;
use crate::routing::{Dispatcher, IncomingRequest, Outcome, Pick, RequestId, Verdict};

type Decisions = Vec<(RequestId, Verdict)>;

/// Shares the dispatcher between requests and delivers its deferred decisions to them.
pub(super) struct RequestRouter {
    dispatcher: Arc<Mutex<Dispatcher>>,
    waiters: Mutex<HashMap<RequestId, oneshot::Sender<Verdict>>>,
    next_id: AtomicU64,
    wake: Notify,
    clock: Clock,
}

impl RequestRouter {
    pub(super) fn new(dispatcher: Arc<Mutex<Dispatcher>>, clock: Clock) -> Arc<Self> {
        Arc::new(Self {
            dispatcher,
            waiters: Mutex::default(),
            next_id: AtomicU64::new(1),
            wake: Notify::new(),
            clock,
        })
    }

    /// Submits a new request to the dispatcher and waits for the decision on it.
    pub(super) async fn submit(
        self: &Arc<Self>,
        mut req: IncomingRequest,
    ) -> (RequestHandle, Verdict) {
        let id = RequestId(self.next_id.fetch_add(1, Ordering::Relaxed));
        req.id = id;
        let handle = RequestHandle {
            id,
            router: self.clone(),
            ended: false,
        };
        let verdict = self
            .decide(id, |dispatcher, now| {
                (dispatcher.dispatch(req, now), Vec::new())
            })
            .await;
        (handle, verdict)
    }

    /// Runs `change` on the dispatcher and delivers the resulting decisions.
    pub(super) fn change(&self, change: impl FnOnce(&mut Dispatcher, Millis) -> Decisions) {
        let decisions = change(&mut self.dispatcher.lock(), self.clock.now());
        self.deliver(decisions);
        self.wake.notify_one();
    }

    /// Runs `read` on the dispatcher and returns its result.
    pub(super) fn read<T>(&self, read: impl FnOnce(&Dispatcher) -> T) -> T {
        read(&self.dispatcher.lock())
    }

    /// Runs the dispatcher's timed decisions when they are due.
    pub(super) async fn run(self: Arc<Self>) {
        loop {
            let due = self.read(Dispatcher::next_tick);
            let sleep = async {
                match due {
                    Some(due) => self.clock.sleep_until(due).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = self.wake.notified() => {}
                () = sleep => {
                    let decisions = self.dispatcher.lock().tick(self.clock.now());
                    self.deliver(decisions);
                }
            }
        }
    }

    async fn decide(
        &self,
        id: RequestId,
        ask: impl FnOnce(&mut Dispatcher, Millis) -> (Verdict, Decisions),
    ) -> Verdict {
        let (tx, rx) = oneshot::channel();
        // The waiter is registered first, since another thread may deliver the decision before
        // `ask` returns.
        self.waiters.lock().insert(id, tx);
        let (verdict, decisions) = ask(&mut self.dispatcher.lock(), self.clock.now());
        self.deliver(decisions);
        self.wake.notify_one();
        if verdict == Verdict::Wait {
            return rx.await.unwrap_or(Verdict::Unknown);
        }
        self.waiters.lock().remove(&id);
        verdict
    }

    fn deliver(&self, mut decisions: Decisions) {
        while let Some((id, verdict)) = decisions.pop() {
            let waiter = self.waiters.lock().remove(&id);
            let delivered = waiter.is_some_and(|tx| tx.send(verdict).is_ok());
            if !delivered {
                let more = self.dispatcher.lock().cancel(id, self.clock.now());
                decisions.extend(more);
            }
        }
    }
}

/// Handle of a request that the dispatcher tracks. Dropping it cancels the request and frees its
/// slots.
pub(super) struct RequestHandle {
    id: RequestId,
    router: Arc<RequestRouter>,
    ended: bool,
}

impl RequestHandle {
    /// Reports the completion of the request.
    pub(super) fn finish(mut self, outcome: Outcome) {
        self.ended = true;
        let id = self.id;
        self.router
            .change(|dispatcher, now| dispatcher.finish(id, outcome, now));
    }

    /// Drops the handle without a cancellation, since the dispatcher no longer tracks the request.
    pub(super) fn disarm(mut self) {
        self.ended = true;
    }

    /// Reports the end of the last attempt and waits for the decision on a retry.
    pub(super) async fn retry(&self, outcome: Outcome) -> Verdict {
        let id = self.id;
        self.router
            .decide(id, |dispatcher, now| dispatcher.retry(id, outcome, now))
            .await
    }

    /// Asks for a hedged attempt beside the first one.
    pub(super) fn hedge(&self) -> Option<Pick> {
        let mut dispatcher = self.router.dispatcher.lock();
        dispatcher.hedge(self.id, self.router.clock.now())
    }

    /// Returns a reporter for attempts that may end after the request has completed.
    pub(super) fn attempt_reporter(&self) -> AttemptReporter {
        AttemptReporter {
            id: self.id,
            router: self.router.clone(),
        }
    }
}

/// Reports the end of single attempts of a hedged request.
pub(super) struct AttemptReporter {
    id: RequestId,
    router: Arc<RequestRouter>,
}

impl AttemptReporter {
    /// Reports the end of one attempt while the request continues.
    pub(super) fn end_attempt(&self, vm: &VmId, outcome: Outcome) {
        let id = self.id;
        self.router
            .change(|dispatcher, now| dispatcher.end_attempt(id, vm, outcome, now));
    }
}

impl Drop for RequestHandle {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        self.router.waiters.lock().remove(&self.id);
        let id = self.id;
        self.router
            .change(|dispatcher, now| dispatcher.cancel(id, now));
    }
}
