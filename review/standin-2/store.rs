//! Stand-in of the platform's metadata store.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Reply, Request};
use crate::json::{Json, map};
use crate::random::Random;
use crate::record::Record;

/// Time that the store takes for an answer.
const LATENCY: Duration = Duration::from_millis(4);

/// Time for which the store keeps its history.
const HISTORY: Duration = Duration::from_secs(20);

/// Interval at which a waiting watch looks for leases that have ended.
const WATCH_INTERVAL: Duration = Duration::from_millis(20);

/// Items in one page.
const PAGE_ITEMS: usize = 500;

#[derive(Clone)]
struct Item {
    value: String,
    rev: u64,
    created: u64,
    lease: u64,
}

struct Event {
    at: Instant,
    rev: u64,
    key: String,
    body: Json,
}

/// Writes whose answers are lost.
pub struct Loss {
    /// Share of the writes.
    pub share: f64,
    /// The lost writes are carried out after this many milliseconds, from and to; at once without
    /// a time.
    pub late_ms: Option<(u64, u64)>,
}

#[derive(Default)]
struct State {
    rev: u64,
    items: BTreeMap<String, Item>,
    history: VecDeque<Event>,
    /// The history up to this revision is gone.
    forgotten: u64,
    leases: HashMap<u64, (Instant, Duration)>,
    next_lease: u64,
    loss: Option<Loss>,
    random: Random,
}

/// A key-value store with revisions, leases and watches.
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    record: Arc<Record>,
}

impl State {
    fn event(&mut self, key: &str, body: Json) {
        self.history.push_back(Event {
            at: Instant::now(),
            rev: self.rev,
            key: key.to_string(),
            body,
        });
        while let Some(first) = self.history.front()
            && first.at.elapsed() > HISTORY
        {
            self.forgotten = first.rev;
            self.history.pop_front();
        }
    }

    fn set(&mut self, key: &str, value: &str, lease: u64) {
        let created = self.items.get(key).map_or(self.rev, |item| item.created);
        let item = Item {
            value: value.to_string(),
            rev: self.rev,
            created,
            lease,
        };
        let body = show(key, &item);
        self.items.insert(key.to_string(), item);
        self.event(key, body);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let body = map([
                ("key", key.into()),
                ("rev", self.rev.into()),
                ("deleted", true.into()),
            ]);
            self.event(key, body);
        }
    }

    fn end_leases(&mut self) {
        let now = Instant::now();
        self.leases.retain(|_, (until, _)| *until > now);
        let leases = &self.leases;
        let gone: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease != 0 && !leases.contains_key(&item.lease))
            .map(|(key, _)| key.clone())
            .collect();
        for key in gone {
            self.rev += 1;
            self.remove(&key);
        }
    }

    /// Carries a transaction out if its conditions hold.
    fn commit(&mut self, txn: &Json) -> (u16, Json) {
        self.end_leases();
        let expected = txn.get("expectedRev").list();
        let rev = |key: &str| self.items.get(key).map_or(0, |item| item.rev);
        if expected
            .iter()
            .any(|row| rev(row.get("key").text()) != row.get("rev").int())
        {
            let items: Vec<Json> = expected
                .iter()
                .filter_map(|row| {
                    let key = row.get("key").text();
                    self.items.get(key).map(|item| show(key, item))
                })
                .collect();
            return (412, map([("items", items.into())]));
        }
        let writes = txn.get("writes").list();
        let lease_of = |write: &Json| write.get("leaseId").int();
        if writes
            .iter()
            .any(|write| lease_of(write) != 0 && !self.leases.contains_key(&lease_of(write)))
        {
            return (404, map([]));
        }
        self.rev += 1;
        for write in writes {
            self.set(
                write.get("key").text(),
                write.get("value").text(),
                lease_of(write),
            );
        }
        for key in txn.get("remove").list() {
            self.remove(key.text());
        }
        (200, map([("rev", self.rev.into())]))
    }
}

fn show(key: &str, item: &Item) -> Json {
    map([
        ("key", key.into()),
        ("value", item.value.as_str().into()),
        ("rev", item.rev.into()),
        ("createdRev", item.created.into()),
        ("leaseId", item.lease.into()),
    ])
}

impl Store {
    pub fn new(record: Arc<Record>) -> Arc<Self> {
        let state = State {
            rev: 100,
            next_lease: 77_000,
            ..State::default()
        };
        Arc::new(Self {
            state: Mutex::new(state),
            changed: Condvar::new(),
            record,
        })
    }

    /// Writes an item in place of the operator or a worker.
    pub fn put(&self, key: &str, value: &Json) {
        let mut state = self.state.lock().unwrap();
        state.rev += 1;
        state.set(key, &encode_base64(value.to_string().as_bytes()), 0);
        self.changed.notify_all();
    }

    /// Loses the answers of a share of the writes from now on; `None` ends that.
    pub fn lose(&self, loss: Option<Loss>) {
        let text = match &loss {
            Some(loss) => format!(
                "loses the answers of {} of the writes, late: {:?}",
                loss.share, loss.late_ms
            ),
            None => "answers all calls".to_string(),
        };
        self.record.note(format!("store: {text}"));
        self.state.lock().unwrap().loss = loss;
    }

