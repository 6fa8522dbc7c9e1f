//! An adapter in use is not evicted, even if another process uses it.

mod bench;

use bench::{Bench, is_whole, with_bench};
use pumicecleat_net::run;
use pumicecleat_types::Millis;

/// More tokens than the engine generates during the test.
const TOKENS: u32 = 4_000;

/// Age of the engine's load figures, in milliseconds.
const METRICS_LAG_MS: u64 = 1_500;

/// An earlier side that still runs, or an operator's own request, uses an adapter that this side
/// takes for idle.
#[test]
fn what_another_runs_at_the_engine_is_not_evicted() {
    with_bench(|bench| async move {
        let earlier = bench.ready_model_side("vm-1").await;
        bench
            .frames(&earlier, &bench.chat("warm", "a", 1, false))
            .await;
        let side = bench.ready_model_side("vm-2").await;
        let mut reader = bench
            .send(&earlier, &bench.chat("long", "a", TOKENS, true))
            .await;
        bench.next(&mut reader).await.unwrap();
        for adapter in ["b", "c", "b", "c"] {
            let frames = bench
                .frames(&side, &bench.chat(adapter, adapter, 2, false))
                .await;
            assert!(is_whole(&frames), "{adapter}: {frames:?}");
        }
        let effects = bench.effects(bench.engine.address).await;
        let runs = effects["runs"].as_array().unwrap();
        assert!(runs.iter().any(|r| r["state"] == "running"), "{effects}");
        assert_eq!(effects["counters"]["evicted_in_use"], 0, "{effects}");
    });
}

/// The load figures that tell a new side which requests run are older than its start.
#[test]
fn a_restarted_side_waits_for_figures_that_lag() {
    run(async {
        let bench = Bench::start_lagging(METRICS_LAG_MS);
        let earlier = bench.ready_model_side("vm-1").await;
        let warm = bench.chat("warm", "a", 1, false);
        bench.frames(&earlier, &warm).await;
        let long = bench.chat("long", "a", TOKENS, true);
        let mut reader = bench.send(&earlier, &long).await;
        bench.next(&mut reader).await.unwrap();
        let side = bench.ready_model_side("vm-2").await;
        let end = bench.timer.now() + Millis(2 * METRICS_LAG_MS);
        while bench.timer.now() < end {
            for adapter in ["b", "c"] {
                let attempt = bench.chat(adapter, adapter, 2, false);
                let frames = bench.frames(&side, &attempt).await;
                assert!(is_whole(&frames), "{adapter}: {frames:?}");
            }
        }
        let effects = bench.effects(bench.engine.address).await;
        assert_eq!(effects["counters"]["evicted_in_use"], 0, "{effects}");
    })
    .unwrap();
}
