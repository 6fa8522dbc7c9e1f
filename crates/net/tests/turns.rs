//! Turns: what waits goes in order, and what arrives meanwhile waits for a turn or two only.

use std::cell::RefCell;
use std::io::Write;
use std::os::unix::net::UnixStream as Plain;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::join_all;
use monoio::io::AsyncReadRentExt;
use monoio::net::UnixStream;
use pumicecleat_net::{Tally, Timer, Turns, run};

const LIMIT: Duration = Duration::from_secs(20);

/// Pieces of each stream.
const PIECES: usize = 20;

struct Case {
    name: &'static str,
    streams: usize,
    turn: usize,
    /// Pieces passed in all when a request arrives.
    arrival: usize,
}

const CASES: [Case; 4] = [
    Case {
        name: "a thousand streams",
        streams: 1_000,
        turn: 8,
        arrival: 5_003,
    },
    Case {
        name: "one piece a turn",
        streams: 300,
        turn: 1,
        arrival: 700,
    },
    Case {
        name: "first piece of all",
        streams: 1_000,
        turn: 32,
        arrival: 0,
    },
    Case {
        name: "fewer streams than places",
        streams: 5,
        turn: 16,
        arrival: 30,
    },
];

/// Pieces that each stream passed, and how a request fared among them.
struct Record {
    passed: Vec<usize>,
    all: usize,
    turn: usize,
    request: Option<Plain>,
    arrival: usize,
    answered: Option<usize>,
}

impl Record {
    /// Notes a piece of `stream`, which asked for its place after `asked` pieces in all.
    fn pass(&mut self, stream: usize, asked: usize) {
        let waited = self.all - asked;
        let most = self.passed.len() + self.turn;
        assert!(waited < most, "stream {stream} waited for {waited}");
        if self.all == self.arrival
            && let Some(mut request) = self.request.take()
        {
            request.write_all(b"?").unwrap();
        }
        self.all += 1;
        self.passed[stream] += 1;
    }
}

#[test]
fn a_request_waits_for_a_turn_or_two_and_no_stream_for_another() {
    for case in &CASES {
        run(check(case)).unwrap();
    }
}

async fn check(case: &Case) {
    let timer = Timer::start();
    let turns = Turns::start(case.turn).unwrap();
    let (near, far) = Plain::pair().unwrap();
    near.set_nonblocking(true).unwrap();
    let mut near = UnixStream::from_std(near).unwrap();
    let record = Rc::new(RefCell::new(Record {
        passed: vec![0; case.streams],
        all: 0,
        turn: case.turn,
        request: Some(far),
        arrival: case.arrival,
        answered: None,
    }));
    let tally = Tally::new();
    for stream in 0..case.streams {
        let (turns, record, guard) = (turns.clone(), Rc::clone(&record), tally.enter());
        monoio::spawn(async move {
            for _ in 0..PIECES {
                let asked = record.borrow().all;
                turns.place().await;
                record.borrow_mut().pass(stream, asked);
            }
            drop(guard);
        });
    }
    let (asked, guard) = (Rc::clone(&record), tally.enter());
    monoio::spawn(async move {
        near.read_exact(vec![0; 1]).await.0.unwrap();
        let mut record = asked.borrow_mut();
        record.answered = Some(record.all);
        drop(guard);
    });
    timer.within(LIMIT, tally.zero()).await.unwrap();
    let record = record.borrow();
    let name = case.name;
    assert!(record.passed.iter().all(|n| *n == PIECES), "{name}");
    let waited = record.answered.unwrap() - case.arrival;
    // Those of the turn in which it arrived, and of the one that begins as it is told of.
    assert!(waited <= 2 * case.turn, "{name}: waited for {waited}");
}

#[test]
fn places_given_up_keep_no_other_waiting() {
    run(async {
        let timer = Timer::start();
        let turns = Turns::start(2).unwrap();
        let mut places: Vec<_> = (0..100).map(|_| turns.place()).collect();
        let at_once = places.iter_mut().filter_map(|p| p.now_or_never()).count();
        assert_eq!(at_once, 2);
        // Every other one goes away, some of them in the turn that begins next.
        let kept = places.into_iter().skip(2).step_by(2);
        timer.within(LIMIT, join_all(kept)).await.unwrap();
        timer.within(LIMIT, turns.place()).await.unwrap();
    })
    .unwrap();
}
