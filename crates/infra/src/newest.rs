//! Reads of the newest records of a stream, by several requests while the first ones are not answered.
//!
//! A log may be slow because many processes read at once, for example after all of them were restarted. A request that
//! is given up then still occupies the log. If each process gave up after the same time and asked again, the log would
//! answer only requests that nobody waits for. A request without a response is therefore kept while the next one is
//! sent. The next one uses another connection, so that a silent connection delays the read only until then.

use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use pumicecleat_net::Timer;

use crate::{KeyedLog, NewestRecords, ReadError};

/// Time without a response after which the next request is sent. It bounds how late a process notices that a silent log
/// answers again. Further pages queue behind the second requests of other processes, so it is long.
const DELAY: Duration = Duration::from_millis(2_800);

/// Timeout of each page of a response: the log may serve each process this late. It keeps at most three requests in
/// progress.
const TIMEOUT: Duration = Duration::from_millis(8_400);

/// Reads the newest records of `stream`. Waits for a log that does not respond.
///
/// # Errors
/// [`ReadError::Failed`], including the step and the peer, if the log responds with an error.
pub async fn read_newest(
    log: Rc<dyn KeyedLog>,
    stream: String,
    timer: Timer,
) -> Result<NewestRecords, ReadError> {
    let mut requests = FuturesUnordered::new();
    requests.push(log.newest(&stream, TIMEOUT));
    loop {
        match timer.within(DELAY, requests.next()).await {
            Ok(Some(Ok(newest))) => return Ok(newest),
            Ok(Some(Err(e))) if requests.is_empty() => return Err(e),
            // An earlier request is still in progress.
            Ok(_) => {}
            Err(_) => {
                requests.push(log.newest(&stream, TIMEOUT));
            }
        }
    }
}