    /// Handles a call.
    pub fn handle(self: &Arc<Self>, req: &Request) -> Reply {
        std::thread::sleep(LATENCY);
        let parameter = |name: &str| req.query.get(name).cloned().unwrap_or_default();
        let number = |name: &str| parameter(name).parse::<u64>().unwrap_or(0);
        let body = Json::parse(&req.body).unwrap_or(Json::Null);
        match (req.method.as_str(), req.path.as_str()) {
            ("GET", "/kv-key") => self.get(&parameter("key")),
            ("GET", "/kv-range") => self.range(&parameter("prefix"), &parameter("after")),
            ("GET", "/kv-watch") => {
                self.watch(&parameter("prefix"), number("after"), number("waitMs"))
            }
            ("POST", "/kv-txn") => self.txn(body),
            ("POST", "/kv-lease") => self.grant(body.get("ttlMs").int()),
            ("POST", path) if path.starts_with("/kv-keep/") => {
                self.renew(path["/kv-keep/".len()..].parse().unwrap_or(0))
            }
            _ => Reply::Answer(400, map([])),
        }
    }

    fn get(&self, key: &str) -> Reply {
        let mut state = self.state.lock().unwrap();
        state.end_leases();
        let at = ("at".to_string(), Json::from(state.rev));
        match state.items.get(key).map(|item| show(key, item)) {
            Some(Json::Map(mut fields)) => {
                fields.push(at);
                Reply::Answer(200, Json::Map(fields))
            }
            _ => Reply::Answer(404, Json::Map(vec![at])),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> Reply {
        let mut state = self.state.lock().unwrap();
        state.end_leases();
        let mut found = state
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<Json> = found
            .by_ref()
            .take(PAGE_ITEMS)
            .map(|(key, item)| show(key, item))
            .collect();
        let truncated = found.next().is_some();
        Reply::Answer(
            200,
            map([
                ("items", items.into()),
                ("truncated", truncated.into()),
                ("at", state.rev.into()),
            ]),
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> Reply {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.lock().unwrap();
        loop {
            state.end_leases();
            if after < state.forgotten {
                return Reply::Answer(410, map([]));
            }
            let events: Vec<Json> = state
                .history
                .iter()
                .filter(|event| event.rev > after && event.key.starts_with(prefix))
                .map(|event| event.body.clone())
                .collect();
            if !events.is_empty() || Instant::now() >= until {
                let at = state.rev.max(after);
                return Reply::Answer(200, map([("events", events.into()), ("at", at.into())]));
            }
            state = self.changed.wait_timeout(state, WATCH_INTERVAL).unwrap().0;
        }
    }

    fn txn(self: &Arc<Self>, txn: Json) -> Reply {
        let keys = || {
            let writes = txn.get("writes").list().iter();
            let removes = txn.get("remove").list().iter();
            writes.map(|write| write.get("key")).chain(removes)
        };
        let is_foreign =
            |key: &Json| key.text().starts_with("op/") || key.text().starts_with("servers/");
        if keys().any(is_foreign) {
            return Reply::Answer(403, map([]));
        }
        let names: Vec<&str> = keys().map(Json::text).collect();
        let names = names.join(" ");
        let mut state = self.state.lock().unwrap();
        let lost = state.loss.as_ref().map(|loss| (loss.share, loss.late_ms));
        if let Some((share, late_ms)) = lost
            && state.random.share() < share
        {
            self.record
                .note(format!("store: write of {names} gets no answer"));
            let Some((from, to)) = late_ms else {
                state.commit(&txn);
                self.changed.notify_all();
                return Reply::Lost;
            };
            let delay = from + state.random.below(to - from + 1);
            drop(state);
            let own = self.clone();
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(delay));
                let (status, _) = own.state.lock().unwrap().commit(&txn);
                own.changed.notify_all();
                own.record.note(format!(
                    "store: write of {names}, {delay} ms late: {status}"
                ));
            });
            return Reply::Lost;
        }
        let (status, body) = state.commit(&txn);
        self.changed.notify_all();
        Reply::Answer(status, body)
    }

    fn grant(&self, ttl_ms: u64) -> Reply {
        let mut state = self.state.lock().unwrap();
        state.next_lease += 1;
        let id = state.next_lease;
        let ttl = Duration::from_millis(ttl_ms);
        state.leases.insert(id, (Instant::now() + ttl, ttl));
        Reply::Answer(200, map([("leaseId", id.into()), ("ttlMs", ttl_ms.into())]))
    }

    fn renew(&self, id: u64) -> Reply {
        let mut state = self.state.lock().unwrap();
        state.end_leases();
        match state.leases.get_mut(&id) {
            Some((until, ttl)) => {
                *until = Instant::now() + *ttl;
                let ttl_ms = ttl.as_millis() as u64;
                Reply::Answer(200, map([("ttlMs", ttl_ms.into())]))
            }
            None => Reply::Answer(404, map([])),
        }
    }
}

fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for at in 0..4 {
            if at <= chunk.len() {
                text.push(DIGITS[(bits >> (18 - 6 * at) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
