//! Checks of engines' answers: tables of faults, cuts and mutations.

use proptest::prelude::*;
use pumicecleat_upstream::{
    Chunk, ExpectedResponse, Progress, ResponseError, ResponseErrorKind, StreamCheck, StreamEvent,
    Usage, check_completion,
};

const LIMIT: usize = 512;
const EXPECT: ExpectedResponse<'_> = ExpectedResponse {
    peer: "10.0.0.1:8000",
    model: "sowing@v3",
    request: Some("r-1"),
};

const HEAD: &str = r#"{"id":"chatcmpl-r-1","model":"sowing@v3","choices":"#;

fn event(data: &str) -> String {
    format!("data: {data}\n\n")
}

fn chunk(choices: &str) -> String {
    event(&format!("{HEAD}{choices}}}"))
}

fn token(text: &str) -> String {
    chunk(&format!(
        r#"[{{"index":0,"delta":{{"content":"{text}"}},"finish_reason":null}}]"#
    ))
}

fn last() -> String {
    chunk(r#"[{"index":0,"delta":{},"finish_reason":"stop"}]"#)
}

fn done() -> String {
    event("[DONE]")
}

fn sound() -> String {
    let usage = format!(r#"{HEAD}[],"usage":{{"prompt_tokens":3,"completion_tokens":2}}}}"#);
    [
        ": wait\r\n\r\n".to_owned(),
        token("വി"),
        token(r"\u0d24\n"),
        last(),
        event(&usage),
        done(),
    ]
    .concat()
}

/// Events of a stream that arrives in `pieces`, to its end.
fn read<'a>(pieces: impl Iterator<Item = &'a [u8]>) -> Result<Vec<StreamEvent>, ResponseError> {
    let mut check = StreamCheck::new(EXPECT, LIMIT);
    let mut events = Vec::new();
    for piece in pieces {
        check.push(piece);
        while let Some(event) = check.scan_event()? {
            events.push(event);
        }
    }
    check.finish()?;
    Ok(events)
}

struct Case {
    name: &'static str,
    stream: String,
    fault: fn(&ResponseErrorKind) -> bool,
}

fn case(name: &'static str, parts: &[String], fault: fn(&ResponseErrorKind) -> bool) -> Case {
    let stream = parts.concat();
    Case {
        name,
        stream,
        fault,
    }
}

#[test]
fn wrong_streams_are_told() {
    use ResponseErrorKind as F;
    let renamed = |from: &str, to: &str| token("a").replace(from, to);
    let second = chunk(r#"[{"index":1,"delta":{"content":"b"},"finish_reason":null}]"#);
    let far = chunk(r#"[{"index":64,"delta":{"content":"b"}}]"#);
    let twice = renamed(r#""model""#, r#""model":"sowing@v3","model""#);
    #[rustfmt::skip]
    let cases = [
        case("model", &[renamed("@v3", "@v2")], |f| matches!(f, F::ModelMismatch { found, .. } if found == "sowing@v2")),
        case("no model", &[event(r#"{"choices":[]}"#)], |f| matches!(f, F::ModelMismatch { .. })),
        case("id of another request", &[renamed("r-1", "r-11")], |f| matches!(f, F::IdMismatch { .. })),
        case("id within an id", &[renamed("l-r-1", "lr-1")], |f| matches!(f, F::IdMismatch { .. })),
        case("id changes", &[token("a"), renamed("chatcmpl", "other")], |f| matches!(f, F::IdMismatch { .. })),
        case("cut JSON", &[event(r#"{"id":"chatcmpl-r-1","mod"#)], |f| matches!(f, F::Json { .. })),
        case("trailing", &[event(&format!("{HEAD}[]}} {{}}"))], |f| matches!(f, F::Json { .. })),
        case("array", &[event(r#"["chatcmpl-r-1",null,"sowing@v3",[]]"#)], |f| matches!(f, F::Json { .. })),
        case("model twice", &[twice], |f| matches!(f, F::Json { .. })),
        case("long event", &[token(&"a".repeat(LIMIT))], |f| matches!(f, F::TooLong { limit: LIMIT })),
        case("long event without end", &["a".repeat(LIMIT + 1)], |f| matches!(f, F::TooLong { .. })),
        case("empty", &[], |f| matches!(f, F::NotDone)),
        case("no done", &[token("a"), last()], |f| matches!(f, F::NotDone)),
        case("cut done", &[token("a"), last(), "data: [DONE]\n".into()], |f| matches!(f, F::NotDone)),
        case("done alone", &[done()], |f| matches!(f, F::NoChoices)),
        case("no finish", &[token("a"), done()], |f| matches!(f, F::NoFinish { index: 0 })),
        case("no second finish", &[second, last(), done()], |f| matches!(f, F::NoFinish { index: 1 })),
        case("far index", &[far], |f| matches!(f, F::Index { index: 64 })),
        case("after done", &[token("a"), last(), done(), token("b")], |f| matches!(f, F::AfterDone)),
        case("error", &[token("a"), event(r#"{"error":{"message":"out of memory"}}"#)], |f| matches!(f, F::Engine { .. })),
        case("error object", &[event(r#"{"object":"error","message":"no"}"#)], |f| matches!(f, F::Engine { .. })),
    ];
    for case in cases {
        let error = read(case.stream.as_bytes().chunks(7)).expect_err(case.name);
        assert!((case.fault)(&error.source), "{}: {error}", case.name);
        assert!(error.to_string().contains(EXPECT.peer), "{}", case.name);
    }
    let broken = [b"data: {\"id\":\"\xff\"}\n\n".as_slice()];
    let error = read(broken.into_iter()).unwrap_err();
    assert!(matches!(error.source, F::Encoding), "{error}");
}

#[test]
fn a_sound_stream_is_read_whole() {
    let stream = sound();
    let events = read(stream.as_bytes().chunks(5)).unwrap();
    let mut progress = Progress::default();
    let mut finish = None;
    let mut raw = Vec::new();
    for event in &events {
        match event {
            StreamEvent::Chunk(chunk) => {
                progress.add(chunk);
                finish = chunk.finish_reason.clone().or(finish);
                raw.extend_from_slice(&chunk.raw);
            }
            StreamEvent::Done { raw: bytes } => raw.extend_from_slice(bytes),
        }
    }
    assert_eq!(progress.text, "വിത\n");
    assert_eq!(progress.tokens, 2);
    progress.resume();
    progress.add(&Chunk {
        usage: Some(Usage {
            prompt: 5,
            completion: 3,
            ..Usage::default()
        }),
        ..Chunk::default()
    });
    assert_eq!(progress.tokens, 5);
    assert_eq!(finish.as_deref(), Some("stop"));
    assert!(stream.as_bytes().ends_with(&raw));
}

#[test]
fn more_than_text_is_noted() {
    let cases = [
        r#"[{"index":0,"delta":{"tool_calls":[{"index":0}]}}]"#,
        r#"[{"index":0,"delta":{"reasoning_content":"hm"}}]"#,
        r#"[{"index":1,"delta":{"content":"b"}}]"#,
    ];
    for choices in cases {
        let mut check = StreamCheck::new(EXPECT, LIMIT);
        check.push(chunk(choices).as_bytes());
        let event = check.scan_event().unwrap();
        assert!(matches!(
            event,
            Some(StreamEvent::Chunk(Chunk { non_text: true, .. }))
        ));
    }
}

#[test]
fn whole_answers_are_checked() {
    use ResponseErrorKind as F;
    struct Case {
        body: String,
        fault: fn(&ResponseErrorKind) -> bool,
    }
    let body = |choices: &str| format!("{HEAD}{choices}}}");
    let sound = body(
        r#"[{"index":0,"message":{"role":"assistant","content":"a"},"finish_reason":"length"}]"#,
    );
    assert_eq!(
        check_completion(EXPECT, sound.as_bytes()).unwrap().choices,
        1
    );
    let unfinished = body(r#"[{"index":0,"message":{"content":"a"},"finish_reason":null}]"#);
    let delta = body(r#"[{"index":0,"delta":{"content":"a"},"finish_reason":"stop"}]"#);
    #[rustfmt::skip]
    let cases = [
        Case { body: String::new(), fault: |f| matches!(f, F::Json { .. }) },
        Case { body: sound[..sound.len() - 1].into(), fault: |f| matches!(f, F::Json { .. }) },
        Case { body: sound.replace("@v3", "@v4"), fault: |f| matches!(f, F::ModelMismatch { .. }) },
        Case { body: sound.replace("r-1", "r-2"), fault: |f| matches!(f, F::IdMismatch { .. }) },
        Case { body: body("[]"), fault: |f| matches!(f, F::NoChoices) },
        Case { body: unfinished, fault: |f| matches!(f, F::NoFinish { index: 0 }) },
        Case { body: delta, fault: |f| matches!(f, F::NoChoices) },
        Case { body: r#"{"object":"error","message":"no"}"#.into(), fault: |f| matches!(f, F::Engine { .. }) },
    ];
    for case in cases {
        let error = check_completion(EXPECT, case.body.as_bytes()).expect_err(&case.body);
        assert!((case.fault)(&error.source), "{}: {error}", case.body);
    }
}

fn mutate(bytes: &mut [u8], changes: &[(usize, u8)]) {
    for (at, b) in changes {
        let at = at % bytes.len();
        bytes[at] = *b;
    }
}

proptest! {
    #[test]
    fn cuts_change_nothing(cuts in prop::collection::vec(0..600_usize, 0..12)) {
        let stream = sound();
        let bytes = stream.as_bytes();
        let mut cuts: Vec<usize> = cuts.into_iter().map(|c| c.min(bytes.len())).collect();
        cuts.extend([0, bytes.len()]);
        cuts.sort_unstable();
        let pieces = cuts.windows(2).map(|w| &bytes[w[0]..w[1]]);
        prop_assert_eq!(read(pieces).unwrap(), read(std::iter::once(bytes)).unwrap());
    }

    #[test]
    fn any_bytes_are_read_without_panic(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        let _ = read(bytes.chunks(9));
        let _ = check_completion(EXPECT, &bytes);
    }

    #[test]
    fn mutations_are_read_without_panic(
        changes in prop::collection::vec((any::<usize>(), any::<u8>()), 1..8),
        length in 0..600_usize,
    ) {
        let mut bytes = sound().into_bytes();
        mutate(&mut bytes, &changes);
        bytes.truncate(length);
        let _ = read(bytes.chunks(11));
    }

    #[test]
    fn a_shortened_stream_is_never_whole(length in 0..600_usize) {
        let stream = sound();
        let bytes = stream.as_bytes();
        prop_assume!(length < bytes.len());
        prop_assert!(read(bytes[..length].chunks(13)).is_err());
    }
}

/// What the cached tokens are told as, and what is read.
#[test]
fn nothing_told_of_a_cache_spoils_an_answer() {
    let cases = [
        ("", None),
        (r#","prompt_tokens_details":null"#, None),
        (r#","prompt_tokens_details":{}"#, None),
        (r#","prompt_tokens_details":{"cached_tokens":2}"#, Some(2)),
        (r#","prompt_tokens_details":{"cached_tokens":-7}"#, None),
        (r#","prompt_tokens_details":{"cached_tokens":"2"}"#, None),
        (r#","prompt_tokens_details":[1,{"a":"]"}]"#, None),
        (r#","prompt_tokens_details":7"#, None),
    ];
    for (details, cached) in cases {
        let usage = format!(r#""usage":{{"prompt_tokens":3{details},"completion_tokens":2}}"#);
        let choice = r#"[{"index":0,"message":{"content":"a"},"finish_reason":"stop"}]"#;
        let body = format!("{HEAD}{choice},{usage}}}");
        let whole = check_completion(EXPECT, body.as_bytes()).expect(details);
        let told = whole.usage.expect(details);
        assert_eq!((told.prompt, told.completion), (3, 2), "{details}");
        assert_eq!(told.details.cached, cached, "{details}");
    }
}
