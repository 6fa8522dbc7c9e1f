//! Time of one event in [`StreamCheck`], by the size of the pieces that arrive.

use std::hint::black_box;
use std::time::Instant;

use pumicecleat_upstream::{ExpectedResponse, StreamCheck};

/// Events of one stream.
const EVENTS: u32 = 2_000;

/// Streams of one figure.
const STREAMS: u32 = 100;

/// Longest event, bytes.
const LIMIT: usize = 1 << 20;

fn main() {
    let event = concat!(
        "data: {\"id\":\"chatcmpl-0192f3c4\",\"object\":\"chat.completion.chunk\",",
        "\"created\":1760000000,\"model\":\"sowing@v3\",\"choices\":[{\"index\":0,",
        "\"delta\":{\"content\":\" വിത്ത്\"},\"logprobs\":null,\"finish_reason\":null}]}\n\n"
    );
    let stream = event.repeat(EVENTS as usize);
    for piece in [64, event.len(), 1_400, 4_096, 16_384, 65_536] {
        let ns = time_event(stream.as_bytes(), piece);
        println!("pieces of {piece} bytes: {ns:.0} ns an event");
    }
}

fn time_event(stream: &[u8], piece: usize) -> f64 {
    let start = Instant::now();
    for _ in 0..STREAMS {
        let expect = ExpectedResponse {
            peer: "bench",
            model: "sowing@v3",
            request: Some("0192f3c4"),
        };
        let mut check = StreamCheck::new(expect, LIMIT);
        for bytes in stream.chunks(piece) {
            check.push(bytes);
            while let Some(event) = check.scan_event().expect("events are sound") {
                black_box(event);
            }
        }
    }
    let events = f64::from(EVENTS * STREAMS);
    start.elapsed().as_secs_f64() * 1e9 / events
}
