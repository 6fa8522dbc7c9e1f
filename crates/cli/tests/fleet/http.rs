//! A caller that blocks: one request a connection.

use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::TcpStream;

use super::{KEY, SPAN};

/// An answer.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: String,
    /// The body came to its proper end.
    pub whole: bool,
}

impl Answer {
    /// Body as JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// Text of a chat answer.
    pub fn text(&self) -> String {
        let value = self.json();
        value["choices"][0]["message"]["content"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }

    /// Text of a streamed chat answer.
    pub fn streamed(&self) -> String {
        let data = self.body.lines().filter_map(|l| l.strip_prefix("data: "));
        let chunks = data.filter_map(|d| serde_json::from_str::<serde_json::Value>(d).ok());
        let texts = chunks.filter_map(|c| {
            c["choices"][0]["delta"]["content"]
                .as_str()
                .map(str::to_owned)
        });
        texts.collect()
    }

    /// Whether the request ran, by an error's word.
    pub fn ran(&self) -> String {
        self.json()["error"]["ran"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }

    /// Code of an error.
    pub fn code(&self) -> String {
        self.json()["error"]["code"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }

    /// Value of a header, its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let lines = self.head.lines().filter_map(|l| l.split_once(": "));
        let mut values = lines.filter(|(n, _)| n.eq_ignore_ascii_case(name));
        values.next().map(|(_, value)| value)
    }

    /// Whether the head has a header.
    pub fn has(&self, header: &str) -> bool {
        self.head.to_lowercase().contains(&format!("\r\n{header}:"))
    }
}

/// GET.
pub fn get(peer: &str, path: &str) -> Answer {
    exchange(peer, "GET", path, &[], "")
}

/// POST with the sample's bearer key.
pub fn post(peer: &str, path: &str, headers: &[(&str, &str)], body: &str) -> Answer {
    exchange(peer, "POST", path, headers, body)
}

/// A request whose answer is read bit by bit.
pub struct Live {
    stream: TcpStream,
    bytes: Vec<u8>,
}

impl Live {
    /// Sends a POST and reads nothing yet.
    pub fn post(peer: &str, path: &str, body: &str) -> Self {
        Self::try_post(peer, path, body).unwrap()
    }

    /// The same, if the peer takes it.
    pub fn try_post(peer: &str, path: &str, body: &str) -> Option<Self> {
        let mut stream = TcpStream::connect(peer).ok()?;
        stream.set_read_timeout(Some(SPAN)).ok()?;
        let head = head_of(peer, "POST", path, &[], body);
        let request = format!("{head}\r\n{body}");
        stream.write_all(request.as_bytes()).ok()?;
        let bytes = Vec::new();
        Some(Self { stream, bytes })
    }

    /// Reads until `count` events are here.
    pub fn read_events(&mut self, count: usize) {
        let mut buffer = [0; 4096];
        while self.bytes.windows(6).filter(|w| w == b"data: ").count() < count {
            let read = self.stream.read(&mut buffer).unwrap();
            assert_ne!(read, 0, "{}", String::from_utf8_lossy(&self.bytes));
            self.bytes.extend_from_slice(&buffer[..read]);
        }
    }

    /// Reads the rest.
    pub fn finish(mut self) -> Answer {
        let read = self.stream.read_to_end(&mut self.bytes);
        parse(&self.bytes, read.is_ok())
    }
}

fn head_of(peer: &str, method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> String {
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nhost: {peer}\r\nconnection: close\r\nauthorization: Bearer \
         {KEY}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        // Writing to a string can't fail.
        let _ = write!(head, "{name}: {value}\r\n");
    }
    head
}

fn exchange(peer: &str, method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> Answer {
    let head = head_of(peer, method, path, headers, body);
    let Ok(mut stream) = TcpStream::connect(peer) else {
        return no_answer();
    };
    stream.set_read_timeout(Some(SPAN)).unwrap();
    let sent = stream.write_all(format!("{head}\r\n{body}").as_bytes());
    let mut bytes = Vec::new();
    // A connection that breaks leaves what came before it.
    let read = sent.and_then(|()| stream.read_to_end(&mut bytes));
    parse(&bytes, read.is_ok())
}

/// Answer of a peer that gave none.
fn no_answer() -> Answer {
    Answer {
        status: 0,
        head: String::new(),
        body: String::new(),
        whole: false,
    }
}

fn parse(bytes: &[u8], ended: bool) -> Answer {
    let text = String::from_utf8_lossy(bytes).into_owned();
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return no_answer();
    };
    let status = head
        .split(' ')
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(0);
    let chunked = head.to_lowercase().contains("transfer-encoding: chunked");
    let (body, whole) = if chunked {
        unchunk(body)
    } else {
        (body.to_owned(), ended && body.len() == length(head))
    };
    Answer {
        status,
        head: format!("{head}\r\n"),
        body,
        whole,
    }
}

fn length(head: &str) -> usize {
    let head = head.to_lowercase();
    let line = head
        .lines()
        .find_map(|l| l.strip_prefix("content-length: ").map(str::to_owned));
    line.and_then(|l| l.trim().parse().ok()).unwrap_or(0)
}

fn unchunk(mut rest: &str) -> (String, bool) {
    let mut body = String::new();
    while let Some((size, after)) = rest.split_once("\r\n") {
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else {
            return (body, false);
        };
        if size == 0 {
            return (body, true);
        }
        let Some(piece) = after.get(..size) else {
            body.push_str(after);
            return (body, false);
        };
        body.push_str(piece);
        rest = after.get(size + 2..).unwrap_or_default();
    }
    (body, false)
}
