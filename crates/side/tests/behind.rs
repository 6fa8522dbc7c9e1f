//! A side with an older configuration than an attempt's revision refreshes it before it admits the
//! attempt.

mod bench;

use bench::{is_whole, with_bench};

const ADDED_ADAPTER: &str = "
[adapter.d]
base = 'm'
version.v1.path = 'd/v1'
";

#[test]
fn an_attempt_of_a_newer_revision_is_decided_by_it() {
    with_bench(|bench| async move {
        let side = bench.ready_model_side("vm-1").await;
        bench.declare_more(ADDED_ADAPTER);
        let attempt = bench.chat("r", "d", 2, false);
        assert_eq!(attempt.head.revision, 2);
        let frames = bench.frames(&side, &attempt).await;
        assert!(is_whole(&frames), "{frames:?}");
    });
}
