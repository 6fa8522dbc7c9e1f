//! The whole path through real processes.

mod fleet;

use fleet::{
    Fleet, FleetOptions, Folder, chat_body, expected_text, get, operate, post, sample, until,
};

struct Asked {
    model: &'static str,
    lora: &'static str,
}

const fn asked(model: &'static str, lora: &'static str) -> Asked {
    Asked { model, lora }
}

#[test]
fn requests_are_answered_from_one_end_to_the_other() {
    let fleet = Fleet::start(&FleetOptions::default());
    let cases = [
        asked("sky-brief", "sky-brief@v2"),
        asked("sky-brief@v1", "sky-brief@v1"),
        asked("school-mail", "school-mail@v1"),
        asked("itinerary@v1", "itinerary@v1"),
    ];
    for case in &cases {
        let answer = fleet.chat(0, case.model, 6);
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(answer.text(), expected_text(case.lora, 6));
        let body = chat_body(case.model, 9, true);
        let peer = &fleet.entries[0].address;
        let answer = post(peer, "/v1/chat/completions", &[], &body);
        assert!(
            answer.whole && answer.body.ends_with("data: [DONE]\n\n"),
            "{answer:?}"
        );
        assert_eq!(answer.streamed(), expected_text(case.lora, 9));
        assert!(answer.has("x-request-id") && answer.has("x-adapter") && answer.has("x-version"));
    }
    for _ in 0..2 {
        let answer = fleet.hold(0, "seat-4", "{}");
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(answer.json()["effect"], 1);
    }
    assert_eq!(fleet.effects("seat-4"), 1);
    assert_eq!(get(&fleet.entries[0].address, "/seats/free").status, 200);
    assert_eq!(fleet.engine_count("evicted_in_use"), 0);
}

struct Said<'a> {
    args: &'a [&'a str],
    status: i32,
    says: &'a [&'a str],
}

