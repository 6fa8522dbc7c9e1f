//! Engines' answers: server-sent events, and whole ones.

use std::collections::BTreeMap;

use pumicecleat_upstream::{Chunk, ExpectedResponse, StreamCheck, StreamEvent, check_completion};
use serde_json::value::RawValue;

use super::{Broken, Target, cuts, require};

const LIMIT: usize = 2 << 10;
const EXPECT: ExpectedResponse<'_> = ExpectedResponse {
    peer: "10.0.0.1:8000",
    model: "sowing@v3",
    request: Some("r-1"),
};

const STREAM: &str = concat!(
    ": wait\r\n\r\n",
    "data: {\"id\":\"chatcmpl-r-1\",\"model\":\"sowing@v3\",\"choices\":[{\"index\":0,",
    "\"delta\":{\"role\":\"assistant\",\"content\":\"\"},\"finish_reason\":null}]}\n\n",
    "data: {\"id\":\"chatcmpl-r-1\",\"model\":\"sowing@v3\",\"choices\":[{\"index\":0,",
    "\"delta\":{\"content\":\"\\u0d35\\u0d3f\"},\"finish_reason\":null}]}\n\n",
    "event: x\ndata: {\"id\":\"chatcmpl-r-1\",\ndata: \"model\":\"sowing@v3\",\"choices\":",
    "[{\"index\":0,\"delta\":{\"content\":\"t\"},\"finish_reason\":\"stop\"}]}\n\n",
    "data: {\"id\":\"chatcmpl-r-1\",\"model\":\"sowing@v3\",\"choices\":[],",
    "\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":2}}\n\n",
    "data: [DONE]\n\n",
);

const OTHER: &str = concat!(
    "data: {\"id\":\"chatcmpl-r-2\",\"model\":\"sowing@v3\",\"choices\":[]}\n\n",
    "data: {\"id\":\"chatcmpl-r-1\",\"model\":\"sowing@v2\",\"choices\":[{\"index\":1,",
    "\"delta\":{\"tool_calls\":[]},\"finish_reason\":\"length\"}]}\n\n",
);

const WHOLE: &str = concat!(
    "{\"id\":\"chatcmpl-r-1\",\"model\":\"sowing@v3\",\"choices\":[{\"index\":0,\"message\":",
    "{\"role\":\"assistant\",\"content\":\"June\"},\"finish_reason\":\"stop\"}],",
    "\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":2}}",
);

/// A streamed answer.
pub(super) struct AnswerStream;

/// Fields of a JSON object, as they were written.
type Fields<'a> = BTreeMap<String, &'a RawValue>;

/// Events up to the end or the first fault, and how it ended.
#[derive(Debug, PartialEq)]
struct Reading {
    events: Vec<StreamEvent>,
    fault: Option<String>,
}

impl Target for AnswerStream {
    fn name(&self) -> &'static str {
        "stream"
    }

    fn samples(&self) -> Vec<Vec<u8>> {
        vec![STREAM.into(), OTHER.into()]
    }

    fn check(&self, input: &[u8]) -> Result<bool, Broken> {
        let whole = read(&[input]);
        let pieces = read(&cuts(input));
        require(whole == pieces, "cuts change what is read")?;
        for event in &whole.events {
            check_event(event)?;
        }
        check_end(&whole)?;
        Ok(!whole.events.is_empty())
    }
}

fn read(pieces: &[&[u8]]) -> Reading {
    let mut check = StreamCheck::new(EXPECT, LIMIT);
    let mut events = Vec::new();
    for piece in pieces {
        check.push(piece);
        loop {
            match check.scan_event() {
                Ok(Some(event)) => events.push(event),
                Ok(None) => break,
                Err(e) => {
                    let fault = Some(e.to_string());
                    return Reading { events, fault };
                }
            }
        }
    }
    let fault = check.finish().err().map(|e| e.to_string());
    Reading { events, fault }
}

fn check_event(event: &StreamEvent) -> Result<(), Broken> {
    let raw = match event {
        StreamEvent::Chunk(chunk) => &chunk.raw,
        StreamEvent::Done { raw } => raw,
    };
    require(raw.len() <= LIMIT, "an event is over the limit")?;
    let ends = ["\n\n", "\n\r\n", "\r\r", "\r\n\r", "\n\r", "\r\n\n"];
    let lone = [b"\n".as_slice(), b"\r", b"\r\n"].contains(&raw.as_slice());
    let blank = lone || ends.iter().any(|e| raw.ends_with(e.as_bytes()));
    require(blank, "an event does not end in a blank line")?;
    match event {
        StreamEvent::Chunk(chunk) => check_chunk(chunk),
        StreamEvent::Done { .. } => Ok(()),
    }
}

/// What was taken says the same to another reader of its fields.
fn check_chunk(chunk: &Chunk) -> Result<(), Broken> {
    let data = read_data(&chunk.raw);
    let Ok(fields) = serde_json::from_str::<Fields<'_>>(&data) else {
        return require(false, "a chunk is no JSON object");
    };
    let model = read_text(&fields, "model");
    require(model == EXPECT.model, "a chunk is of another model")?;
    let id = read_text(&fields, "id");
    require(id.ends_with("r-1"), "a chunk is of another request")
}

/// Data of an event; bytes that are no text may stand in its other fields.
fn read_data(raw: &[u8]) -> String {
    let text = String::from_utf8_lossy(raw);
    let lines = text.split(['\n', '\r']);
    let data: Vec<&str> = lines.filter_map(|l| l.strip_prefix("data:")).collect();
    data.join("\n")
}

fn read_text(fields: &Fields<'_>, name: &str) -> String {
    let raw = fields.get(name).map_or("null", |r| r.get());
    serde_json::from_str(raw).unwrap_or_default()
}

fn check_end(reading: &Reading) -> Result<(), Broken> {
    let is_done = |e: &StreamEvent| matches!(e, StreamEvent::Done { .. });
    let end = reading.events.iter().position(is_done);
    let last = end.is_none_or(|at| at + 1 == reading.events.len());
    require(last, "events after the end")?;
    if reading.fault.is_some() {
        return Ok(());
    }
    let done = matches!(reading.events.last(), Some(StreamEvent::Done { .. }));
    require(done, "whole without its end")?;
    let finish = |e: &StreamEvent| matches!(e, StreamEvent::Chunk(c) if c.finish_reason.is_some() || c.non_text);
    require(
        reading.events.iter().any(finish),
        "whole without a finish reason",
    )
}

/// An answer that is not streamed.
pub(super) struct WholeAnswer;

impl Target for WholeAnswer {
    fn name(&self) -> &'static str {
        "whole"
    }

    fn samples(&self) -> Vec<Vec<u8>> {
        vec![WHOLE.into()]
    }

    fn check(&self, input: &[u8]) -> Result<bool, Broken> {
        let Ok(whole) = check_completion(EXPECT, input) else {
            return Ok(false);
        };
        let Ok(fields) = serde_json::from_slice::<Fields<'_>>(input) else {
            return require(false, "an answer is no JSON object").map(|()| true);
        };
        let model = read_text(&fields, "model");
        require(model == EXPECT.model, "an answer is of another model")?;
        let choices = fields.get("choices").map_or("[]", |r| r.get());
        let choices: Vec<&RawValue> = serde_json::from_str(choices).unwrap_or_default();
        let count = choices.len();
        require(
            count == whole.choices && count > 0,
            "choices are miscounted",
        )?;
        Ok(true)
    }
}
