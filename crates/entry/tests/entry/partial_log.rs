//! An entry that has read only a part of the log.

use std::rc::Rc;
use std::time::Duration;

use pumicecleat_entry::EntryContext;
use pumicecleat_infra::{AppendError, Appended, Batch, Local, Log, ReadError};

use crate::fixture::{Fixture, config_with, run_test};

/// A log that returns its first record and then never answers.
struct FirstRecordOnly(Rc<dyn Log>);

impl Log for FirstRecordOnly {
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

/// A starting entry must not become ready with the older revision of an entry that is itself behind
/// the log.
#[test]
fn an_entry_behind_the_log_gives_peers_no_configuration() {
    run_test(|| async {
        let mut fixture = Fixture::new().await;
        fixture
            .apply_config(&config_with(
                "[adapter.more]\nbase = 'magyar-7b'\nversion.v1.path = 'm'\n",
            ))
            .await;
        let context = EntryContext {
            log_service: Rc::new(FirstRecordOnly(fixture.log_service())),
            vm_list: None,
        };
        let behind = fixture.start_with_context(&[], &context);
        fixture.wait_until(|| behind.entry.revision() == 1).await;
        fixture.log.inject(|f| f.down = true);
        let peer = behind.entry.addresses().peers.to_string();
        let starting = fixture.start(&["--peers", &peer]);
        fixture.timer.sleep(Duration::from_secs(2)).await;
        assert!(!behind.entry.is_ready());
        assert!(!starting.entry.is_ready());
        assert_eq!(starting.entry.revision(), 0);
    });
}
