//! Scanners of events and frames: cuts change nothing, any bytes are taken, cost is linear.

use std::time::{Duration, Instant};

use proptest::collection::vec;
use proptest::prelude::*;
use pumicecleat_net::{FrameScanner, SseScanner, frame_bytes};
use pumicecleat_types::{Frame, Ran};

/// Longest event of these tests, bytes.
const EVENT_LIMIT: usize = 1 << 12;

/// Time for what a scanner of quadratic cost needs minutes for.
const LINEAR: Duration = Duration::from_secs(20);

/// Raw bytes and data of each event, and whether one was too long.
type Events = (Vec<(Vec<u8>, Vec<u8>)>, bool);

fn scan_events<'a>(pieces: impl IntoIterator<Item = &'a [u8]>) -> Events {
    let mut scanner = SseScanner::new(EVENT_LIMIT);
    let mut events = Vec::new();
    for piece in pieces {
        scanner.push(piece);
        loop {
            match scanner.scan_event() {
                Ok(Some(event)) => events.push((event.raw.clone(), event.data().to_vec())),
                Ok(None) => break,
                Err(_) => return (events, true),
            }
        }
    }
    (events, false)
}

/// Frames, and whether the bytes turned out to be none.
fn scan_frames<'a>(pieces: impl IntoIterator<Item = &'a [u8]>) -> (Vec<Frame>, bool) {
    let mut scanner = FrameScanner::new();
    let mut frames = Vec::new();
    for piece in pieces {
        scanner.push(piece);
        loop {
            match scanner.scan_frame() {
                Ok(Some(frame)) => frames.push(frame),
                Ok(None) => break,
                Err(_) => return (frames, true),
            }
        }
    }
    (frames, false)
}

fn cut<'a>(bytes: &'a [u8], cuts: &[prop::sample::Index]) -> Vec<&'a [u8]> {
    let mut ends: Vec<usize> = cuts.iter().map(|c| c.index(bytes.len() + 1)).collect();
    ends.push(bytes.len());
    ends.sort_unstable();
    let mut start = 0;
    let piece = |end: &usize| &bytes[std::mem::replace(&mut start, *end)..*end];
    ends.iter().map(piece).collect()
}

/// Bytes in which line ends and fields are frequent.
fn event_bytes() -> impl Strategy<Value = Vec<u8>> {
    let parts = prop_oneof![
        Just(b"data: ".to_vec()),
        Just(b"data:x".to_vec()),
        Just(b"\n".to_vec()),
        Just(b"\r\n".to_vec()),
        Just(b"\r".to_vec()),
        vec(any::<u8>(), 0..8),
        vec(Just(b'y'), 0..300),
    ];
    vec(parts, 0..60).prop_map(|parts| parts.concat())
}

fn frame() -> impl Strategy<Value = Frame> {
    prop_oneof![
        vec(any::<u8>(), 0..300).prop_map(|bytes| Frame::Data { bytes }),
        Just(Frame::End { load: None }),
        ".{0,20}".prop_map(|detail| Frame::Broken {
            ran: Ran::Unknown,
            step: "run".into(),
            detail
        }),
    ]
}

proptest! {
    #[test]
    fn cuts_change_no_event(bytes in event_bytes(), cuts in vec(any::<prop::sample::Index>(), 0..12)) {
        let whole = scan_events([bytes.as_slice()]);
        let pieces = scan_events(cut(&bytes, &cuts));
        prop_assert_eq!(&pieces.0, &whole.0);
        prop_assert_eq!(pieces.1, whole.1);
        let taken: Vec<u8> = whole.0.iter().flat_map(|(raw, _)| raw.clone()).collect();
        prop_assert!(bytes.starts_with(&taken));
    }

    #[test]
    fn any_bytes_are_taken_as_events(pieces in vec(vec(any::<u8>(), 0..64), 0..32)) {
        scan_events(pieces.iter().map(Vec::as_slice));
    }

    #[test]
    fn cuts_change_no_frame(frames in vec(frame(), 0..8), cuts in vec(any::<prop::sample::Index>(), 0..12)) {
        let bytes: Vec<u8> = frames.iter().flat_map(|f| frame_bytes(f).to_vec()).collect();
        let (scanned, broken) = scan_frames(cut(&bytes, &cuts));
        prop_assert_eq!(scanned, frames);
        prop_assert!(!broken);
    }

    #[test]
    fn any_bytes_are_taken_as_frames(pieces in vec(vec(any::<u8>(), 0..64), 0..32)) {
        scan_frames(pieces.iter().map(Vec::as_slice));
    }

    #[test]
    fn any_body_is_taken_as_a_frame(body in vec(any::<u8>(), 0..200)) {
        let length = u32::try_from(body.len()).unwrap().to_be_bytes();
        scan_frames([length.as_slice(), body.as_slice()]);
    }
}