fn run_all(cases: &[Said<'_>]) {
    for case in cases {
        let out = operate(case.args);
        let said = format!(
            "{}{}",
            String::from_utf8_lossy(&out.stdout),
            String::from_utf8_lossy(&out.stderr)
        );
        assert_eq!(
            out.status.code(),
            Some(case.status),
            "{:?}: {said}",
            case.args
        );
        for word in case.says {
            assert!(said.contains(word), "{:?} lacks {word}: {said}", case.args);
        }
    }
}

fn said<'a>(args: &'a [&'a str], status: i32, says: &'a [&'a str]) -> Said<'a> {
    Said { args, status, says }
}

#[test]
fn check_reports_every_fault_by_file_line_and_field() {
    let folder = Folder::new("check");
    let file = sample("demo.toml");
    let bad = folder.write("bad.toml", "[adapter.x]\nbase = 'none'\nspeed = 3\n");
    run_all(&[
        said(&["check", &file], 0, &["ok: 3 adapters"]),
        said(&["check", &bad], 2, &["bad.toml:2", "bad.toml:3", "speed"]),
        said(&["check", "none.toml"], 2, &["none.toml"]),
        said(&["check"], 2, &["no file"]),
    ]);
}

#[test]
fn the_command_line_compares_applies_and_shows() {
    let fleet = Fleet::start(&FleetOptions::default());
    let log = fleet.log.address.as_str();
    let admin = fleet.entries[0].admin.as_str();
    let folder = Folder::new("command");
    let file = sample("demo.toml");
    let next = folder.with_claim(7);
    let shown = ["entry entry-0", "side engine-0", "side booking-0"];
    run_all(&[
        said(
            &["diff", "--log", log, &next],
            0,
            &["1 changes", "front-desk"],
        ),
        said(&["apply", "--log", log, &file], 0, &["nothing to change"]),
        said(
            &["apply", "--log", log, "--base", "0", &next],
            3,
            &["refused"],
        ),
        said(&["apply", "--log", log, &next], 0, &["accepted: revision"]),
        said(&["apply", "--log", "127.0.0.1:1", &next], 1, &["step"]),
        said(&["status", admin], 0, &shown),
        said(&["dump", admin], 0, &["\"role\": \"entry\""]),
    ]);
    fleet.until_ready();
}

struct Bad {
    path: &'static str,
    headers: &'static [(&'static str, &'static str)],
    body: &'static str,
    status: u16,
}

const fn bad(
    path: &'static str,
    headers: &'static [(&'static str, &'static str)],
    body: &'static str,
    status: u16,
) -> Bad {
    Bad {
        path,
        headers,
        body,
        status,
    }
}

const OK: &str = r#"{"model":"sky-brief","messages":[{"role":"user","content":"x"}]}"#;

const BAD: [Bad; 8] = [
    bad("/v1/chat/completions", &[], "{", 400),
    bad("/v1/chat/completions", &[], "{}", 400),
    bad(
        "/v1/chat/completions",
        &[],
        r#"{"model":"none","messages":[{"role":"user","content":"x"}]}"#,
        404,
    ),
    bad(
        "/v1/chat/completions",
        &[],
        r#"{"model":"sky-brief@v9","messages":[{"role":"user","content":"x"}]}"#,
        404,
    ),
    bad(
        "/v1/chat/completions",
        &[("x-deadline-ms", "soon")],
        OK,
        400,
    ),
    bad("/nowhere", &[], "{}", 404),
    bad("/seats/hold", &[], "{}", 400),
    bad("/seats/hold", &[("idempotency-key", "")], "{}", 400),
];

#[test]
fn bad_requests_get_clear_errors_and_no_effect() {
    let fleet = Fleet::start(&FleetOptions::default());
    for case in &BAD {
        let answer = post(
            &fleet.entries[0].address,
            case.path,
            case.headers,
            case.body,
        );
        assert_eq!(
            answer.status, case.status,
            "{} {}: {answer:?}",
            case.path, case.body
        );
        assert_eq!(answer.ran(), "no", "{answer:?}");
        assert!(!answer.code().is_empty());
    }
    assert_eq!(
        get(&fleet.service.address, "/effects").json(),
        serde_json::json!([])
    );
}

#[test]
fn a_change_is_in_force_everywhere_within_five_seconds() {
    let fleet = Fleet::start(&FleetOptions {
        entries: 2,
        ..FleetOptions::default()
    });
    let folder = Folder::new("force");
    let file = folder.with_claim(3);
    let from = std::time::Instant::now();
    let out = operate(&["apply", "--log", &fleet.log.address, &file]);
    assert!(out.status.success(), "{out:?}");
    until("both entries at the next revision", || {
        fleet
            .entries
            .iter()
            .all(|e| get(&e.admin, "/dump").json()["config"]["revision"] == 2)
    });
    fleet.until_ready();
    assert!(from.elapsed().as_secs() < 5, "{:?}", from.elapsed());
}

#[test]
fn a_changed_pool_and_window_are_in_force_at_the_sides() {
    let fleet = Fleet::start(&FleetOptions::default());
    let folder = Folder::new("tune");
    let text = std::fs::read_to_string(sample("demo.toml")).unwrap();
    let text = text
        .replace("slots = 2", "slots = 1")
        .replace("window_s = 43200", "window_s = 3600");
    let file = folder.write("tuned.toml", &text);
    assert_eq!(fleet.hold(0, "before", "{}").status, 200);
    let out = operate(&["apply", "--log", &fleet.log.address, &file]);
    assert!(out.status.success(), "{out:?}");
    until("the sides of engines have fewer slots", || {
        let dump = get(&fleet.sides["engine-0"].admin, "/dump").json();
        dump["queue"]["load"]["slots"] == 1
    });
    until("the side of the service has another window", || {
        let dump = get(&fleet.sides["booking-0"].admin, "/dump").json();
        dump["keys"]["limits"]["window"] == 3_600_000 && dump["keys"]["caught_up"] == true
    });
    assert_eq!(fleet.hold(0, "before", "{}").json()["effect"], 1);
    assert_eq!(fleet.effects("before"), 1);
}
