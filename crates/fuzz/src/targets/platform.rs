//! The platform's JSON, read over HTTP as entries, sides and the command read it: the log's answers
//! to an append and a read, and the VM list.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc::{Receiver, Sender};
use std::time::Duration;

use pumicecleat_infra::{Appended, Batch, HttpLog, HttpVms, Log, Peers, VmList, Vms};
use pumicecleat_net::{Client, ClientOptions, Timer, run};
use serde_json::Value;

use super::page::{Page, SPAN};
use super::{Broken, Target, require};

/// What the clients made of one answer; `None` where they refused it.
pub(super) struct Said {
    appended: Option<Appended>,
    batch: Option<Batch>,
    vms: Option<VmList>,
}

/// An answer of the platform.
pub(super) struct PlatformAnswer(Page<Said>);

impl PlatformAnswer {
    /// Target with its peer and its clients started.
    pub(super) fn start() -> Self {
        Self(Page::start(ask))
    }
}

impl Target for PlatformAnswer {
    fn name(&self) -> &'static str {
        "platform"
    }

    fn weight(&self) -> u64 {
        1
    }

    fn samples(&self) -> Vec<Vec<u8>> {
        let batch = concat!(
            r#"{"records":[{"offset":3,"at":17,"data":"AAEC"},{"offset":4,"at":18,"data":""}],"#,
            r#""first":1,"next":5}"#
        );
        let vms = concat!(
            r#"{"vms":[{"vm":"a","role":"entry","state":"live","address":"10.0.0.1:7","centre":"#,
            r#""bp-a","region":"hu","pool":null},{"vm":"b","role":"upstream","state":"leaving","#,
            r#""address":"10.0.0.2:7","centre":"kecs","region":"hu","pool":"lm"}],"version":7}"#
        );
        let appended = r#"{"first":1,"at":2}"#;
        vec![appended.into(), batch.into(), vms.into()]
    }

    fn check(&self, input: &[u8]) -> Result<bool, Broken> {
        let said = self.0.read(input)?;
        let taken = said.appended.is_some() || said.batch.is_some() || said.vms.is_some();
        if !taken {
            return Ok(false);
        }
        // Fields that nobody reads may hold bytes that are no text.
        let Ok(text) = std::str::from_utf8(input) else {
            return Ok(true);
        };
        let value = serde_json::from_str(text);
        require(value.is_ok(), "taken, but no JSON")?;
        let value: Value = value.unwrap_or_default();
        if let Some(appended) = &said.appended {
            require(value["first"] == appended.first, "another first offset")?;
            require(value["at"] == appended.at, "another time")?;
        }
        if let Some(batch) = &said.batch {
            check_batch(&value, batch)?;
        }
        if let Some(vms) = &said.vms {
            let told = value["vms"].as_array().map_or(0, Vec::len);
            require(told == vms.vms.len(), "another count of VMs")?;
            require(value["version"] == vms.version, "another version")?;
        }
        Ok(true)
    }
}

/// Neither more nor fewer records than were told, nor others.
fn check_batch(value: &Value, batch: &Batch) -> Result<(), Broken> {
    require(value["first"] == batch.first, "another oldest offset")?;
    require(value["next"] == batch.next, "another next offset")?;
    let records = value["records"].as_array().map_or(0, Vec::len);
    require(records == batch.records.len(), "another count of records")?;
    for (n, record) in batch.records.iter().enumerate() {
        let told = &value["records"][n];
        require(told["offset"] == record.offset, "another offset")?;
        require(told["at"] == record.at, "another time of a record")?;
    }
    Ok(())
}

/// Reads the page as each kind of answer whenever it is asked to.
fn ask(address: SocketAddr, asked: &Receiver<()>, said: &Sender<Said>) {
    let loop_ended = run(async {
        let client = Client::new_ext(ClientOptions::default(), &Timer::start());
        let peers = Peers::parse(&address.to_string());
        let log = HttpLog::new(&client, peers.clone(), SPAN);
        let vms = HttpVms::new(&client, peers, SPAN);
        while asked.recv().is_ok() {
            let read = Said {
                appended: log.append("s", vec![vec![1]]).await.ok(),
                batch: log.read("s", 0, 9, Duration::ZERO).await.ok(),
                vms: vms.list(None).await.ok().map(Rc::unwrap_or_clone),
            };
            if said.send(read).is_err() {
                return;
            }
        }
    });
    // Without a loop there are no answers, which each check reports.
    let _ = loop_ended;
}
