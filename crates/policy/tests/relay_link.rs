//! Who gathers figures for whom: agreement without a word, and passing over what fails.

use std::net::SocketAddr;

use pumicecleat_policy::{RelayPick, RelaySelector, members_digest};
use pumicecleat_types::{DataCentre, Member, Millis, Seen, ViewReply};

fn members() -> Vec<Member> {
    let member = |n: u16| Member {
        instance: format!("i-{n}"),
        centre: DataCentre::from(if n.is_multiple_of(3) { "a" } else { "b" }),
        side: SocketAddr::from(([10, 0, 0, 1], 9_000 + n)),
    };
    (0..30).map(member).collect()
}

fn pick(link: &RelaySelector, members: &[Member], now: u64) -> RelayPick {
    let near = |m: &Member| m.centre.as_str() == "a";
    let digest = members_digest(members);
    link.pick(members, digest, near, Millis(now)).unwrap()
}

fn reply(unknown: bool) -> ViewReply {
    ViewReply {
        unknown,
        seen: Seen { start: 7, count: 9 },
        ..ViewReply::default()
    }
}

#[test]
fn entries_of_a_data_centre_agree_whatever_the_order_of_their_lists() {
    let all = members();
    let mut turned = all.clone();
    turned.reverse();
    let link = RelaySelector::default();
    let one = &all[pick(&link, &all, 0).index];
    let other = &turned[pick(&link, &turned, 0).index];
    assert_eq!(one, other);
    assert_eq!(one.centre.as_str(), "a");
}

#[test]
fn a_relay_that_failed_is_passed_over_for_a_while_and_then_asked_again() {
    let all = members();
    let mut link = RelaySelector::default();
    let first = pick(&link, &all, 0);
    link.record_failure(first.key, Millis(0));
    let second = pick(&link, &all, 10);
    assert_ne!(first.key, second.key);
    assert_eq!(all[second.index].centre.as_str(), "a");
    assert_eq!(pick(&link, &all, 1_999).key, second.key);
    assert_eq!(pick(&link, &all, 2_000).key, first.key);
}

#[test]
fn where_all_near_ones_failed_another_data_centre_is_asked() {
    let all = members();
    let mut link = RelaySelector::default();
    for _ in 0..10 {
        let near = pick(&link, &all, 0);
        assert_eq!(all[near.index].centre.as_str(), "a");
        link.record_failure(near.key, Millis(0));
    }
    let far = pick(&link, &all, 0);
    assert_eq!(all[far.index].centre.as_str(), "b");
}

#[test]
fn members_are_told_once_to_each_relay_and_again_when_they_change() {
    let mut all = members();
    let mut link = RelaySelector::default();
    let first = pick(&link, &all, 0);
    assert!(first.send_members);
    assert_eq!(first.seen, Seen::default());
    link.record_reply(first.key, members_digest(&all), &reply(false));
    let again = pick(&link, &all, 200);
    assert!(!again.send_members);
    assert_eq!(again.seen, Seen { start: 7, count: 9 });
    all.pop();
    assert!(pick(&link, &all, 400).send_members, "another list");
    let mut forgot = link.clone();
    forgot.record_reply(first.key, members_digest(&all), &reply(true));
    assert!(pick(&forgot, &all, 600).send_members, "it started again");
    link.record_failure(first.key, Millis(600));
    let next = pick(&link, &all, 600);
    assert!(next.send_members, "another relay");
    assert_eq!(next.seen, Seen::default());
}

#[test]
fn few_engines_are_asked_without_a_relay() {
    assert!(!RelaySelector::is_needed(9));
    assert!(RelaySelector::is_needed(39));
}
