//! Selection of relays: agreement without communication, and skipping relays that failed.

use std::net::SocketAddr;

use pumicecleat_policy::{RelayPick, RelaySelector, members_digest};
use pumicecleat_types::{ChangeCursor, DataCentre, Member, Millis, ViewReply};

fn members() -> Vec<Member> {
    let member = |n: u16| Member {
        instance: format!("i-{n}"),
        centre: DataCentre::from(if n.is_multiple_of(3) { "a" } else { "b" }),
        side: SocketAddr::from(([10, 0, 0, 1], 9_000 + n)),
    };
    (0..30).map(member).collect()
}

fn pick(selector: &RelaySelector, members: &[Member], now: u64) -> RelayPick {
    let near = |m: &Member| m.centre.as_str() == "a";
    let digest = members_digest(members);
    selector.pick(members, digest, near, Millis(now)).unwrap()
}

fn reply(unknown: bool) -> ViewReply {
    ViewReply {
        unknown,
        seen: ChangeCursor { start: 7, count: 9 },
        ..ViewReply::default()
    }
}

#[test]
fn gateways_of_a_data_centre_agree_on_a_relay_whatever_the_order_of_members() {
    let all = members();
    let mut reversed = all.clone();
    reversed.reverse();
    let selector = RelaySelector::default();
    let one = &all[pick(&selector, &all, 0).index];
    let other = &reversed[pick(&selector, &reversed, 0).index];
    assert_eq!(one, other);
    assert_eq!(one.centre.as_str(), "a");
}

#[test]
fn a_failed_relay_is_skipped_for_a_while_and_then_selected_again() {
    let all = members();
    let mut selector = RelaySelector::default();
    let first = pick(&selector, &all, 0);
    selector.record_failure(first.key, Millis(0));
    let second = pick(&selector, &all, 10);
    assert_ne!(first.key, second.key);
    assert_eq!(all[second.index].centre.as_str(), "a");
    assert_eq!(pick(&selector, &all, 1_999).key, second.key);
    assert_eq!(pick(&selector, &all, 2_000).key, first.key);
}

#[test]
fn a_relay_in_another_data_centre_is_selected_if_all_near_ones_failed() {
    let all = members();
    let mut selector = RelaySelector::default();
    for _ in 0..10 {
        let near = pick(&selector, &all, 0);
        assert_eq!(all[near.index].centre.as_str(), "a");
        selector.record_failure(near.key, Millis(0));
    }
    let far = pick(&selector, &all, 0);
    assert_eq!(all[far.index].centre.as_str(), "b");
}

#[test]
fn members_are_sent_once_to_each_relay_and_again_after_a_change() {
    let mut all = members();
    let mut selector = RelaySelector::default();
    let first = pick(&selector, &all, 0);
    assert!(first.send_members);
    assert_eq!(first.seen, ChangeCursor::default());
    selector.record_reply(first.key, members_digest(&all), &reply(false));
    let again = pick(&selector, &all, 200);
    assert!(!again.send_members);
    assert_eq!(again.seen, ChangeCursor { start: 7, count: 9 });
    all.pop();
    assert!(
        pick(&selector, &all, 400).send_members,
        "the members changed"
    );
    let mut restarted = selector.clone();
    restarted.record_reply(first.key, members_digest(&all), &reply(true));
    assert!(
        pick(&restarted, &all, 600).send_members,
        "the relay restarted"
    );
    selector.record_failure(first.key, Millis(600));
    let next = pick(&selector, &all, 600);
    assert!(next.send_members, "another relay was selected");
    assert_eq!(next.seen, ChangeCursor::default());
}

#[test]
fn no_relay_is_needed_for_few_engines() {
    assert!(!RelaySelector::is_needed(9));
    assert!(RelaySelector::is_needed(39));
}
