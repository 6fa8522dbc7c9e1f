//! How old a read of the list is taken to be that others tell of.

use pumicecleat_catalog::Marks;
use pumicecleat_types::{ListRead, Millis, Position, StreamMarks};

/// Word of a read, when it arrives.
struct Word {
    arrives: u64,
    end: Position,
    age_ms: u64,
}

struct Case {
    name: &'static str,
    words: &'static [Word],
    /// Offset and age that are passed on at 3,000 ms.
    told: Option<(u64, u64)>,
}

const fn word(arrives: u64, offset: u64, age_ms: u64) -> Word {
    word_in(0, arrives, offset, age_ms)
}

const fn word_in(era: u64, arrives: u64, offset: u64, age_ms: u64) -> Word {
    Word {
        arrives,
        end: Position { era, offset },
        age_ms,
    }
}

const CASES: [Case; 8] = [
    Case {
        name: "nobody told of a read",
        words: &[],
        told: None,
    },
    Case {
        name: "a read ages from when it was",
        words: &[word(2_000, 7, 500)],
        told: Some((7, 1_500)),
    },
    Case {
        name: "a later read counts",
        words: &[word(2_000, 7, 500), word(2_100, 9, 300)],
        told: Some((9, 1_200)),
    },
    Case {
        name: "word of an earlier read that comes late does not",
        words: &[word(2_100, 9, 300), word(2_500, 7, 0)],
        told: Some((9, 1_200)),
    },
    Case {
        name: "slow word of the same read makes it no younger",
        words: &[word(2_000, 7, 500), word(2_900, 7, 600)],
        told: Some((7, 1_500)),
    },
    Case {
        name: "a read after the log came back from a copy counts, though its offset is lower",
        words: &[word_in(1, 2_000, 900, 500), word_in(2, 2_100, 9, 300)],
        told: Some((9, 1_200)),
    },
    Case {
        name: "word from before that comes late does not",
        words: &[word_in(2, 2_100, 9, 300), word_in(1, 2_500, 900, 0)],
        told: Some((9, 1_200)),
    },
    Case {
        name: "a read from before this process ran is of unknown age to it",
        words: &[word(100, 7, 900)],
        told: None,
    },
];

#[test]
fn a_read_that_others_tell_of_is_never_younger_than_their_earliest_word() {
    for case in &CASES {
        let marks = Marks::default();
        for word in case.words {
            let listed = Some(ListRead {
                end: word.end,
                age_ms: word.age_ms,
            });
            let told = StreamMarks {
                listed,
                ..StreamMarks::default()
            };
            marks.merge(&told, Millis(word.arrives));
        }
        let told = marks.to_message(Millis(3_000)).listed;
        let told = told.map(|read| (read.end.offset, read.age_ms));
        assert_eq!(told, case.told, "{}", case.name);
    }
}

/// Two processes tell each other of one read, each 10 ms, with 150 ms on each way.
#[test]
fn word_that_goes_round_ages() {
    let (near, far) = (Marks::default(), Marks::default());
    let read = StreamMarks {
        listed: Some(ListRead {
            end: Position::at(7),
            age_ms: 0,
        }),
        ..StreamMarks::default()
    };
    near.merge(&read, Millis(1_000));
    let way = Millis(150);
    for sent in (1_000..4_000).step_by(10).map(Millis) {
        let (there, back) = (near.to_message(sent), far.to_message(sent));
        far.merge(&there, sent + way);
        near.merge(&back, sent + way);
    }
    let age = |marks: &Marks| {
        marks
            .to_message(Millis(4_000))
            .listed
            .map(|read| read.age_ms)
    };
    assert_eq!(age(&near), Some(3_000));
    assert_eq!(age(&far), Some(2_850));
}
