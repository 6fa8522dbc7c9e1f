//! Bytes of a report and its reply with their HTTP heads, as they pass a socket.

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use pumicecleat_net::{Client, ClientOptions, Timer, post, run};
use pumicecleat_types::ReportReply;
use serde::Serialize;

use crate::json::print;
use crate::slopes::fleet::report;

/// Silence after which a message is at its end.
const SILENCE: Duration = Duration::from_millis(300);

/// A report without residency, and its reply.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Wire {
    measure: &'static str,
    part: &'static str,
    figure: &'static str,
    request: usize,
    reply: usize,
}

impl Wire {
    /// Prints the line, and gives the bytes of both together.
    pub(super) fn print(self) -> f64 {
        print(&self);
        f64::from(u32::try_from(self.request + self.reply).unwrap_or(u32::MAX))
    }
}

/// Sends what the client sends, byte by byte the same, to the entry at `peer`.
pub(super) fn measure(peer: &str) -> std::io::Result<Wire> {
    let request = capture()?;
    let mut socket = TcpStream::connect(peer)?;
    socket.write_all(&request)?;
    let reply = read_on(&mut socket)?;
    Ok(Wire {
        measure: "slopes",
        part: "idle",
        figure: "bytes of a report and its reply with heads",
        request: request.len(),
        reply: reply.len(),
    })
}

/// What the client writes for a report.
fn capture() -> std::io::Result<Vec<u8>> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let peer = listener.local_addr()?.to_string();
    let sender = thread::spawn(move || run(send(peer)));
    let (mut socket, _) = listener.accept()?;
    let request = read_on(&mut socket)?;
    // The client gets no answer, by design.
    let _ = sender.join();
    Ok(request)
}

async fn send(peer: String) {
    let timer = Timer::start();
    let client = Client::new_ext(ClientOptions::default(), &timer);
    let message = report(1_234, 100, false);
    let path = "/peer/v1/report";
    let _ = post::<_, ReportReply>(&client, &peer, path, &message, SILENCE * 2).await;
}

fn read_on(socket: &mut TcpStream) -> std::io::Result<Vec<u8>> {
    socket.set_read_timeout(Some(SILENCE))?;
    let mut all = Vec::new();
    let mut piece = [0; 4_096];
    while let Ok(count @ 1..) = socket.read(&mut piece) {
        all.extend_from_slice(&piece[..count]);
    }
    Ok(all)
}
