//! Tests of the HTTP clients with the stand-ins and with peers that send wrong responses.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use crate::common::with_client;
use bytes::Bytes;
use pumicecleat_infra::{
    AppendError, HttpLog, HttpStore, HttpVms, Log, Peers, ReadError, RequestError, Store,
    StoreError, Vms,
};
use pumicecleat_net::{
    Body, BodyError, Client, ClientOptions, Handler, Incoming, Reply, Server, ServerOptions, Timer,
    bind, run,
};
use pumicecleat_standin::{
    Log as LogStandin, LogFaults, LogOptions, Store as StoreStandin, StoreOptions,
    VmList as VmsStandin, VmListOptions,
};
use pumicecleat_types::{VmEntry, VmRole, VmState};

const TIMEOUT: Duration = Duration::from_secs(5);
const MS: Duration = Duration::from_millis(1);

/// Server that sends the same response to every request.
#[derive(Clone, Copy)]
struct FixedResponse {
    status: u16,
    body: &'static str,
    /// Whether the response is cut off after the body.
    cut: bool,
}

impl Handler for FixedResponse {
    fn handle(&self, _: Incoming, _: SocketAddr) -> Pin<Box<dyn Future<Output = Reply>>> {
        let response = *self;
        Box::pin(async move {
            let body = Ok(Bytes::from_static(response.body.as_bytes()));
            let detail = "cut".to_owned();
            let end = response.cut.then(|| Err(BodyError::Broken { detail }));
            let pieces = std::iter::once(body).chain(end);
            let stream = futures_util::stream::iter(pieces);
            let mut reply = Reply::new(Body::Stream(Box::pin(stream)));
            *reply.status_mut() = response.status.try_into().unwrap();
            reply.headers_mut().insert("retry-after", 7.into());
            reply
        })
    }
}

fn serve(response: FixedResponse, client: &Client) -> String {
    let listener = bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let server = Server::new_ext(ServerOptions::default(), Rc::new(response), client.timer());
    monoio::spawn(async move { server.serve(listener).await });
    address
}

/// Address without a listener.
fn closed_address() -> String {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap().to_string()
}

fn log_at(client: &Client, peers: &str) -> HttpLog {
    HttpLog::new(client, Peers::parse(peers), TIMEOUT)
}

fn start_log(client: &Client) -> (pumicecleat_standin::Running<LogFaults>, HttpLog) {
    let options = LogOptions {
        rate: 5,
        ..LogOptions::default()
    };
    let standin = LogStandin::start(options, client.timer()).unwrap();
    let log = log_at(client, &standin.address.to_string());
    (standin, log)
}

