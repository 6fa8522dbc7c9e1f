//! Guards against a wrong age of a read of the list that other processes announced.

use pumicecleat_catalog::Marks;
use pumicecleat_types::{EndRead, Millis, Position, StreamMarks};

/// Message that announces a read of the list.
struct Announcement {
    arrival_ms: u64,
    end: Position,
    age_ms: u64,
}

struct Case {
    name: &'static str,
    announcements: &'static [Announcement],
    /// Offset and age that are passed on at 3,000 ms.
    expected: Option<(u64, u64)>,
}

const fn announcement(arrival_ms: u64, offset: u64, age_ms: u64) -> Announcement {
    announcement_in(0, arrival_ms, offset, age_ms)
}

const fn announcement_in(era: u64, arrival_ms: u64, offset: u64, age_ms: u64) -> Announcement {
    Announcement {
        arrival_ms,
        end: Position { era, offset },
        age_ms,
    }
}

const CASES: [Case; 8] = [
    Case {
        name: "no announced read",
        announcements: &[],
        expected: None,
    },
    Case {
        name: "the age grows from the time of the read",
        announcements: &[announcement(2_000, 7, 500)],
        expected: Some((7, 1_500)),
    },
    Case {
        name: "a later read replaces an earlier one",
        announcements: &[announcement(2_000, 7, 500), announcement(2_100, 9, 300)],
        expected: Some((9, 1_200)),
    },
    Case {
        name: "a late message about an earlier read is ignored",
        announcements: &[announcement(2_100, 9, 300), announcement(2_500, 7, 0)],
        expected: Some((9, 1_200)),
    },
    Case {
        name: "a delayed message about the same read does not reduce its age",
        announcements: &[announcement(2_000, 7, 500), announcement(2_900, 7, 600)],
        expected: Some((7, 1_500)),
    },
    Case {
        name: "a read in a later era counts despite its lower offset",
        announcements: &[
            announcement_in(1, 2_000, 900, 500),
            announcement_in(2, 2_100, 9, 300),
        ],
        expected: Some((9, 1_200)),
    },
    Case {
        name: "a late message from an earlier era is ignored",
        announcements: &[
            announcement_in(2, 2_100, 9, 300),
            announcement_in(1, 2_500, 900, 0),
        ],
        expected: Some((9, 1_200)),
    },
    Case {
        name: "a read from before the start of this process has no known age",
        announcements: &[announcement(100, 7, 900)],
        expected: None,
    },
];

#[test]
fn age_counts_from_the_earliest_announcement() {
    for case in &CASES {
        let marks = Marks::default();
        for announcement in case.announcements {
            let listed = Some(EndRead {
                end: announcement.end,
                age_ms: announcement.age_ms,
            });
            let message = StreamMarks {
                listed,
                ..StreamMarks::default()
            };
            marks.merge(&message, Millis(announcement.arrival_ms));
        }
        let read = marks.to_message(Millis(3_000)).listed;
        let read = read.map(|read| (read.end.offset, read.age_ms));
        assert_eq!(read, case.expected, "{}", case.name);
    }
}

/// Guards against a read that never ages because two processes keep passing it on to each other. They
/// exchange messages every 10 ms with a one-way latency of 150 ms.
#[test]
fn read_passed_on_in_a_cycle_ages() {
    let (near, far) = (Marks::default(), Marks::default());
    let read = StreamMarks {
        listed: Some(EndRead {
            end: Position::at(7),
            age_ms: 0,
        }),
        ..StreamMarks::default()
    };
    near.merge(&read, Millis(1_000));
    let latency = Millis(150);
    for sent in (1_000..4_000).step_by(10).map(Millis) {
        let (from_near, from_far) = (near.to_message(sent), far.to_message(sent));
        far.merge(&from_near, sent + latency);
        near.merge(&from_far, sent + latency);
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
