//! Virtual-time queueing model of entry processes and endpoints.

mod entry;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::workload::{ENDPOINTS, FAR_US, NEAR_US, SLOTS, Workload, ZONES};
use crate::routing::PeerLoad;
use entry::Entry;
pub use entry::SlotSharing;

/// Interval of the reports between entry processes, in microseconds.
const HEARTBEAT: u64 = 1_000_000;

/// How requests are assigned to endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(serde::Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// A random endpoint, without limits.
    Random,
    /// Each endpoint in turn, without limits.
    RoundRobin,
    /// One queue before all slots, without delays between zones.
    SharedQueue,
    /// One dispatcher per entry process.
    Dispatcher(SlotSharing),
}

/// What happens at a point in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive { job: usize },
    Forwarded { job: usize, entry: usize },
    Reach { job: usize, endpoint: usize },
    Served { job: usize, endpoint: usize },
    Answer { job: usize, endpoint: usize },
    Report { job: usize },
    Tick { entry: usize },
    Heartbeat,
    Kill,
}

/// End of one request as its caller sees it.
#[derive(Clone, Copy, Debug)]
pub struct Answer {
    /// Place in [`super::workload::CLASSES`].
    pub class: usize,
    /// Time of arrival.
    pub arrived: u64,
    /// Time of the answer.
    pub at: u64,
    /// Whether the answer came before the deadline.
    pub useful: bool,
}

/// What a run showed.
#[derive(Clone, Debug, Default)]
pub struct RunResult {
    /// Answers in order of their arrival.
    pub answers: Vec<Answer>,
    /// Requests that were refused during the measurement.
    pub refused: u64,
    /// Requests that were lost with their entry process.
    pub lost: u64,
    /// Requests that were forwarded to a peer.
    pub forwarded: u64,
    /// Most requests in progress at an endpoint.
    pub most_in_progress: usize,
}

/// State of the model.
pub struct Simulation<'a> {
    work: &'a Workload,
    policy: Policy,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    endpoints: Vec<Endpoint>,
    entries: Vec<Entry>,
    /// Entry process that holds each request.
    holder: Vec<usize>,
    /// Entry process at which each request arrived.
    first: Vec<usize>,
    /// Loads on their way with the answers to forwarded requests.
    reports: BTreeMap<usize, PeerLoad>,
    shared: VecDeque<usize>,
    turn: usize,
    /// Slots that may be used by the shared queue.
    usable_slots: usize,
    running: usize,
    rng: ChaCha8Rng,
    result: RunResult,
}

#[derive(Clone, Debug, Default)]
struct Endpoint {
    running: usize,
    waiting: VecDeque<usize>,
}

impl<'a> Simulation<'a> {
    /// Prepares a run.
    pub fn new(work: &'a Workload, policy: Policy, entries: usize, seed: u64) -> Self {
        let mut simulation = Self {
            work,
            policy,
            events: BinaryHeap::new(),
            sequence: 0,
            endpoints: vec![Endpoint::default(); ENDPOINTS],
            entries: (0..entries).map(|at| Entry::new(at, seed)).collect(),
            holder: vec![0; work.jobs.len()],
            first: vec![0; work.jobs.len()],
            reports: BTreeMap::new(),
            shared: VecDeque::new(),
            turn: 0,
            usable_slots: ENDPOINTS * SLOTS as usize,
            running: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            result: RunResult::default(),
        };
        for (job, held) in work.jobs.iter().enumerate() {
            simulation.at(held.at, Event::Arrive { job });
        }
        if let Policy::Dispatcher(sharing) = policy {
            entry::share_slots(&mut simulation.entries, sharing);
            simulation.at(0, Event::Heartbeat);
        }
        simulation
    }

    /// Kills the first entry process at `time`; its slots stay unused.
    pub fn kill_at(&mut self, time: u64) {
        self.at(time, Event::Kill);
    }

