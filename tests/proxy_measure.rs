//! Measures the latency that the proxy adds and the time until stalled connections are replaced.
//!
//! Run with `cargo test --release --test proxy_measure -- --ignored --nocapture`.

mod proxy_support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use proxy_support::*;

const CALLERS: usize = 32;
const REQUESTS: usize = 500;
const WORK_MS: u64 = 5;
/// Below the burst of the retry budget, which is 10.
const STALLED_REQUESTS: usize = 8;

/// Sends requests over keep-alive connections and returns their latencies, sorted.
async fn latencies(addr: SocketAddr, tag: &str) -> Vec<Duration> {
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let tag = format!("{tag}{caller}");
            tokio::spawn(async move {
                let mut client = Client::connect(addr).await;
                let mut took = Vec::new();
                for i in 0..REQUESTS {
                    let name = format!("{tag}-{i}");
                    let start = Instant::now();
                    let response = client.send(get(&name, WORK_MS, 0)).await.expect("response");
                    assert!(response.is_complete_response_to(&name), "{response:?}");
                    took.push(start.elapsed());
                }
                took
            })
        })
        .collect();
    let mut all = Vec::new();
    for task in callers {
        all.extend(task.await.expect("caller ends"));
    }
    all.sort();
    all
}

fn print(what: &str, sorted: &[Duration]) {
    let at = |permille: usize| sorted[(sorted.len() - 1) * permille / 1000];
    println!(
        "{what}: n {} p50 {:?} p99 {:?} p99.9 {:?} max {:?}",
        sorted.len(),
        at(500),
        at(990),
        at(999),
        at(1000)
    );
}

/// Guards against wrong responses under load; prints latencies with and without the proxy.
#[tokio::test(flavor = "multi_thread")]
#[ignore = "a measurement of about 10 s"]
async fn measure_latency_and_replacement() {
    let endpoints = endpoints(8).await;
    let entry = Entry::alone(shares(&endpoints, 8)).await;

    print("direct", &latencies(endpoints[0].addr(), "d").await);
    print("proxied", &latencies(entry.addr, "p").await);

    for endpoint in &endpoints {
        endpoint.faults.silence_open_connections();
    }
    let calls: Vec<_> = (0..STALLED_REQUESTS)
        .map(|i| {
            let addr = entry.addr;
            tokio::spawn(async move {
                let name = format!("s{i}");
                let start = Instant::now();
                let response = call(addr, get(&name, WORK_MS, 0)).await;
                assert!(response.is_complete_response_to(&name), "{response:?}");
                start.elapsed()
            })
        })
        .collect();
    let mut took = Vec::new();
    for task in calls {
        took.push(task.await.expect("caller ends"));
    }
    took.sort();
    print("on silent connections", &took);
    for name in ["hedges", "resends"] {
        let metric = format!("sapphirecroft_{name}_total");
        println!("{name}: {}", entry.metric(&metric));
    }
}
