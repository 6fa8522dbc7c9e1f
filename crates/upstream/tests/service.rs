//! Plain services: forwarded headers, complete responses, and whether a failed call may have run.

mod common;

use bytes::Bytes;
use common::{TIMEOUT, closed_address, respond_once, with_client};
use pumicecleat_net::{Client, NetError, Sent};
use pumicecleat_standin::{Service as Standin, ServiceOptions};
use pumicecleat_types::HeaderField;
use pumicecleat_upstream::{CallError, HttpService, Service, ServiceCall};

const LIMIT: u64 = 96;

fn call(headers: &[(&str, &str)]) -> ServiceCall {
    let field = |(name, value): &(&str, &str)| HeaderField {
        name: (*name).into(),
        value: (*value).into(),
    };
    ServiceCall {
        request: "r-1".into(),
        attempt: 2,
        method: "POST".into(),
        path: "/holds?seat=7".into(),
        headers: headers.iter().map(field).collect(),
        body: Bytes::from_static(b"{}"),
        key: Some("key-1".into()),
    }
}

fn service(client: &Client, peer: &str) -> HttpService {
    HttpService::new(client, peer, LIMIT, TIMEOUT)
}

#[test]
fn hop_by_hop_headers_are_not_forwarded() {
    let reply = "HTTP/1.1 201 Created\r\nContent-Length: 2\r\nConnection: close, X-Hop\r\n\
                 X-Hop: 1\r\nKeep-Alive: 5\r\nX-Request-Id: r-1\r\nX-Seat: hét\r\n\r\nok";
    with_client(|client| async move {
        let (address, peer) = respond_once(reply);
        let passed = call(&[
            ("authorization", "Bearer secret"),
            ("connection", "X-Private"),
            ("x-private", "1"),
            ("te", "trailers"),
            ("proxy-authorization", "secret"),
            ("transfer-encoding", "chunked"),
            ("content-length", "99"),
            ("x-request-id", "forged"),
            ("idempotency-key", "forged"),
            ("accept", "application/json"),
        ]);
        let service = service(&client, &address.to_string());
        let response = service.call(&passed, TIMEOUT).await.unwrap();
        assert_eq!((response.status, &response.body[..]), (201, &b"ok"[..]));
        let names: Vec<&str> = response.headers.iter().map(|h| h.name.as_str()).collect();
        assert_eq!(names, ["x-request-id", "x-seat"]);
        assert_eq!(response.headers[1].value, "hét");
        let request = peer.join().unwrap().to_lowercase();
        assert!(request.starts_with("post /holds?seat=7 http/1.1\r\n"));
        for absent in [
            "secret",
            "private",
            "trailers",
            "chunked",
            "content-length: 99",
            "forged",
            "keep-alive",
        ] {
            assert!(!request.contains(absent), "{absent} in {request}");
        }
        for present in [
            "x-request-id: r-1\r\n",
            "x-attempt: 2\r\n",
            "idempotency-key: key-1\r\n",
            "accept: application/json\r\n",
            "content-length: 2\r\n",
        ] {
            assert!(request.contains(present), "{present} not in {request}");
        }
    });
}

#[test]
fn incomplete_or_unverifiable_responses_are_errors() {
    struct Case {
        reply: &'static str,
        is_expected: fn(&CallError) -> bool,
    }
    let lost: fn(&CallError) -> bool = |e| {
        let CallError::Net { source } = e else {
            return false;
        };
        matches!(source, NetError::Lost { .. })
    };
    let response: fn(&CallError) -> bool = |e| {
        let CallError::Net { source } = e else {
            return false;
        };
        matches!(source, NetError::Answer { .. })
    };
    #[rustfmt::skip]
    let cases = [
        Case { reply: "", is_expected: lost },
        Case { reply: "HTTP/1.1 200 OK\r\nContent-Le", is_expected: lost },
        Case { reply: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok", is_expected: response },
        Case { reply: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", is_expected: response },
        Case { reply: "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n123456789012345678901234567890123456789012345678901234567890123456789012345678901234567890123456789", is_expected: response },
        Case { reply: "HTTP/1.1 200 OK\r\n\r\nok", is_expected: |e| matches!(e, CallError::UnframedBody { .. }) },
        Case { reply: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Request-Id: r-2\r\n\r\nok", is_expected: |e| matches!(e, CallError::IdMismatch { .. }) },
        Case { reply: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Attempt: 1\r\n\r\nok", is_expected: |e| matches!(e, CallError::IdMismatch { .. }) },
    ];
    for case in cases {
        with_client(|client| async move {
            let (address, _) = respond_once(case.reply);
            let service = service(&client, &address.to_string());
            let error = service.call(&call(&[]), TIMEOUT).await.unwrap_err();
            assert!((case.is_expected)(&error), "{}: {error}", case.reply);
            assert_eq!(error.sent(), Sent::Maybe, "{}", case.reply);
            assert!(error.to_string().contains(&address.to_string()), "{error}");
        });
    }
}

#[test]
fn idempotency_key_comes_only_from_the_call() {
    with_client(|client| async move {
        let (address, peer) = respond_once("HTTP/1.1 204 No Content\r\n\r\n");
        let keyless = ServiceCall {
            key: None,
            ..call(&[("idempotency-key", "forged")])
        };
        let service = service(&client, &address.to_string());
        service.call(&keyless, TIMEOUT).await.unwrap();
        let request = peer.join().unwrap().to_lowercase();
        assert!(!request.contains("idempotency-key"), "{request}");
    });
}

#[test]
fn responses_without_body_need_no_length() {
    with_client(|client| async move {
        let (address, _) = respond_once("HTTP/1.1 204 No Content\r\n\r\n");
        let response = service(&client, &address.to_string())
            .call(&call(&[]), TIMEOUT)
            .await;
        assert_eq!(response.unwrap().status, 204);
    });
}

#[test]
fn unsent_calls_are_reported() {
    with_client(|client| async move {
        let refused = service(&client, &closed_address());
        let mut calls = vec![call(&[]); 5];
        calls[1].path = "no path".into();
        calls[2].path = "http://elsewhere/holds".into();
        calls[3].method = "B A D".into();
        calls[4].method = "CONNECT".into();
        calls.push(call(&[("a b", "c")]));
        for call in calls {
            let error = refused.call(&call, TIMEOUT).await.unwrap_err();
            assert_eq!(error.sent(), Sent::No, "{error}");
        }
    });
}

#[test]
fn lost_response_may_have_run() {
    with_client(|client| async move {
        let standin = Standin::start(ServiceOptions::default(), client.timer()).unwrap();
        let service = service(&client, &standin.address.to_string());
        service.health().await.unwrap();
        standin.inject(|f| {
            f.lose_answers = 1;
            f.truncate = 1;
        });
        for _ in 0..2 {
            let error = service.call(&call(&[]), TIMEOUT).await.unwrap_err();
            assert_eq!(error.sent(), Sent::Maybe, "{error}");
        }
        let response = service.call(&call(&[]), TIMEOUT).await.unwrap();
        let body = String::from_utf8(response.body.to_vec()).unwrap();
        assert!(body.contains(r#""effect":3"#), "{body}");
        standin.inject(|f| f.down = true);
        let response = service.call(&call(&[]), TIMEOUT).await.unwrap();
        assert_eq!(response.status, 503);
        let error = service.health().await.unwrap_err();
        assert!(matches!(error, CallError::Status { status: 503, retry, .. } if retry.0.is_some()));
    });
}
