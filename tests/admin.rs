//! The administration API over loopback: authentication, errors, bad input, extensions.

mod bundle_support;

use std::sync::Arc;

use async_trait::async_trait;
use bundle_support::*;
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use proptest::prelude::*;
use sapphirecroft::admin::{AdminAnswer, AdminExtension, AdminService};
use sapphirecroft::prelude::*;
use sapphirecroft::provider::Store;
use sapphirecroft::schema::config::{ApiError, CurrentView, ErrorKind, OperatorRecord, Role};
use sapphirecroft::web::Server;
use serde_json::{Value, json};

struct Echo;

#[async_trait(?Send)]
impl AdminExtension for Echo {
    fn prefix(&self) -> &str {
        "/echo"
    }

    async fn call(
        &self,
        operator: &OperatorRecord,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> AdminAnswer {
        AdminAnswer::ok(&json!({
            "operator": operator.name,
            "method": method.as_str(),
            "path": path,
            "bytes": body.len(),
        }))
    }
}

struct Api {
    process: Process,
    addr: String,
    cancel: CancellationToken,
}

impl Api {
    async fn start() -> (Self, Server) {
        let (_, process) = site().await;
        let service = AdminService::new(process.manager.clone(), process.keeper.clone());
        let service = Arc::new(service.extend(Arc::new(Echo)));
        let cancel = CancellationToken::new();
        let server = Server::start("127.0.0.1:0", service, 1, cancel.clone()).expect("starts");
        let api = Self {
            process,
            addr: server.addr().to_string(),
            cancel,
        };
        (api, server)
    }

    async fn send(
        &self,
        method: &str,
        path: &str,
        authorization: Option<&str>,
        body: Vec<u8>,
    ) -> (StatusCode, Value) {
        let mut req = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.addr));
        if let Some(value) = authorization {
            req = req.header("authorization", value);
        }
        let req = req
            .body(Full::new(Bytes::from(body)))
            .expect("request is valid");
        let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
        let res = client.request(req).await.expect("answer arrives");
        let status = res.status();
        let body = res
            .into_body()
            .collect()
            .await
            .expect("whole answer")
            .to_bytes();
        (
            status,
            serde_json::from_slice(&body).unwrap_or_else(|err| panic!("{status} {path}: {err}")),
        )
    }

    async fn call(&self, who: &str, method: &str, path: &str, body: Value) -> (StatusCode, Value) {
        let bearer = format!("Bearer {}", token_of(who));
        let path = format!("/admin/v1{path}");
        self.send(method, &path, Some(&bearer), body.to_string().into_bytes())
            .await
    }
}

/// Runs a test against the API on loopback and stops the server gracefully after it.
fn with_api(test: impl AsyncFnOnce(&Api)) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("runtime starts");
    runtime.block_on(async {
        let (api, server) = Api::start().await;
        test(&api).await;
        api.cancel.cancel();
        server.stopped().await;
    });
}

fn kind_of(body: &Value) -> ErrorKind {
    let err: ApiError = serde_json::from_value(body.clone()).expect("body is an error");
    err.kind
}

/// Guards against calls that pass without a valid token, and against answers that repeat one.
#[test]
fn calls_need_a_known_token() {
    with_api(async |api| {
        let path = "/admin/v1/bundle";
        let secret = "0123456789abcdef";
        let attempts = [
            None,
            Some(format!("Bearer {secret}")),
            Some(format!("Basic {secret}")),
            Some(format!(
                "Bearer {}",
                sapphirecroft::bundle::digest_of(b"token of ana")
            )),
            Some("Bearer ".to_string()),
        ];
        for attempt in attempts {
            let (status, body) = api.send("GET", path, attempt.as_deref(), Vec::new()).await;

            assert_eq!(status, StatusCode::UNAUTHORIZED, "{attempt:?}");
            assert!(!body.to_string().contains(secret), "{body}");
        }
        let (status, _) = api.call("ana", "GET", "/bundle", Value::Null).await;
        assert_eq!(status, StatusCode::OK);
    });
}

