//! A stand-in for an upstream of relayed requests, whose failures can be controlled.

mod behavior;
mod http;
mod order;
mod path_fault;
mod received_request;

use std::{net, sync, time};

use platform::names;
use tokio::{
    io::{AsyncReadExt as _, AsyncWriteExt as _},
    net as tcp,
};

use crate::deployment::{self, scripted};

pub use behavior::Behavior;
pub use path_fault::PathFault;
pub use received_request::ReceivedRequest;

/// Returns the body of a complete stream as a caller receives it.
pub fn complete_stream() -> String {
    let events = 1..=EVENTS_PER_STREAM;
    events
        .map(|event| format!("id: {event}\ndata: piece {event}\n\n"))
        .collect()
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
    /// `None` once the upstream has crashed.
    listener: sync::Arc<parking_lot::Mutex<Option<sync::Arc<tcp::TcpListener>>>>,
    crash: sync::Arc<tokio::sync::watch::Sender<bool>>,
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
        let listener = sync::Arc::new(listener);
        let upstream = Upstream {
            name: name.to_owned(),
            address: listener.local_addr()?,
            state: sync::Arc::default(),
            listener: sync::Arc::new(parking_lot::Mutex::new(Some(listener.clone()))),
            crash: sync::Arc::default(),
            path_faults: sync::Arc::default(),
        };
        let acceptor = upstream.clone();
        tokio::spawn(async move { acceptor.accept(listener).await });
        Ok(upstream)
    }

    /// Accepts connections until the upstream crashes.
    async fn accept(&self, listener: sync::Arc<tcp::TcpListener>) {
        loop {
            let accepted = tokio::select! {
                () = self.crashed() => return,
                accepted = listener.accept() => accepted,
            };
            let Ok((stream, peer)) = accepted else {
                return;
            };
            let upstream = self.clone();
            tokio::spawn(async move { upstream.serve_on_path(stream, peer.ip()).await });
        }
    }

    /// Ends the upstream like a process: its connections are closed and new ones are refused.
    fn crash(&self) {
        self.listener.lock().take();
        self.crash.send_replace(true);
    }

    /// Waits until the upstream has crashed.
    async fn crashed(&self) {
        // The sender is a field of the upstream, so that the channel stays open.
        let _ = self.crash.subscribe().wait_for(|crashed| *crashed).await;
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
        match self.listener.lock().as_ref() {
            Some(listener) => Ok(self.path_faults.set(listener, source, fault)?),
            None => Ok(()),
        }
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
                () = self.crashed() => return None,
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
        if request.request_line.contains("/stream/") && behavior.sends_streams() {
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
                Behavior::CrashAfterEventOnPart(part) if sent == 1 && request.has_part(part) => {
                    self.crash();
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
