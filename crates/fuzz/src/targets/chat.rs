//! Callers' chat bodies.

use pumicecleat_upstream::{ChatBody, ChatLimits, Progress};
use serde::Deserialize;
use serde_json::value::RawValue;

use super::{Broken, Target, require};

const MODEL: &str = "sowing@v3";
const PRIORITY: i32 = -3;
const SO_FAR: &str = "so far ";
const TOKENS: u64 = 2;

/// Message that holds the text so far.
const LAST: &str = r#"{"role":"assistant","content":"so far "}"#;

/// What a body to go on with must say.
#[derive(Deserialize)]
struct Resumed<'a> {
    #[serde(borrow)]
    messages: Vec<&'a RawValue>,
    continue_final_message: bool,
}

/// Messages of a body, as written.
#[derive(Deserialize)]
struct Written<'a> {
    #[serde(borrow)]
    messages: Vec<&'a RawValue>,
}

/// A chat body.
pub(super) struct ChatText;

impl Target for ChatText {
    fn name(&self) -> &'static str {
        "chat"
    }

    fn samples(&self) -> Vec<Vec<u8>> {
        let short = r#"{"model":"sowing","messages":[{"role":"user","content":"when?"}]}"#;
        let long = r#"{"model":"sky-brief@v2","stream":true,"max_tokens":120,"min_tokens":3,
            "n":1,"stop":["\n\n","END"],"temperature":0.2,"seed":null,"priority":9,
            "stream_options":{"include_usage":true},"user":"\u0d35\u0d3f",
            "messages":[{"role":"system","content":"Be short."},
            {"role":"user","content":[{"type":"text","text":"tonight?"}]},
            {"role":"assistant","content":"Clear."},{"role":"user","content":"And 23:00?"}]}"#;
        vec![short.as_bytes().to_vec(), long.as_bytes().to_vec()]
    }

    fn check(&self, input: &[u8]) -> Result<bool, Broken> {
        let limits = ChatLimits::default();
        let Ok(body) = ChatBody::parse(input, &limits) else {
            return Ok(false);
        };
        check_rendered(&body, input, &limits)?;
        check_resumed(&body, &limits)?;
        Ok(true)
    }
}

fn check_rendered(body: &ChatBody, input: &[u8], limits: &ChatLimits) -> Result<(), Broken> {
    let rendered = body.render(MODEL, PRIORITY);
    let Ok(again) = ChatBody::parse(&rendered, limits) else {
        return require(false, "what is rendered can't be read");
    };
    require(again.model() == MODEL, "rendered for another model")?;
    require(again.stream() == body.stream(), "stream changed")?;
    require(again.stops() == body.stops(), "stop strings changed")?;
    let same = raw_messages(&rendered) == raw_messages(input);
    require(same, "messages changed")?;
    require(
        again.conversation(1) == body.conversation(1),
        "conversation changed",
    )
}

/// Messages as written.
fn raw_messages(body: &[u8]) -> Option<Vec<&str>> {
    let read: Written<'_> = serde_json::from_slice(body).ok()?;
    Some(read.messages.iter().map(|m| m.get()).collect())
}

fn check_resumed(body: &ChatBody, limits: &ChatLimits) -> Result<(), Broken> {
    let progress = Progress {
        text: SO_FAR.to_owned(),
        tokens: TOKENS,
        ..Progress::default()
    };
    let Ok(resumed) = body.render_resumed(MODEL, PRIORITY, &progress) else {
        return Ok(());
    };
    require(
        ChatBody::parse(&resumed, limits).is_ok(),
        "what goes on can't be read",
    )?;
    let Ok(fields) = serde_json::from_slice::<Resumed<'_>>(&resumed) else {
        return require(false, "what goes on is no JSON object");
    };
    let last = fields.messages.last().map_or("", |m| m.get());
    require(last == LAST, "the text so far is not the last message")?;
    let goes_on = fields.continue_final_message;
    require(goes_on, "the engine is not told to go on")
}
