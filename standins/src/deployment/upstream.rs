//! A stand-in for an upstream of relayed requests, whose failures can be controlled.

mod http;
mod order;
mod path_fault;

use std::{collections, net, sync, time};

use platform::names;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net as tcp,
};

use crate::deployment::{self, scripted};

pub use path_fault::PathFault;

/// Returns the body of a complete stream as a caller receives it.
pub fn complete_stream() -> String {
    let events = 1..=EVENTS_PER_STREAM;
    events
        .map(|event| format!("id: {event}\ndata: piece {event}\n\n"))
        .collect()
}

/// The behavior of an upstream towards requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behavior {
    /// Runs the request and responds.
    Normal,
    /// Runs the request, responds, and states that it is leaving.
    Leaving,
    /// Runs the request, responds, and names a limit, in thousandths of a request per second.
    Limited(u32),
    /// Runs the request, responds with the id of another request, and states that it is leaving.
    LeavingWithWrongId,
    /// Declines the request, and states that it did not run it.
    Decline,
    /// Declines the request, states that it did not run it, and asks for no requests for the given
    /// number of milliseconds.
    DeclineFor(u64),
    /// Responds like another upstream at the same address, which rejects the request with status
    /// 421.
    WrongUpstream,
    /// Runs the request and closes the connection without a response.
    DropResponse,
    /// Closes the connection without a response to a request whose prompt has the given part, and
    /// runs other requests.
    CrashOnPart(u64),
    /// Closes the connection without a response to a request with the given body, and runs other
    /// requests.
    CrashOnBody(&'static str),
    /// Runs the request and responds with bytes that are not HTTP.
    MalformedResponse,
    /// Runs the request and responds with the id of another request.
    WrongRequestId,
    /// Runs the request and closes the connection before the response is complete.
    TruncateResponse,
    /// Runs the request and omits the signature from the response.
    Unsigned,
    /// Runs the request and sends a second response, with the id of another request.
    ExtraResponse,
    /// Runs the request and responds with status 500.
    ServerError,
    /// Runs the request and leaves the connection open without a response.
    Hang,
    /// Sends the given number of events, then closes the connection in the middle of the next one.
    CutAfter(u64),
    /// Sends the given number of events, then nothing, and leaves the connection open.
    HangAfter(u64),
    /// Leaves a gap of the given number of milliseconds after two events, then continues.
    GapAfterTwo(u64),
    /// Runs the request, and responds and closes the connection before it has read the body.
    EarlyResponse,
    /// Runs the request, unless the response declines it, and sends a scripted response.
    Scripted(scripted::Script),
    /// Runs the request, and sends a scripted response before it has read the body.
    ScriptedEarly(scripted::Script),
}

/// A request as an upstream received it.
#[derive(Clone, Debug)]
pub struct ReceivedRequest {
    /// The request id.
    pub id: String,
    /// The request line.
    pub request_line: String,
    /// The headers, by name in lower case.
    pub headers: collections::BTreeMap<String, String>,
    /// The body of the request.
    pub body: Vec<u8>,
    /// Whether the upstream ran it.
    pub ran: bool,
    /// The address of its sender.
    pub source: net::IpAddr,
}

impl ReceivedRequest {
    /// Returns `true` if the prompt has a part.
    pub fn has_part(&self, part: u64) -> bool {
        let parts = self.headers.get(names::PROMPT_PARTS.as_str());
        let mut parts = parts.into_iter().flat_map(|parts| parts.split(','));
        parts.any(|entry| entry.starts_with(&format!("{part:x}:")))
    }
}

#[derive(Debug, Default)]
struct State {
    behavior: Option<Behavior>,
    /// The number of restarts.
    restarts: u64,
    received: Vec<ReceivedRequest>,
    /// The number of requests whose sender closed the connection before the response was complete.
    disconnects: usize,
}

