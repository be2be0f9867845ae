//! Stand-in of the platform's key-value service.

use std::collections::{BTreeMap, HashMap};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::base64;
use crate::http::{Request, Response, serve};
use crate::json::{Value, list, number, object, text};

/// Interval at which a waiting watch checks for changes.
const WATCH_CHECK: Duration = Duration::from_millis(5);

/// Most items of one page of a range.
const PAGE_ITEMS: usize = 500;

/// Time after which the entry of a silent worker is removed: three heartbeats.
const ENTRY_LIFETIME: Duration = Duration::from_millis(3300);

#[derive(Clone)]
struct Item {
    value: String,
    rev: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    rev: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, Value)>,
    leases: HashMap<u64, (Instant, Duration)>,
    /// Time of the last heartbeat of each worker.
    heartbeats: HashMap<String, Instant>,
}

#[derive(Clone)]
pub struct Store {
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let store = Self {
            addr,
            state: Arc::default(),
        };
        let own = store.clone();
        serve(listener, move |req| own.handle(&req));
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().expect("no panic");
        state.expire();
        state
    }

    /// Writes an item in place of the operator.
    pub fn put(&self, key: &str, value: &Value) {
        self.lock()
            .put(key, base64::encode(value.to_string().as_bytes()), 0);
    }

    fn handle(&self, req: &Request) -> Response {
        let param = |name: &str| req.query.get(name).cloned().unwrap_or_default();
        let figure = |name: &str| param(name).parse::<u64>().unwrap_or(0);
        match req.path.as_str() {
            "/kv-watch" => {
                let until = Instant::now() + Duration::from_millis(figure("waitMs"));
                loop {
                    let state = self.lock();
                    let events = state.events(&param("prefix"), figure("after"));
                    if !events.is_empty() || Instant::now() >= until {
                        let at = number(state.rev);
                        return Some((200, object([("events", list(events)), ("at", at)])));
                    }
                    drop(state);
                    std::thread::sleep(WATCH_CHECK);
                }
            }
            "/kv-key" => {
                let state = self.lock();
                let at = ("at", number(state.rev));
                let key = param("key");
                let Some(item) = state.items.get(&key) else {
                    return Some((404, object([at])));
                };
                let mut shown = encode(&key, item);
                if let Value::Object(members) = &mut shown {
                    members.insert("at".to_string(), at.1);
                }
                Some((200, shown))
            }
            "/kv-range" => {
                let state = self.lock();
                let (prefix, after) = (param("prefix"), param("after"));
                let found = state.items.iter();
                let mut found = found
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                    .map(|(key, item)| encode(key, item));
                let page: Vec<Value> = found.by_ref().take(PAGE_ITEMS).collect();
                let truncated = Value::Bool(found.next().is_some());
                let at = number(state.rev);
                let members = [("items", list(page)), ("truncated", truncated), ("at", at)];
                Some((200, object(members)))
            }
            "/kv-txn" => self.lock().commit(&req.body),
            "/kv-lease" => Some((200, self.lock().grant(req.body.get("ttlMs").number()))),
            // Not part of the platform: how the stand-ins of the workers write their entries.
            "/standin-entry" => {
                let key = format!("servers/{}", req.body.get("id").text());
                let value = req.body.get("entry").to_string();
                let mut state = self.lock();
                state.heartbeats.insert(key.clone(), Instant::now());
                state.put(&key, base64::encode(value.as_bytes()), 0);
                Some((200, object([])))
            }
            path => {
                let (call, id) = path.rsplit_once('/')?;
                let id = id.parse().ok()?;
                let mut state = self.lock();
                let Some((until, ttl)) = state.leases.get_mut(&id) else {
                    return Some((404, object([])));
                };
                *until = Instant::now() + *ttl;
                if call == "/kv-lease-end" {
                    state.leases.remove(&id);
                }
                Some((200, object([])))
            }
        }
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.rev += 1;
        self.set(key, value, lease);
    }

    fn set(&mut self, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(self.rev, |item| item.created);
        let item = Item {
            value,
            rev: self.rev,
            created,
            lease,
        };
        let event = encode(key, &item);
        self.history.push((self.rev, key.to_string(), event));
        self.items.insert(key.to_string(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.rev += 1;
            let members = [
                ("key", text(key)),
                ("rev", number(self.rev)),
                ("deleted", Value::Bool(true)),
            ];
            let event = object(members);
            self.history.push((self.rev, key.to_string(), event));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        self.leases.retain(|_, (until, _)| *until > now);
        let leases = &self.leases;
        let by_lease = self.items.iter();
        let by_lease =
            by_lease.filter(|(_, item)| item.lease != 0 && !leases.contains_key(&item.lease));
        let mut expired: Vec<String> = by_lease.map(|(key, _)| key.clone()).collect();
        self.heartbeats.retain(|key, at| {
            let alive = now.duration_since(*at) < ENTRY_LIFETIME;
            if !alive {
                expired.push(key.clone());
            }
            alive
        });
        for key in expired {
            self.remove(&key);
        }
    }

    fn events(&self, prefix: &str, after: u64) -> Vec<Value> {
        let first = self.history.partition_point(|(rev, _, _)| *rev <= after);
        let events = self.history[first..].iter();
        events
            .filter(|(_, key, _)| key.starts_with(prefix))
            .map(|(_, _, event)| event.clone())
            .collect()
    }

    fn grant(&mut self, ttl_ms: u64) -> Value {
        self.rev += 1;
        let ttl = Duration::from_millis(ttl_ms);
        self.leases.insert(self.rev, (Instant::now() + ttl, ttl));
        object([("leaseId", number(self.rev)), ("ttlMs", number(ttl_ms))])
    }

    fn commit(&mut self, body: &Value) -> Response {
        let (expected, writes) = (body.get("expectedRev").list(), body.get("writes").list());
        let removes = body.get("remove").list();
        if expected.len() + writes.len() + removes.len() > 32 {
            return Some((400, object([("error", text("over 32 entries"))])));
        }
        let rev_of = |key: &str| self.items.get(key).map_or(0, |item| item.rev);
        let holds = |row: &Value| rev_of(row.get("key").text()) == row.get("rev").number();
        if !expected.iter().all(holds) {
            let found = expected.iter().filter_map(|row| {
                let key = row.get("key").text();
                Some(encode(key, self.items.get(key)?))
            });
            return Some((412, object([("items", list(found))])));
        }
        let lease_of = |row: &Value| row.get("leaseId").number();
        let known = |lease: u64| lease == 0 || self.leases.contains_key(&lease);
        if !writes.iter().all(|row| known(lease_of(row))) {
            return Some((404, object([])));
        }
        self.rev += 1;
        for row in writes {
            let value = row.get("value").text().to_string();
            self.set(row.get("key").text(), value, lease_of(row));
        }
        for key in removes {
            self.remove(key.text());
        }
        Some((200, object([("rev", number(self.rev))])))
    }
}

fn encode(key: &str, item: &Item) -> Value {
    object([
        ("key", text(key)),
        ("value", text(item.value.clone())),
        ("rev", number(item.rev)),
        ("createdRev", number(item.created)),
        ("leaseId", number(item.lease)),
    ])
}
