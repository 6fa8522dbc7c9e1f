//! Time until gateways stop sending requests to a leaving upstream.

use std::time::Duration;

use pumicecleat_catalog::LeaveBudget;

/// Margin for network latency between data centres and for a busy process.
const MARGIN: Duration = Duration::from_millis(50);

/// Guards against bounds that add up to more than the leave span.
#[test]
fn worst_case_is_within_the_leave_span() {
    for ms in [2_000, 3_000, 4_000] {
        let span = Duration::from_millis(ms);
        let worst_case = LeaveBudget::new(span).worst_case();
        assert!(worst_case + MARGIN <= span, "{worst_case:?} of {span:?}");
    }
}