struct Case {
    text: &'static str,
    data: &'static [&'static str],
}

const fn case(text: &'static str, data: &'static [&'static str]) -> Case {
    Case { text, data }
}

const CASES: &[Case] = &[
    case("data: a\n\n", &["a"]),
    case("data:a\r\n\r\ndata: b\n\n", &["a", "b"]),
    case("data: a\ndata: b\n\n", &["a\nb"]),
    case("data:  a\n\n", &[" a"]),
    case("data:\n\n", &[""]),
    case("event: x\nid: 7\ndata: a\n\n", &["a"]),
    case(": comment\n\n", &[""]),
    case("data: a\n", &[]),
    case("data: a\r\n\r", &[]),
    case("\n\n", &["", ""]),
    case("data: a\r\rdata: b\r\r", &["a", "b"]),
    case("id: 1\rdata: a\rdata: b\r\r", &["a\nb"]),
    case("data: a\r\r", &["a"]),
    case("data: a\r", &[]),
    case("data: a\r\n\rdata: b\n\n", &["a", "b"]),
    case("data: a\n\rdata: b\n\n", &["a", "b"]),
];

#[test]
fn events_end_at_blank_lines() {
    for case in CASES {
        let (events, _) = scan_events([case.text.as_bytes()]);
        let data: Vec<&[u8]> = events.iter().map(|(_, data)| data.as_slice()).collect();
        let wanted: Vec<&[u8]> = case.data.iter().map(|d| d.as_bytes()).collect();
        assert_eq!(data, wanted, "{:?}", case.text);
    }
}

/// Guards against a stream that is resumed from its start because its ids were not found.
#[test]
fn an_id_is_found_whatever_ends_its_line() {
    for end in ["\n", "\r\n", "\r"] {
        let text = ["weight-versions: 3", "id: 7", "data: a", "", ""].join(end);
        let mut scanner = SseScanner::new(EVENT_LIMIT);
        scanner.push(text.as_bytes());
        let event = scanner.scan_event().unwrap();
        assert_eq!(event.and_then(|e| e.number()), Some(7), "{end:?}");
    }
}

#[test]
fn an_event_over_the_limit_is_refused_before_it_ends() {
    let (events, long) = scan_events([b"data: a\n\n".as_slice(), &[b'y'; EVENT_LIMIT + 1]]);
    assert_eq!((events.len(), long), (1, true));
    let (events, long) = scan_events([[b'y'; EVENT_LIMIT].as_slice()]);
    assert_eq!((events.len(), long), (0, false));
}

#[test]
fn a_frame_over_the_limit_is_refused_by_its_length() {
    let (frames, broken) = scan_frames([[255_u8; 4].as_slice()]);
    assert_eq!((frames.len(), broken), (0, true));
}

#[test]
fn cost_is_linear_in_the_bytes() {
    let from = Instant::now();
    let mut scanner = SseScanner::new(8 << 20);
    for _ in 0..4 << 20 {
        scanner.push(b"y");
        assert!(scanner.scan_event().unwrap().is_none());
    }
    let many = "data: token\n\n".repeat(200_000);
    let mut scanner = SseScanner::new(EVENT_LIMIT);
    scanner.push(many.as_bytes());
    let mut events = 0;
    while scanner.scan_event().unwrap().is_some() {
        events += 1;
    }
    assert_eq!(events, 200_000);
    let body = frame_bytes(&Frame::Data {
        bytes: vec![7; 16 << 20],
    });
    let (frames, _) = scan_frames(body.chunks(64));
    assert_eq!(frames.len(), 1);
    assert!(from.elapsed() < LINEAR, "{:?}", from.elapsed());
}