#[test]
fn errors_state_whether_an_append_took_effect() {
    struct Case {
        response: FixedResponse,
        refused: bool,
    }
    let case = |status, body, cut, refused| Case {
        response: FixedResponse { status, body, cut },
        refused,
    };
    let cases = [
        case(400, "no", false, true),
        case(429, "slow down", false, true),
        case(503, "down", false, true),
        case(503, "down", true, false),
        case(500, "oops", false, false),
        case(502, "oops", false, false),
        case(200, r#"{"first":1,"at""#, false, false),
        case(200, r#"{"first":1,"at":2}"#, true, false),
        case(200, r#"{"first":1}"#, false, false),
        case(200, r#"{"first":1,"at":2}{}"#, false, false),
    ];
    for Case { response, refused } in cases {
        with_client(|client| async move {
            let address = serve(response, &client);
            let log = log_at(&client, &address);
            let error = log.append("config", vec![vec![1]]).await.unwrap_err();
            let is_refused = matches!(error, AppendError::Refused { .. });
            assert_eq!(is_refused, refused, "{error}");
            assert!(error.to_string().contains(&address), "{error}");
            assert!(error.to_string().contains("step "), "{error}");
            let retry = (response.status != 200 && !response.cut).then_some(Duration::from_secs(7));
            assert_eq!(error.retry_after(), retry, "{error}");
            assert_eq!(error.is_pushback(), response.status == 429);
            let read = log.read("config", 0, 1, Duration::ZERO).await.unwrap_err();
            assert_eq!(read.retry_after(), retry, "{read}");
        });
    }
}

#[test]
fn appends_that_were_not_sent_are_refused() {
    with_client(|client| async move {
        let dead = log_at(&client, &closed_address());
        for stream in ["config", "a/b", "a?b", ""] {
            let error = dead.append(stream, vec![vec![1]]).await.unwrap_err();
            assert!(matches!(error, AppendError::Refused { .. }), "{error}");
        }
        let error = dead.append("a b", Vec::new()).await.unwrap_err();
        assert!(matches!(
            error,
            AppendError::Refused {
                source: RequestError::InvalidName { .. },
                ..
            }
        ));
    });
}

#[test]
fn records_are_read_as_they_were_appended() {
    with_client(|client| async move {
        let (standin, log) = start_log(&client);
        let data = vec![vec![0, 255, b'"'], Vec::new()];
        let appended = log.append("config", data.clone()).await.unwrap();
        assert_eq!(appended.first, 0);
        let batch = log.read("config", 0, 10, Duration::ZERO).await.unwrap();
        assert_eq!((batch.first, batch.next), (0, 2));
        let read: Vec<_> = batch.records.into_iter().map(|r| r.data).collect();
        assert_eq!(read, data);
        standin.inject(|f| f.lose_replies = 1);
        let lost = log.append("config", vec![vec![1]]).await.unwrap_err();
        assert!(matches!(lost, AppendError::Lost { .. }), "{lost}");
        standin.inject(|f| f.reject = 1);
        let refused = log.append("config", vec![vec![2]]).await.unwrap_err();
        assert!(matches!(refused, AppendError::Refused { .. }), "{refused}");
        assert!(refused.retry_after().is_some());
        let batch = log.read("config", 2, 10, Duration::ZERO).await.unwrap();
        assert_eq!(batch.records.len(), 1);
        assert_eq!(batch.records[0].data, [1]);
    });
}

#[test]
fn a_read_waits_for_a_record() {
    with_client(|client| async move {
        let (_standin, log) = start_log(&client);
        let empty = log.read("config", 0, 1, 20 * MS).await.unwrap();
        assert!(empty.records.is_empty());
        let late = async {
            client.timer().sleep(20 * MS).await;
            log.append("config", vec![vec![1]]).await.unwrap();
        };
        let (batch, ()) = futures_util::join!(log.read("config", 0, 1, TIMEOUT), late);
        assert_eq!(batch.unwrap().records.len(), 1);
    });
}

#[test]
fn trimming_and_pushback_are_reported() {
    with_client(|client| async move {
        let (standin, log) = start_log(&client);
        log.append("config", vec![vec![1]; 4]).await.unwrap();
        standin.inject(|f| f.trim_before = [("config".to_owned(), 3)].into());
        let error = log.read("config", 2, 1, Duration::ZERO).await.unwrap_err();
        assert!(
            matches!(
                error,
                ReadError::Trimmed {
                    first: 3,
                    next: 4,
                    ..
                }
            ),
            "{error}"
        );
        let mut pushback = None;
        for _ in 0..5 {
            pushback = log.append("config", vec![vec![1]]).await.err().or(pushback);
        }
        assert!(pushback.is_some_and(|e| e.is_pushback()));
    });
}

#[test]
fn the_next_peer_is_tried_only_if_nothing_was_sent() {
    with_client(|client| async move {
        let (standin, _) = start_log(&client);
        let peers = format!("{}, {}", closed_address(), standin.address);
        let log = log_at(&client, &peers);
        log.append("config", vec![vec![1]]).await.unwrap();
        standin.inject(|f| f.lose_replies = 1);
        let lost = log.append("config", vec![vec![2]]).await.unwrap_err();
        assert!(matches!(lost, AppendError::Lost { .. }), "{lost}");
        let batch = log.read("config", 0, 10, Duration::ZERO).await.unwrap();
        assert_eq!(batch.next, 2);
    });
}

#[test]
fn an_append_without_a_response_is_lost() {
    with_client(|client| async move {
        let (standin, _) = start_log(&client);
        standin.inject(|f| f.stall = true);
        let peers = Peers::parse(&standin.address.to_string());
        let log = HttpLog::new(&client, peers, 50 * MS);
        let error = log.append("config", vec![vec![1]]).await.unwrap_err();
        assert!(matches!(error, AppendError::Lost { .. }), "{error}");
    });
}

fn vm_in(name: &str, region: &str) -> VmEntry {
    VmEntry {
        vm: name.into(),
        role: VmRole::Upstream,
        state: VmState::Live,
        address: "10.0.0.1:7000".into(),
        centre: "bp-a".into(),
        region: region.into(),
        pool: Some("sky".into()),
    }
}

#[test]
fn vms_are_listed_by_region() {
    with_client(|client| async move {
        let vm = vm_in;
        let options = VmListOptions {
            vms: vec![vm("a", "hu-central"), vm("b", "kerala-central")],
            ..VmListOptions::default()
        };
        let standin = VmsStandin::start(options, client.timer()).unwrap();
        let peers = Peers::parse(&standin.address.to_string());
        let vms = HttpVms::new(&client, peers, TIMEOUT);
        assert_eq!(vms.list(None).await.unwrap().vms.len(), 2);
        let list = vms.list(Some("hu-central")).await.unwrap();
        assert_eq!(list.vms, [vm("a", "hu-central")]);
        assert!(vms.list(Some("a&b")).await.is_err());
    });
}

#[test]
fn an_unchanged_list_is_not_sent_again() {
    with_client(|client| async move {
        let standin = VmsStandin::start(VmListOptions::default(), client.timer()).unwrap();
        let peer = standin.address.to_string();
        let vms = HttpVms::new(&client, Peers::parse(&peer), TIMEOUT);
        let put = async |vm: &VmEntry| {
            let body = serde_json::to_vec(vm).unwrap();
            let path = format!("/v1/vms/{}", vm.vm);
            let request = http::Request::post(path).body(Bytes::from(body)).unwrap();
            let mut response = client.send(&peer, request, TIMEOUT).await.unwrap();
            response.read(1 << 20, TIMEOUT).await.unwrap();
        };
        let here = vm_in("a", "hu-central");
        put(&here).await;
        let first = vms.list(Some("hu-central")).await.unwrap();
        put(&vm_in("b", "kerala-central")).await;
        let again = vms.list(Some("hu-central")).await.unwrap();
        assert!(
            Rc::ptr_eq(&first, &again),
            "sent again after a change elsewhere"
        );
        let leaving = VmEntry {
            state: VmState::Leaving,
            ..here
        };
        put(&leaving).await;
        let changed = vms.list(Some("hu-central")).await.unwrap();
        assert_eq!(changed.vms, [leaving]);
    });
}

#[test]
fn the_store_reports_which_weights_exist() {
    with_client(|client| async move {
        let standin = StoreStandin::start(StoreOptions::default(), client.timer()).unwrap();
        let peers = Peers::parse(&standin.address.to_string());
        let store = HttpStore::new(&client, peers, TIMEOUT);
        standin.inject(|f| f.missing = ["sowing/v4".to_owned()].into());
        assert!(store.exists("sowing/v3").await.unwrap());
        assert!(!store.exists("sowing/v4").await.unwrap());
        for path in ["../secret", "a//b", "a?b", ""] {
            let error = store.exists(path).await.unwrap_err();
            assert!(matches!(error, StoreError::Failed { .. }), "{error}");
        }
        standin.inject(|f| f.down = true);
        let busy = store.exists("sowing/v3").await.unwrap_err();
        assert!(
            matches!(
                busy,
                StoreError::Busy {
                    retry_after: Some(_),
                    ..
                }
            ),
            "{busy}"
        );
    });
}

#[test]
fn an_empty_peer_list_is_an_error() {
    let result = run(async {
        let client = Client::new_ext(ClientOptions::default(), &Timer::start());
        let log = HttpLog::new(&client, Peers::new(&[]), Duration::from_secs(1));
        log.append("config", vec![b"x".to_vec()]).await
    });
    let error = result.unwrap().unwrap_err();
    assert!(matches!(error, AppendError::Refused { .. }), "{error}");
}
