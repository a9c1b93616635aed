//! A stand-in for the platform's store, with revisions, watches, transactions and leases.

mod contents;

use std::{collections, net, sync, time};

use base64::Engine as _;
use http_body_util::BodyExt as _;
use hyper::{body::Incoming, server::conn::http1, service};
use hyper_util::rt;
use platform::{names, wire};
use tokio::sync::Notify;

use crate::deployment;

pub use contents::Contents;

/// The behavior of the store towards calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseMode {
    /// Calls are executed.
    Normal,
    /// Calls are refused with status 503 and not executed.
    Refuse,
    /// Calls are not executed and get no response.
    Hang,
}

/// What the store sends as its era.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EraHeader {
    /// The era.
    Sent,
    /// No header.
    Missing,
    /// A value that is not a number.
    Malformed,
}

/// The contents of the store and how it behaves.
#[derive(Debug)]
struct State {
    contents: Contents,
    /// The number of times that the contents were restored, plus one.
    era: u64,
    era_header: EraHeader,
    /// The behavior at each address.
    response_modes: Vec<ResponseMode>,
    /// The number of received calls.
    calls: usize,
    /// The number of items on a page.
    page_size: usize,
    /// Items of an unexpected form, which the first page of each read contains.
    malformed_items: Vec<Box<serde_json::value::RawValue>>,
}

/// The store. It listens on one address for each instance, so that its behavior can differ between
/// instances.
#[derive(Clone)]
pub struct Store {
    /// The addresses that the store listens on, by the index of the instance.
    pub addresses: Vec<net::SocketAddr>,
    state: sync::Arc<parking_lot::Mutex<State>>,
    changed: sync::Arc<Notify>,
}

type Query = collections::BTreeMap<String, String>;
type Response = http::Response<http_body_util::Full<bytes::Bytes>>;

/// The number of items on a page.
const DEFAULT_PAGE_SIZE: usize = 500;

/// The interval at which expired leases are revoked.
const EXPIRY_INTERVAL: time::Duration = time::Duration::from_millis(20);

