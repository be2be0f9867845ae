//! Round of attempts at a request: a first attempt and possibly a hedged one.

use std::future::Future;
use std::pin::Pin;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use super::attempt::{Attempt, UpstreamResponse};
use super::call::Call;
use super::dispatch::{give_up_time, p99, stall_timeout};
use super::pool::ReusePolicy;
use super::request_router::RequestHandle;
use super::shared::Shared;
use crate::prelude::*;
use crate::routing::{Outcome, Pick};

/// Minimum delay of a hedged attempt.
const MIN_HEDGE_DELAY: Millis = Millis(5);

/// Result of a round.
pub(super) enum RoundResult {
    Response(Box<UpstreamResponse>, Version, JoinHandle<()>),
    Failed(Outcome),
}

type AttemptEnd = (Pick, Result<UpstreamResponse, Outcome>);

/// Attempt in flight.
struct InFlightAttempt {
    vm: VmId,
    cancellation: CancellationToken,
    suspect: bool,
}

/// Round of attempts: a first attempt and possibly a hedged one.
pub(super) struct Round<'a> {
    shared: &'a Arc<Shared>,
    call: &'a Arc<Call>,
    handle: &'a RequestHandle,
    attempts: FuturesUnordered<Pin<Box<dyn Future<Output = AttemptEnd> + Send>>>,
    in_flight: Vec<InFlightAttempt>,
    suspects: (mpsc::UnboundedSender<VmId>, mpsc::UnboundedReceiver<VmId>),
    stall_timeout: Millis,
    hedge_after: Option<Millis>,
    /// Whether the next attempt is the first one of the request.
    first: bool,
}

impl<'a> Round<'a> {
    pub(super) fn new(
        shared: &'a Arc<Shared>,
        call: &'a Arc<Call>,
        handle: &'a RequestHandle,
        first: bool,
    ) -> Self {
        let p99 = p99(shared, &call.head.service);
        Self {
            shared,
            call,
            handle,
            attempts: FuturesUnordered::new(),
            in_flight: Vec::new(),
            suspects: mpsc::unbounded_channel(),
            stall_timeout: stall_timeout(p99),
            hedge_after: (p99 > Millis::ZERO).then(|| p99.max(MIN_HEDGE_DELAY)),
            first,
        }
    }

    /// Sends the request and waits until an attempt gets a response or all attempts have ended.
    pub(super) async fn run(mut self, pick: Pick) -> RoundResult {
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
                        // The retry budget may cover a hedged attempt by then.
                        hedge_at = Some(clock.now() + self.stall_timeout);
                    }
                }
                Some((pick, result)) = self.attempts.next() => {
                    self.in_flight.retain(|entry| entry.vm != pick.vm);
                    match result {
                        Ok(response) => {
                            return RoundResult::Response(
                                Box::new(response),
                                pick.version,
                                self.cancel_others(),
                            );
                        }
                        Err(outcome) if self.attempts.is_empty() =>
                            return RoundResult::Failed(outcome),
                        Err(outcome) => self
                            .handle
                            .attempt_reporter()
                            .end_attempt(&pick.vm, outcome),
                    }
                }
                Some(vm) = self.suspects.1.recv() => {
                    for entry in self.in_flight.iter_mut().filter(|entry| entry.vm == vm) {
                        entry.suspect = true;
                    }
                    if !self.hedge() && self.all_suspect() {
                        give_up = give_up.min(give_up_time(clock.now(), deadline));
                        hedge_at = Some(clock.now() + self.stall_timeout);
                    }
                }
                () = clock.sleep_until(give_up) => {
                    return RoundResult::Failed(self.cancel_all().await);
                }
            }
        }
    }

    fn start(&mut self, pick: Pick) {
        let (shared, call) = (self.shared.clone(), self.call.clone());
        let cancellation = CancellationToken::new();
        self.in_flight.push(InFlightAttempt {
            vm: pick.vm.clone(),
            cancellation: cancellation.clone(),
            suspect: false,
        });
        let attempt = Attempt {
            pool: shared.pools.endpoint(
                pick.address.0,
                shared.connections_per_slot(&call.head.service),
            ),
            clock: shared.clock,
            reuse_policy: if self.first {
                call.reuse_policy()
            } else {
                ReusePolicy::Probed
            },
            deadline: call.deadline,
            cancellation,
            stall_timeout: Some(self.stall_timeout).filter(|_| call.is_repeatable()),
        };
        self.first = false;
        let tx = self.suspects.0.clone();
        self.attempts.push(Box::pin(async move {
            let vm = pick.vm.clone();
            let deadline = pick.deadline.min(call.deadline);
            let build = || {
                let remaining = deadline.since(shared.clock.now());
                call.request("", &[], remaining)
            };
            let result = attempt.run(build, move || drop(tx.send(vm))).await;
            (pick, result)
        }));
    }

    fn all_suspect(&self) -> bool {
        self.in_flight.iter().all(|entry| entry.suspect)
    }

    /// Starts a hedged attempt if the dispatcher grants one, and returns whether it did.
    fn hedge(&mut self) -> bool {
        if self.in_flight.len() > 1 || !self.call.is_repeatable() {
            return false;
        }
        let Some(pick) = self.handle.hedge() else {
            return false;
        };
        self.shared.metrics.hedges.inc();
        self.start(pick);
        true
    }

    /// Cancels the other attempts and frees their slots once their connections are closed.
    fn cancel_others(self) -> JoinHandle<()> {
        self.in_flight
            .iter()
            .for_each(|entry| entry.cancellation.cancel());
        let attempt_reporter = self.handle.attempt_reporter();
        let (mut attempts, in_flight) = (self.attempts, self.in_flight);
        tokio::spawn(async move {
            while let Some((pick, _)) = attempts.next().await {
                let suspect = in_flight
                    .iter()
                    .any(|entry| entry.vm == pick.vm && entry.suspect);
                let outcome = if suspect {
                    Outcome::Stalled
                } else {
                    Outcome::Abandoned
                };
                attempt_reporter.end_attempt(&pick.vm, outcome);
            }
        })
    }

    /// Cancels all attempts and returns an outcome after which the request may have run, if any.
    async fn cancel_all(mut self) -> Outcome {
        self.in_flight
            .iter()
            .for_each(|entry| entry.cancellation.cancel());
        let mut outcomes = Vec::new();
        while let Some((pick, result)) = self.attempts.next().await {
            let outcome = result.err().unwrap_or(Outcome::Abandoned);
            if !self.attempts.is_empty() {
                self.handle
                    .attempt_reporter()
                    .end_attempt(&pick.vm, outcome);
            }
            outcomes.push(outcome);
        }
        let ran = outcomes.iter().find(|outcome| !outcome.is_not_run());
        ran.or(outcomes.last()).copied().unwrap_or(Outcome::Stalled)
    }
}
