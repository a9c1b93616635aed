//! A stand-in for upstreams of relayed traffic, which misbehaves on demand.

use std::{collections, net, sync, time};

use platform::names;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net as tcp,
};

use crate::site;

/// Returns a whole stream as a caller gets it.
pub fn whole_stream() -> String {
    let events = 1..=EVENTS;
    events
        .map(|event| format!("id: {event}\ndata: piece {event}\n\n"))
        .collect()
}

/// How an upstream treats requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Conduct {
    /// It answers.
    Good,
    /// It states that it did not run the request.
    Shed,
    /// It is another upstream at the same address.
    Stranger,
    /// It runs the request and closes the connection without an answer.
    LoseAnswer,
    /// It runs the request and answers with bytes that are no answer.
    Garble,
    /// It runs the request and answers under another identity.
    AnswerAnother,
    /// It runs the request and cuts its answer short.
    Truncate,
    /// It runs the request and vouches for nothing.
    Unsealed,
    /// It runs the request and answers twice.
    AnswerTwice,
    /// It runs the request and fails it.
    Fail,
    /// It reads the request and stays silent.
    Hang,
    /// It closes the connection in the middle of the event after this many.
    CutAfter(u64),
    /// It stays silent after this many events.
    SilentAfter(u64),
    /// It pauses for that many milliseconds after two events, then goes on.
    PauseAfterTwo(u64),
    /// It answers before it has read the body.
    Early,
}

/// A request as an upstream saw it.
#[derive(Clone, Debug)]
pub struct Seen {
    /// The caller's identity of the attempt.
    pub id: String,
    /// The request line.
    pub line: String,
    /// The headers, with names in lower case.
    pub headers: collections::BTreeMap<String, String>,
    /// The body.
    pub body: Vec<u8>,
    /// Whether the upstream ran it.
    pub ran: bool,
}

#[derive(Debug, Default)]
struct State {
    conduct: Option<Conduct>,
    seen: Vec<Seen>,
    /// Requests whose caller closed the connection before the answer was complete.
    left: usize,
}

/// An upstream and its address.
#[derive(Clone)]
pub struct Upstream {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: net::SocketAddr,
    state: sync::Arc<parking_lot::Mutex<State>>,
}

/// Events of a whole stream.
pub const EVENTS: u64 = 6;

/// The time between two events.
const EVENT_INTERVAL: time::Duration = time::Duration::from_millis(10);

