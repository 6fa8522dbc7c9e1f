//! Bytes that a client of this system reads over HTTP.
//!
//! They come from a peer on loopback over one kept connection; a thread of its own holds the
//! client. A panic ends that thread, which the next answer shows.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use super::{Broken, BrokenSnafu};

/// Time for one page.
pub(super) const SPAN: Duration = Duration::from_secs(10);

/// Asks the peer at an address for the page each time it is told to, and says what it read.
pub(super) type Ask<T> = fn(SocketAddr, &Receiver<()>, &Sender<T>);

/// A page, its peer and its reader.
pub(super) struct Page<T> {
    served: Arc<Mutex<Vec<u8>>>,
    asks: Sender<()>,
    said: Receiver<T>,
}

impl<T: Send + 'static> Page<T> {
    /// Page with its peer and its client started.
    pub(super) fn start(ask: Ask<T>) -> Self {
        let page = Arc::new(Mutex::new(Vec::new()));
        let (asks, asked) = channel();
        let (sender, said) = channel();
        if let Ok(listener) = TcpListener::bind("127.0.0.1:0")
            && let Ok(address) = listener.local_addr()
        {
            let served = Arc::clone(&page);
            thread::spawn(move || serve(&listener, &served));
            thread::spawn(move || ask(address, &asked, &sender));
        }
        Self {
            served: page,
            asks,
            said,
        }
    }

    /// What the client says of `page`.
    ///
    /// # Errors
    /// [`Broken`] if it says nothing.
    pub(super) fn read(&self, page: &[u8]) -> Result<T, Broken> {
        *self.served.lock().unwrap_or_else(PoisonError::into_inner) = page.to_vec();
        // A client that ended shows by its missing answer.
        let _ = self.asks.send(());
        self.said.recv_timeout(SPAN).map_err(|e| {
            let what = format!("no word on the page: {e}");
            BrokenSnafu { what }.build()
        })
    }
}

/// Answers each request with the page as it is then.
fn serve(listener: &TcpListener, page: &Mutex<Vec<u8>>) {
    for stream in listener.incoming().flatten() {
        // A connection that breaks is followed by another.
        let _ = serve_one(&stream, page);
    }
}

/// Answers at each blank line: the bodies of these requests are JSON on one line, and have none.
fn serve_one(stream: &TcpStream, page: &Mutex<Vec<u8>>) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut lines = BufReader::new(stream).lines();
    let mut writer = stream;
    while let Some(line) = lines.next().transpose()? {
        if !line.is_empty() {
            continue;
        }
        let body = page.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&body);
        writer.write_all(&bytes)?;
    }
    Ok(())
}
