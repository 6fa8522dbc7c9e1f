//! Tests of both line formats, levels, the rate limit and a blocked writer.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use pumicecleat_ops::{Event, Field, Level, Log, LogFormat, LogOptions, events, field};
use serde_json::{Value, json};

const TIMEOUT: Duration = Duration::from_secs(10);

#[derive(Clone, Default)]
struct SharedBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for SharedBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Blocks each write until the sender is dropped.
struct BlockedWriter(Receiver<()>);

impl Write for BlockedWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.0.recv();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn emitted_lines(format: LogFormat, level: Level, emit: impl Fn(&Log)) -> Vec<String> {
    let target = SharedBuffer::default();
    let options = LogOptions {
        level,
        format,
        origin: "side/vm-1".into(),
        ..LogOptions::default()
    };
    let log = Log::to_writer(&options, target.clone());
    emit(&log);
    assert!(log.flush(TIMEOUT));
    let bytes = target.0.lock().unwrap().clone();
    let text = String::from_utf8(bytes).unwrap();
    text.lines().map(str::to_owned).collect()
}

struct Case<'a> {
    event: &'static Event,
    fields: &'a [Field<'a>],
    text: &'static str,
    json: Value,
}

#[test]
fn lines_contain_number_name_and_fields_in_both_formats() {
    let address = "127.0.0.1:9".parse::<std::net::SocketAddr>().unwrap();
    let long = "é".repeat(2000);
    let truncated = "é".repeat(512);
    let cases = [
        Case {
            event: &events::LISTENING,
            fields: &[field("purpose", "admin"), field("address", &address)],
            text: "INFO  side/vm-1 E1003 listening purpose=admin address=127.0.0.1:9",
            json: json!({ "purpose": "admin", "address": "127.0.0.1:9" }),
        },
        Case {
            event: &events::LOAD_FAILED,
            fields: &[
                field("lora", "a b"),
                field("error", "line\nE9999 forged \"x\" \u{1b}[0m"),
                field("again_ms", 250_u64),
            ],
            text: r#"WARN  side/vm-1 E3012 load_failed lora="a b" error="line\nE9999 forged \"x\" \u001b[0m" again_ms=250"#,
            json: json!({ "lora": "a b", "error": "line\nE9999 forged \"x\" \u{1b}[0m", "again_ms": 250 }),
        },
        Case {
            event: &events::OLD_FENCE_SEEN,
            fields: &[
                field("number", -1),
                field("newest", 0.5),
                field("refused", true),
            ],
            text: "WARN  side/vm-1 E4005 old_fence_seen number=-1 newest=0.5 refused=true",
            json: json!({ "number": -1, "newest": 0.5, "refused": true }),
        },
        Case {
            event: &events::READY,
            fields: &[],
            text: "INFO  side/vm-1 E1005 ready",
            json: json!({}),
        },
    ];
    for case in &cases {
        let emit = |log: &Log| log.emit(case.event, case.fields);
        let text = emitted_lines(LogFormat::Text, Level::Info, emit);
        let (_time, rest) = text[0].split_once(' ').unwrap();
        assert_eq!(rest, case.text);
        let line = emitted_lines(LogFormat::Json, Level::Info, emit);
        assert_eq!((text.len(), line.len()), (1, 1));
        let value: Value = serde_json::from_str(&line[0]).unwrap();
        assert_eq!(value["fields"], case.json);
        assert_eq!(value["code"], case.event.code);
        assert_eq!(value["origin"], "side/vm-1");
    }
    let emit = |log: &Log| log.emit(&events::UNLOADED, &[field("lora", &long)]);
    assert!(
        emitted_lines(LogFormat::Text, Level::Info, emit)[0]
            .ends_with(&format!("lora={truncated}"))
    );
}

#[test]
fn only_events_up_to_the_level_are_logged() {
    let cases = [
        (Level::Off, 0),
        (Level::Error, 1),
        (Level::Warn, 2),
        (Level::Info, 3),
        (Level::Debug, 4),
    ];
    for (level, count) in cases {
        let emitted = emitted_lines(LogFormat::Text, level, |log| {
            for event in [
                &events::INTERNAL,
                &events::PEER_DOWN,
                &events::READY,
                &events::RUN_DONE,
            ] {
                log.emit(event, &[]);
            }
        });
        assert_eq!(emitted.len(), count, "{level}");
    }
}

#[test]
fn a_blocked_writer_never_blocks_the_program() {
    let (release, blocker): (Sender<()>, _) = channel();
    let log = Log::to_writer(&LogOptions::default(), BlockedWriter(blocker));
    let start = Instant::now();
    for _ in 0..20_000 {
        log.emit(&events::READY, &[]);
    }
    assert!(start.elapsed() < TIMEOUT, "{:?}", start.elapsed());
    let dropped = log.dropped();
    assert!((15_000..=16_000).contains(&dropped), "{dropped}");
    let start = Instant::now();
    drop(log);
    assert!(start.elapsed() < TIMEOUT, "the drop waited for the writer");
    drop(release);
}

#[test]
fn the_rate_limit_omits_successes_first_and_logs_how_many() {
    let target = SharedBuffer::default();
    let options = LogOptions {
        rate: 5,
        ..LogOptions::default()
    };
    let log = Log::to_writer(&options, target.clone());
    for _ in 0..20 {
        log.emit(&events::LISTENING, &[field("purpose", "admin")]);
    }
    for _ in 0..20 {
        log.emit(&events::LOAD_FAILED, &[field("lora", "a")]);
    }
    std::thread::sleep(Duration::from_millis(1_100));
    log.emit(&events::LISTENING, &[field("purpose", "peers")]);
    assert!(log.flush(TIMEOUT));
    let text = String::from_utf8(target.0.lock().unwrap().clone()).unwrap();
    let count = |name: &str| text.matches(name).count();
    assert_eq!(count("purpose=admin"), 5, "{text}");
    assert_eq!(count("load_failed"), 5, "{text}");
    assert!(text.contains("lines_left_out lines=30"), "{text}");
    assert_eq!(count("purpose=peers"), 1, "{text}");
}
