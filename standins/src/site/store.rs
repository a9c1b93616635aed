//! A stand-in for the platform's store: revisions, watches, transactions and leases.

use std::{collections, net, sync, time};

use base64::Engine as _;
use http_body_util::BodyExt as _;
use hyper::{body::Incoming, server::conn::http1, service};
use hyper_util::rt;
use platform::{names, wire};
use tokio::sync::Notify;

use crate::site;

/// How the store answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mood {
    /// As it should.
    Well,
    /// Every call is refused; nothing is done.
    Busy,
    /// No call is answered.
    Silent,
}

#[derive(Debug)]
struct Lease {
    ends: time::Instant,
    lifetime: time::Duration,
}

#[derive(Debug)]
struct State {
    items: collections::BTreeMap<String, wire::Item>,
    history: Vec<wire::Item>,
    /// Changes up to this revision are no longer in the history.
    dropped: u64,
    revision: u64,
    leases: collections::BTreeMap<u64, Lease>,
    next_lease: u64,
    /// How the store answers at each of its doors.
    moods: Vec<Mood>,
    calls: usize,
}

impl State {
    fn write(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |i| i.create_rev);
        let item = wire::Item {
            key: key.to_owned(),
            value: Some(value),
            revision: self.revision,
            create_rev: created,
            lease,
            deleted: false,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push(item);
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_none() {
            return;
        }
        self.revision += 1;
        self.history.push(wire::Item {
            key: key.to_owned(),
            revision: self.revision,
            deleted: true,
            ..wire::Item::default()
        });
    }

    fn end_lease(&mut self, id: u64) -> bool {
        let known = self.leases.remove(&id).is_some();
        let keys: Vec<_> = self
            .items
            .values()
            .filter(|item| item.lease == id)
            .map(|item| item.key.clone())
            .collect();
        for key in keys {
            self.delete(&key);
        }
        known
    }

    fn expire(&mut self) {
        let now = time::Instant::now();
        let ended: Vec<_> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.ends <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in ended {
            self.end_lease(id);
        }
    }
}

/// The store, with a door for each instance, so that it can turn single ones away.
#[derive(Clone)]
pub struct Store {
    /// Where it listens.
    pub doors: Vec<net::SocketAddr>,
    state: sync::Arc<parking_lot::Mutex<State>>,
    changed: sync::Arc<Notify>,
}

type Query = collections::BTreeMap<String, String>;
type Answer = http::Response<http_body_util::Full<bytes::Bytes>>;

/// The time between two looks at leases that have ended.
const EXPIRY_INTERVAL: time::Duration = time::Duration::from_millis(20);

impl Store {
    /// Starts a store with no items.
    ///
    /// # Errors
    ///
    /// Fails if no address can be bound.
    pub async fn start(doors: usize) -> site::Result<Store> {
        let mut listeners = Vec::new();
        for _ in 0..doors {
            let address = (net::Ipv4Addr::LOCALHOST, 0);
            listeners.push(tokio::net::TcpListener::bind(address).await?);
        }
        let addresses: std::io::Result<_> = listeners
            .iter()
            .map(|listener| listener.local_addr())
            .collect();
        let state = State {
            items: collections::BTreeMap::new(),
            history: Vec::new(),
            dropped: 0,
            revision: 1,
            leases: collections::BTreeMap::new(),
            next_lease: 1,
            moods: vec![Mood::Well; doors],
            calls: 0,
        };
        let store = Store {
            doors: addresses?,
            state: sync::Arc::new(parking_lot::Mutex::new(state)),
            changed: sync::Arc::new(Notify::new()),
        };
        for (door, listener) in listeners.into_iter().enumerate() {
            tokio::spawn(store.clone().accept(listener, door));
        }
        tokio::spawn(store.clone().run_expiry());
        Ok(store)
    }

    async fn accept(self, listener: tokio::net::TcpListener, door: usize) {
        while let Ok((stream, _)) = listener.accept().await {
            let store = self.clone();
            tokio::spawn(async move {
                let handler = service::service_fn(move |req| {
                    let store = store.clone();
                    async move { Ok::<_, std::convert::Infallible>(store.answer(req, door).await) }
                });
                let _ = http1::Builder::new()
                    .serve_connection(rt::TokioIo::new(stream), handler)
                    .await;
            });
        }
    }

    async fn run_expiry(self) {
        loop {
            tokio::time::sleep(EXPIRY_INTERVAL).await;
            let before = self.state.lock().revision;
            self.state.lock().expire();
            if self.state.lock().revision != before {
                self.changed.notify_waiters();
            }
        }
    }

    /// Changes how the store answers everyone.
    pub fn set_mood(&self, mood: Mood) {
        self.state.lock().moods.fill(mood);
        self.changed.notify_waiters();
    }

    /// Changes how the store answers at one door.
    pub fn set_mood_at(&self, door: usize, mood: Mood) {
        self.state.lock().moods[door] = mood;
        self.changed.notify_waiters();
    }

    /// Writes a value as the operator or an upstream does, and returns its revision.
    pub fn put(&self, key: &str, value: &[u8]) -> u64 {
        let text = base64::engine::general_purpose::STANDARD.encode(value);
        let mut state = self.state.lock();
        state.write(key, text, 0);
        let revision = state.revision;
        drop(state);
        self.changed.notify_waiters();
        revision
    }

    /// Deletes a key.
    pub fn delete(&self, key: &str) {
        self.state.lock().delete(key);
        self.changed.notify_waiters();
    }

