//! Chat request bodies: which are rejected, which fields are kept, and which can be resumed.

use proptest::prelude::*;
use pumicecleat_upstream::{
    ChatBody, ChatBodyError, ChatLimits, FieldIssue, Progress, ResumeError,
};
use serde_json::{Value, json};

const LIMITS: ChatLimits = ChatLimits {
    bytes: 2_000,
    depth: 8,
    messages: 4,
    choices: 8,
    tokens: 1_000,
    stops: 4,
};

const VALID_BODY: &str = r#"{"model":"sowing","messages":[{"role":"system","content":"Be brief."},
 {"role":"user","content":[{"type":"text","text":"When to sow?"}]}],
 "stream":true,"max_tokens":10,"temperature":0.70,"metadata":{"z":1,"a":[1E2,"\u0d24"]}}"#;

fn parse(text: &str) -> Result<ChatBody, ChatBodyError> {
    ChatBody::parse(text.as_bytes(), &LIMITS)
}

/// A valid body with additional `fields`.
fn body_with(fields: &str) -> ChatBody {
    let text = format!(r#"{{"model":"m","messages":[{{"role":"user","content":"q"}}]{fields}}}"#);
    parse(&text).expect(&text)
}

fn to_value(bytes: &[u8]) -> Value {
    serde_json::from_slice(bytes).unwrap()
}

fn progress(text: &str, tokens: u64) -> Progress {
    Progress {
        text: text.into(),
        tokens,
        ..Progress::default()
    }
}

struct Case {
    fields: &'static str,
    path: &'static str,
    issue: FieldIssue,
}

const TEXT: FieldIssue = FieldIssue::Type {
    expected: "a string",
};
const NUMBER: FieldIssue = FieldIssue::Type {
    expected: "a whole number",
};
const OBJECT: FieldIssue = FieldIssue::Type {
    expected: "an object",
};
const ARRAY: FieldIssue = FieldIssue::Type {
    expected: "an array",
};
const CONTENT: FieldIssue = FieldIssue::Type {
    expected: "a string or an array",
};
const FLAG: FieldIssue = FieldIssue::Type {
    expected: "true or false",
};
const ONCE: FieldIssue = FieldIssue::Type {
    expected: "an object with each field once",
};
const STOP: FieldIssue = FieldIssue::Type {
    expected: "a string or an array of strings",
};

/// Checks a body with the fields of each case after `before`.
fn check_cases(before: &str, cases: &[Case]) {
    for case in cases {
        let error = parse(&format!("{{{before}{}}}", case.fields)).expect_err(case.fields);
        let (path, issue) = (case.path.to_owned(), case.issue);
        assert_eq!(
            error,
            ChatBodyError::Field { path, issue },
            "{}",
            case.fields
        );
    }
}

#[test]
fn invalid_fields_are_reported_by_path() {
    use FieldIssue as I;
    let many = r#""messages":[1,2,3,4,5],"model":"m""#;
    #[rustfmt::skip]
    let cases = [
        Case { fields: r#""messages":[]"#, path: "messages", issue: I::Empty },
        Case { fields: r#""model":"m""#, path: "messages", issue: I::Missing },
        Case { fields: r#""model":"m","messages":null"#, path: "messages", issue: I::Missing },
        Case { fields: r#""model":"m","messages":{}"#, path: "messages", issue: ARRAY },
        Case { fields: many, path: "messages", issue: I::TooMany { limit: 4 } },
        Case { fields: r#""messages":["a"]"#, path: "messages[0]", issue: OBJECT },
        Case { fields: r#""messages":[["user","a"]]"#, path: "messages[0]", issue: OBJECT },
        Case { fields: r#""messages":[{"content":"a"}]"#, path: "messages[0].role", issue: I::Missing },
        Case { fields: r#""messages":[{"role":1,"content":"a"}]"#, path: "messages[0].role", issue: TEXT },
        Case { fields: r#""messages":[{"role":"","content":"a"}]"#, path: "messages[0].role", issue: I::Empty },
        Case { fields: r#""messages":[{"role":"user"}]"#, path: "messages[0].content", issue: I::Missing },
        Case { fields: r#""messages":[{"role":"assistant","content":null}]"#, path: "messages[0].content", issue: I::Missing },
        Case { fields: r#""messages":[{"role":"user","content":7}]"#, path: "messages[0].content", issue: CONTENT },
        Case { fields: r#""messages":[{"role":"user","content":"\ud800"}]"#, path: "messages[0].content", issue: CONTENT },
        Case { fields: r#""messages":[{"role":"user","content":["a"]}]"#, path: "messages[0].content[0]", issue: OBJECT },
        Case { fields: r#""messages":[{"role":"user","content":[{}]}]"#, path: "messages[0].content[0].type", issue: I::Missing },
        Case { fields: r#""messages":[{"role":"user","role":"user","content":"a"}]"#, path: "messages[0]", issue: ONCE },
        Case { fields: r#""messages":[{"role":"user","content":"a"}]"#, path: "model", issue: I::Missing },
        Case { fields: r#""messages":[{"role":"user","content":"a"}],"model":3"#, path: "model", issue: TEXT },
        Case { fields: r#""messages":[{"role":"user","content":"a"}],"model":"""#, path: "model", issue: I::Empty },
        Case { fields: r#""model":"a","model":"b""#, path: "model", issue: I::Duplicate },
        Case { fields: r#""model":"a","mod\u0065l":"b""#, path: "model", issue: I::Duplicate },
    ];
    check_cases("", &cases);
}

#[test]
fn invalid_options_are_reported_by_path() {
    use FieldIssue as I;
    #[rustfmt::skip]
    let cases = [
        Case { fields: r#""stream":"yes""#, path: "stream", issue: FLAG },
        Case { fields: r#""n":9"#, path: "n", issue: I::Range { high: 8 } },
        Case { fields: r#""max_tokens":0"#, path: "max_tokens", issue: I::Range { high: 1_000 } },
        Case { fields: r#""max_tokens":-1"#, path: "max_tokens", issue: NUMBER },
        Case { fields: r#""max_completion_tokens":1.5"#, path: "max_completion_tokens", issue: NUMBER },
        Case { fields: r#""stop":7"#, path: "stop", issue: STOP },
        Case { fields: r#""stop":["a","b","c","d","e"]"#, path: "stop", issue: I::TooMany { limit: 4 } },
    ];
    let before = r#""model":"m","messages":[{"role":"user","content":"q"}],"#;
    check_cases(before, &cases);
}

#[test]
fn invalid_texts_are_rejected() {
    let deep = format!(r#"{{"a":{}{}}}"#, "[".repeat(8), "]".repeat(8));
    let quoted = VALID_BODY.replace("Be brief.", &r#"[{\"["#.repeat(9));
    assert!(parse(&quoted).is_ok());
    let long = format!(r#"{{"a":"{}"}}"#, "a".repeat(2_000));
    assert_eq!(
        parse(&deep).unwrap_err(),
        ChatBodyError::TooDeep { limit: 8 }
    );
    assert_eq!(
        parse(&long).unwrap_err(),
        ChatBodyError::TooLong { limit: 2_000 }
    );
    let error = ChatBody::parse(b"{\"a\":\"\xff\"}", &LIMITS).unwrap_err();
    assert_eq!(error, ChatBodyError::Encoding { at: 6 });
    for text in ["", "[]", "3", "{", "{\"a\":}", "{} {}", "{\"a\":1,}"] {
        let error = parse(text).unwrap_err();
        assert!(
            matches!(error, ChatBodyError::Json { .. }),
            "{text}: {error}"
        );
    }
}

#[test]
fn other_fields_are_kept_verbatim() {
    let body = parse(VALID_BODY).unwrap();
    assert_eq!((body.model(), body.stream()), ("sowing", true));
    let rendered = body.render("sowing@v3", -2);
    let text = String::from_utf8(rendered.clone()).unwrap();
    assert!(text.contains(r#""temperature":0.70,"metadata":{"z":1,"a":[1E2,"\u0d24"]}"#));
    let mut expected = to_value(VALID_BODY.as_bytes());
    expected["model"] = json!("sowing@v3");
    expected["priority"] = json!(-2);
    assert_eq!(to_value(&rendered), expected);
    let own = body_with(r#","priority":-99"#).render("m", 0);
    assert_eq!(to_value(&own)["priority"], json!(0));
}

#[test]
fn resumed_bodies_continue_the_text() {
    let body = body_with(r#","max_tokens":10,"min_tokens":2,"stop":["END"]"#);
    let progress_so_far = progress("a \"b\"\n", 4);
    let resumed = to_value(&body.render_resumed("m@1", 1, &progress_so_far).unwrap());
    let expected = json!({
        "model": "m@1", "priority": 1, "max_tokens": 6, "min_tokens": 0, "stop": ["END"],
        "continue_final_message": true, "add_generation_prompt": false,
        "messages": [
            {"role": "user", "content": "q"},
            {"role": "assistant", "content": "a \"b\"\n"},
        ],
    });
    assert_eq!(resumed, expected);
    let fresh = body.render_resumed("m@1", 1, &Progress::default()).unwrap();
    assert_eq!(fresh, body.render("m@1", 1));
    let spent = body.render_resumed("m@1", 1, &progress("a", 10));
    assert_eq!(spent.unwrap_err(), ResumeError::NoTokensLeft);
    for text in ["a E", "a EN", "a END", "END b"] {
        let split = body.render_resumed("m@1", 1, &progress(text, 1));
        assert_eq!(split.unwrap_err(), ResumeError::StopString, "{text}");
    }
    let extra = Progress {
        non_text: true,
        ..progress("a", 1)
    };
    let error = body.render_resumed("m@1", 1, &extra).unwrap_err();
    assert_eq!(error, ResumeError::NonText);
}

#[test]
fn resume_errors_are_reported() {
    struct Case {
        fields: &'static str,
        error: Option<ResumeError>,
    }
    let field = |field| Some(ResumeError::Field { field });
    #[rustfmt::skip]
    let cases = [
        Case { fields: "", error: None },
        Case { fields: r#","n":1,"seed":null,"tools":[],"logprobs":false,"temperature":0.2"#, error: None },
        Case { fields: r#","n":2"#, error: Some(ResumeError::Choices) },
        Case { fields: r#","tools":[{"type":"function"}]"#, error: field("tools") },
        Case { fields: r#","tool_choice":"auto""#, error: field("tool_choice") },
        Case { fields: r#","logprobs":true"#, error: field("logprobs") },
        Case { fields: r#","response_format":{"type":"json_object"}"#, error: field("response_format") },
        Case { fields: r#","seed":0"#, error: field("seed") },
        Case { fields: r#","presence_penalty":0.5"#, error: field("presence_penalty") },
        Case { fields: r#","guided_regex":"a+""#, error: field("guided_regex") },
        Case { fields: r#","continue_final_message":true"#, error: field("continue_final_message") },
    ];
    for case in cases {
        let found = body_with(case.fields).resumable().err();
        assert_eq!(found, case.error, "{}", case.fields);
    }
    let last = r#"{"model":"m","messages":[{"role":"assistant","content":"a"}]}"#;
    let found = parse(last).unwrap().resumable();
    assert_eq!(found, Err(ResumeError::LastMessage));
}

struct ConversationCase {
    name: &'static str,
    messages: &'static str,
    more: &'static str,
    seed: u64,
    same: bool,
    earlier: bool,
}

const fn conversation(name: &'static str, messages: &'static str, same: bool) -> ConversationCase {
    ConversationCase {
        name,
        messages,
        more: "",
        seed: 7,
        same,
        earlier: false,
    }
}

const CONVERSATION: &str = r#"{"role":"system","content":"é"},{"role":"user","content":"1"}"#;

#[rustfmt::skip]
const CONVERSATIONS: &[ConversationCase] = &[
    conversation("the same", CONVERSATION, true),
    ConversationCase { earlier: true, ..conversation("next turn", r#"{"role":"system","content":"é"},{"role":"user","content":"1"},{"role":"assistant","content":"a"},{"role":"user","content":"2"}"#, true) },
    conversation("written otherwise", r#"{ "content":"\u00e9", "role":"system"},{"role":"user","name":"x","content":"1"}"#, true),
    conversation("another question", r#"{"role":"system","content":"é"},{"role":"user","content":"2"}"#, false),
    conversation("another opening", r#"{"role":"system","content":"e"},{"role":"user","content":"1"}"#, false),
    conversation("another role", r#"{"role":"developer","content":"é"},{"role":"user","content":"1"}"#, false),
    conversation("texts run together", r#"{"role":"system","content":"é1"},{"role":"user","content":""}"#, false),
    conversation("parts", r#"{"role":"system","content":"é"},{"role":"user","content":[{"type":"text","text":"1"}]}"#, false),
    conversation("no opening", r#"{"role":"user","content":"1"}"#, false),
    ConversationCase { more: r#","tools":[{"type":"function"}]"#, ..conversation("tools", CONVERSATION, false) },
    ConversationCase { seed: 8, ..conversation("another adapter", CONVERSATION, false) },
];

#[test]
fn turns_of_a_conversation_share_their_root_hash() {
    let of = |messages: &str, more: &str, seed| {
        let text = format!(r#"{{"model":"m","messages":[{messages}]{more}}}"#);
        parse(&text).expect(&text).conversation(seed)
    };
    let first = of(CONVERSATION, "", 7);
    for case in CONVERSATIONS {
        let found = of(case.messages, case.more, case.seed);
        assert_eq!(
            found.root_hash == first.root_hash,
            case.same,
            "{}",
            case.name
        );
        assert_eq!(found.history_bytes > 0, case.earlier, "{}", case.name);
    }
}

proptest! {
    #[test]
    fn any_bytes_are_parsed_without_panic(bytes in prop::collection::vec(any::<u8>(), 0..400)) {
        let _ = ChatBody::parse(&bytes, &LIMITS);
    }

    #[test]
    fn mutations_render_to_valid_bodies(
        changes in prop::collection::vec((0..VALID_BODY.len(), any::<u8>()), 0..4),
        text in ".{0,20}",
    ) {
        let mut bytes = VALID_BODY.as_bytes().to_vec();
        for (at, b) in changes {
            bytes[at] = b;
        }
        if let Ok(body) = ChatBody::parse(&bytes, &LIMITS) {
            let rendered = body.render("m@1", 3);
            prop_assert_eq!(&to_value(&rendered)["model"], "m@1");
            prop_assert!(ChatBody::parse(&rendered, &ChatLimits::default()).is_ok());
            if let Ok(resumed) = body.render_resumed("m@1", 3, &progress(&text, 1)) {
                prop_assert!(ChatBody::parse(&resumed, &ChatLimits::default()).is_ok());
            }
        }
    }
}
