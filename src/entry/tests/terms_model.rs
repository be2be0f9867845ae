//! Random histories of claims, hand-overs and failures, checked by an oracle that knows all leases.

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::{leader_info, play_histories, timing};
use crate::entry::claim_history::ClaimHistory;
use crate::entry::former_terms::FormerTerms;
use crate::entry::shared::LeaderInfo;
use crate::entry::stored_terms::{StoredTerms, Terms};
use crate::prelude::*;

const HISTORIES: u64 = 300;
const PROCESSES: u64 = 4;
const LENGTH: Millis = Millis(60_000);
const STEP: Millis = Millis(50);

/// Lease of the leader key.
const KEY_LEASE: Millis = Millis(1600);

/// Time from the last renewal of the key beyond which no lease of a run ends.
const HORIZON: Millis = Millis(8100);

/// A transaction that may take effect late.
#[derive(Clone)]
enum Write {
    Claim {
        info: LeaderInfo,
        former: StoredTerms,
        lease_ends: Millis,
    },
    HandOver {
        fence: u64,
        revision: u64,
        terms: Terms,
    },
}

#[derive(Default)]
struct Store {
    revision: u64,
    /// Revision, holder and end of the lease of the leader key.
    key: Option<(u64, LeaderInfo, Millis)>,
    terms: Terms,
    terms_revision: u64,
    /// Writes that take effect at these times if their conditions hold then.
    late: Vec<(Millis, Write)>,
}

impl Store {
    /// Executes a write if its conditions hold; returns the revision.
    fn execute(&mut self, write: &Write, now: Millis) -> Option<u64> {
        match write {
            Write::Claim {
                info,
                former,
                lease_ends,
            } => {
                let holds = self.key.is_none() && former.revision == self.terms_revision;
                if !holds || now >= *lease_ends {
                    return None;
                }
                self.revision += 1;
                self.key = Some((self.revision, info.clone(), *lease_ends));
                self.terms = former.followed_by(info.clone());
            }
            Write::HandOver {
                fence,
                revision,
                terms,
            } => {
                let is_held = self.key.as_ref().is_some_and(|key| key.0 == *fence);
                if !is_held || *revision != self.terms_revision {
                    return None;
                }
                self.revision += 1;
                self.key = None;
                self.terms = terms.clone();
            }
        }
        self.terms_revision = self.revision;
        Some(self.revision)
    }

    fn advance(&mut self, now: Millis) {
        if self.key.as_ref().is_some_and(|key| now >= key.2) {
            self.key = None;
            self.revision += 1;
        }
        let (due, late) = std::mem::take(&mut self.late)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.late = late;
        let due: Vec<(Millis, Write)> = due;
        for (_, write) in due {
            self.execute(&write, now);
        }
    }
}

struct Leading {
    info: LeaderInfo,
    fence: u64,
    term_ended: CancellationToken,
    former: FormerTerms,
    /// Last renewal of the leader key.
    renewed_at: Millis,
}

struct Process {
    number: u64,
    incarnation: u64,
    claims: ClaimHistory,
    /// The process is frozen or down until then.
    away_until: Millis,
    /// The next process at the address is a new one.
    is_down: bool,
    unanswered: Option<(LeaderInfo, StoredTerms)>,
    /// A claim that has taken effect at a revision, and the time at which the answer arrives.
    answer: Option<(Millis, LeaderInfo, StoredTerms, u64)>,
    leading: Option<Leading>,
}

impl Process {
    fn start(number: u64, incarnation: u64, now: Millis) -> Self {
        Self {
            number,
            incarnation,
            claims: ClaimHistory::new(incarnation, now),
            away_until: now,
            is_down: false,
            unanswered: None,
            answer: None,
            leading: None,
        }
    }
}

struct Model {
    rng: ChaCha8Rng,
    now: Millis,
    store: Store,
    processes: Vec<Process>,
    /// Latest end of the leases that were granted under each fencing token.
    leases: BTreeMap<u64, Millis>,
    terms_begun: u64,
    claims_lost: u64,
}

