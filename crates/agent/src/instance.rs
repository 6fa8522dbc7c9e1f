//! Which instance the engine is.
//!
//! The engine's report does not say it, the list of upstreams does. The list never rests, so it is
//! not followed here: it is read when a gateway or a relay names another instance than the one known,
//! and now and then while none is known. Read each 0.4 s in doubt, it took 1,520 of the 5,700 calls of
//! 185 processes in 58 s.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use pumicecleat_catalog::{Change, RecordDecoder, Standing, Topic, UnreadableKeys, Upstream};
use pumicecleat_infra::KeyedLog;
use pumicecleat_ops::{events, field};

use crate::shared::Shared;

/// Pause between two reads of the list. An engine shows up there a second or so after its start.
const LOOK: Duration = Duration::from_millis(400);

/// Longest time without a read while the instance is not known and nobody names one: gateways read the
/// list several times in it.
const UNNAMED: Duration = Duration::from_secs(4);

/// Reads the list whenever the instance is in doubt, for good.
pub(crate) async fn find_instance(
    shared: Rc<Shared>,
    store: Rc<dyn KeyedLog>,
    decoder: Rc<dyn RecordDecoder>,
) {
    let unreadable = RefCell::new(UnreadableKeys::default());
    loop {
        // Whether somebody named one or the time is over, it is looked for.
        let _ = shared.timer.within(UNNAMED, shared.naming.rung()).await;
        if shared.in_doubt() {
            match store.newest(decoder.stream(Topic::Upstreams)).await {
                Ok(newest) => {
                    let read = |r| match decoder.decode(Topic::Upstreams, r) {
                        Ok(Change::Upstream(upstream)) => Some(upstream),
                        Ok(_) => None,
                        Err(e) => {
                            unreadable.borrow_mut().log_once(&e, &shared.log);
                            None
                        }
                    };
                    let mut listed: Vec<(u64, Upstream)> = newest
                        .records
                        .iter()
                        .filter_map(|r| Some((r.offset, read(r)?)))
                        .collect();
                    listed.retain(|(_, u)| shared.is_own(u) && u.standing == Standing::Ready);
                    let latest = listed.into_iter().max_by_key(|(offset, _)| *offset);
                    if let Some((_, upstream)) = latest {
                        shared.found(&upstream.instance);
                    }
                }
                Err(e) => {
                    let stream = decoder.stream(Topic::Upstreams);
                    let fields = [field("stream", stream), field("error", &e)];
                    shared.log.emit(&events::STORE_LOST, &fields);
                }
            }
        }
        shared.timer.sleep(LOOK).await;
    }
}
