//! Failures of endpoints and connections: the reported outcome matches what ran.

mod proxy_support;

use std::time::Duration;

use futures_util::FutureExt;
use http::StatusCode;
use proxy_support::*;

/// Shorter than the idle timeout of connections.
const BEFORE_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

const STALL_DEADLINE_MS: &str = "3000";

/// Opens idle connections to the endpoints and makes them stall.
async fn stall_idle_connections(
    entry: &Entry,
    endpoints: &[std::sync::Arc<sapphirecroft::standin::Endpoint>],
) {
    let calls = (0..8).map(|i| {
        let addr = entry.addr;
        tokio::spawn(async move { call(addr, get(&format!("warm{i}"), 50, 0)).await })
    });
    for task in calls.collect::<Vec<_>>() {
        assert_eq!(task.await.expect("caller ends").status, StatusCode::OK);
    }
    for endpoint in endpoints {
        endpoint.faults.silence_open_connections();
    }
}

/// Guards against "not run" for a request that an endpoint ran, and against a key that stays taken
/// after its request was refused.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_is_true_and_leaves_the_key_free() {
    let endpoints = endpoints(2).await;
    let entry = Entry::alone(shares(&endpoints, 8)).await;
    endpoints
        .iter()
        .for_each(|held| held.faults.set_refuse(true));

    let refused = call(entry.addr, post("p", 1, 0)).await;
    let runs_before = runs(&endpoints, "p");
    endpoints
        .iter()
        .for_each(|held| held.faults.set_refuse(false));
    let repeated = call(entry.addr, post("p", 1, 0)).await;

    assert_eq!(refused.outcome(), "not-run", "{refused:?}");
    assert!(refused.header("retry-after-ms").parse::<u64>().is_ok());
    assert!(refused.header("retry-after").parse::<u64>().is_ok());
    assert_eq!(runs_before, 0);
    assert!(repeated.is_complete_response_to("p"), "{repeated:?}");
    assert_eq!(runs(&endpoints, "p"), 1);
}

/// Guards against an unknown outcome when no connection could be opened, since nothing was sent.
#[tokio::test(flavor = "multi_thread")]
async fn unreachable_endpoint_means_not_run() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("port is free");
    let addr = listener.local_addr().expect("socket is bound");
    drop(listener);
    let entry = Entry::alone(vec![share(addr, 8)]).await;

    let response = call(entry.addr, post("p", 1, 0)).await;

    assert_eq!(response.outcome(), "not-run", "{response:?}");
}

/// Guards against a second run after the endpoint closed the connection without a response.
#[tokio::test(flavor = "multi_thread")]
async fn broken_connection_is_unknown_and_not_retried() {
    let raw = [RawEndpoint::start("").await, RawEndpoint::start("").await];
    let entry = Entry::alone(vec![share(raw[0].addr, 8), share(raw[1].addr, 8)]).await;

    let first = call(entry.addr, post("p", 1, 0)).await;
    let repeat = call(entry.addr, post("p", 1, 0)).await;

    assert_eq!(first.status, StatusCode::BAD_GATEWAY);
    assert_eq!(first.outcome(), "unknown");
    assert_eq!(repeat.outcome(), "unknown");
    let sent: usize = raw.iter().map(|held| held.heads.lock().len()).sum();
    assert_eq!(sent, 1);
}

/// Guards against a second run after the connection stalled with a non-idempotent request on it.
#[tokio::test(flavor = "multi_thread")]
async fn stalled_connection_is_unknown_at_the_deadline_and_not_retried() {
    let endpoints = endpoints(2).await;
    let entry = Entry::alone(shares(&endpoints, 8)).await;
    let mut req = post("p", 300, 0);
    let deadline = STALL_DEADLINE_MS.parse().expect("value");
    req.headers_mut()
        .insert("sapphirecroft-deadline-ms", deadline);

    let addr = entry.addr;
    let first = tokio::spawn(async move { call(addr, req).await });
    until("the request runs", || runs(&endpoints, "p") == 1).await;
    for endpoint in &endpoints {
        endpoint.faults.silence_open_connections();
    }
    let first = first.await.expect("caller ends");

    assert_eq!(first.status, StatusCode::GATEWAY_TIMEOUT, "{first:?}");
    assert_eq!(first.outcome(), "unknown");
    assert_eq!(runs(&endpoints, "p"), 1);
}

/// Guards against requests that wait on stalled idle connections while new connections work.
#[tokio::test(flavor = "multi_thread")]
async fn stalled_connections_are_replaced() {
    let endpoints = endpoints(2).await;
    let entry = Entry::alone(shares(&endpoints, 8)).await;
    stall_idle_connections(&entry, &endpoints).await;

    for i in 0..6 {
        let name = format!("r{i}");
        let response = call(entry.addr, get(&name, 1, 0)).await;
        assert!(response.is_complete_response_to(&name), "{response:?}");
    }
}

/// Guards against a stalled connection that goes undetected because no other endpoint allows a
/// hedged attempt.
#[tokio::test(flavor = "multi_thread")]
async fn stalled_connection_to_the_only_endpoint_is_replaced() {
    let endpoints = endpoints(1).await;
    let entry = Entry::alone(shares(&endpoints, 8)).await;
    stall_idle_connections(&entry, &endpoints).await;
    let mut req = get("r", 1, 0);
    let deadline = "6000".parse().expect("value");
    req.headers_mut()
        .insert("sapphirecroft-deadline-ms", deadline);

    let response = call(entry.addr, req).await;

    assert!(response.is_complete_response_to("r"), "{response:?}");
}

