//! One round of attempts at a request: a first one and perhaps a hedged one beside it.

use std::future::Future;
use std::pin::Pin;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use super::attempt::{Attempt, Won};
use super::board::Ticket;
use super::call::Call;
use super::pool::Trust;
use super::settle::{p99, patience, silent_after};
use super::shared::Shared;
use crate::prelude::*;
use crate::routing::{Outcome, Pick};

/// Shortest time before a second attempt is started beside a first one.
const MIN_HEDGE_DELAY: Millis = Millis(5);

/// How a round ended.
pub(super) enum Step {
    Won(Box<Won>, Version, JoinHandle<()>),
    Ended(Outcome),
}

type AttemptEnd = (Pick, Result<Won, Outcome>);

/// An attempt in progress.
struct Running {
    vm: VmId,
    dead: CancellationToken,
    suspect: bool,
}

/// One round of attempts: a first one and perhaps a hedged one beside it.
pub(super) struct Round<'a> {
    shared: &'a Arc<Shared>,
    call: &'a Arc<Call>,
    ticket: &'a Ticket,
    attempts: FuturesUnordered<Pin<Box<dyn Future<Output = AttemptEnd> + Send>>>,
    running: Vec<Running>,
    suspects: (mpsc::UnboundedSender<VmId>, mpsc::UnboundedReceiver<VmId>),
    silent_after: Millis,
    hedge_after: Option<Millis>,
    /// Whether the next attempt is the first one of the request.
    first: bool,
}

impl<'a> Round<'a> {
    pub(super) fn new(
        shared: &'a Arc<Shared>,
        call: &'a Arc<Call>,
        ticket: &'a Ticket,
        first: bool,
    ) -> Self {
        let p99 = p99(shared, &call.head.service);
        Self {
            shared,
            call,
            ticket,
            attempts: FuturesUnordered::new(),
            running: Vec::new(),
            suspects: mpsc::unbounded_channel(),
            silent_after: silent_after(p99),
            hedge_after: (p99 > Millis::ZERO).then(|| p99.max(MIN_HEDGE_DELAY)),
            first,
        }
    }

    /// Sends the request and follows its attempts until one is answered or all have ended.
    pub(super) async fn run(mut self, pick: Pick) -> Step {
        let clock = self.shared.clock;
        let deadline = self.call.deadline;
        self.start(pick);
        let mut give_up = deadline;
        let mut hedge_at = self.hedge_after.map(|delay| clock.now() + delay);
        loop {
            let hedge_due = clock.sleep_until(hedge_at.unwrap_or(deadline));
            tokio::select! {
                () = hedge_due, if hedge_at.is_some() => {
                    hedge_at = None;
                    if self.hedge() {
                        give_up = deadline;
                    } else if self.all_suspect() {
                        // The retry budget may have grown by then.
                        hedge_at = Some(clock.now() + self.silent_after);
                    }
                }
                Some((pick, result)) = self.attempts.next() => {
                    self.running.retain(|held| held.vm != pick.vm);
                    match result {
                        Ok(won) => {
                            return Step::Won(Box::new(won), pick.version, self.end_others());
                        }
                        Err(outcome) if self.attempts.is_empty() => return Step::Ended(outcome),
                        Err(outcome) => self.ticket.ender().end_attempt(&pick.vm, outcome),
                    }
                }
                Some(vm) = self.suspects.1.recv() => {
                    for held in self.running.iter_mut().filter(|held| held.vm == vm) {
                        held.suspect = true;
                    }
                    if !self.hedge() && self.all_suspect() {
                        give_up = give_up.min(patience(clock.now(), deadline));
                        hedge_at = Some(clock.now() + self.silent_after);
                    }
                }
                () = clock.sleep_until(give_up) => {
                    return Step::Ended(self.end_all().await);
                }
            }
        }
    }

    fn start(&mut self, pick: Pick) {
        let (shared, call) = (self.shared.clone(), self.call.clone());
        let dead = CancellationToken::new();
        self.running.push(Running {
            vm: pick.vm.clone(),
            dead: dead.clone(),
            suspect: false,
        });
        let attempt = Attempt {
            pool: shared
                .pools
                .endpoint(pick.address.0, shared.one_slot(&call.head.service)),
            clock: shared.clock,
            trust: if self.first {
                call.trust()
            } else {
                Trust::Probed
            },
            deadline: call.deadline,
            dead,
            silent_after: Some(self.silent_after).filter(|_| call.is_repeatable()),
        };
        self.first = false;
        let tx = self.suspects.0.clone();
        self.attempts.push(Box::pin(async move {
            let vm = pick.vm.clone();
            let deadline = pick.deadline.min(call.deadline);
            let build = || {
                let left = deadline.since(shared.clock.now());
                call.request("", &[], left)
            };
            let result = attempt.run(build, move || drop(tx.send(vm))).await;
            (pick, result)
        }));
    }

    fn all_suspect(&self) -> bool {
        self.running.iter().all(|held| held.suspect)
    }

    /// Starts a second attempt if the dispatcher grants one.
    fn hedge(&mut self) -> bool {
        if self.running.len() > 1 || !self.call.is_repeatable() {
            return false;
        }
        let Some(pick) = self.ticket.hedge() else {
            return false;
        };
        self.shared.metrics.hedges.inc();
        self.start(pick);
        true
    }

    /// Ends the attempts that lost and frees their slots once their connections are closed.
    fn end_others(self) -> JoinHandle<()> {
        self.running.iter().for_each(|held| held.dead.cancel());
        let ender = self.ticket.ender();
        let (mut attempts, running) = (self.attempts, self.running);
        tokio::spawn(async move {
            while let Some((pick, _)) = attempts.next().await {
                let suspect = running
                    .iter()
                    .any(|held| held.vm == pick.vm && held.suspect);
                let outcome = if suspect {
                    Outcome::Stalled
                } else {
                    Outcome::Abandoned
                };
                ender.end_attempt(&pick.vm, outcome);
            }
        })
    }

    /// Ends all attempts; returns the outcome that says least about whether the request ran.
    async fn end_all(mut self) -> Outcome {
        self.running.iter().for_each(|held| held.dead.cancel());
        let mut outcomes = Vec::new();
        while let Some((pick, result)) = self.attempts.next().await {
            let outcome = result.err().unwrap_or(Outcome::Abandoned);
            if !self.attempts.is_empty() {
                self.ticket.ender().end_attempt(&pick.vm, outcome);
            }
            outcomes.push(outcome);
        }
        let ran = outcomes.iter().find(|outcome| !outcome.is_not_run());
        ran.or(outcomes.last()).copied().unwrap_or(Outcome::Stalled)
    }
}