impl Upstream {
    /// Starts an upstream that answers.
    ///
    /// # Errors
    ///
    /// Fails if no address can be bound.
    pub async fn start(name: &str) -> site::Result<Upstream> {
        let listener = tcp::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).await?;
        let upstream = Upstream {
            name: name.to_owned(),
            address: listener.local_addr()?,
            state: sync::Arc::default(),
        };
        let accepting = upstream.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let upstream = accepting.clone();
                tokio::spawn(async move { upstream.serve(stream).await });
            }
        });
        Ok(upstream)
    }

    /// Changes how requests are treated.
    pub fn set_conduct(&self, conduct: Conduct) {
        self.state.lock().conduct = Some(conduct);
    }

    /// Returns the requests that arrived.
    pub fn seen(&self) -> Vec<Seen> {
        self.state.lock().seen.clone()
    }

    /// Returns how often a request ran.
    pub fn runs(&self, id: &str) -> usize {
        let state = self.state.lock();
        let runs = state.seen.iter().filter(|seen| seen.id == id && seen.ran);
        runs.count()
    }

    /// Returns how many callers left before their answer was complete.
    pub fn left(&self) -> usize {
        self.state.lock().left
    }

    /// Returns the entry under which the store lists the upstream.
    ///
    /// # Errors
    ///
    /// Fails if the entry cannot be encoded.
    pub fn entry(&self, service: &str, zone: &str, state: &str) -> site::Result<Vec<u8>> {
        let entry = serde_json::json!({
            "service": service, "address": self.address, "zone": zone, "version": "v1",
            "slots": 6, "state": state, "cold_left_ms": 0, "seq_no": 4, "born": 1,
        });
        Ok(serde_json::to_vec(&entry)?)
    }

    async fn serve(&self, mut stream: tcp::TcpStream) -> Option<()> {
        let head = read_head(&mut stream).await?;
        let conduct = self.state.lock().conduct.unwrap_or(Conduct::Good);
        let mut seen = parse_head(&head.text);
        if conduct == Conduct::Early {
            seen.ran = true;
            let id = seen.id.clone();
            self.state.lock().seen.push(seen);
            let answer = self.whole(&id, 200, "early");
            stream.write_all(answer.as_bytes()).await.ok()?;
            return Some(());
        }
        let length = seen.headers.get("content-length");
        let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut body = head.rest;
        while body.len() < length {
            let mut buf = [0; 4096];
            let count = stream.read(&mut buf).await.ok()?;
            if count == 0 {
                return None;
            }
            body.extend_from_slice(&buf[..count]);
        }
        seen.body = body;
        seen.ran = !matches!(conduct, Conduct::Shed | Conduct::Stranger);
        let request = seen.clone();
        self.state.lock().seen.push(seen);
        if request.line.contains("/stream/") && streams(conduct) {
            return self.stream(&mut stream, &request, conduct).await;
        }
        self.answer(&mut stream, &request.id, conduct).await
    }

    async fn answer(&self, stream: &mut tcp::TcpStream, id: &str, conduct: Conduct) -> Option<()> {
        let not_run = format!("{}: 1\r\n", names::NOT_RUN);
        let good = self.whole(id, 200, "answer");
        let bytes = match conduct {
            Conduct::Shed => format!("HTTP/1.1 503 Busy\r\n{not_run}content-length: 0\r\n\r\n"),
            Conduct::Stranger => "HTTP/1.1 421 Other\r\ncontent-length: 0\r\n\r\n".to_owned(),
            Conduct::LoseAnswer => return Some(()),
            Conduct::Garble => "\u{1}\u{2} this is no answer\r\n\r\n".to_owned(),
            Conduct::AnswerAnother => self.whole("another", 200, "not yours"),
            Conduct::Truncate => good.replace("content-length: 6", "content-length: 60"),
            Conduct::Unsealed => good.replace(names::SEAL.as_str(), "x-nothing"),
            Conduct::AnswerTwice => format!("{good}{}", self.whole("another", 200, "extra!")),
            Conduct::Fail => self.whole(id, 500, "failed"),
            Conduct::Hang => {
                self.wait_for_close(stream).await;
                return Some(());
            }
            _ => good,
        };
        stream.write_all(bytes.as_bytes()).await.ok()
    }

    fn whole(&self, id: &str, status: u16, text: &str) -> String {
        let (id_header, seal) = (names::REQUEST_ID, names::SEAL);
        format!(
            "HTTP/1.1 {status} Status\r\n{id_header}: {id}\r\n{seal}: {}\r\n\
             content-length: {}\r\n\r\n{text}",
            self.name,
            text.len(),
        )
    }

    async fn stream(
        &self,
        stream: &mut tcp::TcpStream,
        request: &Seen,
        conduct: Conduct,
    ) -> Option<()> {
        let after = request.headers.get(names::LAST_EVENT.as_str());
        let after: u64 = after.and_then(|text| text.parse().ok()).unwrap_or(0);
        let (id_header, seal) = (names::REQUEST_ID, names::SEAL);
        let head = format!(
            "HTTP/1.1 200 OK\r\n{id_header}: {}\r\n{seal}: {}\r\n\
             content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
            request.id, self.name,
        );
        stream.write_all(head.as_bytes()).await.ok()?;
        for (sent, event) in (after + 1..=EVENTS).enumerate() {
            let sent = sent as u64;
            let text = format!("id: {event}\ndata: piece {event}\n\n");
            match conduct {
                Conduct::CutAfter(count) if sent == count => {
                    let half = &text[..text.len() / 2];
                    let _ = stream.write_all(chunk(half).as_bytes()).await;
                    return Some(());
                }
                Conduct::SilentAfter(count) if sent == count => {
                    self.wait_for_close(stream).await;
                    return Some(());
                }
                Conduct::PauseAfterTwo(pause) if sent == 2 => {
                    tokio::time::sleep(time::Duration::from_millis(pause)).await;
                }
                _ => {}
            }
            if stream.write_all(chunk(&text).as_bytes()).await.is_err() {
                self.state.lock().left += 1;
                return None;
            }
            tokio::time::sleep(EVENT_INTERVAL).await;
        }
        stream.write_all(b"0\r\n\r\n").await.ok()
    }

    async fn wait_for_close(&self, stream: &mut tcp::TcpStream) {
        let mut buf = [0; 64];
        while matches!(stream.read(&mut buf).await, Ok(count) if count > 0) {}
        self.state.lock().left += 1;
    }
}

/// Tells whether streams are answered as such under a conduct.
fn streams(conduct: Conduct) -> bool {
    matches!(
        conduct,
        Conduct::Good | Conduct::CutAfter(_) | Conduct::SilentAfter(_) | Conduct::PauseAfterTwo(_)
    )
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

struct Head {
    text: String,
    rest: Vec<u8>,
}

async fn read_head(stream: &mut tcp::TcpStream) -> Option<Head> {
    let mut bytes = Vec::new();
    loop {
        let end = bytes.windows(4).position(|four| four == b"\r\n\r\n");
        if let Some(end) = end {
            let rest = bytes.split_off(end + 4);
            let text = String::from_utf8(bytes).ok()?;
            return Some(Head { text, rest });
        }
        let mut buf = [0; 4096];
        let count = stream.read(&mut buf).await.ok()?;
        if count == 0 {
            return None;
        }
        bytes.extend_from_slice(&buf[..count]);
    }
}

fn parse_head(text: &str) -> Seen {
    let mut lines = text.lines();
    let line = lines.next().unwrap_or_default().to_owned();
    let headers: collections::BTreeMap<_, _> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let id = headers.get(names::REQUEST_ID.as_str()).cloned();
    Seen {
        id: id.unwrap_or_default(),
        line,
        headers,
        body: Vec::new(),
        ran: false,
    }
}
