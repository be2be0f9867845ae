//! Simulated network: messages in flight, ordered by virtual delivery time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use sapphirecroft::batch::{DueStoreCall, StoreResult};
use sapphirecroft::placement::{DueCommand, splitmix64};
use sapphirecroft::prelude::*;
use sapphirecroft::schema::batch::{JobReport, RackAnswer, RackCall};
use sapphirecroft::schema::worker::AgentReply;

/// A message between simulated processes, or a scheduled event.
#[derive(Clone, Debug)]
pub enum Message {
    StoreCall {
        member: usize,
        work: DueStoreCall,
    },
    StoreDone {
        member: usize,
        number: u64,
        shard: u32,
        result: StoreResult,
    },
    Command {
        member: usize,
        work: DueCommand,
    },
    CommandDone {
        member: usize,
        worker: VmId,
        number: u64,
        reply: Option<AgentReply>,
    },
    Exchange {
        from: usize,
        to: MemberId,
        call: RackCall,
    },
    Response {
        to: usize,
        call: RackCall,
        answer: RackAnswer,
    },
    Report {
        to: MemberId,
        report: JobReport,
    },
    Adopt {
        member: usize,
        epoch: Epoch,
        members: Vec<MemberId>,
    },
    Remove {
        member: MemberId,
    },
}

struct Due {
    at: Millis,
    order: u64,
    message: Message,
}

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// A network that delays, reorders, duplicates and drops messages.
pub struct Network {
    queue: BinaryHeap<Reverse<Due>>,
    order: u64,
    random: u64,
    /// Messages per thousand that are dropped, duplicated or delayed by up to 25 s.
    pub fault_permille: u64,
}

impl Network {
    pub fn new(seed: u64) -> Self {
        Self {
            queue: BinaryHeap::new(),
            order: 0,
            random: seed,
            fault_permille: 0,
        }
    }

    /// Returns a pseudorandom number below `bound`.
    pub fn roll(&mut self, bound: u64) -> u64 {
        self.random = splitmix64(self.random);
        (self.random >> 20) % bound.max(1)
    }

    /// Schedules a message for delivery at a time, without faults.
    pub fn at(&mut self, at: Millis, message: Message) {
        self.order += 1;
        self.queue.push(Reverse(Due {
            at,
            order: self.order,
            message,
        }));
    }

    /// Sends a message that may be dropped, duplicated or delayed.
    ///
    /// Calls to the store are not duplicated: `StoreError::Unavailable` means that the call was not
    /// carried out, and a second copy could be carried out after that response.
    pub fn send(&mut self, now: Millis, message: Message) {
        let mut delay = Millis(1 + self.roll(10));
        if self.roll(1000) < self.fault_permille {
            let late = Millis(self.roll(25_000));
            match self.roll(3) {
                0 => return,
                1 if !matches!(message, Message::StoreCall { .. }) => {
                    self.at(now + late, message.clone());
                }
                _ => delay = late,
            }
        }
        self.at(now + delay, message);
    }

    /// Removes and returns the next message that is due by `until`, with its delivery time.
    pub fn next(&mut self, until: Millis) -> Option<(Millis, Message)> {
        if self.queue.peek().is_none_or(|Reverse(due)| due.at > until) {
            return None;
        }
        self.queue.pop().map(|Reverse(due)| (due.at, due.message))
    }
}
