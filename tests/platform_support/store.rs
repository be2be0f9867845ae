//! Stand-in of the platform's store.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use http::StatusCode;
use parking_lot::Mutex;
use serde_json::{Value, json};

use super::{Answer, serve};

/// Time between two looks of a waiting watch.
const LOOK: Duration = Duration::from_millis(10);

#[derive(Clone)]
struct Item {
    value: String,
    rev: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    rev: u64,
    items: BTreeMap<String, Item>,
    history: Vec<Value>,
    leases: HashMap<u64, (Instant, Duration)>,
    down: bool,
    lose_writes: usize,
    /// History up to this revision is gone.
    forgotten: u64,
}

/// The store, with switches for its troubles.
#[derive(Clone)]
pub struct StoreStandin {
    pub addr: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl StoreStandin {
    pub async fn start() -> Self {
        let state = Arc::new(Mutex::new(State::default()));
        let own = state.clone();
        let addr = serve(move |path, query, body| {
            let state = own.clone();
            async move { answer(&state, &path, &query, &body).await }
        })
        .await;
        Self { addr, state }
    }

    /// Writes an item as the operator or a worker does.
    pub fn put(&self, key: &str, value: &Value) {
        let value = STANDARD.encode(value.to_string());
        self.state.lock().put(key, value, 0);
    }

    /// Leaves all calls without an answer, or answers again.
    pub fn set_down(&self, down: bool) {
        self.state.lock().down = down;
    }

    /// Carries out the next writes without answering them.
    pub fn lose_writes(&self, count: usize) {
        self.state.lock().lose_writes = count;
    }

    /// Forgets all history, so that watches have to begin anew.
    pub fn forget_history(&self) {
        let mut state = self.state.lock();
        state.forgotten = state.rev;
        state.history.clear();
    }

    /// Takes a key away without notice to its writer.
    pub fn remove(&self, key: &str) {
        self.state.lock().remove(key);
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.rev += 1;
        self.set(key, value, lease);
    }

    fn set(&mut self, key: &str, value: String, lease: u64) {
        let item = Item {
            value,
            rev: self.rev,
            lease,
        };
        self.history.push(show(key, &item));
        self.items.insert(key.to_string(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.rev += 1;
            self.history
                .push(json!({"key": key, "rev": self.rev, "deleted": true}));
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let leases = &mut self.leases;
        leases.retain(|_, (until, _)| *until > now);
        let lapsed: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease != 0 && !self.leases.contains_key(&item.lease))
            .map(|(key, _)| key.clone())
            .collect();
        for key in lapsed {
            self.remove(&key);
        }
    }

    fn events(&self, prefix: &str, after: u64) -> Vec<Value> {
        self.history
            .iter()
            .filter(|event| event["rev"].as_u64().unwrap_or(0) > after)
            .filter(|event| {
                event["key"]
                    .as_str()
                    .is_some_and(|key| key.starts_with(prefix))
            })
            .cloned()
            .collect()
    }

    fn commit(&mut self, body: &Value) -> Answer {
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let (expected, writes, removes) = (rows("expectedRev"), rows("writes"), rows("remove"));
        if expected.len() + writes.len() + removes.len() > 32 {
            let error = json!({"error": "over 32 entries"});
            return Some((StatusCode::BAD_REQUEST, error));
        }
        let met = expected.iter().all(|row| {
            let key = row["key"].as_str().unwrap_or_default();
            self.items.get(key).map_or(0, |item| item.rev) == row["rev"].as_u64().unwrap_or(0)
        });
        if !met {
            let items: Vec<Value> = expected
                .iter()
                .filter_map(|row| {
                    let key = row["key"].as_str()?;
                    Some(show(key, self.items.get(key)?))
                })
                .collect();
            return Some((StatusCode::PRECONDITION_FAILED, json!({"items": items})));
        }
        let leased = |row: &Value| row["leaseId"].as_u64().unwrap_or(0);
        if writes
            .iter()
            .any(|row| leased(row) != 0 && !self.leases.contains_key(&leased(row)))
        {
            return Some((StatusCode::NOT_FOUND, json!({})));
        }
        self.rev += 1;
        for row in &writes {
            let key = row["key"].as_str().unwrap_or_default();
            let value = row["value"].as_str().unwrap_or_default();
            self.set(key, value.to_string(), leased(row));
        }
        for key in removes.iter().filter_map(Value::as_str) {
            self.remove(key);
        }
        if self.lose_writes > 0 {
            self.lose_writes -= 1;
            return None;
        }
        Some((StatusCode::OK, json!({"rev": self.rev})))
    }
}

fn show(key: &str, item: &Item) -> Value {
    json!({
        "key": key, "value": item.value, "rev": item.rev, "createdRev": item.rev,
        "leaseId": item.lease,
    })
}

async fn answer(state: &Mutex<State>, path: &str, query: &str, body: &Value) -> Answer {
    let param = |name: &str| {
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value.to_string())
            .unwrap_or_default()
    };
    let number = |name: &str| param(name).parse::<u64>().unwrap_or(0);
    {
        let mut state = state.lock();
        if state.down {
            return None;
        }
        state.expire();
    }
    if path == "/kv-watch" {
        let until = Instant::now() + Duration::from_millis(number("waitMs"));
        loop {
            {
                let mut state = state.lock();
                state.expire();
                if number("after") < state.forgotten {
                    return Some((StatusCode::GONE, json!({})));
                }
                let events = state.events(&param("prefix"), number("after"));
                if state.down {
                    return None;
                }
                if !events.is_empty() || Instant::now() >= until {
                    let at = state.rev;
                    return Some((StatusCode::OK, json!({"events": events, "at": at})));
                }
            }
            tokio::time::sleep(LOOK).await;
        }
    }
    let mut state = state.lock();
    match path {
        "/kv-key" => {
            let key = param("key");
            let at = state.rev;
            let Some(item) = state.items.get(&key) else {
                return Some((StatusCode::NOT_FOUND, json!({"at": at})));
            };
            let mut shown = show(&key, item);
            shown["at"] = json!(at);
            Some((StatusCode::OK, shown))
        }
        "/kv-range" => {
            let (prefix, after) = (param("prefix"), param("after"));
            let items: Vec<Value> = state
                .items
                .iter()
                .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                .map(|(key, item)| show(key, item))
                .collect();
            let page: Vec<&Value> = items.iter().take(3).collect();
            let truncated = page.len() < items.len();
            let shown = json!({"items": page, "truncated": truncated, "at": state.rev});
            Some((StatusCode::OK, shown))
        }
        "/kv-txn" => state.commit(body),
        "/kv-lease" => {
            let ttl = Duration::from_millis(body["ttlMs"].as_u64().unwrap_or(1000));
            let id = 1000 + state.leases.len() as u64 + state.rev;
            state.leases.insert(id, (Instant::now() + ttl, ttl));
            let ttl = u64::try_from(ttl.as_millis()).unwrap_or(0);
            Some((StatusCode::OK, json!({"leaseId": id, "ttlMs": ttl})))
        }
        _ => {
            let id = path
                .rsplit('/')
                .next()
                .and_then(|id| id.parse::<u64>().ok());
            let lease = id.and_then(|id| state.leases.get_mut(&id));
            let Some((until, ttl)) = lease else {
                return Some((StatusCode::NOT_FOUND, json!({})));
            };
            *until = Instant::now() + *ttl;
            Some((StatusCode::OK, json!({})))
        }
    }
}
