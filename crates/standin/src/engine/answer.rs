//! Answers in the OpenAI form, whole or in chunks.

use bytes::Bytes;
use serde::Serialize;

use super::piece::{Count, Finish, Head};

const CHUNK: &str = "chat.completion.chunk";
const COMPLETION: &str = "chat.completion";
const ASSISTANT: &str = "assistant";

#[derive(Serialize)]
struct Answer<'a, C> {
    id: &'a str,
    object: &'a str,
    created: u64,
    model: &'a str,
    choices: &'a [C],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Serialize)]
struct ChunkChoice<'a> {
    index: u32,
    delta: Delta<'a>,
    finish_reason: Option<&'a str>,
}

#[derive(Default, Serialize)]
struct Delta<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    role: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

#[derive(Serialize)]
struct WholeChoice<'a> {
    index: u32,
    message: Message<'a>,
    finish_reason: &'a str,
}

#[derive(Serialize)]
struct Message<'a> {
    role: &'a str,
    content: &'a str,
}

#[derive(Serialize)]
struct Usage {
    prompt_tokens: u64,
    completion_tokens: u64,
    total_tokens: u64,
    prompt_tokens_details: Option<PromptDetails>,
}

#[derive(Serialize)]
struct PromptDetails {
    cached_tokens: i64,
}

/// Body of a whole answer.
pub(crate) fn completion(head: &Head, text: &str, finish: Finish, count: Count) -> Vec<u8> {
    let choice = WholeChoice {
        index: 0,
        message: Message {
            role: ASSISTANT,
            content: text,
        },
        finish_reason: reason(finish),
    };
    encode(&answer(head, COMPLETION, &[choice], Some(usage(count))))
}

/// Event with the role.
pub(crate) fn role_event(head: &Head) -> Bytes {
    let delta = Delta {
        role: Some(ASSISTANT),
        content: Some(""),
    };
    chunk_event(head, delta, None)
}

/// Event with a token.
pub(crate) fn token_event(head: &Head, token: &str) -> Bytes {
    let delta = Delta {
        content: Some(token),
        ..Delta::default()
    };
    chunk_event(head, delta, None)
}

/// Event with the reason of the end.
pub(crate) fn finish_event(head: &Head, finish: Finish) -> Bytes {
    chunk_event(head, Delta::default(), Some(finish))
}

/// Event with the usage.
pub(crate) fn usage_event(head: &Head, count: Count) -> Bytes {
    event(&answer::<ChunkChoice<'_>>(
        head,
        CHUNK,
        &[],
        Some(usage(count)),
    ))
}

/// Last event of a stream.
pub(crate) fn done_event() -> Bytes {
    Bytes::from_static(b"data: [DONE]\n\n")
}

fn chunk_event(head: &Head, delta: Delta<'_>, finish: Option<Finish>) -> Bytes {
    let choice = ChunkChoice {
        index: 0,
        delta,
        finish_reason: finish.map(reason),
    };
    event(&answer(head, CHUNK, &[choice], None))
}

fn answer<'a, C>(
    head: &'a Head,
    object: &'a str,
    choices: &'a [C],
    usage: Option<Usage>,
) -> Answer<'a, C> {
    Answer {
        id: &head.id,
        object,
        created: head.created,
        model: &head.model,
        choices,
        usage,
    }
}

fn event<T: Serialize>(value: &T) -> Bytes {
    let mut event = b"data: ".to_vec();
    event.extend(encode(value));
    event.extend_from_slice(b"\n\n");
    event.into()
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    // Text keys only, so that it always encodes.
    serde_json::to_vec(value).unwrap_or_default()
}

fn reason(finish: Finish) -> &'static str {
    match finish {
        Finish::Stop => "stop",
        Finish::Length => "length",
    }
}

fn told(cached_tokens: i64) -> PromptDetails {
    PromptDetails { cached_tokens }
}

fn usage(count: Count) -> Usage {
    Usage {
        prompt_tokens: count.prompt,
        completion_tokens: count.answer,
        total_tokens: count.prompt + count.answer,
        prompt_tokens_details: count.told.map(told),
    }
}
