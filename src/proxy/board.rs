//! Connects requests that wait to the decisions of the dispatcher.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};

use parking_lot::Mutex;
use tokio::sync::{Notify, oneshot};

use super::Clock;
use crate::prelude::*;
use crate::routing::{Dispatcher, IncomingRequest, Outcome, Pick, RequestId, Verdict};

type Decisions = Vec<(RequestId, Verdict)>;

/// Shares the dispatcher between requests and delivers its later decisions.
pub(super) struct Board {
    dispatcher: Arc<Mutex<Dispatcher>>,
    waiters: Mutex<HashMap<RequestId, oneshot::Sender<Verdict>>>,
    next_id: AtomicU64,
    wake: Notify,
    clock: Clock,
}

impl Board {
    pub(super) fn new(dispatcher: Arc<Mutex<Dispatcher>>, clock: Clock) -> Arc<Self> {
        Arc::new(Self {
            dispatcher,
            waiters: Mutex::default(),
            next_id: AtomicU64::new(1),
            wake: Notify::new(),
            clock,
        })
    }

    /// Asks for a decision on a new request and waits for it.
    pub(super) async fn arrive(self: &Arc<Self>, mut req: IncomingRequest) -> (Ticket, Verdict) {
        let id = RequestId(self.next_id.fetch_add(1, Ordering::Relaxed));
        req.id = id;
        let ticket = Ticket {
            id,
            board: self.clone(),
            ended: false,
        };
        let verdict = self
            .decide(id, |dispatcher, now| {
                (dispatcher.dispatch(req, now), Vec::new())
            })
            .await;
        (ticket, verdict)
    }

    /// Runs `change` on the dispatcher and delivers the decisions that follow from it.
    pub(super) fn change(&self, change: impl FnOnce(&mut Dispatcher, Millis) -> Decisions) {
        let decisions = change(&mut self.dispatcher.lock(), self.clock.now());
        self.deliver(decisions);
        self.wake.notify_one();
    }

    /// Reads from the dispatcher.
    pub(super) fn read<T>(&self, read: impl FnOnce(&Dispatcher) -> T) -> T {
        read(&self.dispatcher.lock())
    }

    /// Runs the timed decisions of the dispatcher.
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
        // Registered first: another thread may get the decision before `ask` returns here.
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

/// A request that the dispatcher knows; dropping it frees what it holds.
pub(super) struct Ticket {
    id: RequestId,
    board: Arc<Board>,
    ended: bool,
}

impl Ticket {
    /// Reports the end of the request.
    pub(super) fn finish(mut self, outcome: Outcome) {
        self.ended = true;
        let id = self.id;
        self.board
            .change(|dispatcher, now| dispatcher.finish(id, outcome, now));
    }

    /// Gives up a request that the dispatcher has already forgotten.
    pub(super) fn forget(mut self) {
        self.ended = true;
    }

    /// Reports the end of the last attempt and waits for the decision on another one.
    pub(super) async fn resend(&self, outcome: Outcome) -> Verdict {
        let id = self.id;
        self.board
            .decide(id, |dispatcher, now| dispatcher.retry(id, outcome, now))
            .await
    }

    /// Asks for a second attempt beside the first.
    pub(super) fn hedge(&self) -> Option<Pick> {
        let mut dispatcher = self.board.dispatcher.lock();
        dispatcher.hedge(self.id, self.board.clock.now())
    }

    /// Returns a handle for attempts that end after the request's answer arrived.
    pub(super) fn ender(&self) -> Ender {
        Ender {
            id: self.id,
            board: self.board.clone(),
        }
    }
}

/// Reports the ends of single attempts of a hedged request.
pub(super) struct Ender {
    id: RequestId,
    board: Arc<Board>,
}

impl Ender {
    /// Reports the end of one attempt; the request goes on.
    pub(super) fn end_attempt(&self, vm: &VmId, outcome: Outcome) {
        let id = self.id;
        self.board
            .change(|dispatcher, now| dispatcher.end_attempt(id, vm, outcome, now));
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        self.board.waiters.lock().remove(&self.id);
        let id = self.id;
        self.board
            .change(|dispatcher, now| dispatcher.cancel(id, now));
    }
}
