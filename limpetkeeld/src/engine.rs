//! The HTTP client for model engines.

use std::{fmt, net, time};

use bytes::Bytes;
use futures_util::StreamExt as _;
use limpetkeel::{
    ChunkPosition, FencingNumber, LoadReport, ORDER_TIMEOUT, Rank, RequestId, Tokens,
    UpstreamAddress,
};

/// The timeout of a control call, such as a cancellation or a load report.
const CONTROL_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);

/// The timeout for establishing a connection.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(1_000);

/// The maximum length of one event of a response stream, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// An error of a call to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The connection could not be established, so nothing was sent. Control calls also return this
    /// error for timeouts and lost connections.
    Unreachable,
    /// The engine responded with this error status.
    Rejected(u16),
    /// The connection broke, or the response ended early.
    ConnectionLost,
    /// The response does not have the expected form.
    Malformed,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Unreachable => f.write_str("the engine is unreachable"),
            Error::Rejected(status) => write!(f, "the engine responded with status {status}"),
            Error::ConnectionLost => f.write_str("the connection to the engine was lost"),
            Error::Malformed => f.write_str("the response is malformed"),
        }
    }
}

impl std::error::Error for Error {}

impl From<Error> for limpetkeel::Error {
    fn from(error: Error) -> limpetkeel::Error {
        match error {
            Error::Unreachable => limpetkeel::Error::UpstreamRefused,
            Error::Rejected(status) => limpetkeel::Error::UpstreamRejected(status),
            Error::ConnectionLost => limpetkeel::Error::UpstreamFailed,
            Error::Malformed => limpetkeel::Error::UpstreamMismatch,
        }
    }
}

/// A request to an engine.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The path of the caller's request.
    pub path: &'static str,
    /// The ID of the grant under which the request runs.
    pub id: RequestId,
    /// The number of the attempt.
    pub attempt: u32,
    /// The position of the first token to generate; earlier ones were delivered already.
    pub resume_from: u64,
    /// The rank of the request.
    pub rank: Rank,
    /// `true` if the prompt counts as long.
    pub long_prompt: bool,
    /// The number of engines that share the work.
    pub group_size: usize,
    /// The body of the caller's request.
    pub body: Bytes,
}

impl Submission {
    /// Returns the scheduling priority; engines serve lower numbers first.
    ///
    /// Requests are ordered by rank. Within a rank, short prompts precede long ones, so that a
    /// long prompt yields at each chunk of its prefill.
    fn priority(&self) -> u32 {
        self.rank as u32 * 2 + u32::from(self.long_prompt)
    }
}

/// The token counts of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Deserialize)]
pub struct Usage {
    /// The tokens of the prompt.
    pub prompt_tokens: Tokens,
    /// The tokens of the response.
    pub completion_tokens: Tokens,
}

/// One chunk of a response stream.
#[derive(Debug)]
pub struct Chunk {
    /// The attempt and the position of the token that the chunk carries.
    pub position: ChunkPosition,
    /// The choices, as encoded by the engine.
    pub choices: Box<serde_json::value::RawValue>,
    /// `true` in the last chunk.
    pub finished: bool,
    /// The token counts; the last chunk carries them.
    pub usage: Option<Usage>,
}

/// An event of a response stream.
#[derive(Debug)]
pub enum Event {
    /// A chunk.
    Chunk(Chunk),
    /// The end marker of the stream.
    Done,
}

#[derive(serde::Deserialize)]
struct RawChunk {
    id: RequestId,
    attempt: u32,
    token: u64,
    choices: Box<serde_json::value::RawValue>,
    #[serde(default)]
    usage: Option<Usage>,
}

#[derive(serde::Deserialize)]
struct ChoiceFinish {
    #[serde(default)]
    finish_reason: Option<String>,
}

/// A streaming response of an engine.
pub struct ResponseStream {
    res: reqwest::Response,
    buf: Vec<u8>,
}

impl ResponseStream {
    /// Receives the next event.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection breaks or the event does not parse.
    pub async fn next(&mut self) -> Result<Event, Error> {
        loop {
            if let Some(end) = self.buf.windows(2).position(|window| window == b"\n\n") {
                let event: Vec<u8> = self.buf.drain(..end + 2).collect();
                return parse_event(&event[..end]);
            }
            if self.buf.len() > MAX_EVENT_BYTES {
                return Err(Error::Malformed);
            }
            match self.res.chunk().await {
                Ok(Some(bytes)) => self.buf.extend_from_slice(&bytes),
                Ok(None) | Err(_) => return Err(Error::ConnectionLost),
            }
        }
    }
}

fn parse_event(event: &[u8]) -> Result<Event, Error> {
    let data = event.strip_prefix(b"data: ").ok_or(Error::Malformed)?;
    if data == b"[DONE]" {
        return Ok(Event::Done);
    }
    let raw: RawChunk = serde_json::from_slice(data).map_err(|_| Error::Malformed)?;
    let choices: Vec<ChoiceFinish> =
        serde_json::from_str(raw.choices.get()).map_err(|_| Error::Malformed)?;
    Ok(Event::Chunk(Chunk {
        position: ChunkPosition {
            id: raw.id,
            attempt: raw.attempt,
            token: raw.token,
        },
        choices: raw.choices,
        finished: choices.iter().any(|choice| choice.finish_reason.is_some()),
        usage: raw.usage,
    }))
}