/// Guards against sending a non-idempotent request on a stalled idle connection, where it could not
/// be retried.
#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_are_probed_before_keyed_requests() {
    let endpoints = endpoints(1).await;
    let entry = Entry::alone(shares(&endpoints, 8)).await;
    stall_idle_connections(&entry, &endpoints).await;
    tokio::time::sleep(Duration::from_millis(1_200)).await;

    let response = call(entry.addr, post("p", 1, 0)).await;

    assert!(response.is_complete_response_to("p"), "{response:?}");
    assert_eq!(runs(&endpoints, "p"), 1);
}

/// Guards against exceeding the slots or connections at an endpoint when callers disconnect,
/// connections stall and responses are truncated.
#[tokio::test(flavor = "multi_thread")]
async fn slots_and_connections_stay_within_their_limits() {
    let endpoints = endpoints(2).await;
    let entry = Entry::alone(shares(&endpoints, 2)).await;
    let mut tasks = Vec::new();
    for round in 0..4 {
        for i in 0..20 {
            let addr = entry.addr;
            let req = get(&format!("r{round}-{i}"), 10, 300_000);
            tasks.push(tokio::spawn(async move {
                if i % 5 == 0 {
                    // The caller disconnects while its response is being sent.
                    let mut client = Client::connect(addr).await;
                    let sent = client.send(req);
                    let _ = tokio::time::timeout(Duration::from_millis(15), sent).await;
                } else {
                    call(addr, req).await;
                }
            }));
        }
        endpoints[round % 2].faults.silence_open_connections();
        endpoints[round % 2].faults.set_truncate(round == 2);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    for task in tasks {
        let _ = task.await;
    }

    for endpoint in &endpoints {
        let log = endpoint.log();
        assert!(log.max_in_progress <= 2, "{}", log.max_in_progress);
        assert!(log.max_connections <= 16, "{}", log.max_connections);
    }
    let proxy = &entry.proxy;
    until("no request is in progress", || proxy.in_flight() == 0).await;
    until("all slots are free", || {
        entry.dispatcher.lock().load(&id("booking")).in_progress == 0
    })
    .await;
}

/// Guards against exceeding the connection limit because connections that are being closed are not
/// counted: the endpoint never closes its side.
#[tokio::test(flavor = "multi_thread")]
async fn connections_being_closed_count_against_the_limit() {
    let unresponsive = UnresponsiveEndpoint::start().await;
    let entry = Entry::alone(vec![share(unresponsive.addr, 1)]).await;

    let mut outcomes = Vec::new();
    for i in 0..12 {
        let mut req = post(&format!("p{i}"), 1, 0);
        let deadline = "100".parse().expect("value");
        req.headers_mut()
            .insert("sapphirecroft-deadline-ms", deadline);
        outcomes.push(call(entry.addr, req).await.outcome().to_string());
    }

    assert_eq!(unresponsive.open.lock().len(), 8);
    let unknown = outcomes.iter().filter(|held| *held == "unknown").count();
    let not_run = outcomes.iter().filter(|held| *held == "not-run").count();
    assert_eq!((unknown, not_run), (8, 4), "{outcomes:?}");
}

/// Guards against connections that stay open after the process has lost its slots.
#[tokio::test(flavor = "multi_thread")]
async fn connections_close_when_slots_are_taken_away() {
    let endpoints = endpoints(1).await;
    let entry = Entry::alone(shares(&endpoints, 8)).await;
    for i in 0..3 {
        call(entry.addr, get(&format!("r{i}"), 1, 0)).await;
    }

    entry
        .proxy
        .set_endpoints(&id("booking"), shares(&endpoints, 0));

    let address = sapphirecroft::model::Address(endpoints[0].addr());
    let closed = async {
        until("connections are closed", || {
            endpoints[0].log().connections == 0
        })
        .await;
        until("permits are free", || entry.proxy.connections(address) == 0).await;
    };
    let in_time = tokio::time::timeout(BEFORE_IDLE_TIMEOUT, closed).await;
    assert!(in_time.is_ok());
}

/// Guards against a shutdown that cuts off responses or accepts new requests.
#[tokio::test(flavor = "multi_thread")]
async fn graceful_shutdown_cuts_nothing_off() {
    let endpoints = endpoints(2).await;
    let entry = Entry::alone(shares(&endpoints, 8)).await;
    let mut idle = Client::connect(entry.addr).await;
    idle.send(get("before", 1, 0)).await.expect("response");
    let calls: Vec<_> = (0..16)
        .map(|i| {
            let addr = entry.addr;
            tokio::spawn(async move {
                let name = format!("r{i}");
                let response = call(addr, get(&name, 1_500, 2_000_000)).await;
                (name, response)
            })
        })
        .collect();
    until("all requests are in progress", || {
        entry.proxy.in_flight() == 16
    })
    .await;

    entry.cancel.cancel();
    assert!(entry.proxy.drained().now_or_never().is_none());
    let late = idle.send(get("late", 1, 0)).await.expect("response");

    assert_eq!(late.outcome(), "not-run");
    assert_eq!(late.header("connection"), "close");
    for task in calls {
        let (name, response) = task.await.expect("caller ends");
        assert!(
            response.is_complete_response_to(&name),
            "{name}: {:?}",
            response.status
        );
    }
    let drained = tokio::time::timeout(WAIT_TIMEOUT, entry.proxy.drained()).await;
    assert!(drained.is_ok());
    assert_eq!(entry.proxy.in_flight(), 0);
    assert_eq!(runs(&endpoints, "late"), 0);
}