impl Model {
    fn new(seed: u64) -> Self {
        let start = Millis(100_000);
        let processes = (1..=PROCESSES).map(|number| Process::start(number, 1, start));
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: start,
            store: Store::default(),
            processes: processes.collect(),
            leases: BTreeMap::new(),
            terms_begun: 0,
            claims_lost: 0,
        }
    }

    /// Plays the history of a seed.
    fn play(seed: u64) -> Self {
        let mut model = Self::new(seed);
        model.run();
        model
    }

    fn run(&mut self) {
        let end = self.now + LENGTH;
        while self.now < end {
            self.now = self.now + STEP;
            self.store.advance(self.now);
            self.inject_fault();
            for at in 0..self.processes.len() {
                self.step(at);
            }
        }
    }

    fn inject_fault(&mut self) {
        if !self.rng.random_bool(0.03) {
            return;
        }
        let at = self.rng.random_range(0..self.processes.len());
        let away = Millis(self.rng.random_range(200..9000));
        let process = &mut self.processes[at];
        process.away_until = process.away_until.max(self.now + away);
        if self.rng.random_bool(0.5) {
            process.is_down = true;
            process.leading = None;
        }
    }

    fn step(&mut self, at: usize) {
        if self.now < self.processes[at].away_until {
            return;
        }
        if self.processes[at].is_down {
            let (number, incarnation) = (self.processes[at].number, self.processes[at].incarnation);
            self.processes[at] = Process::start(number, incarnation + 1, self.now);
        }
        if self.processes[at].leading.is_some() {
            self.lead(at);
        } else {
            self.elect(at);
        }
    }

    /// Grants leases, asks former leaders and checks what they have granted.
    fn lead(&mut self, at: usize) {
        let now = self.now;
        let Some(mut leading) = self.processes[at].leading.take() else {
            return;
        };
        let number = leading.info.claim;
        let key_lost = self
            .store
            .key
            .as_ref()
            .is_none_or(|key| key.0 != leading.fence);
        let notices = key_lost && self.rng.random_bool(0.1);
        if leading.term_ended.is_cancelled() || notices {
            self.processes[at].claims.end(number, now);
            return;
        }
        if let Some(key) = self.store.key.as_mut().filter(|_| !key_lost)
            && self.rng.random_bool(0.5)
        {
            key.2 = now + KEY_LEASE;
            leading.renewed_at = now;
        }
        let lease_end = timing().lease_end(now);
        let limit = leading.renewed_at + HORIZON;
        let granted = self.leases.entry(leading.fence).or_default();
        *granted = (*granted).max(lease_end.min(limit));
        self.ask_former(at, &mut leading);
        self.check(&leading);
        if self.rng.random_bool(0.02) {
            self.processes[at].claims.end(number, now);
            let write = Write::HandOver {
                fence: leading.fence,
                revision: leading.former.revision,
                terms: leading.former.after(&leading.info, Vec::new(), now),
            };
            if self.rng.random_bool(0.3) {
                let late = now + Millis(self.rng.random_range(100..4000));
                self.store.late.push((late, write));
            } else {
                self.store.execute(&write, now);
            }
            return;
        }
        self.processes[at].leading = Some(leading);
    }

    /// Asks former leaders and writes the terms if they are out of date.
    fn ask_former(&mut self, at: usize, leading: &mut Leading) {
        let now = self.now;
        for info in leading.former.unanswered() {
            let asked = self
                .processes
                .iter_mut()
                .find(|process| leader_info(process.number, 1, info.claim).address == info.address);
            let Some(asked) = asked.filter(|asked| now >= asked.away_until && !asked.is_down)
            else {
                continue;
            };
            let answer =
                asked
                    .claims
                    .end_for_successor(info.incarnation, info.claim, leading.fence, now);
            if let Some(end) = answer.filter(|_| self.rng.random_bool(0.3)) {
                leading.former.record_end(&info, end, now);
            }
        }
        leading.former.end_wait(&timing(), now);
        let is_held = self
            .store
            .key
            .as_ref()
            .is_some_and(|key| key.0 == leading.fence);
        if leading.former.is_outdated(now) && is_held && self.rng.random_bool(0.5) {
            let terms = leading.former.during(&leading.info, Vec::new(), now);
            self.store.revision += 1;
            self.store.terms_revision = self.store.revision;
            self.store.terms = terms.clone();
            leading.former.on_stored(&terms, self.store.revision);
        }
        assert!(self.processes[at].leading.is_none(), "taken by the caller");
    }

    /// Fails if a lease of another leader runs although this one counts all as ended.
    fn check(&self, leading: &Leading) {
        if self.now <= leading.former.leases_end(&timing()) {
            return;
        }
        for (fence, lease_end) in self.leases.range(..leading.fence) {
            assert!(
                *lease_end <= self.now,
                "at {}: a lease of {fence} runs until {lease_end}, beside leader {}",
                self.now,
                leading.fence
            );
        }
    }

    /// Takes up an unanswered claim that has taken effect, or claims if nobody leads.
    fn elect(&mut self, at: usize) {
        let now = self.now;
        if !self.rng.random_bool(0.2) {
            return;
        }
        let process = &mut self.processes[at];
        if let Some((arrives_at, info, former, revision)) = process.answer.take() {
            if now < arrives_at {
                process.answer = Some((arrives_at, info, former, revision));
            } else {
                self.begin(at, info, former, revision);
            }
            return;
        }
        if let Some((revision, holder, _)) = &self.store.key {
            let unanswered = process.unanswered.take();
            if let Some((info, former)) = unanswered.filter(|(info, _)| info == holder) {
                let revision = *revision;
                self.begin(at, info, former, revision);
            }
            return;
        }
        let former = StoredTerms {
            terms: self.store.terms.clone(),
            revision: self.store.terms_revision,
        };
        let number = process.claims.open(now);
        let info = leader_info(process.number, process.incarnation, number);
        let write = Write::Claim {
            info: info.clone(),
            former: former.clone(),
            lease_ends: now + KEY_LEASE,
        };
        match self.rng.random_range(0..10) {
            0..3 => {
                self.store.execute(&write, now);
                self.claims_lost += 1;
                self.processes[at].unanswered = Some((info, former));
            }
            3..5 => {
                let late = now + Millis(self.rng.random_range(100..3000));
                self.store.late.push((late, write));
                self.processes[at].unanswered = Some((info, former));
            }
            _ => match self.store.execute(&write, now) {
                Some(revision) => {
                    let arrives_at = now + Millis(self.rng.random_range(0..700));
                    self.processes[at].answer = Some((arrives_at, info, former, revision));
                }
                None => self.processes[at].claims.withdraw(number),
            },
        }
    }

    fn begin(&mut self, at: usize, info: LeaderInfo, former: StoredTerms, fence: u64) {
        let now = self.now;
        let term_ended = CancellationToken::new();
        let process = &mut self.processes[at];
        if !process.claims.begin(info.claim, fence, term_ended.clone()) {
            return;
        }
        self.terms_begun += 1;
        process.leading = Some(Leading {
            info,
            fence,
            term_ended,
            former: FormerTerms::new(former, fence, now),
            renewed_at: now,
        });
    }
}

/// Guards against a leader that counts leases of former leaders as ended while they run. Claims are
/// lost or take effect late, hand-overs too, and processes freeze, die and restart.
#[test]
fn no_lease_of_a_former_leader_runs_once_it_counts_as_ended() {
    let (mut begun, mut lost) = (0, 0);
    play_histories(HISTORIES, Model::play, |model| {
        begun += model.terms_begun;
        lost += model.claims_lost;
    });
    assert!(
        begun > 10 * HISTORIES && lost > 5 * HISTORIES,
        "{begun} {lost}"
    );
}
