//! Bounds of the retry budget: over any period, retries never exceed the burst plus the share of
//! requests.

use proptest::prelude::*;
use pumicecleat_policy::{RetryBudget, RetryBudgetOptions};

proptest! {
    #[test]
    fn retries_are_bounded_over_any_stretch(
        percent in 0..100_u32,
        burst in 0..20_u32,
        requests in prop::collection::vec(any::<bool>(), 0..300),
        from in 0..300_usize,
    ) {
        let mut budget = RetryBudget::new_ext(RetryBudgetOptions { percent, burst });
        let (mut seen, mut retried) = (0, 0);
        for (n, &request) in requests.iter().enumerate() {
            let granted = !request && budget.try_retry();
            if request {
                budget.record_request();
            }
            if n >= from {
                seen += u32::from(request);
                retried += u32::from(granted);
            }
        }
        prop_assert!(retried * 100 <= burst * 100 + seen * percent);
    }

    #[test]
    fn steady_failures_get_their_share(percent in 1..100_u32, burst in 2..20_u32) {
        let mut budget = RetryBudget::new_ext(RetryBudgetOptions { percent, burst });
        let granted = (0..1_000).filter(|_| {
            budget.record_request();
            budget.try_retry()
        });
        let granted = u32::try_from(granted.count()).unwrap();
        prop_assert!(granted >= 10 * percent);
    }
}
