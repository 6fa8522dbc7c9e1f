//! Tests of stopping a process by signals, and of waiting for requests in flight.

use std::cell::Cell;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::process::{Child, ChildStderr, Command, Stdio};
use std::rc::Rc;
use std::sync::mpsc::{RecvTimeoutError, Sender, channel};
use std::time::{Duration, Instant};

use pumicecleat_net::{Timer, run};
use pumicecleat_ops::{Drain, DrainOutcome, Log, LogOptions, Stop};
use serde_json::Value;

const LIMIT: Duration = Duration::from_secs(30);

/// Process of the example daemon. It is killed when dropped, or after `LIMIT`.
struct Daemon {
    child: Child,
    _done: Sender<()>,
    stderr: BufReader<ChildStderr>,
    lines: Vec<Value>,
}

impl Daemon {
    fn start(ticks: &str, limit: &str) -> Self {
        let me = std::env::current_exe().unwrap();
        let example = me
            .parent()
            .unwrap()
            .with_file_name("examples")
            .join("daemon");
        let mut child = Command::new(example)
            .args("--vm v1 --data-centre bp-a --region hu --admin 127.0.0.1:0".split(' '))
            .args(["--log-format", "json", "--ticks", ticks])
            .args(["--drain-limit", limit])
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let stderr = BufReader::new(child.stderr.take().unwrap());
        Self {
            _done: kill_after_limit(child.id()),
            child,
            stderr,
            lines: Vec::new(),
        }
    }

    /// Reads events until one with the number `code`, and returns it.
    fn read_until(&mut self, code: &str) -> Value {
        loop {
            let mut line = String::new();
            let length = self.stderr.read_line(&mut line).unwrap();
            assert!(length > 0, "{code} is not in {:?}", self.lines);
            let event: Value = serde_json::from_str(&line).unwrap();
            self.lines.push(event.clone());
            if event["code"] == code {
                return event;
            }
        }
    }

    /// Addresses of the admin listener and of the listener for callers.
    fn addresses(&mut self) -> [String; 2] {
        let mut next = || {
            self.read_until("E1003")["fields"]["address"]
                .as_str()
                .unwrap()
                .to_owned()
        };
        [next(), next()]
    }

    fn signal(&self, name: &str) {
        assert!(send_signal(name, self.child.id()));
    }

    fn wait(&mut self) -> Option<i32> {
        let deadline = Instant::now() + LIMIT;
        while Instant::now() < deadline {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        panic!("process still runs after {LIMIT:?}");
    }
}

fn send_signal(name: &str, process: u32) -> bool {
    let process = process.to_string();
    let status = Command::new("kill").args(["-s", name, &process]).status();
    status.is_ok_and(|status| status.success())
}

/// Kills `process` after `LIMIT` unless the sender is dropped, so that reading its output ends.
fn kill_after_limit(process: u32) -> Sender<()> {
    let (done, receiver) = channel();
    std::thread::spawn(move || {
        if receiver.recv_timeout(LIMIT) == Err(RecvTimeoutError::Timeout) {
            send_signal("KILL", process);
        }
    });
    done
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn get(address: &str, path: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(LIMIT)).unwrap();
    let head = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    stream.write_all(head.as_bytes()).unwrap();
    stream
}

fn read_response(mut stream: TcpStream) -> String {
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    text
}

struct Case {
    ticks: &'static str,
    limit: &'static str,
    signals: &'static [&'static str],
    status: i32,
    /// Number of the event logged when the drain ends.
    end_event: &'static str,
    /// Whether the request in flight is completed.
    completes: bool,
}

const fn case(
    ticks: &'static str,
    limit: &'static str,
    signals: &'static [&'static str],
    status: i32,
    end_event: &'static str,
    completes: bool,
) -> Case {
    Case {
        ticks,
        limit,
        signals,
        status,
        end_event,
        completes,
    }
}

const CASES: &[Case] = &[
    case("50", "60s", &["TERM"], 0, "E1032", true),
    case("50", "60s", &["INT"], 0, "E1032", true),
    case("5000", "300ms", &["TERM"], 1, "E1033", false),
    case("5000", "60s", &["TERM", "TERM"], 1, "E1034", false),
    case("5000", "60s", &["TERM", "INT"], 1, "E1034", false),
];

#[test]
fn signals_drain_and_end_the_process() {
    for case in CASES {
        let mut daemon = Daemon::start(case.ticks, case.limit);
        let [admin, callers] = daemon.addresses();
        let mut open = get(&callers, "/");
        let mut first = [0; 16];
        open.read_exact(&mut first).unwrap();
        daemon.signal(case.signals[0]);
        let drain = daemon.read_until("E1031");
        assert_eq!(drain["fields"]["open"], 1);
        assert!(read_response(get(&admin, "/readyz")).starts_with("HTTP/1.1 503"));
        if let Some(second) = case.signals.get(1) {
            assert!(read_response(get(&callers, "/")).contains(r#""ran":"no""#));
            daemon.signal(second);
        }
        daemon.read_until(case.end_event);
        let last = daemon.read_until("E1035");
        assert_eq!(last["fields"]["cut"], u64::from(!case.completes));
        let is_logged = daemon
            .lines
            .iter()
            .any(|l| l["fields"]["request"] == "request-1");
        assert_eq!(is_logged, !case.completes);
        assert_eq!(daemon.wait(), Some(case.status), "{:?}", daemon.lines);
        let mut body = Vec::new();
        let completed = open.read_to_end(&mut body).is_ok() && body.ends_with(b"0\r\n\r\n");
        assert_eq!(completed, case.completes);
    }
}

#[test]
fn a_drain_waits_only_for_the_last_guard() {
    run(async {
        let timer = Timer::start();
        let drain = Drain::new();
        drain.wait_idle().await;
        let (one, two) = (drain.track(&"a".into()), drain.track(&"b".into()));
        assert_eq!(drain.in_flight(), ["a".into(), "b".into()]);
        let idle = Rc::new(Cell::new(false));
        let (waiting_drain, is_idle) = (drain.clone(), Rc::clone(&idle));
        monoio::spawn(async move {
            waiting_drain.wait_idle().await;
            is_idle.set(true);
        });
        for (guard, expected) in [(one, false), (two, true)] {
            drop(guard);
            timer.sleep(Duration::from_millis(20)).await;
            assert_eq!(idle.get(), expected);
        }
    })
    .unwrap();
}

#[test]
fn a_requested_stop_acts_like_a_signal() {
    run(async {
        let timer = Timer::start();
        let log = Log::to_writer(&LogOptions::default(), std::io::sink());
        let (stop, drain) = (Stop::without_signals(), Drain::new());
        let _open = drain.track(&"a".into());
        stop.request_once();
        stop.request_once();
        stop.requested().await;
        let short = Duration::from_millis(20);
        let end = drain.finish(&stop, short, &timer, &log).await;
        assert_eq!(end, DrainOutcome::TimedOut(vec!["a".into()]));
        stop.request();
        let end = drain.finish(&stop, LIMIT, &timer, &log).await;
        assert_eq!(end, DrainOutcome::Interrupted(vec!["a".into()]));
    })
    .unwrap();
}
