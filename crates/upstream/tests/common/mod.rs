//! Peers that send fixed responses.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use pumicecleat_net::{Client, ClientOptions, Timer, run};

pub const TIMEOUT: Duration = Duration::from_secs(5);

/// Runs `test` with a client.
pub fn with_client<F: Future<Output = ()>>(test: impl FnOnce(Client) -> F) {
    run(async {
        let timer = Timer::start();
        test(Client::new_ext(ClientOptions::default(), &timer)).await;
    })
    .unwrap();
}

/// Address without a listener.
pub fn closed_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap().to_string()
}

/// Starts a peer that reads one complete request, sends `reply` and closes the connection. Its
/// thread returns the request.
pub fn respond_once(reply: impl Into<Vec<u8>>) -> (SocketAddr, thread::JoinHandle<String>) {
    let reply = reply.into();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let peer = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let request = read_request(&mut stream);
        stream.write_all(&reply).unwrap();
        request
    });
    (address, peer)
}

fn read_request(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    while !is_complete(&bytes) {
        let n = stream.read(&mut buffer).unwrap();
        assert!(n > 0, "connection closed within the request");
        bytes.extend_from_slice(&buffer[..n]);
    }
    String::from_utf8(bytes).unwrap()
}

fn is_complete(bytes: &[u8]) -> bool {
    let text = String::from_utf8_lossy(bytes).to_lowercase();
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let length = head.split("content-length: ").nth(1);
    let length = length.and_then(|l| l.lines().next());
    body.len() >= length.map_or(0, |l| l.parse().unwrap())
}
