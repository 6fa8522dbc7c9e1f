//! A side that is behind its entry's configuration catches up before it decides.

mod bench;

use bench::{is_whole, with_bench};

const MORE: &str = "
[adapter.d]
base = 'm'
version.v1.path = 'd/v1'
";

#[test]
fn an_attempt_of_a_newer_revision_is_decided_by_it() {
    with_bench(|bench| async move {
        let side = bench.ready_model_side("vm-1").await;
        bench.declare_more(MORE);
        let attempt = bench.chat("r", "d", 2, false);
        assert_eq!(attempt.head.revision, 2);
        let frames = bench.frames(&side, &attempt).await;
        assert!(is_whole(&frames), "{frames:?}");
    });
}
