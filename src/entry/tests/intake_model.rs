//! Random histories of submissions and cancellations of one job at several processes, checked by an
//! oracle that knows the store.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::play_histories;
use crate::entry::intake::{StoredIntake, cancellation, cancelled, removal_of_marks, submission};
use crate::entry::jobs::ChangeOutcome;
use crate::entry::keys::{cancel_key, job_key};
use crate::entry::{Item, Transaction};
use crate::prelude::*;

const HISTORIES: u64 = 600;
const STEP: Millis = Millis(50);
const LENGTH: Millis = Millis(90_000);

/// Time for which callers act; marks without a job are removed a minute later.
const ACTIVE: Millis = Millis(15_000);
const MARK_RETENTION: Millis = Millis(60_000);

/// Attempts of one write; the second follows a lost answer.
const ATTEMPTS: usize = 2;

fn id() -> JobId {
    "00000000000000d7".parse().expect("valid id")
}

#[derive(Default)]
struct Store {
    revision: u64,
    items: BTreeMap<String, u64>,
    /// Writes that take effect at these times if their conditions hold then.
    late: Vec<(Millis, Transaction)>,
}

impl Store {
    fn commit(&mut self, txn: &Transaction) -> Result<(), StoredIntake> {
        let found = |key: &String| self.items.get(key).copied().unwrap_or(0);
        if txn.expected.iter().any(|(key, rev)| found(key) != *rev) {
            let items = txn.expected.iter().map(|(key, _)| Item {
                key: key.clone(),
                value: Vec::new(),
                revision: found(key),
            });
            let items: Vec<Item> = items.filter(|item| item.revision > 0).collect();
            return Err(StoredIntake::from_conflict(&items));
        }
        self.revision += 1;
        for (key, _, _) in &txn.writes {
            self.items.insert(key.clone(), self.revision);
        }
        for key in &txn.removes {
            self.items.remove(key);
        }
        Ok(())
    }

    fn has(&self, key: &str) -> bool {
        self.items.contains_key(key)
    }

    fn is_active(&self) -> bool {
        self.has(&job_key(&id())) && !self.has(&cancel_key(&id()))
    }
}

/// A request of a caller at a process, between two of its writes.
struct Request {
    is_submission: bool,
    /// Revision of the job for which a cancellation is written.
    job: u64,
    attempts: usize,
    next_at: Millis,
}

struct Model {
    rng: ChaCha8Rng,
    now: Millis,
    store: Store,
    requests: Vec<Request>,
    accepted: bool,
    cancel_answered: bool,
    cancel_sent: bool,
    refused: u64,
    cancelled: u64,
}

impl Model {
    fn new(seed: u64) -> Self {
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Millis::ZERO,
            store: Store::default(),
            requests: Vec::new(),
            accepted: false,
            cancel_answered: false,
            cancel_sent: false,
            refused: 0,
            cancelled: 0,
        }
    }

    /// Plays the history of a seed.
    fn play(seed: u64) -> Self {
        let mut model = Self::new(seed);
        model.run();
        model
    }

    fn run(&mut self) {
        // In some histories nobody cancels.
        let cancels = self.rng.random_bool(0.8);
        while self.now < LENGTH {
            self.now = self.now + STEP;
            self.take_effect_late();
            if self.now < ACTIVE && self.rng.random_bool(0.02) {
                let is_submission = !cancels || self.rng.random_bool(0.6);
                self.begin(is_submission);
            }
            for request in std::mem::take(&mut self.requests) {
                self.step(request);
            }
            if self.now >= ACTIVE + MARK_RETENTION {
                let leader = ("leader".to_string(), 0);
                // Fails if the job is stored.
                let _ = self.store.commit(&removal_of_marks(leader, &[id()]));
            }
            self.check();
        }
    }

    fn begin(&mut self, is_submission: bool) {
        self.cancel_sent |= !is_submission;
        let job = self.store.items.get(&job_key(&id())).copied();
        self.requests.push(Request {
            is_submission,
            job: job.unwrap_or(0),
            attempts: 0,
            next_at: self.now + Millis(self.rng.random_range(0..400)),
        });
    }

    fn take_effect_late(&mut self) {
        let now = self.now;
        let (due, late): (Vec<_>, Vec<_>) = std::mem::take(&mut self.store.late)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.store.late = late;
        for (_, txn) in due {
            // Nobody waits for the outcome any more.
            let _ = self.store.commit(&txn);
        }
    }

    /// Sends the next write of a request, whose answer may be lost.
    fn step(&mut self, mut request: Request) {
        if self.now < request.next_at {
            self.requests.push(request);
            return;
        }
        let txn = match request.is_submission {
            true => submission(&id(), Vec::new()),
            false => cancellation(&id(), request.job, Vec::new()),
        };
        request.attempts += 1;
        match self.rng.random_range(0..10) {
            0..2 => {
                let _ = self.store.commit(&txn);
                self.repeat(request);
            }
            2..5 => {
                let late = self.now + Millis(self.rng.random_range(100..6000));
                self.store.late.push((late, txn));
                self.repeat(request);
            }
            _ => {
                let outcome = self.store.commit(&txn);
                self.answer(request, outcome);
            }
        }
    }

    fn repeat(&mut self, request: Request) {
        if request.attempts < ATTEMPTS {
            let next_at = self.now + Millis(700);
            self.requests.push(Request { next_at, ..request });
        }
    }

    fn answer(&mut self, request: Request, outcome: Result<(), StoredIntake>) {
        let outcome = match (request.is_submission, outcome) {
            (true, Ok(())) => ChangeOutcome::Stored,
            (true, Err(found)) => found.submission_outcome(),
            (false, Ok(())) => cancelled(request.job),
            (false, Err(found)) => match found.cancellation_outcome() {
                Some(outcome) => outcome,
                None => {
                    let (job, next_at) = (found.job, self.now + STEP);
                    self.requests.push(Request {
                        job,
                        next_at,
                        attempts: 0,
                        ..request
                    });
                    return;
                }
            },
        };
        match (request.is_submission, outcome) {
            (true, ChangeOutcome::Stored) => self.accepted = true,
            (true, ChangeOutcome::Withdrawn) => {
                self.refused += 1;
                assert!(self.cancel_sent, "refused without a cancellation");
            }
            (false, ChangeOutcome::Stored | ChangeOutcome::NoJob) => {
                self.cancelled += 1;
                self.cancel_answered = true;
            }
            other => panic!("{other:?}"),
        }
    }

    fn check(&self) {
        let is_stored = self.store.has(&job_key(&id()));
        assert!(
            !(self.cancel_answered && self.store.is_active()),
            "at {}: the job is active after its cancel was answered",
            self.now
        );
        assert!(
            !(self.refused > 0 && self.store.is_active()),
            "at {}: the job is active after it was refused",
            self.now
        );
        assert!(
            !self.accepted || is_stored,
            "at {}: an accepted job is gone",
            self.now
        );
    }
}

/// Guards against a job that is active after a caller was told that it is cancelled or was never
/// accepted, and against an accepted job that is lost (review case 8). Submissions and cancellations
/// are sent at any time by several processes, repeated, and carried out late.
#[test]
fn a_cancelled_or_refused_job_is_never_active() {
    let (mut refused, mut cancelled) = (0, 0);
    play_histories(HISTORIES, Model::play, |model| {
        refused += model.refused;
        cancelled += model.cancelled;
    });
    assert!(
        refused > HISTORIES / 4 && cancelled > HISTORIES,
        "{refused} {cancelled}"
    );
}
