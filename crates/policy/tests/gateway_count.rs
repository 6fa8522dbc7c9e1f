//! Number of gateways among which limits are divided.

use pumicecleat_policy::GatewayCount;
use pumicecleat_types::Millis;

const WINDOW: Millis = Millis(10_000);
const MIN_SHARES: u32 = 8;

struct Case {
    name: &'static str,
    /// Times and counts of the reports.
    reports: &'static [(u64, u32)],
    sharers: u32,
    slack_shares: u32,
}

const CASES: [Case; 6] = [
    Case {
        name: "before the first report",
        reports: &[],
        sharers: MIN_SHARES,
        slack_shares: MIN_SHARES,
    },
    Case {
        name: "fewer than the minimum",
        reports: &[(100, 5)],
        sharers: 5,
        slack_shares: MIN_SHARES,
    },
    Case {
        name: "agents that have just started know fewer",
        reports: &[(100, 20), (300, 3), (5_000, 7)],
        sharers: 20,
        slack_shares: 20,
    },
    Case {
        name: "gateways are added",
        reports: &[(100, 9), (300, 30)],
        sharers: 30,
        slack_shares: 30,
    },
    Case {
        name: "gateways left, or this one is cut off from others",
        reports: &[(100, 20), (8_000, 10), (12_000, 10), (40_000, 10)],
        sharers: 10,
        slack_shares: 20,
    },
    Case {
        name: "back after a cut",
        reports: &[(100, 20), (12_000, 10), (30_000, 20)],
        sharers: 20,
        slack_shares: 20,
    },
];

/// Guards against a larger share of what is saved up for a gateway that is cut off from others.
#[test]
fn a_lower_count_raises_no_share_of_what_is_saved_up() {
    for case in CASES {
        let mut count = GatewayCount::new(MIN_SHARES, WINDOW);
        for (at, reported) in case.reports {
            count.record_report(*reported, Millis(*at));
        }
        let shares = (count.sharers(), count.slack_shares());
        assert_eq!(shares, (case.sharers, case.slack_shares), "{}", case.name);
    }
}
