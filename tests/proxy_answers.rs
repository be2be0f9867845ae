//! Callers get whole answers to their own requests, and nothing that only looks like one.

mod proxy_support;

use bytes::Bytes;
use http::StatusCode;
use http_body_util::Full;
use proxy_support::*;

/// Guards against answers that reach another request's caller or lose pieces.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_answers_are_whole_and_match_their_requests() {
    let endpoints = endpoints(2).await;
    let entry = Entry::alone(shares(&endpoints, 8)).await;

    let calls = (0..50).map(|i| {
        let size = [0, 500, 40_000, 700_000, 3_000_000][i % 5];
        let addr = entry.addr;
        let work = (i % 7) as u64;
        tokio::spawn(async move {
            let name = format!("r{i}");
            (name.clone(), size, call(addr, get(&name, work, size)).await)
        })
    });
    let calls: Vec<_> = calls.collect();

    for task in calls {
        let (name, size, got) = task.await.expect("caller ends");
        assert_eq!(got.status, StatusCode::OK, "{name}: {:?}", got.body);
        assert_eq!(got.header("x-request-id"), name);
        assert_eq!(got.header("sapphirecroft-bundle-version"), "7");
        assert!(got.is_whole_answer_to(&name), "{name} of {size} bytes");
        assert!(got.body.is_ok_and(|body| body.len() >= size));
    }
}

/// Guards against a cut-off answer that looks complete, streamed or read whole.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_answer_never_looks_complete() {
    let endpoints = endpoints(1).await;
    let entry = Entry::alone(shares(&endpoints, 8)).await;
    endpoints[0].faults.set_truncate(true);

    let large = call(entry.addr, get("large", 1, 900_000)).await;
    let small = call(entry.addr, post("small", 1, 5_000)).await;

    assert!(
        large.body.is_err(),
        "{:?}",
        large.body.map(|body| body.len())
    );
    assert_eq!(small.status, StatusCode::BAD_GATEWAY);
    assert_eq!(small.outcome(), "unknown");
}

/// Guards against answers whose end is marked by the end of the connection alone.
#[tokio::test(flavor = "multi_thread")]
async fn answer_without_length_is_not_passed_on() {
    let raw = RawEndpoint::start("HTTP/1.1 200 OK\r\n\r\nhalf an ans").await;
    let entry = Entry::alone(vec![share(raw.addr, 8)]).await;

    let got = call(entry.addr, post("p", 1, 0)).await;

    assert_eq!(got.outcome(), "unknown", "{got:?}");
}

/// Guards against an answer that is shorter than its declared length.
#[tokio::test(flavor = "multi_thread")]
async fn answer_shorter_than_its_length_is_unknown() {
    let raw = RawEndpoint::start("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf").await;
    let entry = Entry::alone(vec![share(raw.addr, 8)]).await;

    let got = call(entry.addr, post("p", 1, 0)).await;

    assert_eq!(got.outcome(), "unknown", "{got:?}");
}

/// Guards against a chunked answer that is cut off between two chunks.
#[tokio::test(flavor = "multi_thread")]
async fn chunked_answer_without_end_is_cut_off_for_the_caller() {
    let raw =
        RawEndpoint::start("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n")
            .await;
    let entry = Entry::alone(vec![share(raw.addr, 8)]).await;

    let got = call(entry.addr, post("p", 1, 0)).await;

    assert!(got.body.is_err() || got.outcome() == "unknown", "{got:?}");
}

