//! Stand-in of the platform's key-value service.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use http::StatusCode;
use parking_lot::Mutex;
use percent_encoding::percent_decode_str;
use serde_json::{Value, json};

use super::{JsonResponse, serve};

/// Interval at which a waiting watch checks for changes.
const WATCH_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Prefix of jobs and cancellations.
const INTAKE_PREFIX: &str = "sapphirecroft/in/";

/// Key that the leading daemon holds.
const LEADER_KEY: &str = "sapphirecroft/leader";

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
    drop_write_responses: usize,
    /// Claims of the leader key that are executed without a response.
    drop_claim_responses: usize,
    /// Number of writes of jobs and cancellations that are carried out late, and when.
    delay_intake_writes: (usize, Duration),
    /// Every second read of a page is refused.
    refuse_pages: bool,
    page_reads: usize,
    /// The history up to this revision is compacted.
    compacted_until: u64,
}

/// A store with switches for its faults.
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
            async move { handle(&state, &path, &query, &body).await }
        })
        .await;
        Self { addr, state }
    }

    /// Writes an item in place of the operator or a worker.
    pub fn put(&self, key: &str, value: &Value) {
        let value = STANDARD.encode(value.to_string());
        self.state.lock().put(key, value, 0);
    }

    /// Writes an item whose value is not base64 text.
    pub fn put_text(&self, key: &str, value: &str) {
        self.state.lock().put(key, value.to_string(), 0);
    }

    /// Writes an item in place of a worker, unless the store is down.
    pub fn put_if_up(&self, key: &str, value: &Value) {
        if !self.state.lock().down {
            self.put(key, value);
        }
    }

    /// Starts or ends an outage, in which no call is answered.
    pub fn set_down(&self, down: bool) {
        self.state.lock().down = down;
    }

    /// Executes the next `count` writes without responding to them.
    pub fn drop_write_responses(&self, count: usize) {
        self.state.lock().drop_write_responses = count;
    }

    /// Executes the next `count` claims of the leader key without responding to them.
    pub fn drop_claim_responses(&self, count: usize) {
        self.state.lock().drop_claim_responses = count;
    }

    /// Carries out the next `count` writes of jobs or cancellations `after` they arrive, if their
    /// conditions hold then, and does not respond to them.
    pub fn delay_intake_writes(&self, count: usize, after: Duration) {
        self.state.lock().delay_intake_writes = (count, after);
    }

    /// Returns the number of writes of jobs or cancellations that are still to be delayed.
    pub fn intake_writes_to_delay(&self) -> usize {
        self.state.lock().delay_intake_writes.0
    }

    /// Returns the number of claims whose responses are still to be dropped.
    pub fn claim_responses_to_drop(&self) -> usize {
        self.state.lock().drop_claim_responses
    }

    /// Refuses every second read of a page from now on.
    pub fn refuse_every_second_page(&self) {
        self.state.lock().refuse_pages = true;
    }

    /// Compacts all history, so that watches have to start again.
    pub fn compact_history(&self) {
        let mut state = self.state.lock();
        state.compacted_until = state.rev;
        state.history.clear();
    }

    /// Returns the revision of an item, or 0 if there is none.
    pub fn revision(&self, key: &str) -> u64 {
        let state = self.state.lock();
        state.items.get(key).map_or(0, |item| item.rev)
    }

    /// Returns the value of an item.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        let state = self.state.lock();
        let item = state.items.get(key)?;
        STANDARD.decode(&item.value).ok()
    }

    /// Removes a key in place of its writer.
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
        self.history.push(encode_item(key, &item));
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
        let expired_keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease != 0 && !self.leases.contains_key(&item.lease))
            .map(|(key, _)| key.clone())
            .collect();
        for key in expired_keys {
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

    fn commit(&mut self, body: &Value) -> JsonResponse {
        let rows = |name: &str| body[name].as_array().cloned().unwrap_or_default();
        let (expected, writes, removes) = (rows("expectedRev"), rows("writes"), rows("remove"));
        if expected.len() + writes.len() + removes.len() > 32 {
            let error = json!({"error": "over 32 entries"});
            return Some((StatusCode::BAD_REQUEST, error));
        }
        let conditions_hold = expected.iter().all(|row| {
            let key = row["key"].as_str().unwrap_or_default();
            self.items.get(key).map_or(0, |item| item.rev) == row["rev"].as_u64().unwrap_or(0)
        });
        if !conditions_hold {
            let items: Vec<Value> = expected
                .iter()
                .filter_map(|row| {
                    let key = row["key"].as_str()?;
                    Some(encode_item(key, self.items.get(key)?))
                })
                .collect();
            return Some((StatusCode::PRECONDITION_FAILED, json!({"items": items})));
        }
        let lease_of = |row: &Value| row["leaseId"].as_u64().unwrap_or(0);
        if writes
            .iter()
            .any(|row| lease_of(row) != 0 && !self.leases.contains_key(&lease_of(row)))
        {
            return Some((StatusCode::NOT_FOUND, json!({})));
        }
        self.rev += 1;
        for row in &writes {
            let key = row["key"].as_str().unwrap_or_default();
            let value = row["value"].as_str().unwrap_or_default();
            self.set(key, value.to_string(), lease_of(row));
        }
        for key in removes.iter().filter_map(Value::as_str) {
            self.remove(key);
        }
        if self.drop_claim_responses > 0 && writes.iter().any(|row| row["key"] == LEADER_KEY) {
            self.drop_claim_responses -= 1;
            return None;
        }
        if self.drop_write_responses > 0 {
            self.drop_write_responses -= 1;
            return None;
        }
        Some((StatusCode::OK, json!({"rev": self.rev})))
    }
}

