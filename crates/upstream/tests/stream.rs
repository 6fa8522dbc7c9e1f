//! Validation of engine responses: invalid streams, chunk boundaries, truncation and mutations.

use proptest::prelude::*;
use pumicecleat_upstream::{
    Chunk, ExpectedResponse, Progress, ResponseError, ResponseErrorKind, StreamCheck, StreamEvent,
    Usage, check_completion,
};

const LIMIT: usize = 512;
const EXPECTED: ExpectedResponse<'_> = ExpectedResponse {
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

fn valid_stream() -> String {
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

/// Reads all events of a stream that arrives in `chunks`.
fn read<'a>(chunks: impl Iterator<Item = &'a [u8]>) -> Result<Vec<StreamEvent>, ResponseError> {
    let mut check = StreamCheck::new(EXPECTED, LIMIT);
    let mut events = Vec::new();
    for bytes in chunks {
        check.push(bytes);
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
    is_expected: fn(&ResponseErrorKind) -> bool,
}

fn case(name: &'static str, parts: &[String], is_expected: fn(&ResponseErrorKind) -> bool) -> Case {
    let stream = parts.concat();
    Case {
        name,
        stream,
        is_expected,
    }
}

#[test]
fn invalid_streams_are_rejected() {
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
        assert!((case.is_expected)(&error.source), "{}: {error}", case.name);
        assert!(error.to_string().contains(EXPECTED.peer), "{}", case.name);
    }
    let broken = [b"data: {\"id\":\"\xff\"}\n\n".as_slice()];
    let error = read(broken.into_iter()).unwrap_err();
    assert!(matches!(error.source, F::Encoding), "{error}");
}

#[test]
fn valid_stream_is_read_completely() {
    let stream = valid_stream();
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
fn non_text_content_is_flagged() {
    let cases = [
        r#"[{"index":0,"delta":{"tool_calls":[{"index":0}]}}]"#,
        r#"[{"index":0,"delta":{"reasoning_content":"hm"}}]"#,
        r#"[{"index":1,"delta":{"content":"b"}}]"#,
    ];
    for choices in cases {
        let mut check = StreamCheck::new(EXPECTED, LIMIT);
        check.push(chunk(choices).as_bytes());
        let event = check.scan_event().unwrap();
        assert!(matches!(
            event,
            Some(StreamEvent::Chunk(Chunk { non_text: true, .. }))
        ));
    }
}

#[test]
fn completions_are_checked() {
    use ResponseErrorKind as F;
    struct Case {
        body: String,
        is_expected: fn(&ResponseErrorKind) -> bool,
    }
    let body = |choices: &str| format!("{HEAD}{choices}}}");
    let valid = body(
        r#"[{"index":0,"message":{"role":"assistant","content":"a"},"finish_reason":"length"}]"#,
    );
    assert_eq!(
        check_completion(EXPECTED, valid.as_bytes())
            .unwrap()
            .choices,
        1
    );
    let unfinished = body(r#"[{"index":0,"message":{"content":"a"},"finish_reason":null}]"#);
    let delta = body(r#"[{"index":0,"delta":{"content":"a"},"finish_reason":"stop"}]"#);
    #[rustfmt::skip]
    let cases = [
        Case { body: String::new(), is_expected: |f| matches!(f, F::Json { .. }) },
        Case { body: valid[..valid.len() - 1].into(), is_expected: |f| matches!(f, F::Json { .. }) },
        Case { body: valid.replace("@v3", "@v4"), is_expected: |f| matches!(f, F::ModelMismatch { .. }) },
        Case { body: valid.replace("r-1", "r-2"), is_expected: |f| matches!(f, F::IdMismatch { .. }) },
        Case { body: body("[]"), is_expected: |f| matches!(f, F::NoChoices) },
        Case { body: unfinished, is_expected: |f| matches!(f, F::NoFinish { index: 0 }) },
        Case { body: delta, is_expected: |f| matches!(f, F::NoChoices) },
        Case { body: r#"{"object":"error","message":"no"}"#.into(), is_expected: |f| matches!(f, F::Engine { .. }) },
    ];
    for case in cases {
        let error = check_completion(EXPECTED, case.body.as_bytes()).expect_err(&case.body);
        assert!((case.is_expected)(&error.source), "{}: {error}", case.body);
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
    fn chunk_boundaries_have_no_effect(cuts in prop::collection::vec(0..600_usize, 0..12)) {
        let stream = valid_stream();
        let bytes = stream.as_bytes();
        let mut cuts: Vec<usize> = cuts.into_iter().map(|c| c.min(bytes.len())).collect();
        cuts.extend([0, bytes.len()]);
        cuts.sort_unstable();
        let chunks = cuts.windows(2).map(|w| &bytes[w[0]..w[1]]);
        prop_assert_eq!(read(chunks).unwrap(), read(std::iter::once(bytes)).unwrap());
    }

    #[test]
    fn any_bytes_are_read_without_panic(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        let _ = read(bytes.chunks(9));
        let _ = check_completion(EXPECTED, &bytes);
    }

    #[test]
    fn mutations_are_read_without_panic(
        changes in prop::collection::vec((any::<usize>(), any::<u8>()), 1..8),
        length in 0..600_usize,
    ) {
        let mut bytes = valid_stream().into_bytes();
        mutate(&mut bytes, &changes);
        bytes.truncate(length);
        let _ = read(bytes.chunks(11));
    }

    #[test]
    fn truncated_stream_is_never_complete(length in 0..600_usize) {
        let stream = valid_stream();
        let bytes = stream.as_bytes();
        prop_assume!(length < bytes.len());
        prop_assert!(read(bytes[..length].chunks(13)).is_err());
    }
}

/// Cached token counts as engines report them, and the value that is read.
#[test]
fn invalid_cache_details_do_not_invalidate_a_response() {
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
        let summary = check_completion(EXPECTED, body.as_bytes()).expect(details);
        let usage = summary.usage.expect(details);
        assert_eq!((usage.prompt, usage.completion), (3, 2), "{details}");
        assert_eq!(usage.details.cached, cached, "{details}");
    }
}
