//! Time until gateways refuse a key that was taken away.

use std::time::Duration;

use pumicecleat_gateway::RevokeBudget;

/// Guards against bounds that add up to more than the revoke span, and against keys that are refused because one
/// read is lost.
#[test]
fn keys_end_within_the_revoke_span_and_not_for_one_lost_read() {
    for ms in [1_000, 2_000, 5_000, 10_000, 60_000] {
        let span = Duration::from_millis(ms);
        let budget = RevokeBudget::new(span);
        // Two clocks whose rates differ by one in a hundred.
        let worst_case = budget.max_age.mul_f64(1.01) + Duration::from_millis(1);
        assert!(worst_case <= span, "{worst_case:?} of {span:?}");
        let one_lost = 2 * budget.interval + budget.answer_timeout;
        assert!(one_lost < budget.max_age, "{one_lost:?} of {span:?}");
        assert!(budget.told_age < budget.interval, "{span:?}");
    }
}