    /// Runs until every request has ended.
    pub fn run(mut self) -> RunResult {
        let last = self.work.jobs.last().map_or(0, |job| job.at);
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            match event {
                Event::Arrive { job } => self.arrive(job, now),
                Event::Forwarded { job, entry } => self.enter(job, entry, true, now),
                Event::Reach { job, endpoint } => self.reach(job, endpoint, now),
                Event::Served { job, endpoint } => self.served(job, endpoint, now),
                Event::Answer { job, endpoint } => self.answer(job, endpoint, now),
                Event::Report { job } => self.take_report(job, now),
                Event::Tick { entry } => self.tick(entry, now),
                Event::Heartbeat => {
                    self.heartbeat(now);
                    if now < last {
                        self.at(now + HEARTBEAT, Event::Heartbeat);
                    }
                }
                Event::Kill => self.kill(),
            }
        }
        self.result.answers.sort_by_key(|answer| answer.arrived);
        self.result
    }

    /// Ends the first entry process; the shared queue loses the same part of the slots.
    fn kill(&mut self) {
        match self.policy {
            Policy::SharedQueue => self.usable_slots -= self.usable_slots / self.entries.len(),
            _ => self.entries[0].alive = false,
        }
    }

    fn at(&mut self, time: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence, event)));
    }

    fn arrive(&mut self, job: usize, now: u64) {
        let alive: Vec<usize> = (0..self.entries.len())
            .filter(|&at| self.entries[at].alive)
            .collect();
        let entry = alive[self.work.jobs[job].entry % alive.len()];
        self.holder[job] = entry;
        self.first[job] = entry;
        match self.policy {
            Policy::Random => {
                let endpoint = self.rng.random_range(0..ENDPOINTS);
                self.send(job, endpoint, now);
            }
            Policy::RoundRobin => {
                self.turn += 1;
                self.send(job, self.turn % ENDPOINTS, now);
            }
            Policy::SharedQueue => {
                self.shared.push_back(job);
                self.pull(now);
            }
            Policy::Dispatcher(_) => self.enter(job, entry, false, now),
        }
    }

    fn send(&mut self, job: usize, endpoint: usize, now: u64) {
        let delay = delay(self.holder[job], endpoint);
        self.at(now + delay, Event::Reach { job, endpoint });
    }

    fn reach(&mut self, job: usize, endpoint: usize, now: u64) {
        let place = &mut self.endpoints[endpoint];
        let in_progress = place.running + place.waiting.len() + 1;
        self.result.most_in_progress = self.result.most_in_progress.max(in_progress);
        if place.running < SLOTS as usize {
            self.start(job, endpoint, now);
        } else {
            place.waiting.push_back(job);
        }
    }

    fn start(&mut self, job: usize, endpoint: usize, now: u64) {
        self.running += 1;
        self.endpoints[endpoint].running += 1;
        let time = self.work.service_time(&self.work.jobs[job], endpoint, now);
        self.at(now + time, Event::Served { job, endpoint });
    }

    fn served(&mut self, job: usize, endpoint: usize, now: u64) {
        self.running -= 1;
        self.endpoints[endpoint].running -= 1;
        if let Some(next) = self.endpoints[endpoint].waiting.pop_front() {
            self.start(next, endpoint, now);
        }
        if self.policy == Policy::SharedQueue {
            self.record(job, now);
            self.pull(now);
            return;
        }
        let delay = delay(self.holder[job], endpoint);
        self.at(now + delay, Event::Answer { job, endpoint });
    }

    fn answer(&mut self, job: usize, endpoint: usize, now: u64) {
        let holder = self.holder[job];
        if !self.entries[holder].alive || !self.entries[self.first[job]].alive {
            self.result.lost += 1;
        } else {
            let back = match holder == self.first[job] {
                true => 0,
                false => delay(holder, self.first[job]),
            };
            self.record(job, now + back);
        }
        if holder != self.first[job] && self.entries[holder].alive {
            self.send_report(job, now);
        }
        if matches!(self.policy, Policy::Dispatcher(_)) && self.entries[holder].alive {
            self.finish(job, endpoint, now);
        }
    }

    /// Starts requests of the shared queue at random free slots; drops those past their deadline.
    fn pull(&mut self, now: u64) {
        loop {
            let free: Vec<usize> = (0..ENDPOINTS)
                .filter(|&at| self.endpoints[at].running < SLOTS as usize)
                .collect();
            if free.is_empty() || self.running >= self.usable_slots {
                return;
            }
            let Some(job) = self.shared.pop_front() else {
                return;
            };
            if now > self.work.jobs[job].deadline() {
                self.refuse(job);
                continue;
            }
            let endpoint = free[self.rng.random_range(0..free.len())];
            self.reach(job, endpoint, now);
        }
    }

    fn record(&mut self, job: usize, at: u64) {
        let held = &self.work.jobs[job];
        self.result.answers.push(Answer {
            class: held.class,
            arrived: held.at,
            at,
            useful: at <= held.deadline(),
        });
    }

    fn refuse(&mut self, job: usize) {
        if self.work.jobs[job].at >= super::workload::WARM_UP {
            self.result.refused += 1;
        }
    }
}

/// Returns the one-way delay between two numbered processes or endpoints.
fn delay(a: usize, b: usize) -> u64 {
    if a % ZONES == b % ZONES {
        NEAR_US
    } else {
        FAR_US
    }
}
