//! Frames of a side's answer, as they arrive in pieces.

use pumicecleat_net::{FrameScanner, frame_bytes};
use pumicecleat_types::{Frame, HeaderField, Ran};

use super::{Broken, Target, cuts, require};

/// The frames of an answer.
pub(super) struct AnswerFrames;

/// Frames up to the end or the first fault, and how it ended.
#[derive(Debug, PartialEq)]
struct Reading {
    frames: Vec<Frame>,
    fault: Option<String>,
    /// Ends between two frames.
    clean: bool,
}

impl Target for AnswerFrames {
    fn name(&self) -> &'static str {
        "frames"
    }

    fn samples(&self) -> Vec<Vec<u8>> {
        let answer = [head(), data(), Frame::End { load: None }];
        let broken = [head(), broken()];
        vec![join(&answer), join(&broken), join(&answer[..1])]
    }

    fn check(&self, input: &[u8]) -> Result<bool, Broken> {
        let whole = read(&[input]);
        let pieces = read(&cuts(input));
        require(whole == pieces, "cuts change what is read")?;
        let again = read(&[&join(&whole.frames)]);
        require(again.frames == whole.frames, "frames change on their way")?;
        require(
            again.clean && again.fault.is_none(),
            "frames written can't be read",
        )?;
        Ok(!whole.frames.is_empty())
    }
}

fn read(pieces: &[&[u8]]) -> Reading {
    let mut scanner = FrameScanner::new();
    let mut frames = Vec::new();
    for piece in pieces {
        scanner.push(piece);
        loop {
            match scanner.scan_frame() {
                Ok(Some(frame)) => frames.push(frame),
                Ok(None) => break,
                Err(e) => {
                    return Reading {
                        frames,
                        fault: Some(e.to_string()),
                        clean: false,
                    };
                }
            }
        }
    }
    Reading {
        frames,
        fault: None,
        clean: scanner.is_empty(),
    }
}

fn join(frames: &[Frame]) -> Vec<u8> {
    frames
        .iter()
        .flat_map(|f| frame_bytes(f).to_vec())
        .collect()
}

fn head() -> Frame {
    Frame::Head {
        request: "r-1".into(),
        attempt: 1,
        model: Some("sowing@v3".to_owned()),
        status: 200,
        headers: vec![HeaderField {
            name: "content-type".to_owned(),
            value: "text/event-stream".to_owned(),
        }],
        replayed: false,
    }
}

fn data() -> Frame {
    Frame::Data {
        bytes: b"data: [DONE]\n\n".to_vec(),
    }
}

fn broken() -> Frame {
    Frame::Broken {
        ran: Ran::Unknown,
        step: "call engine".to_owned(),
        detail: "lost".to_owned(),
    }
}