    /// Drops the history, so that watches of old revisions fail.
    pub fn compact(&self) {
        let mut state = self.state.lock();
        state.dropped = state.revision;
        state.history.clear();
        drop(state);
        self.changed.notify_waiters();
    }

    /// Lists the keys that begin with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.state.lock();
        let keys = state.items.keys().filter(|key| key.starts_with(prefix));
        keys.cloned().collect()
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> usize {
        self.state.lock().calls
    }

    async fn answer(&self, req: http::Request<Incoming>, door: usize) -> Answer {
        let mood = {
            let mut state = self.state.lock();
            state.calls += 1;
            state.moods[door]
        };
        match mood {
            Mood::Silent => return std::future::pending().await,
            Mood::Busy => return status(503),
            Mood::Well => {}
        }
        let (head, body) = req.into_parts();
        let query = parse_query(head.uri.query().unwrap_or(""));
        let path = head.uri.path().to_owned();
        let body = body.collect().await.map(|b| b.to_bytes());
        let body = body.unwrap_or_default();
        if path == names::RANGE_PATH {
            return self.range(&query);
        }
        if path == names::WATCH_PATH {
            return self.watch(&query, door).await;
        }
        if path == names::TRANSACTION_PATH {
            return self.commit(&body);
        }
        if path == names::LEASE_PATH {
            return self.grant(&body);
        }
        if let Some(id) = lease_of(&path, names::RENEW_PATH) {
            return self.renew(id);
        }
        if let Some(id) = lease_of(&path, names::END_LEASE_PATH) {
            let known = self.state.lock().end_lease(id);
            self.changed.notify_waiters();
            return status(if known { 200 } else { 404 });
        }
        status(400)
    }

    fn range(&self, query: &Query) -> Answer {
        let state = self.state.lock();
        let prefix = query.get("prefix").map_or("", String::as_str);
        let after = query.get("after").map_or("", String::as_str);
        let items = state.items.values().filter(|item| {
            item.key.starts_with(prefix) && (after.is_empty() || item.key.as_str() > after)
        });
        json(&wire::Page {
            items: items.cloned().collect(),
            has_more: false,
            store_revision: state.revision,
        })
    }

    async fn watch(&self, query: &Query, door: usize) -> Answer {
        let number = |name: &str| query.get(name).and_then(|text| text.parse().ok());
        let after: u64 = number("after").unwrap_or(0);
        let wait = time::Duration::from_millis(number("wait_ms").unwrap_or(0));
        let prefix = query.get("prefix").map_or("", String::as_str);
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            {
                let state = self.state.lock();
                match state.moods[door] {
                    Mood::Well => {}
                    Mood::Busy => return status(503),
                    Mood::Silent => break,
                }
                if after < state.dropped {
                    return status(410);
                }
                let events: Vec<_> = state
                    .history
                    .iter()
                    .filter(|item| item.revision > after && item.key.starts_with(prefix))
                    .cloned()
                    .collect();
                if !events.is_empty() || tokio::time::Instant::now() >= deadline {
                    let store_revision = state.revision;
                    return json(&wire::Watched {
                        events,
                        store_revision,
                    });
                }
            }
            let _ = tokio::time::timeout_at(deadline, changed).await;
        }
        std::future::pending().await
    }

    fn commit(&self, body: &[u8]) -> Answer {
        let Ok(transaction) = serde_json::from_slice::<wire::Transaction>(body) else {
            return status(400);
        };
        let mut state = self.state.lock();
        let holds = transaction.expected.iter().all(|expected| {
            let current = state.items.get(&expected.key);
            current.map_or(0, |item| item.revision) == expected.revision
        });
        if !holds {
            return status(412);
        }
        let lease_ends = |put: &wire::Put| put.lease != 0 && !state.leases.contains_key(&put.lease);
        if transaction.puts.iter().any(lease_ends) {
            return status(404);
        }
        for put in transaction.puts {
            state.write(&put.key, put.value, put.lease);
        }
        for key in transaction.remove {
            state.delete(&key);
        }
        drop(state);
        self.changed.notify_waiters();
        status(200)
    }

    fn grant(&self, body: &[u8]) -> Answer {
        let Ok(grant) = serde_json::from_slice::<wire::Grant>(body) else {
            return status(400);
        };
        let mut state = self.state.lock();
        let id = state.next_lease;
        state.next_lease += 1;
        let lifetime = time::Duration::from_millis(grant.ttl_ms);
        let ends = time::Instant::now() + lifetime;
        state.leases.insert(id, Lease { ends, lifetime });
        json(&wire::Granted {
            lease: id,
            ttl_ms: grant.ttl_ms,
        })
    }

    fn renew(&self, id: u64) -> Answer {
        let mut state = self.state.lock();
        let Some(lease) = state.leases.get_mut(&id) else {
            return status(404);
        };
        lease.ends = time::Instant::now() + lease.lifetime;
        status(200)
    }
}

fn lease_of(path: &str, prefix: &str) -> Option<u64> {
    path.strip_prefix(prefix)?.strip_prefix('/')?.parse().ok()
}

fn parse_query(query: &str) -> Query {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect()
}

fn status(code: u16) -> Answer {
    let mut res = http::Response::new(http_body_util::Full::default());
    *res.status_mut() = http::StatusCode::from_u16(code).unwrap_or_default();
    res
}

fn json<T: serde::Serialize>(value: &T) -> Answer {
    let body = serde_json::to_vec(value).unwrap_or_default();
    http::Response::new(http_body_util::Full::new(body.into()))
}
