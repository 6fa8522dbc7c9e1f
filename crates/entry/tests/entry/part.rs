//! An entry that has read a part of the log only.

use std::rc::Rc;
use std::time::Duration;

use pumicecleat_entry::EntryContext;
use pumicecleat_infra::{AppendError, Appended, Batch, Local, Log, ReadError};

use crate::world::{World, case, config_with};

/// A log that gives its first record and nothing more.
struct Broken(Rc<dyn Log>);

impl Log for Broken {
    fn append<'a>(
        &'a self,
        stream: &'a str,
        records: Vec<Vec<u8>>,
    ) -> Local<'a, Result<Appended, AppendError>> {
        self.0.append(stream, records)
    }

    fn read<'a>(
        &'a self,
        stream: &'a str,
        from: u64,
        _: u32,
        wait: Duration,
    ) -> Local<'a, Result<Batch, ReadError>> {
        if from > 0 {
            return Box::pin(std::future::pending());
        }
        self.0.read(stream, from, 1, wait)
    }
}

/// Its older revision makes nobody ready.
#[test]
fn an_entry_that_has_read_a_part_tells_no_other_its_state() {
    case(|| async {
        let mut world = World::new().await;
        world
            .apply(&config_with(
                "[adapter.more]\nbase = 'magyar-7b'\nversion.v1.path = 'm'\n",
            ))
            .await;
        let parts = EntryContext {
            log_service: Rc::new(Broken(world.records())),
            vm_list: None,
        };
        let behind = world.start_with(&[], &parts);
        world.until(|| behind.entry.revision() == 1).await;
        world.log.inject(|f| f.down = true);
        let peer = behind.entry.addresses().peers.to_string();
        let starter = world.start(&["--peers", &peer]);
        world.timer.sleep(Duration::from_secs(2)).await;
        assert!(!behind.entry.is_ready());
        assert!(!starter.entry.is_ready());
        assert_eq!(starter.entry.revision(), 0);
    });
}
