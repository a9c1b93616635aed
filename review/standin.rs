//! Stand-ins for the platform's store, servers and clients, and the driver of the scripted cases.
//! Standard library only: `rustc --edition 2021 -O`.
//!
//! Usage: standin CASE DIRECTORY, with the project's root as the working directory.
//! Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.

use std::{
    collections::BTreeMap,
    fmt::Write as _,
    fs,
    io::{self, Read as _, Write as _},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Condvar, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

/// The program of the deploy file.
const PROGRAM: &str = "target/release/limpetkeel-node";

// ---------------------------------------------------------------- record

/// The record of what was sent, answered and run.
#[derive(Clone)]
struct Record {
    start: Instant,
    lines: Arc<Mutex<String>>,
}

impl Record {
    fn new() -> Record {
        Record { start: Instant::now(), lines: Arc::default() }
    }

    fn add(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64();
        let _ = writeln!(self.lines.lock().unwrap(), "{at:9.3} {text}");
    }

    fn save(&self, directory: &Path) {
        let _ = fs::write(directory.join("record.txt"), &*self.lines.lock().unwrap());
    }
}

// ---------------------------------------------------------------- HTTP

struct Request {
    method: String,
    target: String,
    headers: BTreeMap<String, String>,
    body: Vec<u8>,
}

/// Reads one request, or returns `None` at the end of the connection.
fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Request>> {
    let end = loop {
        if let Some(at) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            break at + 4;
        }
        let mut chunk = [0; 8192];
        let read = stream.read(&mut chunk)?;
        if read == 0 {
            return Ok(None);
        }
        buffer.extend_from_slice(&chunk[..read]);
    };
    let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
    buffer.drain(..end);
    let mut lines = head.split("\r\n");
    let mut words = lines.next().unwrap_or_default().split(' ').map(str::to_owned);
    let (method, target) = (words.next().unwrap_or_default(), words.next().unwrap_or_default());
    let headers: BTreeMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let length = headers.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    while buffer.len() < length {
        let mut chunk = [0; 8192];
        let read = stream.read(&mut chunk)?;
        if read == 0 {
            return Ok(None);
        }
        buffer.extend_from_slice(&chunk[..read]);
    }
    let body = buffer.drain(..length).collect();
    Ok(Some(Request { method, target, headers, body }))
}

fn query(target: &str, name: &str) -> Option<String> {
    let (_, query) = target.split_once('?')?;
    let value = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?;
    let mut decoded = Vec::new();
    let mut bytes = value.bytes();
    while let Some(byte) = bytes.next() {
        if byte == b'%' {
            let hex = [bytes.next()?, bytes.next()?];
            decoded.push(u8::from_str_radix(std::str::from_utf8(&hex).ok()?, 16).ok()?);
        } else {
            decoded.push(byte);
        }
    }
    String::from_utf8(decoded).ok()
}

// ---------------------------------------------------------------- JSON

