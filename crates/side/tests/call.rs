//! A side that was told to wait bids again as soon as the entry calls for a bid.

mod bench;

use bench::Bench;
use pumicecleat_net::run;
use pumicecleat_types::Frame;

#[test]
fn bids_when_called() {
    run(async {
        let bench = Bench::start();
        let side = bench.model_side("vm-1");
        bench.until_healthy("vm-1").await;
        assert!(!bench.call_for_bid(&side).await, "no load is needed");
        bench.seen.borrow_mut().wait_ms = Some(3_600_000);
        let mut reader = bench.send(&side, &bench.chat("r", "a", 2, false)).await;
        bench.until(|seen| seen.bids.len() == 1).await;
        bench.seen.borrow_mut().wait_ms = None;
        // The answer to the first bid may not have reached the side yet.
        while bench.seen.borrow().bids.len() == 1 {
            assert!(bench.call_for_bid(&side).await, "a load is needed");
        }
        let mut last = None;
        while let Some(frame) = bench.next(&mut reader).await {
            last = Some(frame);
        }
        assert!(matches!(last, Some(Frame::End { .. })), "{last:?}");
    })
    .unwrap();
}