/// Guards against a revoked operator who still changes things through a process that has not
/// heard of the revocation.
#[test]
fn revoked_operator_changes_nothing() {
    with_api(async |api| {
        let other = process(&api.process.link.kv, "entry-1");
        let mut ring = first_ring();
        ring.revoke(&id("ana"), None, Version(0))
            .expect("ana exists");
        other
            .manager
            .change_ring(None, ring_request(&ring))
            .await
            .expect("accepted");
        ring.operators[0].roles.clear();
        ring.serial += 1;
        other
            .manager
            .change_ring(None, ring_request(&ring))
            .await
            .expect("accepted");

        let body = json!({ "text": variant(1) });
        let (status, body) = api.call("ana", "POST", "/bundle/proposals", body).await;

        assert_eq!(
            (status, kind_of(&body)),
            (StatusCode::FORBIDDEN, ErrorKind::Forbidden)
        );
    });
}

#[test]
fn whole_life_of_a_bundle_over_the_api() {
    with_api(async |api| {
        let proposals = "/bundle/proposals";
        let (status, view) = api
            .call(
                "ana",
                "POST",
                proposals,
                json!({ "text": variant(1), "base": 0 }),
            )
            .await;
        assert_eq!(
            (status, &view["state"]),
            (StatusCode::OK, &json!("proposed"))
        );
        let path = format!(
            "{proposals}/{}",
            view["proposal"]["id"].as_str().expect("id")
        );
        let proposal = serde_json::from_value(view["proposal"].clone()).expect("proposal");
        let digest = &view["proposal"]["digest"];

        let review = json!({ "digest": digest, "approve": true, "note": "fine" });
        let reviewed = api
            .call("bo", "POST", &format!("{path}/review"), review)
            .await;
        let signature = serde_json::to_value(sign("bo", 0, &proposal)).expect("JSON");
        let signed = api
            .call("bo", "POST", &format!("{path}/sign-off"), signature)
            .await;
        let released = api
            .call("cam", "POST", &format!("{path}/roll-out"), Value::Null)
            .await;

        assert_eq!(reviewed.1["state"], "reviewed");
        assert_eq!(signed.1["state"], "signed_off");
        assert_eq!(
            (released.0, &released.1["version"]),
            (StatusCode::OK, &json!(1))
        );
        let (_, shown) = api.call("ana", "GET", &path, Value::Null).await;
        assert_eq!(shown["state"], "rolled_out");
        let (_, diff) = api
            .call("ana", "GET", "/bundle/versions/1/diff", Value::Null)
            .await;
        assert!(
            diff["changes"]
                .as_array()
                .is_some_and(|changes| changes.len() > 30)
        );
        let (_, history) = api
            .call("ana", "GET", "/bundle/versions?limit=5", Value::Null)
            .await;
        assert_eq!(history[0]["signer"], "bo");
        let (_, report) = api.call("ana", "GET", "/audit/verify", Value::Null).await;
        assert_eq!(report["faults"], json!([]));
        let (status, stale) = api
            .call(
                "ana",
                "POST",
                proposals,
                json!({ "text": variant(2), "base": 0 }),
            )
            .await;
        assert_eq!(
            (status, kind_of(&stale)),
            (StatusCode::CONFLICT, ErrorKind::Conflict)
        );
        assert_eq!(stale["other"]["who"], "cam");
        assert_eq!(stale["other"]["version"], 1);
    });
}

/// Guards against errors without a kind, a status or the faults of a bundle.
#[test]
fn errors_have_kinds() {
    with_api(async |api| {
        let bad = variant(1).replace("hedge = true", "hedge = maybe");
        let calls = [
            (
                "GET",
                "/bundle/versions/9",
                json!(null),
                ErrorKind::NotFound,
            ),
            (
                "GET",
                "/bundle/versions/x",
                json!(null),
                ErrorKind::BadInput,
            ),
            (
                "GET",
                "/bundle/proposals/1-00000000",
                json!(null),
                ErrorKind::NotFound,
            ),
            (
                "GET",
                "/bundle/versions?limit=x",
                json!(null),
                ErrorKind::BadInput,
            ),
            ("GET", "/nothing", json!(null), ErrorKind::NotFound),
            ("GET", "/echoes", json!(null), ErrorKind::NotFound),
            ("DELETE", "/bundle", json!(null), ErrorKind::NotFound),
            ("GET", "/audit/999", json!(null), ErrorKind::NotFound),
            ("GET", "/audit/0", json!(null), ErrorKind::NotFound),
            (
                "POST",
                "/bundle/proposals",
                json!({ "txt": "" }),
                ErrorKind::BadInput,
            ),
            (
                "POST",
                "/bundle/proposals",
                json!({ "text": bad }),
                ErrorKind::BadInput,
            ),
            (
                "POST",
                "/bundle/roll-back",
                json!({ "to": 0 }),
                ErrorKind::BadInput,
            ),
        ];
        for (method, path, body, kind) in calls {
            let (status, answer) = api.call("ana", method, path, body).await;

            assert_eq!(kind_of(&answer), kind, "{method} {path}: {answer}");
            assert!(status.is_client_error(), "{method} {path}: {status}");
        }
        let body = json!({ "text": bad });
        let (_, answer) = api.call("ana", "POST", "/bundle/proposals", body).await;
        assert_eq!(answer["faults"][0]["key"], "hedge");
        assert_eq!(answer["faults"][0]["line"], 17);
        api.process.link.set_cut(true);
        let (status, answer) = api.call("ana", "GET", "/bundle", Value::Null).await;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(kind_of(&answer), ErrorKind::Unavailable);
    });
}