/// A running upstream.
#[derive(Clone)]
pub struct Upstream {
    /// The name of the upstream.
    pub name: String,
    /// The address that the upstream listens on.
    pub address: net::SocketAddr,
    state: sync::Arc<parking_lot::Mutex<State>>,
    listener: sync::Arc<tcp::TcpListener>,
    path_faults: sync::Arc<path_fault::PathFaults>,
}

/// The number of events of a complete stream.
pub const EVENTS_PER_STREAM: u64 = 6;

/// The interval between two events of a stream.
const EVENT_INTERVAL: time::Duration = time::Duration::from_millis(10);

impl Upstream {
    /// Starts an upstream that responds to requests.
    ///
    /// # Errors
    ///
    /// Returns an error if no address can be bound.
    pub async fn start(name: &str) -> deployment::Result<Upstream> {
        let listener = tcp::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).await?;
        let upstream = Upstream {
            name: name.to_owned(),
            address: listener.local_addr()?,
            state: sync::Arc::default(),
            listener: sync::Arc::new(listener),
            path_faults: sync::Arc::default(),
        };
        let acceptor = upstream.clone();
        tokio::spawn(async move {
            while let Ok((stream, peer)) = acceptor.listener.accept().await {
                let upstream = acceptor.clone();
                tokio::spawn(async move { upstream.serve_on_path(stream, peer.ip()).await });
            }
        });
        Ok(upstream)
    }

    /// Sets or ends a fault of the path between an instance and the upstream. `source` is the
    /// address from which the instance connects.
    ///
    /// # Errors
    ///
    /// Returns an error if the packets of new connections cannot be dropped.
    pub fn set_path_fault(
        &self,
        source: net::IpAddr,
        fault: Option<PathFault>,
    ) -> deployment::Result<()> {
        Ok(self.path_faults.set(&self.listener, source, fault)?)
    }

    /// Serves a connection as long as its path has no fault.
    async fn serve_on_path(&self, mut stream: tcp::TcpStream, source: net::IpAddr) -> Option<()> {
        // A duplicate, since the connection is borrowed while it is served.
        let control = socket2::SockRef::from(&stream).try_clone().ok()?;
        let control = tcp::TcpStream::from_std(control.into()).ok()?;
        let serving = self.serve(&mut stream, source);
        tokio::pin!(serving);
        loop {
            let fault = tokio::select! {
                served = &mut serving => return served,
                fault = self.path_faults.broken(source) => fault,
            };
            if fault == PathFault::Reset {
                control.set_zero_linger().ok()?;
                return None;
            }
            path_fault::set_packet_drop(&control, true).ok()?;
            self.path_faults.healed(source).await;
            path_fault::set_packet_drop(&control, false).ok()?;
        }
    }

    /// Sets the behavior towards new requests.
    pub fn set_behavior(&self, behavior: Behavior) {
        self.state.lock().behavior = Some(behavior);
    }

    /// Restarts the upstream under its name and address. It behaves normally, and its next registry
    /// entry has another start time.
    pub fn restart(&self) {
        let mut state = self.state.lock();
        state.behavior = None;
        state.restarts += 1;
    }

    /// Returns the received requests, oldest first.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.state.lock().received.clone()
    }

    /// Returns how many times a request ran.
    pub fn run_count(&self, id: &str) -> usize {
        let state = self.state.lock();
        let runs = state
            .received
            .iter()
            .filter(|request| request.id == id && request.ran);
        runs.count()
    }

    /// Returns the number of requests whose sender closed the connection before the response was
    /// complete.
    pub fn disconnects(&self) -> usize {
        self.state.lock().disconnects
    }

    /// Encodes the entry of the upstream in the store's upstream registry.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry cannot be encoded.
    pub fn registry_entry(
        &self,
        service: &str,
        zone: &str,
        state: &str,
    ) -> deployment::Result<Vec<u8>> {
        let entry = serde_json::json!({
            "service": service, "address": self.address, "zone": zone, "version": "v1",
            "slots": 6, "state": state, "cold_left_ms": 0, "seq_no": 4,
            "born": 1 + self.state.lock().restarts,
        });
        Ok(serde_json::to_vec(&entry)?)
    }

    /// Handles the one request of a connection. Returns `None` if the connection fails.
    async fn serve(&self, stream: &mut tcp::TcpStream, source: net::IpAddr) -> Option<()> {
        let head = http::read_head(stream).await?;
        let behavior = self.state.lock().behavior.unwrap_or(Behavior::Normal);
        let mut request = http::parse_head(&head.text, source);
        if behavior == Behavior::EarlyResponse {
            request.ran = true;
            let id = request.id.clone();
            self.state.lock().received.push(request);
            let response = self.encode_response(&id, 200, "early");
            stream.write_all(response.as_bytes()).await.ok()?;
            return Some(());
        }
        if let Behavior::ScriptedEarly(script) = behavior {
            request.ran = true;
            let id = request.id.clone();
            self.state.lock().received.push(request);
            script.send(stream, &self.name, &id).await;
            return Some(());
        }
        let content_length = request.headers.get("content-length");
        let content_length = content_length
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let mut body = head.body_start;
        while body.len() < content_length {
            let mut buf = [0; 4096];
            let count = stream.read(&mut buf).await.ok()?;
            if count == 0 {
                return None;
            }
            body.extend_from_slice(&buf[..count]);
        }
        request.body = body;
        request.ran = match behavior {
            Behavior::Decline | Behavior::DeclineFor(_) | Behavior::WrongUpstream => false,
            Behavior::Scripted(script) => !script.declines(),
            _ => true,
        };
        let crashes = match behavior {
            Behavior::CrashOnPart(part) => request.has_part(part),
            Behavior::CrashOnBody(body) => request.body == body.as_bytes(),
            _ => false,
        };
        if crashes {
            self.state.lock().received.push(request);
            return Some(());
        }
        let received = request.clone();
        self.state.lock().received.push(received);
        if let Behavior::Scripted(script) = behavior {
            if script.send(stream, &self.name, &request.id).await == scripted::Closed::BySender {
                self.state.lock().disconnects += 1;
            }
            return Some(());
        }
        if request.request_line.contains("/stream/") && sends_streams(behavior) {
            return self.send_stream(stream, &request, behavior).await;
        }
        self.respond(stream, &request.id, behavior).await
    }

    /// Sends a non-streaming response.
    async fn respond(
        &self,
        stream: &mut tcp::TcpStream,
        id: &str,
        behavior: Behavior,
    ) -> Option<()> {
        let not_run = format!("{}: 1\r\n", names::REQUEST_NOT_RUN);
        let response = self.encode_response(id, 200, "answer");
        let bytes = match behavior {
            Behavior::Leaving => http::add_header(&response, &http::leaving_header()),
            Behavior::Limited(limit) => http::add_header(&response, &http::limit_header(limit)),
            Behavior::LeavingWithWrongId => {
                let response = self.encode_response("another", 200, "not yours");
                http::add_header(&response, &http::leaving_header())
            }
            Behavior::Decline => format!("HTTP/1.1 503 Busy\r\n{not_run}content-length: 0\r\n\r\n"),
            Behavior::DeclineFor(ms) => format!(
                "HTTP/1.1 503 Busy\r\n{not_run}retry-after: {}.{:03}\r\ncontent-length: 0\r\n\r\n",
                ms / 1_000,
                ms % 1_000
            ),
            Behavior::WrongUpstream => "HTTP/1.1 421 Other\r\ncontent-length: 0\r\n\r\n".to_owned(),
            Behavior::DropResponse => return Some(()),
            Behavior::MalformedResponse => "\u{1}\u{2} this is no answer\r\n\r\n".to_owned(),
            Behavior::WrongRequestId => self.encode_response("another", 200, "not yours"),
            Behavior::TruncateResponse => {
                response.replace("content-length: 6", "content-length: 60")
            }
            Behavior::Unsigned => response.replace(names::RESPONSE_SIGNATURE.as_str(), "x-nothing"),
            Behavior::ExtraResponse => format!(
                "{response}{}",
                self.encode_response("another", 200, "extra!")
            ),
            Behavior::ServerError => self.encode_response(id, 500, "failed"),
            Behavior::Hang => {
                self.wait_for_close(stream).await;
                return Some(());
            }
            _ => response,
        };
        stream.write_all(bytes.as_bytes()).await.ok()
    }

    /// Encodes a signed, complete HTTP response.
    fn encode_response(&self, id: &str, status: u16, text: &str) -> String {
        let (id_header, signature_header) = (names::REQUEST_ID, names::RESPONSE_SIGNATURE);
        format!(
            "HTTP/1.1 {status} Status\r\n{id_header}: {id}\r\n{signature_header}: {}\r\n\
             content-length: {}\r\n\r\n{text}",
            self.name,
            text.len(),
        )
    }

    /// Sends a stream of events, which begins after the event that the `last-event-id` header of the
    /// request names, or with the first event if there is no such header.
    async fn send_stream(
        &self,
        stream: &mut tcp::TcpStream,
        request: &ReceivedRequest,
        behavior: Behavior,
    ) -> Option<()> {
        let after = request.headers.get(names::LAST_EVENT.as_str());
        let after: u64 = after.and_then(|text| text.parse().ok()).unwrap_or(0);
        let (id_header, signature_header) = (names::REQUEST_ID, names::RESPONSE_SIGNATURE);
        let statement = match behavior {
            Behavior::Leaving => http::leaving_header(),
            Behavior::Limited(limit) => http::limit_header(limit),
            _ => String::new(),
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\n{id_header}: {}\r\n{signature_header}: {}\r\n\
             content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n{statement}\r\n",
            request.id, self.name,
        );
        stream.write_all(head.as_bytes()).await.ok()?;
        for (sent, event) in (after + 1..=EVENTS_PER_STREAM).enumerate() {
            let sent = sent as u64;
            let text = format!("id: {event}\ndata: piece {event}\n\n");
            match behavior {
                Behavior::CutAfter(count) if sent == count => {
                    let first_half = &text[..text.len() / 2];
                    let _ = stream
                        .write_all(http::encode_chunk(first_half).as_bytes())
                        .await;
                    return Some(());
                }
                Behavior::HangAfter(count) if sent == count => {
                    self.wait_for_close(stream).await;
                    return Some(());
                }
                Behavior::GapAfterTwo(gap_ms) if sent == 2 => {
                    tokio::time::sleep(time::Duration::from_millis(gap_ms)).await;
                }
                _ => {}
            }
            if stream
                .write_all(http::encode_chunk(&text).as_bytes())
                .await
                .is_err()
            {
                self.state.lock().disconnects += 1;
                return None;
            }
            tokio::time::sleep(EVENT_INTERVAL).await;
        }
        stream.write_all(b"0\r\n\r\n").await.ok()
    }

    /// Waits until the sender of a request closes the connection.
    async fn wait_for_close(&self, stream: &mut tcp::TcpStream) {
        let mut buf = [0; 64];
        while matches!(stream.read(&mut buf).await, Ok(count) if count > 0) {}
        self.state.lock().disconnects += 1;
    }
}

/// Returns `true` if an upstream with this behavior responds to stream requests with a stream.
fn sends_streams(behavior: Behavior) -> bool {
    matches!(
        behavior,
        Behavior::Normal
            | Behavior::CrashOnPart(_)
            | Behavior::CrashOnBody(_)
            | Behavior::Leaving
            | Behavior::Limited(_)
            | Behavior::CutAfter(_)
            | Behavior::HangAfter(_)
            | Behavior::GapAfterTwo(_)
    )
}
