//! The whole path through real processes.

mod fleet;

use fleet::{Fleet, FleetOptions, chat_body, expected_text, get, post, sample, until};

#[test]
fn requests_are_answered_from_one_end_to_the_other() {
    let fleet = Fleet::start(&FleetOptions::default());
    struct Case {
        model: &'static str,
        lora: &'static str,
    }
    let cases = [
        Case {
            model: "sky-brief",
            lora: "sky-brief@v2",
        },
        Case {
            model: "sky-brief@v1",
            lora: "sky-brief@v1",
        },
        Case {
            model: "school-mail",
            lora: "school-mail@v1",
        },
        Case {
            model: "itinerary@v1",
            lora: "itinerary@v1",
        },
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

#[test]
fn the_command_line_checks_compares_applies_and_shows() {
    let fleet = Fleet::start(&FleetOptions::default());
    let log = fleet.log.address.as_str();
    let file = sample("demo.toml");
    let folder = std::env::temp_dir().join(format!("pumicecleat-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let changed = folder.join("changed.toml").to_string_lossy().into_owned();
    let text = std::fs::read_to_string(&file).unwrap();
    std::fs::write(&changed, text.replace("claim = 2", "claim = 7")).unwrap();
    let bad = folder.join("bad.toml").to_string_lossy().into_owned();
    std::fs::write(&bad, "[adapter.x]\nbase = 'none'\nspeed = 3\n").unwrap();
    let admin = fleet.entries[0].admin.as_str();
    struct Case<'a> {
        args: &'a [&'a str],
        status: i32,
        says: &'a [&'a str],
    }
    let cases = [
        Case {
            args: &["check", &file],
            status: 0,
            says: &["ok: 3 adapters"],
        },
        Case {
            args: &["check", &bad],
            status: 2,
            says: &["bad.toml:2", "bad.toml:3", "speed"],
        },
        Case {
            args: &["check", "none.toml"],
            status: 2,
            says: &["none.toml"],
        },
        Case {
            args: &["diff", "--log", log, &changed],
            status: 0,
            says: &["1 changes", "front-desk"],
        },
        Case {
            args: &["apply", "--log", log, &file],
            status: 0,
            says: &["nothing to change"],
        },
        Case {
            args: &["apply", "--log", log, "--base", "0", &changed],
            status: 3,
            says: &["refused"],
        },
        Case {
            args: &["apply", "--log", log, &changed],
            status: 0,
            says: &["accepted: revision"],
        },
        Case {
            args: &["apply", "--log", "127.0.0.1:1", &changed],
            status: 1,
            says: &["step"],
        },
        Case {
            args: &["status", admin],
            status: 0,
            says: &["entry entry-0", "side engine-0", "side booking-0"],
        },
        Case {
            args: &["dump", admin],
            status: 0,
            says: &["\"role\": \"entry\""],
        },
    ];
    for case in &cases {
        let out = fleet.operate(case.args);
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
    fleet.until_ready();
    std::fs::remove_dir_all(&folder).unwrap();
}

#[test]
fn bad_requests_get_clear_errors_and_no_effect() {
    let fleet = Fleet::start(&FleetOptions::default());
    struct Case {
        path: &'static str,
        headers: &'static [(&'static str, &'static str)],
        body: &'static str,
        status: u16,
    }
    let ok = r#"{"model":"sky-brief","messages":[{"role":"user","content":"x"}]}"#;
    let cases = [
        Case {
            path: "/v1/chat/completions",
            headers: &[],
            body: "{",
            status: 400,
        },
        Case {
            path: "/v1/chat/completions",
            headers: &[],
            body: "{}",
            status: 400,
        },
        Case {
            path: "/v1/chat/completions",
            headers: &[],
            body: r#"{"model":"none","messages":[{"role":"user","content":"x"}]}"#,
            status: 404,
        },
        Case {
            path: "/v1/chat/completions",
            headers: &[],
            body: r#"{"model":"sky-brief@v9","messages":[{"role":"user","content":"x"}]}"#,
            status: 404,
        },
        Case {
            path: "/v1/chat/completions",
            headers: &[("x-deadline-ms", "soon")],
            body: ok,
            status: 400,
        },
        Case {
            path: "/nowhere",
            headers: &[],
            body: "{}",
            status: 404,
        },
        Case {
            path: "/seats/hold",
            headers: &[],
            body: "{}",
            status: 400,
        },
        Case {
            path: "/seats/hold",
            headers: &[("idempotency-key", "")],
            body: "{}",
            status: 400,
        },
    ];
    for case in &cases {
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
    let text = std::fs::read_to_string(sample("demo.toml")).unwrap();
    let folder = std::env::temp_dir().join(format!("pumicecleat-force-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let file = folder.join("next.toml").to_string_lossy().into_owned();
    std::fs::write(&file, text.replace("claim = 2", "claim = 3")).unwrap();
    let from = std::time::Instant::now();
    let out = fleet.operate(&["apply", "--log", &fleet.log.address, &file]);
    assert!(out.status.success(), "{out:?}");
    until("both entries at the next revision", || {
        fleet
            .entries
            .iter()
            .all(|e| get(&e.admin, "/dump").json()["config"]["revision"] == 2)
    });
    fleet.until_ready();
    assert!(from.elapsed().as_secs() < 5, "{:?}", from.elapsed());
    std::fs::remove_dir_all(&folder).unwrap();
}
