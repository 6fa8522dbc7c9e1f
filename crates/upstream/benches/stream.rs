//! Time per event in [`StreamCheck`], by the size of the received chunks.

use std::hint::black_box;
use std::time::Instant;

use pumicecleat_upstream::{ExpectedResponse, StreamCheck};

/// Number of events per stream.
const EVENTS_PER_STREAM: u32 = 2_000;

/// Number of streams per measurement.
const STREAMS: u32 = 100;

/// Maximum length of an event, bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

fn main() {
    let event = concat!(
        "data: {\"id\":\"chatcmpl-0192f3c4\",\"object\":\"chat.completion.chunk\",",
        "\"created\":1760000000,\"model\":\"sowing@v3\",\"choices\":[{\"index\":0,",
        "\"delta\":{\"content\":\" വിത്ത്\"},\"logprobs\":null,\"finish_reason\":null}]}\n\n"
    );
    let stream = event.repeat(EVENTS_PER_STREAM as usize);
    for chunk_bytes in [64, event.len(), 1_400, 4_096, 16_384, 65_536] {
        let ns = time_event(stream.as_bytes(), chunk_bytes);
        println!("chunks of {chunk_bytes} bytes: {ns:.0} ns per event");
    }
}

fn time_event(stream: &[u8], chunk_bytes: usize) -> f64 {
    let start = Instant::now();
    for _ in 0..STREAMS {
        let expect = ExpectedResponse {
            peer: "bench",
            model: "sowing@v3",
            request: Some("0192f3c4"),
        };
        let mut check = StreamCheck::new(expect, MAX_EVENT_BYTES);
        for bytes in stream.chunks(chunk_bytes) {
            check.push(bytes);
            while let Some(event) = check.scan_event().expect("events are valid") {
                black_box(event);
            }
        }
    }
    let events = f64::from(EVENTS_PER_STREAM * STREAMS);
    start.elapsed().as_secs_f64() * 1e9 / events
}