#[derive(Debug)]
enum Json {
    Other,
    Number(u64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    fn parse(text: &[u8]) -> Json {
        let mut at = 0;
        Json::value(text, &mut at)
    }

    fn skip(text: &[u8], at: &mut usize) {
        while text.get(*at).is_some_and(|b| b.is_ascii_whitespace() || *b == b',' || *b == b':') {
            *at += 1;
        }
    }

    fn value(text: &[u8], at: &mut usize) -> Json {
        Json::skip(text, at);
        match text.get(*at) {
            Some(b'{') => {
                *at += 1;
                let mut fields = BTreeMap::new();
                loop {
                    Json::skip(text, at);
                    match text.get(*at) {
                        Some(b'"') => {
                            let Json::Text(name) = Json::value(text, at) else { break };
                            fields.insert(name, Json::value(text, at));
                        }
                        _ => break,
                    }
                }
                *at += 1;
                Json::Object(fields)
            }
            Some(b'[') => {
                *at += 1;
                let mut values = Vec::new();
                loop {
                    Json::skip(text, at);
                    if matches!(text.get(*at), None | Some(b']')) {
                        break;
                    }
                    values.push(Json::value(text, at));
                }
                *at += 1;
                Json::List(values)
            }
            Some(b'"') => {
                // The texts here contain no escapes.
                let begin = *at + 1;
                *at = begin;
                while text.get(*at).is_some_and(|b| *b != b'"') {
                    *at += 1;
                }
                let value = String::from_utf8_lossy(&text[begin..*at]).into_owned();
                *at += 1;
                Json::Text(value)
            }
            _ => {
                let begin = *at;
                while text.get(*at).is_some_and(|b| !matches!(b, b',' | b'}' | b']')) {
                    *at += 1;
                }
                if begin == *at {
                    *at += 1;
                    return Json::Other;
                }
                let word = String::from_utf8_lossy(&text[begin..*at]).into_owned();
                word.trim().parse().map_or(Json::Other, Json::Number)
            }
        }
    }

    fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => fields.get(name).unwrap_or(&Json::Other),
            _ => &Json::Other,
        }
    }

    fn list(&self) -> &[Json] {
        match self {
            Json::List(values) => values,
            _ => &[],
        }
    }

    fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    fn number(&self) -> u64 {
        match self {
            Json::Number(number) => *number,
            _ => 0,
        }
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for index in 0..4 {
            if index <= chunk.len() {
                text.push(char::from(DIGITS[(bits >> (18 - 6 * index)) as usize & 63]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

// ---------------------------------------------------------------- store

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

impl Item {
    fn json(&self, key: &str) -> String {
        format!(
            r#"{{"key":"{key}","value":"{}","revision":{},"create_rev":{},"lease":{}}}"#,
            self.value, self.revision, self.created, self.lease
        )
    }
}

#[derive(Default)]
struct Contents {
    items: BTreeMap<String, Item>,
    revision: u64,
    /// Every change: its revision, its key and its event as JSON.
    changes: Vec<(u64, String, String)>,
    /// Each lease with its lifetime and its end.
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

impl Contents {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.changes.push((self.revision, key.to_owned(), item.json(key)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let event = format!(r#"{{"key":"{key}","revision":{},"deleted":true}}"#, self.revision);
            self.changes.push((self.revision, key.to_owned(), event));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let bound = self.items.iter().filter(|(_, item)| item.lease == lease);
        for key in bound.map(|(key, _)| key.clone()).collect::<Vec<_>>() {
            self.remove(&key);
        }
    }
}

/// The platform's store.
#[derive(Clone, Default)]
struct Store {
    contents: Arc<Mutex<Contents>>,
    changed: Arc<Condvar>,
}

/// The time that the store takes for a call.
const STORE_DELAY: Duration = Duration::from_millis(4);

impl Store {
    fn start() -> io::Result<(Store, SocketAddr)> {
        let store = Store::default();
        store.contents.lock().unwrap().revision = 10;
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let accepting = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = accepting.clone();
                thread::spawn(move || {
                    let _ = store.serve(stream);
                });
            }
        });
        let expiring = store.clone();
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(20));
            let mut contents = expiring.contents.lock().unwrap();
            let now = Instant::now();
            let ended = contents.leases.iter().filter(|(_, (_, end))| *end <= now);
            for lease in ended.map(|(lease, _)| *lease).collect::<Vec<_>>() {
                contents.end_lease(lease);
            }
            expiring.changed.notify_all();
        });
        Ok((store, address))
    }

    /// Writes as the operator or as a server.
    fn write(&self, key: &str, value: &str) {
        self.contents.lock().unwrap().put(key, base64(value.as_bytes()), 0);
        self.changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut buffer = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut buffer)? {
            thread::sleep(STORE_DELAY);
            let (status, body) = self.call(&request);
            let response = format!(
                "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            stream.write_all(response.as_bytes())?;
        }
        Ok(())
    }

    fn call(&self, request: &Request) -> (u16, String) {
        let path = request.target.split('?').next().unwrap_or_default();
        let prefix = query(&request.target, "prefix").unwrap_or_default();
        let mut contents = self.contents.lock().unwrap();
        let lease_of = |path: &str| path.rsplit('/').next().and_then(|id| id.parse::<u64>().ok());
        match (request.method.as_str(), path) {
            ("GET", "/kv-range") => {
                let after = query(&request.target, "after").unwrap_or_default();
                let items = contents.items.iter();
                let items = items.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let items: Vec<_> = items.map(|(key, item)| item.json(key)).collect();
                let (items, revision) = (items.join(","), contents.revision);
                (200, format!(r#"{{"items":[{items}],"has_more":false,"store_revision":{revision}}}"#))
            }
            ("GET", "/kv-watch") => {
                let number = |name| query(&request.target, name).and_then(|v| v.parse::<u64>().ok());
                let after = number("after").unwrap_or(0);
                let end = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
                loop {
                    let changes = contents.changes.iter();
                    let events: Vec<_> = changes
                        .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix))
                        .map(|(_, _, event)| event.clone())
                        .collect();
                    let now = Instant::now();
                    if !events.is_empty() || now >= end {
                        let (events, revision) = (events.join(","), contents.revision);
                        return (200, format!(r#"{{"events":[{events}],"store_revision":{revision}}}"#));
                    }
                    contents = self.changed.wait_timeout(contents, end - now).unwrap().0;
                }
            }
            ("POST", "/kv-lease") => {
                let ttl_ms = Json::parse(&request.body).get("ttl_ms").number();
                let ttl = Duration::from_millis(ttl_ms);
                contents.last_lease += 1;
                let lease = contents.last_lease;
                contents.leases.insert(lease, (ttl, Instant::now() + ttl));
                (200, format!(r#"{{"lease":{lease},"ttl_ms":{ttl_ms}}}"#))
            }
            ("POST", path) if path.starts_with("/kv-keep/") => {
                let lease = lease_of(path).unwrap_or(0);
                match contents.leases.get_mut(&lease) {
                    Some((ttl, end)) => {
                        *end = Instant::now() + *ttl;
                        (200, format!(r#"{{"ttl_ms":{}}}"#, ttl.as_millis()))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                contents.end_lease(lease_of(path).unwrap_or(0));
                self.changed.notify_all();
                (200, "{}".to_owned())
            }
            ("POST", "/kv-txn") => {
                let transaction = Json::parse(&request.body);
                let puts = transaction.get("puts").list();
                let lease = |put: &Json| put.get("lease").number();
                if puts.iter().any(|put| lease(put) != 0 && !contents.leases.contains_key(&lease(put))) {
                    return (404, "{}".to_owned());
                }
                for put in puts {
                    contents.put(put.get("key").text(), put.get("value").text().to_owned(), lease(put));
                }
                for key in transaction.get("remove").list() {
                    contents.remove(key.text());
                }
                self.changed.notify_all();
                (200, format!(r#"{{"revision":{}}}"#, contents.revision))
            }
            _ => (404, "{}".to_owned()),
        }
    }
}

// ---------------------------------------------------------------- servers

/// Limits the bytes that the servers of a case send together to the link of one machine.
struct Link {
    bytes_per_s: f64,
    next: Mutex<Instant>,
}

impl Link {
    fn wait(&self, bytes: usize) {
        let until = {
            let mut next = self.next.lock().unwrap();
            let from = (*next).max(Instant::now());
            *next = from + Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
            *next
        };
        thread::sleep(until.saturating_duration_since(Instant::now()));
    }
}

/// What a server answers.
#[derive(Clone)]
enum Answer {
    /// A complete answer after the work.
    Complete(Duration),
    /// A stream of events.
    Events,
    /// The same, but an error with a body without end once the flag is set, until the caller closes.
    EndlessError(Arc<AtomicBool>),
    /// A complete answer, but interim heads without end once the flag is set, until the caller closes.
    EndlessHeads(Duration, Arc<AtomicBool>, Arc<Link>),
}

/// Starts a server and writes its entry to the store.
fn start_server(store: &Store, record: &Record, service: &str, id: &str, answer: Answer) -> io::Result<()> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let (id_text, record) = (id.to_owned(), record.clone());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (id, answer, record) = (id_text.clone(), answer.clone(), record.clone());
            thread::spawn(move || {
                let _ = serve_calls(stream, &id, &answer, &record);
            });
        }
    });
    let slots = if service == "desk" { 6 } else { 16 };
    let entry = format!(
        r#"{{"service":"{service}","address":"{address}","zone":"z1","version":"v1","slots":{slots},"state":"ready","cold_left_ms":0,"seq_no":0,"born":1}}"#
    );
    store.write(&format!("servers/{id}"), &entry);
    Ok(())
}

fn serve_calls(mut stream: TcpStream, id: &str, answer: &Answer, record: &Record) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut buffer)? {
        let attempt = request.headers.get("x-attempt-id").cloned().unwrap_or_default();
        if request.headers.get("x-expect-instance").is_some_and(|expected| expected != id) {
            stream.write_all(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")?;
            continue;
        }
        record.add(&format!("run {attempt} at {id}"));
        match answer {
            Answer::EndlessHeads(_, is_faulty, link) if is_faulty.load(Ordering::Relaxed) => {
                let heads = b"HTTP/1.1 100 Continue\r\n\r\n".repeat(1_310);
                loop {
                    link.wait(heads.len());
                    stream.write_all(&heads)?;
                }
            }
            Answer::EndlessError(is_faulty) if is_faulty.load(Ordering::Relaxed) => {
                let head = format!(
                    "HTTP/1.1 500 Internal Server Error\r\nX-Attempt-Id: {attempt}\r\nX-Response-Seal: {id}.1\r\n\r\n"
                );
                stream.write_all(head.as_bytes())?;
                let link = Link { bytes_per_s: ERROR_BYTES_PER_S, next: Mutex::new(Instant::now()) };
                let bytes = vec![b'x'; 32 * 1024];
                loop {
                    link.wait(bytes.len());
                    stream.write_all(&bytes)?;
                }
            }
            Answer::Events | Answer::EndlessError(_) => {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Response-Seal: {id}.1\r\nX-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                );
                stream.write_all(head.as_bytes())?;
                for event in 1..=EVENTS {
                    thread::sleep(EVENT_INTERVAL);
                    let text = format!("id: {event}\ndata: part {event} of {attempt}\n\n");
                    let chunk = format!("{:x}\r\n{text}\r\n", text.len());
                    stream.write_all(chunk.as_bytes())?;
                }
                stream.write_all(b"0\r\n\r\n")?;
            }
            Answer::Complete(work) | Answer::EndlessHeads(work, ..) => {
                thread::sleep(*work);
                let body = format!("result of {attempt}\n").repeat(20);
                let head = format!(
                    "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Response-Seal: {id}.1\r\nContent-Length: {}\r\n\r\n",
                    body.len()
                );
                stream.write_all(head.as_bytes())?;
                stream.write_all(body.as_bytes())?;
            }
        }
    }
    Ok(())
}

/// The number of events of a stream; the mean of the sheet's shortest kind.
const EVENTS: u32 = 32;

/// The time between two events.
const EVENT_INTERVAL: Duration = Duration::from_millis(30);

/// What a server in trouble sends on one channel.
const ERROR_BYTES_PER_S: f64 = 1.8e6;

// ---------------------------------------------------------------- machines

/// Returns an address on which nothing listens.
fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// One machine of the system, with the process that the deploy file names.
struct Machine {
    process: Child,
    front: SocketAddr,
    ready: SocketAddr,
    in_rotation: Arc<AtomicBool>,
}

impl Drop for Machine {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

/// The share of a core of a machine; `limits.cpu_share` of the site's sheet.
const CPU_SHARE: f64 = 0.17;

impl Machine {
    /// Starts the process with settings as `deploy/node.toml.tmpl` renders them.
    fn start(index: usize, store: SocketAddr, directory: &Path) -> io::Result<Machine> {
        let addresses = [free_address()?, free_address()?, free_address()?, free_address()?];
        let [front, ready, status, control] = addresses;
        let settings = format!(
            "instance = \"front-z1-{index}\"\navailability_zone = \"z1\"\nhttp_listen = \"{front}\"\n\
             ready_listen = \"{ready}\"\nstatus_listen = \"{status}\"\npeer_listen = \"{control}\"\n\
             peer_key = \"limpetkeel peers of one deployment\"\nstore = \"{store}\"\nseeds = []\n\
             processor_share = {CPU_SHARE}\nmemory_limit_mb = 182\nleave_timeout_s = 8\nretry_ratio = 0.2\n\
             retry_allowance = 234\nretry_window_s = 10\n"
        );
        let file = directory.join(format!("node-{index}.toml"));
        fs::write(&file, settings)?;
        let log = fs::File::create(directory.join(format!("node-{index}.log")))?;
        let process = Command::new(PROGRAM)
            .env_clear()
            .env("LIMPETKEEL_BOOT", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        Ok(Machine { process, front, ready, in_rotation: Arc::new(AtomicBool::new(false)) })
    }

    /// Limits the process to its share of a core, as a quota for each tenth of a second: it is
    /// stopped when the quota is used up and continued with the next tenth.
    fn limit_processor(&self, stop: &Arc<AtomicBool>) {
        let (pid, stop) = (self.process.id(), stop.clone());
        thread::spawn(move || {
            let period = Duration::from_millis(100);
            while !stop.load(Ordering::Relaxed) {
                let (begin, used) = (Instant::now(), processor_time(pid));
                while begin.elapsed() < period && processor_time(pid) - used < CPU_SHARE * 0.1 {
                    thread::sleep(Duration::from_millis(1));
                }
                let rest = period.saturating_sub(begin.elapsed());
                if rest > Duration::from_millis(1) {
                    signal(pid, SIGSTOP);
                    thread::sleep(rest);
                    signal(pid, SIGCONT);
                }
            }
            signal(pid, SIGCONT);
        });
    }

    /// Asks for readiness once a second, as the platform does. Two misses take the machine out.
    fn check_readiness(&self, index: usize, record: &Record, stop: &Arc<AtomicBool>) {
        let (address, in_rotation) = (self.ready, self.in_rotation.clone());
        let (record, stop) = (record.clone(), stop.clone());
        thread::spawn(move || {
            let mut misses = 0;
            while !stop.load(Ordering::Relaxed) {
                let asked = Instant::now();
                let was_in = in_rotation.load(Ordering::Relaxed);
                if is_ready(address) {
                    misses = 0;
                    in_rotation.store(true, Ordering::Relaxed);
                } else {
                    misses += 1;
                    if misses >= 2 {
                        in_rotation.store(false, Ordering::Relaxed);
                    }
                }
                let is_in = in_rotation.load(Ordering::Relaxed);
                if is_in != was_in {
                    record.add(&format!("machine {index} {}", if is_in { "in rotation" } else { "out of rotation" }));
                }
                thread::sleep(Duration::from_secs(1).saturating_sub(asked.elapsed()));
            }
        });
    }
}

const SIGCONT: i32 = 18;
const SIGSTOP: i32 = 19;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Sends a signal to a process that this case has started.
fn signal(pid: u32, number: i32) {
    unsafe {
        kill(pid as i32, number);
    }
}

/// Returns the processor time that the threads of a process have used, in seconds.
fn processor_time(pid: u32) -> f64 {
    let tasks = fs::read_dir(format!("/proc/{pid}/task"));
    let tasks = tasks.into_iter().flatten().flatten();
    let nanoseconds = tasks.filter_map(|task| {
        let text = fs::read_to_string(task.path().join("schedstat")).ok()?;
        text.split(' ').next()?.parse::<u64>().ok()
    });
    nanoseconds.sum::<u64>() as f64 / 1e9
}

/// Returns `true` if a machine answers 200 within a second.
fn is_ready(address: SocketAddr) -> bool {
    let timeout = Duration::from_secs(1);
    let ask = || -> io::Result<bool> {
        let mut stream = TcpStream::connect_timeout(&address, timeout)?;
        stream.set_read_timeout(Some(timeout))?;
        stream.write_all(b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")?;
        let mut head = [0; 12];
        stream.read_exact(&mut head)?;
        Ok(&head[9..12] == b"200")
    };
    ask().unwrap_or(false)
}

// ---------------------------------------------------------------- clients

/// A request as its client saw it.
struct Sent {
    sent: Instant,
    answered: Option<Instant>,
}

/// Sends a request on a new channel and waits for its answer up to the client's time limit.
fn request(
    record: &Record,
    front: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    time_limit: Duration,
) -> Sent {
    let sent = Instant::now();
    record.add(&format!("sent {id} {method} {path}"));
    let answer = || -> io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&front, time_limit)?;
        stream.set_nodelay(true)?;
        let body = if method == "POST" { "booking" } else { "" };
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {}\r\nAuthorization: Bearer key1\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
            time_limit.as_millis(),
            body.len()
        );
        stream.write_all(head.as_bytes())?;
        let mut response = Vec::new();
        let mut chunk = [0; 4096];
        loop {
            let rest = time_limit.saturating_sub(sent.elapsed());
            if rest.is_zero() {
                return Err(io::ErrorKind::TimedOut.into());
            }
            stream.set_read_timeout(Some(rest))?;
            let read = stream.read(&mut chunk)?;
            if read == 0 {
                break;
            }
            response.extend_from_slice(&chunk[..read]);
        }
        Ok(String::from_utf8_lossy(&response).chars().skip(9).take(3).collect())
    };
    let result = answer();
    let waited = sent.elapsed().as_millis();
    match result {
        Ok(status) => {
            let status = if status.is_empty() { "closed" } else { &status };
            record.add(&format!("answer {id} {status} after {waited} ms"));
            Sent { sent, answered: Some(Instant::now()) }
        }
        Err(e) => {
            record.add(&format!("no answer {id} ({:?}) after {waited} ms", e.kind()));
            Sent { sent, answered: None }
        }
    }
}

// ---------------------------------------------------------------- case 2

const TIMEOUT_MS: u64 = 2_000;

fn config() -> String {
    let route = |name: &str, prefix: &str, kind: &str, attempts: u32| {
        format!(
            r#"{{"name":"{name}","host":"a.example","prefix":"{prefix}","kind":"{kind}","timeout_ms":{TIMEOUT_MS},"goal_ms":300,"priority":2,"service":"desk","max_attempts":{attempts},"public":false}}"#
        )
    };
    let routes = [
        route("r-book", "/book/", "non_idempotent", 1),
        route("r-look", "/look/", "idempotent", 2),
    ];
    format!(
        r#"{{"version":3,"routes":[{}],"services":[{{"name":"desk","health_path":"/health","max_conns":248,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"t1","api_keys":["key1"]}}]}}"#,
        routes.join(",")
    )
}

/// One server of three sends interim heads without end.
fn endless_heads(directory: &Path, scratch: &Path, trouble: bool) -> io::Result<bool> {
    const MACHINES: usize = 2;
    const LENGTH: Duration = Duration::from_secs(40);
    const BEGIN: Duration = Duration::from_secs(10);
    const WORK: Duration = Duration::from_millis(60);
    let record = Record::new();
    let (store, store_address) = Store::start()?;
    store.write("op/config", &config());
    for id in ["i-2", "i-3"] {
        start_server(&store, &record, "desk", id, Answer::Complete(WORK))?;
    }
    let is_faulty = Arc::new(AtomicBool::new(false));
    let link = Arc::new(Link { bytes_per_s: link_rate(), next: Mutex::new(Instant::now()) });
    let answer = Answer::EndlessHeads(WORK, is_faulty.clone(), link);
    start_server(&store, &record, "desk", "i-1", answer)?;
    let stop = Arc::new(AtomicBool::new(false));
    let machines: Vec<Machine> = (1..=MACHINES)
        .map(|index| Machine::start(index, store_address, scratch))
        .collect::<io::Result<_>>()?;
    let ready_by = Instant::now() + Duration::from_secs(10);
    while !machines.iter().all(|machine| is_ready(machine.ready)) {
        if Instant::now() > ready_by {
            return Err(io::Error::other("a machine is not ready"));
        }
        thread::sleep(Duration::from_millis(50));
    }
    for (index, machine) in machines.iter().enumerate() {
        machine.in_rotation.store(true, Ordering::Relaxed);
        machine.limit_processor(&stop);
        machine.check_readiness(index + 1, &record, &stop);
    }
    let begin = Instant::now();
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let number = AtomicU64::new(0);
    let mut clients = Vec::new();
    let mut has_begun = !trouble;
    // The site's rates for this service: 4.21 bookings and 3 look-ups a second.
    let interval = Duration::from_secs_f64(1.0 / 7.21);
    while begin.elapsed() < LENGTH {
        if !has_begun && begin.elapsed() >= BEGIN {
            has_begun = true;
            record.add("trouble: server i-1 sends interim heads without end");
            is_faulty.store(true, Ordering::Relaxed);
        }
        let n = number.fetch_add(1, Ordering::Relaxed);
        // The platform uses all machines if fewer than half are in rotation.
        let all: Vec<_> = machines.iter().collect();
        let ready: Vec<_> = all.iter().filter(|m| m.in_rotation.load(Ordering::Relaxed)).copied().collect();
        let usable = if ready.len() * 2 < all.len() { all } else { ready };
        let front = usable[(n % usable.len() as u64) as usize].front;
        let (record, sent) = (record.clone(), sent.clone());
        clients.push(thread::spawn(move || {
            let id = format!("{:016x}", 0x5eed_0000_0000_0000_u64 + n);
            let (method, path) = if n % 12 < 7 { ("POST", "/book/rack") } else { ("GET", "/look/stock") };
            let result = request(&record, front, method, path, &id, Duration::from_millis(4_000));
            sent.lock().unwrap().push(result);
        }));
        thread::sleep((interval * (n as u32 + 1)).saturating_sub(begin.elapsed()));
    }
    for client in clients {
        let _ = client.join();
    }
    stop.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_millis(150));
    drop(machines);
    let sent = sent.lock().unwrap();
    let lasting = |ms: u64| {
        let limit = Duration::from_millis(ms);
        sent.iter().filter(|s| s.answered.is_none_or(|at| at - s.sent > limit)).count()
    };
    let (at_timeout, later) = (lasting(TIMEOUT_MS), lasting(TIMEOUT_MS + 500));
    let is_broken = later >= 8 && later * 2 > at_timeout;
    record.add(&format!(
        "{} requests, {at_timeout} without an answer at their route's timeout of {TIMEOUT_MS} ms, {later} of them 500 ms later: {}",
        sent.len(),
        if is_broken { "broken" } else { "held" }
    ));
    record.save(directory);
    Ok(is_broken)
}

// ---------------------------------------------------------------- case 3

/// `limits.memory_mb` of the site's sheet, in bytes.
const MEMORY_LIMIT: u64 = 182 * 1024 * 1024;

/// Returns the resident memory of a process in bytes.
fn resident_memory(pid: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1024
}

fn stream_config() -> String {
    let route = r#"{"name":"r-ask","host":"a.example","prefix":"/ask/","kind":"streaming","timeout_ms":10000,"goal_ms":250,"priority":0,"service":"advisor","max_attempts":2,"public":false,"sticky":true,"gap_aim_ms":250}"#;
    let engine = r#"{"slots":16,"kv_capacity_tokens":232000,"token_kv_bytes":327680,"stride":43,"models":[{"name":"m"}],"step_ms":1.02,"per_seq_ms":0.00226,"context_per_k":0.00431,"read_per_s":206000.0,"pairs_per_m":0.138,"chunk":2048,"report_lag_ms":200.0,"usual":{"prompt":12337,"answer":1303},"hop_ms":0.075}"#;
    format!(
        r#"{{"version":3,"routes":[{route}],"services":[{{"name":"advisor","health_path":"/health","max_conns":819,"protocol":"h1","tls":false,"engine":{engine}}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"t1","api_keys":["key1"]}}]}}"#
    )
}

/// How a stream ended for its client.
#[derive(Clone, Copy, PartialEq, Eq)]
enum End {
    Complete,
    Failure,
    Closed,
    TimeLimit,
    NoChannel,
}

/// Sends a request for a stream on a channel that the client keeps open.
fn ask(record: &Record, front: SocketAddr, id: &str) -> End {
    const TIME_LIMIT: Duration = Duration::from_millis(10_000);
    let sent = Instant::now();
    record.add(&format!("sent {id} POST /ask/fit"));
    let Ok(mut stream) = TcpStream::connect_timeout(&front, Duration::from_secs(1)) else {
        record.add(&format!("no channel {id}"));
        return End::NoChannel;
    };
    let head = format!(
        "POST /ask/fit HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {}\r\nAuthorization: Bearer key1\r\nX-Model: m\r\nX-Token-Count: 5000,1300\r\nX-Prompt-Prefix: 5c1e07a2:40,{id}:4960\r\nContent-Length: 8\r\n\r\nquestion",
        TIME_LIMIT.as_millis()
    );
    let mut response = Vec::new();
    let mut chunk = [0; 8192];
    let end = if stream.write_all(head.as_bytes()).is_err() {
        End::Closed
    } else {
        loop {
            let rest = TIME_LIMIT.saturating_sub(sent.elapsed());
            if rest.is_zero() {
                break End::TimeLimit;
            }
            let _ = stream.set_read_timeout(Some(rest));
            match stream.read(&mut chunk) {
                Ok(0) => break End::Closed,
                Ok(read) => response.extend_from_slice(&chunk[..read]),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => break End::TimeLimit,
                Err(_) => break End::Closed,
            }
            let is_success = response.starts_with(b"HTTP/1.1 200");
            if is_success && response.ends_with(b"\r\n0\r\n\r\n") {
                break End::Complete;
            }
            if !is_success && response.windows(4).any(|bytes| bytes == b"\r\n\r\n") {
                break End::Failure;
            }
        }
    };
    let status = String::from_utf8_lossy(&response).chars().skip(9).take(3).collect::<String>();
    let text = match end {
        End::Complete => "complete",
        End::Failure => "failure",
        End::Closed => "channel closed without the end of an answer",
        End::TimeLimit => "time limit passed",
        End::NoChannel => "no channel",
    };
    record.add(&format!("answer {id} {status} {text} after {} ms", sent.elapsed().as_millis()));
    end
}

/// Three servers of five answer with an error whose body has no end.
fn endless_errors(directory: &Path, scratch: &Path, trouble: bool) -> io::Result<bool> {
    const LENGTH: Duration = Duration::from_secs(45);
    const BEGIN: Duration = Duration::from_secs(5);
    const PER_S: f64 = 14.0;
    let record = Record::new();
    let (store, store_address) = Store::start()?;
    store.write("op/config", &stream_config());
    let is_faulty = Arc::new(AtomicBool::new(false));
    let in_trouble = ["m-2", "m-3", "m-4"];
    for id in in_trouble {
        start_server(&store, &record, "advisor", id, Answer::EndlessError(is_faulty.clone()))?;
    }
    for id in ["m-1", "m-5"] {
        start_server(&store, &record, "advisor", id, Answer::Events)?;
    }
    let stop = Arc::new(AtomicBool::new(false));
    let mut fronts = Vec::new();
    let mut platforms = Vec::new();
    for index in 1..=2 {
        let mut machine = Machine::start(index, store_address, scratch)?;
        fronts.push((machine.front, machine.ready));
        let (record, stop, file) =
            (record.clone(), stop.clone(), scratch.join(format!("node-{index}.toml")));
        // The platform: ends a process whose memory is over the limit, and starts it again.
        platforms.push(thread::spawn(move || {
            let (mut largest, mut ends) = (0, 0);
            while !stop.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(10));
                let memory = resident_memory(machine.process.id());
                largest = largest.max(memory);
                if memory > MEMORY_LIMIT {
                    ends += 1;
                    record.add(&format!("machine {index}: memory {} MB, over the limit: killed", memory >> 20));
                    let _ = machine.process.kill();
                    let _ = machine.process.wait();
                    thread::sleep(Duration::from_millis(300));
                    let started = Command::new(PROGRAM)
                        .env_clear()
                        .env("LIMPETKEEL_BOOT", &file)
                        .stdin(Stdio::null())
                        .stdout(Stdio::null())
                        .stderr(Stdio::null())
                        .spawn();
                    match started {
                        Ok(process) => machine.process = process,
                        Err(_) => break,
                    }
                }
            }
            record.add(&format!("machine {index}: most memory {} MB, ended {ends} times", largest >> 20));
        }));
    }
    let ready_by = Instant::now() + Duration::from_secs(10);
    while !fronts.iter().all(|(_, ready)| is_ready(*ready)) {
        if Instant::now() > ready_by {
            stop.store(true, Ordering::Relaxed);
            return Err(io::Error::other("a machine is not ready"));
        }
        thread::sleep(Duration::from_millis(50));
    }
    let begin = Instant::now();
    let ends: Arc<Mutex<BTreeMap<String, End>>> = Arc::default();
    let mut clients = Vec::new();
    let mut number = 0_u32;
    while begin.elapsed() < LENGTH {
        if trouble && begin.elapsed() >= BEGIN && !is_faulty.swap(true, Ordering::Relaxed) {
            record.add("trouble: servers m-2, m-3 and m-4 answer with errors without end");
        }
        let front = fronts[number as usize % fronts.len()].0;
        let (record, ends) = (record.clone(), ends.clone());
        let id = format!("{:016x}", 0x5eed_0000_0000_0000_u64 + u64::from(number));
        clients.push(thread::spawn(move || {
            let end = ask(&record, front, &id);
            ends.lock().unwrap().insert(id, end);
        }));
        number += 1;
        let due = Duration::from_secs_f64(f64::from(number) / PER_S);
        thread::sleep(due.saturating_sub(begin.elapsed()));
    }
    for client in clients {
        let _ = client.join();
    }
    stop.store(true, Ordering::Relaxed);
    for platform in platforms {
        let _ = platform.join();
    }
    let lines = record.lines.lock().unwrap().clone();
    let ends = ends.lock().unwrap();
    let runs = lines.lines().filter_map(|line| line.trim().split_once(" run ")?.1.split_once(" at "));
    let lost: Vec<_> = runs
        .filter(|(_, server)| !in_trouble.contains(server))
        .filter(|(id, _)| ends.get(*id) == Some(&End::Closed))
        .map(|(id, server)| format!("{id} at {server}"))
        .collect();
    let is_broken = lost.len() > 3;
    record.add(&format!(
        "{} requests; passed on to a sound server and closed without an answer: {} ({}): {}",
        ends.len(),
        lost.len(),
        lost.join(", "),
        if is_broken { "broken" } else { "held" }
    ));
    record.save(directory);
    Ok(is_broken)
}

/// What the server that misbehaves sends in bytes per second: less than the link of one machine,
/// 700 Mbit/s.
fn link_rate() -> f64 {
    let megabytes = std::env::var("RATE_MB").ok().and_then(|text| text.parse().ok());
    megabytes.unwrap_or(80.0) * 1e6
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, directory] = &arguments[..] else {
        eprintln!("usage: standin CASE DIRECTORY");
        std::process::exit(2);
    };
    let directory = PathBuf::from(directory);
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let scratch = std::env::temp_dir().join(format!("limpetkeel-review-{}", std::process::id()));
    let result = fs::create_dir_all(&scratch).and_then(|()| match case.as_str() {
        "endless-heads" => endless_heads(&directory, &scratch, trouble),
        "endless-errors" => endless_errors(&directory, &scratch, trouble),
        _ => Err(io::Error::other("no such case")),
    });
    let _ = fs::remove_dir_all(&scratch);
    std::process::exit(match result {
        Ok(false) => 0,
        Ok(true) => 1,
        Err(e) => {
            eprintln!("{e}");
            2
        }
    });
}