fn encode_item(key: &str, item: &Item) -> Value {
    json!({
        "key": key, "value": item.value, "rev": item.rev, "createdRev": item.rev,
        "leaseId": item.lease,
    })
}

/// Returns whether a transaction writes a job or a cancellation.
fn writes_intake(txn: &Value) -> bool {
    let writes = txn["writes"].as_array().into_iter().flatten();
    let mut keys = writes.filter_map(|row| row["key"].as_str());
    keys.any(|key| key.starts_with(INTAKE_PREFIX))
}

async fn handle(shared: &Arc<Mutex<State>>, path: &str, query: &str, body: &Value) -> JsonResponse {
    let param = |name: &str| {
        query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| percent_decode_str(value).decode_utf8_lossy().into_owned())
            .unwrap_or_default()
    };
    let number = |name: &str| param(name).parse::<u64>().unwrap_or(0);
    {
        let mut state = shared.lock();
        if state.down {
            return None;
        }
        state.expire();
    }
    if path == "/kv-watch" {
        let until = Instant::now() + Duration::from_millis(number("waitMs"));
        loop {
            {
                let mut state = shared.lock();
                state.expire();
                if number("after") < state.compacted_until {
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
            tokio::time::sleep(WATCH_CHECK_INTERVAL).await;
        }
    }
    if path == "/kv-txn" && writes_intake(body) {
        let delay = {
            let mut state = shared.lock();
            let (count, after) = &mut state.delay_intake_writes;
            let is_delayed = *count > 0;
            *count = count.saturating_sub(1);
            is_delayed.then_some(*after)
        };
        if let Some(delay) = delay {
            let (late, txn) = (shared.clone(), body.clone());
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                late.lock().commit(&txn);
            });
            return None;
        }
    }
    let mut state = shared.lock();
    match path {
        "/kv-key" => {
            let key = param("key");
            let at = state.rev;
            let Some(item) = state.items.get(&key) else {
                return Some((StatusCode::NOT_FOUND, json!({"at": at})));
            };
            let mut shown = encode_item(&key, item);
            shown["at"] = json!(at);
            Some((StatusCode::OK, shown))
        }
        "/kv-range" => {
            state.page_reads += 1;
            if state.refuse_pages && state.page_reads.is_multiple_of(2) {
                return Some((StatusCode::SERVICE_UNAVAILABLE, json!({})));
            }
            let (prefix, after) = (param("prefix"), param("after"));
            let items: Vec<Value> = state
                .items
                .iter()
                .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                .map(|(key, item)| encode_item(key, item))
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