impl Store {
    /// Starts an empty store that listens on the given number of addresses.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub async fn start(address_count: usize) -> deployment::Result<Store> {
        let mut listeners = Vec::new();
        for _ in 0..address_count {
            let address = (net::Ipv4Addr::LOCALHOST, 0);
            listeners.push(tokio::net::TcpListener::bind(address).await?);
        }
        let addresses: std::io::Result<_> = listeners
            .iter()
            .map(|listener| listener.local_addr())
            .collect();
        let state = State {
            contents: Contents::default(),
            era: 1,
            era_header: EraHeader::Sent,
            response_modes: vec![ResponseMode::Normal; address_count],
            calls: 0,
            page_size: DEFAULT_PAGE_SIZE,
            malformed_items: Vec::new(),
        };
        let store = Store {
            addresses: addresses?,
            state: sync::Arc::new(parking_lot::Mutex::new(state)),
            changed: sync::Arc::new(Notify::new()),
        };
        for (index, listener) in listeners.into_iter().enumerate() {
            tokio::spawn(store.clone().accept(listener, index));
        }
        tokio::spawn(store.clone().run_lease_expiry());
        Ok(store)
    }

    async fn accept(self, listener: tokio::net::TcpListener, index: usize) {
        while let Ok((stream, _)) = listener.accept().await {
            let store = self.clone();
            tokio::spawn(async move {
                let handler = service::service_fn(move |req| {
                    let store = store.clone();
                    async move { Ok::<_, std::convert::Infallible>(store.handle(req, index).await) }
                });
                let _ = http1::Builder::new()
                    .serve_connection(rt::TokioIo::new(stream), handler)
                    .await;
            });
        }
    }

    async fn run_lease_expiry(self) {
        loop {
            tokio::time::sleep(EXPIRY_INTERVAL).await;
            let before = self.state.lock().contents.revision;
            self.state.lock().contents.revoke_expired_leases();
            if self.state.lock().contents.revision != before {
                self.changed.notify_waiters();
            }
        }
    }

    /// Sets the behavior at all addresses.
    pub fn set_response_mode(&self, mode: ResponseMode) {
        self.state.lock().response_modes.fill(mode);
        self.changed.notify_waiters();
    }

    /// Sets the behavior at one address.
    pub fn set_response_mode_at(&self, index: usize, mode: ResponseMode) {
        self.state.lock().response_modes[index] = mode;
        self.changed.notify_waiters();
    }

    /// Writes a value without a lease, as the operator or an upstream does, and returns its revision.
    pub fn put(&self, key: &str, value: &[u8]) -> u64 {
        let text = base64::engine::general_purpose::STANDARD.encode(value);
        let mut state = self.state.lock();
        state.contents.write(key, text, 0);
        let revision = state.contents.revision;
        drop(state);
        self.changed.notify_waiters();
        revision
    }

    /// Sets the number of items on a page.
    pub fn set_page_size(&self, page_size: usize) {
        self.state.lock().page_size = page_size;
    }

    /// Adds an item of an unexpected form to the first page of each read.
    ///
    /// # Panics
    ///
    /// Panics if the text is not JSON.
    pub fn add_malformed_item(&self, json: &str) {
        let json = serde_json::value::RawValue::from_string(json.to_owned());
        self.state.lock().malformed_items.push(json.expect("JSON"));
    }

    /// Deletes a key.
    pub fn delete(&self, key: &str) {
        self.state.lock().contents.delete(key);
        self.changed.notify_waiters();
    }

    /// Compacts the history, so that watches from older revisions fail with status 410.
    pub fn compact(&self) {
        let mut state = self.state.lock();
        let contents = &mut state.contents;
        contents.compacted_revision = contents.revision;
        contents.history.clear();
        drop(state);
        self.changed.notify_waiters();
    }

    /// Returns a copy of the contents.
    pub fn copy(&self) -> Contents {
        self.state.lock().contents.clone()
    }

    /// Goes back to a copy of the contents, in the next era. Revisions and leases are numbered from
    /// those of the copy.
    pub fn restore(&self, contents: &Contents) {
        let mut state = self.state.lock();
        state.contents = contents.clone();
        state.era += 1;
        drop(state);
        self.changed.notify_waiters();
    }

    /// Sets what the store sends as its era.
    pub fn set_era_header(&self, header: EraHeader) {
        self.state.lock().era_header = header;
    }

    /// Returns the keys that start with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.state.lock();
        let keys = state
            .contents
            .items
            .keys()
            .filter(|key| key.starts_with(prefix));
        keys.cloned().collect()
    }

    /// Returns the number of received calls.
    pub fn call_count(&self) -> usize {
        self.state.lock().calls
    }

    async fn handle(&self, req: http::Request<Incoming>, index: usize) -> Response {
        let mut response = self.execute(req, index).await;
        let value = {
            let state = self.state.lock();
            match state.era_header {
                EraHeader::Sent => Some(state.era.to_string()),
                EraHeader::Missing => None,
                EraHeader::Malformed => Some("first".to_owned()),
            }
        };
        if let Some(value) = value.and_then(|value| value.parse().ok()) {
            response.headers_mut().insert(names::STORE_ERA, value);
        }
        response
    }

    async fn execute(&self, req: http::Request<Incoming>, index: usize) -> Response {
        let mode = {
            let mut state = self.state.lock();
            state.calls += 1;
            state.response_modes[index]
        };
        match mode {
            ResponseMode::Hang => return std::future::pending().await,
            ResponseMode::Refuse => return status_response(503),
            ResponseMode::Normal => {}
        }
        let (head, body) = req.into_parts();
        let query = parse_query(head.uri.query().unwrap_or(""));
        let path = head.uri.path().to_owned();
        let body = body.collect().await.map(|b| b.to_bytes());
        let body = body.unwrap_or_default();
        if path == names::READ_PATH {
            return self.handle_read(&query);
        }
        if path == names::WATCH_PATH {
            return self.handle_watch(&query, index).await;
        }
        if path == names::TRANSACTION_PATH {
            return self.commit_transaction(&body);
        }
        if path == names::GRANT_LEASE_PATH {
            return self.grant_lease(&body);
        }
        if let Some(id) = parse_lease_id(&path, names::RENEW_LEASE_PATH) {
            return self.renew_lease(id);
        }
        if let Some(id) = parse_lease_id(&path, names::END_LEASE_PATH) {
            let existed = self.state.lock().contents.revoke_lease(id);
            self.changed.notify_waiters();
            return status_response(if existed { 200 } else { 404 });
        }
        status_response(400)
    }

    fn handle_read(&self, query: &Query) -> Response {
        let state = self.state.lock();
        let prefix = query.get("prefix").map_or("", String::as_str);
        let after = query.get("after").map_or("", String::as_str);
        let mut remaining = state.contents.items.values().filter(|item| {
            item.key.starts_with(prefix) && (after.is_empty() || item.key.as_str() > after)
        });
        let mut items = Vec::new();
        if after.is_empty() {
            let malformed = state.malformed_items.iter().cloned();
            items.extend(malformed.map(|json| wire::ReceivedItem::Unreadable(json.into())));
        }
        let page = remaining.by_ref().take(state.page_size).cloned();
        items.extend(page.map(wire::ReceivedItem::Readable));
        json_response(&wire::ReadResponse {
            items,
            has_more: remaining.next().is_some(),
            store_revision: state.contents.revision,
        })
    }

    async fn handle_watch(&self, query: &Query, index: usize) -> Response {
        let parse_param = |name: &str| query.get(name).and_then(|text| text.parse().ok());
        let after: u64 = parse_param("after").unwrap_or(0);
        let wait = time::Duration::from_millis(parse_param("wait_ms").unwrap_or(0));
        let prefix = query.get("prefix").map_or("", String::as_str);
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            {
                let state = self.state.lock();
                match state.response_modes[index] {
                    ResponseMode::Normal => {}
                    ResponseMode::Refuse => return status_response(503),
                    ResponseMode::Hang => break,
                }
                let contents = &state.contents;
                if after < contents.compacted_revision || after > contents.revision {
                    return status_response(410);
                }
                let events: Vec<_> = contents
                    .history
                    .iter()
                    .filter(|item| item.revision > after && item.key.starts_with(prefix))
                    .cloned()
                    .map(wire::ReceivedItem::Readable)
                    .collect();
                if !events.is_empty() || tokio::time::Instant::now() >= deadline {
                    let store_revision = contents.revision;
                    return json_response(&wire::WatchResponse {
                        events,
                        store_revision,
                    });
                }
            }
            let _ = tokio::time::timeout_at(deadline, changed).await;
        }
        std::future::pending().await
    }

    fn commit_transaction(&self, body: &[u8]) -> Response {
        let Ok(transaction) = serde_json::from_slice::<wire::Transaction>(body) else {
            return status_response(400);
        };
        let mut state = self.state.lock();
        let contents = &mut state.contents;
        let unchanged = transaction.expected.iter().all(|expected| {
            let current = contents.items.get(&expected.key);
            current.map_or(0, |item| item.revision) == expected.revision
        });
        if !unchanged {
            return status_response(412);
        }
        let lease_missing = |put: &wire::Put| put.lease != 0 && !contents.has_lease(put.lease);
        if transaction.puts.iter().any(lease_missing) {
            return status_response(404);
        }
        for put in transaction.puts {
            contents.write(&put.key, put.value, put.lease);
        }
        for key in transaction.remove {
            contents.delete(&key);
        }
        let revision = contents.revision;
        drop(state);
        self.changed.notify_waiters();
        json_response(&wire::TransactionResponse { revision })
    }

    fn grant_lease(&self, body: &[u8]) -> Response {
        let Ok(request) = serde_json::from_slice::<wire::LeaseRequest>(body) else {
            return status_response(400);
        };
        let ttl = time::Duration::from_millis(request.ttl_ms);
        let id = self.state.lock().contents.grant_lease(ttl);
        json_response(&wire::LeaseResponse {
            lease: id,
            ttl_ms: request.ttl_ms,
        })
    }

    fn renew_lease(&self, id: u64) -> Response {
        let renewed = self.state.lock().contents.renew_lease(id);
        status_response(if renewed { 200 } else { 404 })
    }
}

fn parse_lease_id(path: &str, prefix: &str) -> Option<u64> {
    path.strip_prefix(prefix)?.strip_prefix('/')?.parse().ok()
}

fn parse_query(query: &str) -> Query {
    let decode = |text: &str| {
        let decoded = percent_encoding::percent_decode_str(text);
        decoded.decode_utf8_lossy().into_owned()
    };
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (name.to_owned(), decode(value)))
        .collect()
}

fn status_response(code: u16) -> Response {
    let mut res = http::Response::new(http_body_util::Full::default());
    *res.status_mut() = http::StatusCode::from_u16(code).unwrap_or_default();
    res
}

fn json_response<T: serde::Serialize>(value: &T) -> Response {
    let body = serde_json::to_vec(value).unwrap_or_default();
    http::Response::new(http_body_util::Full::new(body.into()))
}
