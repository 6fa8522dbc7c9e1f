//! Tests of the admin listener over HTTP.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use pumicecleat_net::{Client, ClientOptions, Server, ServerOptions, Timer, bind, run};
use pumicecleat_ops::{Admin, Dump, Log, LogOptions, Metrics, Readiness};
use serde_json::{Value, json};

const TIMEOUT: Duration = Duration::from_secs(5);

struct State;

impl Dump for State {
    fn dump(&self) -> Value {
        json!({ "revision": 7 })
    }
}

struct Case {
    method: &'static str,
    path: &'static str,
    status: u16,
    /// Texts that the body must contain.
    parts: &'static [&'static str],
}

const fn case(
    method: &'static str,
    path: &'static str,
    status: u16,
    parts: &'static [&'static str],
) -> Case {
    Case {
        method,
        path,
        status,
        parts,
    }
}

const CASES: &[Case] = &[
    case("GET", "/healthz", 200, &["ok"]),
    case(
        "GET",
        "/readyz",
        503,
        &[r#"{"ready":false,"unmet":[{"condition":"config","reason":"log is down"}]}"#],
    ),
    case("GET", "/dump", 200, &[r#"{"revision":7}"#]),
    case(
        "GET",
        "/metrics",
        200,
        &[
            "pumicecleat_loads_total 3\n",
            "pumicecleat_open{kind=\"stream\"} 2\n",
            "pumicecleat_wait_seconds_bucket{le=\"0.1\",kind=\"stream\"} 1\n",
            "pumicecleat_process_resident_memory_bytes ",
            "pumicecleat_process_cpu_seconds_total ",
            "pumicecleat_process_open_fds ",
            "pumicecleat_process_uptime_seconds ",
            "# EOF\n",
        ],
    ),
    case("GET", "/other", 404, &["/metrics"]),
    case("GET", "/", 404, &["/dump"]),
    case("POST", "/dump", 405, &["only GET"]),
    case("DELETE", "/healthz", 405, &["only GET"]),
];

fn build_metrics() -> Metrics {
    let metrics = Metrics::new();
    metrics.counter("loads", "Loads").inc_by(3);
    let labels = vec![("kind", "stream")];
    metrics.gauges("open", "Open").get_or_create(&labels).set(2);
    let waits = metrics.histograms("wait_seconds", "Waits", &[0.1, 1.0]);
    waits.get_or_create(&labels).observe(0.05);
    metrics
}

#[test]
fn each_path_responds_as_documented() {
    run(async {
        let timer = Timer::start();
        let log = Log::to_writer(&LogOptions::default(), std::io::sink());
        let readiness = Readiness::new(&["config", "listening"], &log);
        readiness.set_met("config");
        readiness.set_met("listening");
        assert!(readiness.is_ready());
        readiness.set_unmet("config", "log is down");
        let admin = Rc::new(Admin::new(&build_metrics(), &readiness, Rc::new(State)));
        let listener = bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let server = Server::new_ext(ServerOptions::default(), admin, &timer);
        monoio::spawn(async move { server.serve(listener).await });
        let client = Client::new_ext(ClientOptions::default(), &timer);
        for case in CASES {
            let request = http::Request::builder()
                .method(case.method)
                .uri(case.path)
                .body(Bytes::new())
                .unwrap();
            let mut response = client.send(&address, request, TIMEOUT).await.unwrap();
            assert_eq!(response.status(), case.status, "{}", case.path);
            let body = response.read(1 << 20, TIMEOUT).await.unwrap();
            let body = String::from_utf8(body).unwrap();
            for part in case.parts {
                assert!(body.contains(part), "{}: {part} not in {body}", case.path);
            }
        }
    })
    .unwrap();
}
