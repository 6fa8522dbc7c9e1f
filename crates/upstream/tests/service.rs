//! Plain services: what passes the border, what is whole, what may have run.

mod common;

use bytes::Bytes;
use common::{SPAN, answer_once, closed_address, with_client};
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
    HttpService::new(client, peer, LIMIT, SPAN)
}

#[test]
fn headers_of_one_hop_stay_behind() {
    let reply = "HTTP/1.1 201 Created\r\nContent-Length: 2\r\nConnection: close, X-Hop\r\n\
                 X-Hop: 1\r\nKeep-Alive: 5\r\nX-Request-Id: r-1\r\nX-Seat: hét\r\n\r\nok";
    with_client(|client| async move {
        let (address, peer) = answer_once(reply);
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
        let answer = service.call(&passed, SPAN).await.unwrap();
        assert_eq!((answer.status, &answer.body[..]), (201, &b"ok"[..]));
        let names: Vec<&str> = answer.headers.iter().map(|h| h.name.as_str()).collect();
        assert_eq!(names, ["x-request-id", "x-seat"]);
        assert_eq!(answer.headers[1].value, "hét");
        let request = peer.join().unwrap().to_lowercase();
        assert!(request.starts_with("post /holds?seat=7 http/1.1\r\n"));
        for stays in [
            "secret",
            "private",
            "trailers",
            "chunked",
            "content-length: 99",
            "forged",
            "keep-alive",
        ] {
            assert!(!request.contains(stays), "{stays} in {request}");
        }
        for goes in [
            "x-request-id: r-1\r\n",
            "x-attempt: 2\r\n",
            "idempotency-key: key-1\r\n",
            "accept: application/json\r\n",
            "content-length: 2\r\n",
        ] {
            assert!(request.contains(goes), "{goes} not in {request}");
        }
    });
}

#[test]
fn answers_not_provably_whole_are_errors() {
    struct Case {
        reply: &'static str,
        error: fn(&CallError) -> bool,
    }
    let lost: fn(&CallError) -> bool = |e| {
        let CallError::Net { source } = e else {
            return false;
        };
        matches!(source, NetError::Lost { .. })
    };
    let answer: fn(&CallError) -> bool = |e| {
        let CallError::Net { source } = e else {
            return false;
        };
        matches!(source, NetError::Answer { .. })
    };
    #[rustfmt::skip]
    let cases = [
        Case { reply: "", error: lost },
        Case { reply: "HTTP/1.1 200 OK\r\nContent-Le", error: lost },
        Case { reply: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok", error: answer },
        Case { reply: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", error: answer },
        Case { reply: "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n123456789012345678901234567890123456789012345678901234567890123456789012345678901234567890123456789", error: answer },
        Case { reply: "HTTP/1.1 200 OK\r\n\r\nok", error: |e| matches!(e, CallError::UnframedBody { .. }) },
        Case { reply: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Request-Id: r-2\r\n\r\nok", error: |e| matches!(e, CallError::IdMismatch { .. }) },
        Case { reply: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Attempt: 1\r\n\r\nok", error: |e| matches!(e, CallError::IdMismatch { .. }) },
    ];
    for case in cases {
        with_client(|client| async move {
            let (address, _) = answer_once(case.reply);
            let service = service(&client, &address.to_string());
            let error = service.call(&call(&[]), SPAN).await.unwrap_err();
            assert!((case.error)(&error), "{}: {error}", case.reply);
            assert_eq!(error.sent(), Sent::Maybe, "{}", case.reply);
            assert!(error.to_string().contains(&address.to_string()), "{error}");
        });
    }
}

#[test]
fn only_the_call_names_its_key() {
    with_client(|client| async move {
        let (address, peer) = answer_once("HTTP/1.1 204 No Content\r\n\r\n");
        let keyless = ServiceCall {
            key: None,
            ..call(&[("idempotency-key", "forged")])
        };
        let service = service(&client, &address.to_string());
        service.call(&keyless, SPAN).await.unwrap();
        let request = peer.join().unwrap().to_lowercase();
        assert!(!request.contains("idempotency-key"), "{request}");
    });
}

#[test]
fn answers_without_body_need_no_length() {
    with_client(|client| async move {
        let (address, _) = answer_once("HTTP/1.1 204 No Content\r\n\r\n");
        let answer = service(&client, &address.to_string())
            .call(&call(&[]), SPAN)
            .await;
        assert_eq!(answer.unwrap().status, 204);
    });
}

#[test]
fn calls_that_never_left_are_told() {
    with_client(|client| async move {
        let refused = service(&client, &closed_address());
        let mut calls = vec![call(&[]); 5];
        calls[1].path = "no path".into();
        calls[2].path = "http://elsewhere/holds".into();
        calls[3].method = "B A D".into();
        calls[4].method = "CONNECT".into();
        calls.push(call(&[("a b", "c")]));
        for call in calls {
            let error = refused.call(&call, SPAN).await.unwrap_err();
            assert_eq!(error.sent(), Sent::No, "{error}");
        }
    });
}

#[test]
fn a_lost_answer_may_have_run() {
    with_client(|client| async move {
        let standin = Standin::start(ServiceOptions::default(), client.timer()).unwrap();
        let service = service(&client, &standin.address.to_string());
        service.health().await.unwrap();
        standin.inject(|f| {
            f.lose_answers = 1;
            f.truncate = 1;
        });
        for _ in 0..2 {
            let error = service.call(&call(&[]), SPAN).await.unwrap_err();
            assert_eq!(error.sent(), Sent::Maybe, "{error}");
        }
        let answer = service.call(&call(&[]), SPAN).await.unwrap();
        let body = String::from_utf8(answer.body.to_vec()).unwrap();
        assert!(body.contains(r#""effect":3"#), "{body}");
        standin.inject(|f| f.down = true);
        let answer = service.call(&call(&[]), SPAN).await.unwrap();
        assert_eq!(answer.status, 503);
        let error = service.health().await.unwrap_err();
        assert!(matches!(error, CallError::Status { status: 503, retry, .. } if retry.0.is_some()));
    });
}
