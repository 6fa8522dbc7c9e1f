//! Threads and what they cost, from the system's own accounts.

use std::fs;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use pumicecleat_net::run;

/// A part's loop on a thread of its own, for the life of the process.
pub(crate) struct Part<T> {
    /// What the part told of itself once started.
    pub(crate) told: T,
    id: u64,
}

impl<T: Send + 'static> Part<T> {
    /// Starts `part` on a loop; it must send what it has to tell, once, and go on for ever.
    pub(crate) fn start<F>(
        name: &str,
        part: impl FnOnce(mpsc::Sender<T>) -> F + Send + 'static,
    ) -> Self
    where
        F: Future<Output = ()>,
    {
        let (sender, told) = mpsc::channel();
        let (id_sender, id) = mpsc::channel();
        let body = move || {
            // The reader waits for both before it goes on.
            let _ = id_sender.send(thread_id());
            let ended = run(part(sender));
            ended.expect("a loop starts where others have");
        };
        let named = thread::Builder::new().name(name.to_owned());
        named.spawn(body).expect("a thread starts");
        Self {
            id: id.recv().expect("the thread tells its id"),
            told: told.recv().expect("the part starts"),
        }
    }

    /// Processor time so far.
    pub(crate) fn time(&self) -> Duration {
        time_in(&self.folder())
    }

    /// Time so far that it was ready to run and had no core.
    pub(super) fn wait(&self) -> Duration {
        wait_in(&self.folder())
    }

    fn folder(&self) -> String {
        format!("/proc/self/task/{}", self.id)
    }
}

/// Id of this thread in the system's accounts.
fn thread_id() -> u64 {
    let link = fs::read_link("/proc/thread-self").unwrap_or_default();
    let last = link.file_name().and_then(|n| n.to_str().map(str::to_owned));
    last.and_then(|n| n.parse().ok()).unwrap_or(0)
}

/// Processor time so far of the thread with this folder of the system's accounts.
pub(super) fn time_in(folder: &str) -> Duration {
    account_in(folder, 0)
}

/// Time so far that the thread was ready to run and had no core.
pub(super) fn wait_in(folder: &str) -> Duration {
    account_in(folder, 1)
}

fn account_in(folder: &str, place: usize) -> Duration {
    let text = fs::read_to_string(format!("{folder}/schedstat")).unwrap_or_default();
    let word = text.split_whitespace().nth(place);
    Duration::from_nanos(word.and_then(|w| w.parse().ok()).unwrap_or(0))
}

/// Resident memory of the process, bytes.
pub(crate) fn resident() -> u64 {
    resident_in("/proc/self")
}

/// Resident memory of the process with this folder of the system's accounts, bytes.
pub(super) fn resident_in(folder: &str) -> u64 {
    let text = fs::read_to_string(format!("{folder}/statm")).unwrap_or_default();
    let pages = text
        .split_whitespace()
        .nth(1)
        .and_then(|w| w.parse::<u64>().ok());
    pages.unwrap_or(0) * 4096
}