/// Guards against hop-by-hop and internal headers that reach the endpoint, and lost deadlines.
#[tokio::test(flavor = "multi_thread")]
async fn request_head_is_stripped_and_deadline_passed_on() {
    let raw = RawEndpoint::start(
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nkeep-alive: 5\r\nsapphirecroft-outcome: unknown\r\n\r\nok",
    )
    .await;
    let entry = Entry::alone(vec![share(raw.addr, 8)]).await;
    let mut req = get("head", 1, 0);
    for (name, value) in [
        ("connection", "x-private"),
        ("x-private", "1"),
        ("te", "trailers"),
        ("sapphirecroft-forwarded", "true"),
        ("sapphirecroft-deadline-ms", "15000"),
    ] {
        req.headers_mut()
            .insert(name, value.parse().expect("value"));
    }

    let got = call(entry.addr, req).await;

    assert_eq!(got.body.as_deref(), Ok(&b"ok"[..]));
    assert_eq!(got.header("keep-alive"), "");
    assert_eq!(got.outcome(), "");
    let head = raw.heads.lock()[0].to_ascii_lowercase();
    assert!(head.starts_with("get /slots?day=1 http/1.1"), "{head}");
    for absent in ["x-private", "te:", "forwarded"] {
        assert!(!head.contains(absent), "{absent} in {head}");
    }
    let deadline = head.split("sapphirecroft-deadline-ms: ").nth(1);
    let deadline = deadline.and_then(|rest| rest.lines().next()?.parse::<u64>().ok());
    assert!(deadline.is_some_and(|left| left <= 15_000), "{head}");
}

/// Guards against malformed requests that reach an endpoint, and messages that name no cause.
#[tokio::test(flavor = "multi_thread")]
async fn malformed_requests_are_refused_with_their_cause() {
    let endpoints = endpoints(1).await;
    let entry = Entry::alone(shares(&endpoints, 8)).await;
    let mut keyless = post("keyless", 1, 0);
    keyless.headers_mut().remove("idempotency-key");
    let mut late = get("late", 1, 0);
    let soon = "soon".parse().expect("value");
    late.headers_mut().insert("sapphirecroft-deadline-ms", soon);
    let mut stray = get("stray", 1, 0);
    *stray.uri_mut() = "/nowhere/x".parse().expect("path");

    let cases = [
        (keyless, 400, "idempotency-key"),
        (late, 400, "sapphirecroft-deadline-ms"),
        (stray, 404, "unknown-service"),
    ];

    for (req, status, cause) in cases {
        let got = call(entry.addr, req).await;
        assert_eq!(got.status.as_u16(), status);
        assert_eq!(got.outcome(), "not-run");
        assert!(
            got.header("sapphirecroft-reason").contains(cause),
            "{got:?}"
        );
    }
    assert!(endpoints[0].log().runs.is_empty());
}

/// Guards against large request bodies that are lost or cut on their way to the endpoint.
#[tokio::test(flavor = "multi_thread")]
async fn large_request_bodies_are_streamed_through() {
    let endpoints = endpoints(1).await;
    let entry = Entry::alone(shares(&endpoints, 8)).await;
    let (parts, _) = post("upload", 1, 900_000).into_parts();
    let body = Full::new(Bytes::from(vec![b'x'; 5_000_000]));

    let got = call(entry.addr, http::Request::from_parts(parts, body)).await;

    assert!(got.is_whole_answer_to("upload"), "{:?}", got.status);
    assert_eq!(runs(&endpoints, "upload"), 1);
}

/// Guards against unbounded memory for request bodies that wait for their answers.
#[tokio::test(flavor = "multi_thread")]
async fn request_bodies_beyond_the_bytes_in_flight_are_refused() {
    let endpoints = endpoints(1).await;
    let ring = Ring::new(&["entry-1"]);
    let shares = shares(&endpoints, 8);
    let adapt = |cfg: &mut sapphirecroft::proxy::ProxyConfig| cfg.max_buffered_bytes = 10_000;
    let entry = Entry::start_with(&ring, "entry-1", shares, adapt).await;
    let upload = |name: &str, work| {
        let (parts, _) = post(name, work, 0).into_parts();
        http::Request::from_parts(parts, Full::new(Bytes::from(vec![b'x'; 8_000])))
    };

    let (addr, req) = (entry.addr, upload("first", 1_500));
    let first = tokio::spawn(async move { call(addr, req).await });
    until("the first runs", || runs(&endpoints, "first") == 1).await;
    let second = call(entry.addr, upload("second", 1)).await;
    let first = first.await.expect("caller ends");
    entry.proxy.drained().await;
    let third = call(entry.addr, upload("third", 1)).await;

    assert_eq!(second.outcome(), "not-run", "{second:?}");
    assert_eq!(runs(&endpoints, "second"), 0);
    assert!(first.is_whole_answer_to("first"), "{first:?}");
    assert!(third.is_whole_answer_to("third"), "{third:?}");
}