/// Guards against a part of the API that only some roles may read but all can.
#[test]
fn audit_needs_its_role() {
    with_api(async |api| {
        let mut ring = first_ring();
        ring.put_operator(operator("dee", &[Role::Propose]), Version(0));
        let manager = &api.process.manager;
        manager
            .change_ring(None, ring_request(&ring))
            .await
            .expect("accepted");

        let (status, _) = api.call("dee", "GET", "/audit", Value::Null).await;

        assert_eq!(status, StatusCode::FORBIDDEN);
    });
}

/// Guards against an extension that gets calls without an operator or of another prefix.
#[test]
fn extensions_get_authenticated_calls() {
    with_api(async |api| {
        let (_, body) = api.call("bo", "POST", "/echo/a/b?c=d", json!([1])).await;
        let anonymous = api.send("GET", "/admin/v1/echo", None, Vec::new()).await;

        let expected = json!({"operator": "bo", "method": "POST", "path": "/a/b?c=d", "bytes": 3});
        assert_eq!(body, expected);
        assert_eq!(anonymous.0, StatusCode::UNAUTHORIZED);
    });
}

/// Guards against calls that stop the process, change something or answer without a clear error.
#[test]
fn bad_calls_change_nothing() {
    with_api(async |api| {
        let bodies = prop_oneof![
            prop::collection::vec(any::<u8>(), 0..200),
            "\\{\"(text|to|digest|key|ring|base)\":[ -~]{0,60}\\}".prop_map(String::into_bytes),
            variant(1).prop_truncate(),
        ];
        let paths = prop::sample::select(vec![
            "/bundle/proposals",
            "/bundle/roll-back",
            "/bundle/proposals/1-abc/review",
            "/bundle/proposals/1-abc/sign-off",
            "/bundle/proposals/1-abc/roll-out",
            "/bundle/proposals/%20/roll-out",
            "/keys",
            "/audit",
            "//",
        ]);
        let handle = tokio::runtime::Handle::current();
        let before = api.process.link.kv.list("").await.expect("answers");
        let calls = tokio::task::block_in_place(|| {
            runner(200, 31).run(&(paths, bodies), |(path, body)| {
                let bearer = format!("Bearer {}", token_of("ana"));
                let path = format!("/admin/v1{path}");
                let sent = api.send("POST", &path, Some(&bearer), body);
                let (status, answer) = handle.block_on(sent);
                prop_assert!(status.is_client_error(), "{} {}", status, answer);
                let err: Result<ApiError, _> = serde_json::from_value(answer);
                prop_assert!(err.is_ok_and(|err| !err.message.is_empty()));
                Ok(())
            })
        });
        calls.unwrap_or_else(|err| panic!("{err}"));
        let after = api.process.link.kv.list("").await.expect("answers");
        assert_eq!(before, after);
        let (_, body) = api.call("ana", "GET", "/bundle", Value::Null).await;
        let view: CurrentView = serde_json::from_value(body).expect("view");
        assert_eq!(view.version, Version(0));
    });
}

trait Truncate {
    fn prop_truncate(self) -> BoxedStrategy<Vec<u8>>;
}

impl Truncate for String {
    /// Bodies that start as a valid proposal and end too early.
    fn prop_truncate(self) -> BoxedStrategy<Vec<u8>> {
        let body = json!({ "text": self }).to_string().into_bytes();
        (0..body.len())
            .prop_map(move |end| body[..end].to_vec())
            .boxed()
    }
}
