//! Relaying of responses: callers get complete responses to their own requests or an error.

mod proxy_support;

use bytes::Bytes;
use http::StatusCode;
use http_body_util::Full;
use proxy_support::*;

/// Guards against responses that reach another request's caller or lose chunks, while requests of
/// all sizes share the endpoints' connections.
#[tokio::test(flavor = "multi_thread")]
async fn concurrent_responses_are_complete_and_match_their_requests() {
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
        let (name, size, response) = task.await.expect("caller ends");
        assert_eq!(
            response.status,
            StatusCode::OK,
            "{name}: {:?}",
            response.body
        );
        assert_eq!(response.header("x-request-id"), name);
        assert_eq!(response.header("sapphirecroft-bundle-version"), "7");
        assert!(
            response.is_complete_response_to(&name),
            "{name} of {size} bytes"
        );
        assert!(response.body.is_ok_and(|body| body.len() >= size));
    }
}

/// Guards against a response that was cut off by the endpoint but looks complete to the caller,
/// whether the proxy streams or buffers it.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_response_never_looks_complete() {
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

/// Guards against relaying a response whose end is marked only by the end of the connection, since
/// it looks complete when it is cut off.
#[tokio::test(flavor = "multi_thread")]
async fn close_delimited_response_is_not_relayed() {
    let raw = RawEndpoint::start("HTTP/1.1 200 OK\r\n\r\nhalf an ans").await;
    let entry = Entry::alone(vec![share(raw.addr, 8)]).await;

    let response = call(entry.addr, post("p", 1, 0)).await;

    assert_eq!(response.outcome(), "unknown", "{response:?}");
}

/// Guards against a success for a response that ends before its declared length.
#[tokio::test(flavor = "multi_thread")]
async fn response_shorter_than_its_length_is_unknown() {
    let raw = RawEndpoint::start("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf").await;
    let entry = Entry::alone(vec![share(raw.addr, 8)]).await;

    let response = call(entry.addr, post("p", 1, 0)).await;

    assert_eq!(response.outcome(), "unknown", "{response:?}");
}

/// Guards against a chunked response that looks complete although its connection ended between two
/// chunks.
#[tokio::test(flavor = "multi_thread")]
async fn chunked_response_without_end_is_cut_off_for_the_caller() {
    let raw =
        RawEndpoint::start("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n")
            .await;
    let entry = Entry::alone(vec![share(raw.addr, 8)]).await;

    let response = call(entry.addr, post("p", 1, 0)).await;

    assert!(
        response.body.is_err() || response.outcome() == "unknown",
        "{response:?}"
    );
}

/// Guards against hop-by-hop and internal headers that are relayed in either direction, and against
/// an endpoint that does not learn the remaining time.
#[tokio::test(flavor = "multi_thread")]
async fn request_head_is_stripped_and_deadline_forwarded() {
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

    let response = call(entry.addr, req).await;

    assert_eq!(response.body.as_deref(), Ok(&b"ok"[..]));
    assert_eq!(response.header("keep-alive"), "");
    assert_eq!(response.outcome(), "");
    let head = raw.heads.lock()[0].to_ascii_lowercase();
    assert!(head.starts_with("get /slots?day=1 http/1.1"), "{head}");
    for absent in ["x-private", "te:", "forwarded"] {
        assert!(!head.contains(absent), "{absent} in {head}");
    }
    let deadline = head.split("sapphirecroft-deadline-ms: ").nth(1);
    let deadline = deadline.and_then(|rest| rest.lines().next()?.parse::<u64>().ok());
    assert!(deadline.is_some_and(|left| left <= 15_000), "{head}");
}

/// Guards against invalid requests that reach an endpoint, and against refusals without a cause.
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
        let response = call(entry.addr, req).await;
        assert_eq!(response.status.as_u16(), status);
        assert_eq!(response.outcome(), "not-run");
        assert!(
            response.header("sapphirecroft-reason").contains(cause),
            "{response:?}"
        );
    }
    assert!(endpoints[0].log().runs.is_empty());
}

/// Guards against losing or truncating request bodies that are too large to be buffered.
#[tokio::test(flavor = "multi_thread")]
async fn large_request_bodies_are_streamed_through() {
    let endpoints = endpoints(1).await;
    let entry = Entry::alone(shares(&endpoints, 8)).await;
    let (parts, _) = post("upload", 1, 900_000).into_parts();
    let body = Full::new(Bytes::from(vec![b'x'; 5_000_000]));

    let response = call(entry.addr, http::Request::from_parts(parts, body)).await;

    assert!(
        response.is_complete_response_to("upload"),
        "{:?}",
        response.status
    );
    assert_eq!(runs(&endpoints, "upload"), 1);
}

/// Guards against unbounded memory: buffered request bodies are held until their response arrives.
#[tokio::test(flavor = "multi_thread")]
async fn request_bodies_beyond_the_buffer_limit_are_refused() {
    let endpoints = endpoints(1).await;
    let membership = TestMembership::new(&["entry-1"]);
    let shares = shares(&endpoints, 8);
    let adapt = |cfg: &mut sapphirecroft::proxy::ProxyConfig| cfg.max_buffered_bytes = 10_000;
    let entry = Entry::start_with(&membership, "entry-1", shares, adapt).await;
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
    assert!(first.is_complete_response_to("first"), "{first:?}");
    assert!(third.is_complete_response_to("third"), "{third:?}");
}
