//! Determines the instance name of the engine.
//!
//! The engine's report does not contain it, but the list of upstreams does. The list changes all the time, so
//! it is not followed: it is read when a gateway or a relay names an instance other than the known one, and
//! occasionally while none is known. Reading it every 0.4 s whenever the instance was uncertain accounted for
//! 1,520 of the 5,700 calls made by 185 processes in 58 s.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use pumicecleat_catalog::{Change, RecordDecoder, Standing, Topic, UnreadableKeys, Upstream};
use pumicecleat_infra::KeyedLog;
use pumicecleat_ops::{events, field};

use crate::shared::Shared;

/// Minimum interval between reads of the list. An engine is listed about a second after its start.
const MIN_LOOKUP_INTERVAL: Duration = Duration::from_millis(400);

/// Maximum interval between reads while the instance is not known and no other process names one. Gateways read
/// the list several times within it.
const MAX_LOOKUP_INTERVAL: Duration = Duration::from_secs(4);

/// Reads the list whenever the instance is unknown or uncertain. Never returns.
pub(crate) async fn find_instance(
    shared: Rc<Shared>,
    store: Rc<dyn KeyedLog>,
    decoder: Rc<dyn RecordDecoder>,
) {
    let unreadable = RefCell::new(UnreadableKeys::default());
    loop {
        // Looks the instance up in either case, whether one was named or the time has elapsed.
        let _ = shared
            .timer
            .within(MAX_LOOKUP_INTERVAL, shared.instance_claimed.notified())
            .await;
        if shared.needs_instance_lookup() {
            match store.newest(decoder.stream(Topic::Upstreams)).await {
                Ok(newest) => {
                    let decode = |r| match decoder.decode(Topic::Upstreams, r) {
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
                        .filter_map(|r| Some((r.offset, decode(r)?)))
                        .collect();
                    listed.retain(|(_, u)| shared.is_own_entry(u) && u.standing == Standing::Ready);
                    let latest = listed.into_iter().max_by_key(|(offset, _)| *offset);
                    if let Some((_, upstream)) = latest {
                        shared.set_listed_instance(&upstream.instance);
                    }
                }
                Err(e) => {
                    let stream = decoder.stream(Topic::Upstreams);
                    let fields = [field("stream", stream), field("error", &e)];
                    shared.log.emit(&events::STORE_LOST, &fields);
                }
            }
        }
        shared.timer.sleep(MIN_LOOKUP_INTERVAL).await;
    }
}