/// Evictions from an engine's prefix cache since a position.
#[derive(Debug, serde::Deserialize)]
pub struct CacheEvents {
    /// The position before the first event. It exceeds the requested position if events were lost.
    pub from: u64,
    /// The position of the last event.
    pub last: u64,
    /// The hashes of evicted prefixes.
    pub evicted: Vec<u64>,
}

#[derive(serde::Serialize)]
struct VersionOrder<'a> {
    fencing: FencingNumber,
    version: &'a str,
}

#[derive(serde::Serialize)]
struct Reservation {
    tokens: Tokens,
    ttl_ms: u64,
}

/// An HTTP client for all engines.
#[derive(Clone, Debug)]
pub struct Client {
    http: reqwest::Client,
    poll_bytes: prometheus::IntCounter,
}

impl Client {
    /// Creates a client that connects from `source` and adds the bytes of load reports and cache
    /// events to `poll_bytes`.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client cannot be created.
    pub fn new(source: net::IpAddr, poll_bytes: prometheus::IntCounter) -> reqwest::Result<Client> {
        let http = reqwest::Client::builder()
            .local_address(source)
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            // Following a redirect would send the request once more.
            .redirect(reqwest::redirect::Policy::none())
            .build()?;
        Ok(Client { http, poll_bytes })
    }

    /// Submits a request to the engine at `target` and returns its response stream.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine is unreachable or rejects the request.
    pub async fn submit(
        &self,
        target: &UpstreamAddress,
        submission: &Submission,
    ) -> Result<ResponseStream, Error> {
        let res = self
            .http
            .post(format!("http://{}{}", target.address, submission.path))
            .header("content-type", "application/json")
            .header("accept", "text/event-stream")
            .header("x-request-id", submission.id.to_string())
            .header("x-attempt", submission.attempt)
            .header("x-resume-from", submission.resume_from)
            .header("x-priority", submission.priority())
            .header("x-group-size", submission.group_size)
            .body(submission.body.clone())
            .send()
            .await
            .map_err(|e| {
                if e.is_connect() {
                    Error::Unreachable
                } else {
                    Error::ConnectionLost
                }
            })?;
        if !res.status().is_success() {
            return Err(Error::Rejected(res.status().as_u16()));
        }
        Ok(ResponseStream {
            res,
            buf: Vec::new(),
        })
    }

    /// Cancels a request and releases its reservation. Failures are ignored.
    pub async fn cancel(&self, address: net::SocketAddr, id: RequestId) {
        let url = format!("http://{address}/cancel/{id}");
        let _ = self.http.post(url).timeout(CONTROL_TIMEOUT).send().await;
    }

    /// Reserves memory on a helper engine, or renews the reservation.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine is unreachable or has too little free memory.
    pub async fn reserve(
        &self,
        address: net::SocketAddr,
        id: RequestId,
        tokens: Tokens,
        ttl: time::Duration,
    ) -> Result<(), Error> {
        let body = Reservation {
            tokens,
            ttl_ms: ttl.as_millis() as u64,
        };
        let req = self
            .http
            .put(format!("http://{address}/reservations/{id}"))
            .json(&body);
        let res = req
            .timeout(CONTROL_TIMEOUT)
            .send()
            .await
            .map_err(|_| Error::Unreachable)?;
        if res.status().is_success() {
            Ok(())
        } else {
            // Any error status is reported as 409, the status for too little free memory.
            Err(Error::Rejected(409))
        }
    }

    /// Releases reserved memory. Failures are ignored, because the reservation expires by itself.
    pub async fn release_reservation(&self, address: net::SocketAddr, id: RequestId) {
        let req = self
            .http
            .delete(format!("http://{address}/reservations/{id}"));
        let _ = req.timeout(CONTROL_TIMEOUT).send().await;
    }

    /// Orders an engine to serve a version, under the fencing number of the lease.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine is unreachable or refuses the fencing number.
    pub async fn order_version(
        &self,
        address: net::SocketAddr,
        fencing: FencingNumber,
        version: &str,
    ) -> Result<(), Error> {
        let req = self.http.post(format!("http://{address}/orders"));
        let req = req
            .json(&VersionOrder { fencing, version })
            .timeout(ORDER_TIMEOUT.duration());
        let res = req.send().await.map_err(|_| Error::Unreachable)?;
        if res.status().is_success() {
            Ok(())
        } else {
            Err(Error::Rejected(res.status().as_u16()))
        }
    }

    /// Requests the load report.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine does not respond in time or the response does not parse.
    pub async fn load_report(&self, address: net::SocketAddr) -> Result<LoadReport, Error> {
        self.get(format!("http://{address}/load")).await
    }

    /// Requests the cache events after a position.
    ///
    /// # Errors
    ///
    /// Returns an error if the engine does not respond in time or the response does not parse.
    pub async fn cache_events(
        &self,
        address: net::SocketAddr,
        after: u64,
    ) -> Result<CacheEvents, Error> {
        self.get(format!("http://{address}/events?after={after}"))
            .await
    }

    async fn get<T: serde::de::DeserializeOwned>(&self, url: String) -> Result<T, Error> {
        let req = self.http.get(url).timeout(CONTROL_TIMEOUT);
        let res = req.send().await.map_err(|_| Error::Unreachable)?;
        let mut body = Vec::new();
        let mut stream = res.bytes_stream();
        while let Some(bytes) = stream.next().await {
            body.extend_from_slice(&bytes.map_err(|_| Error::ConnectionLost)?);
        }
        self.poll_bytes.inc_by(body.len() as u64);
        serde_json::from_slice(&body).map_err(|_| Error::Malformed)
    }
}
