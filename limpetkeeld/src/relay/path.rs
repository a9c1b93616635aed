//! Connects to upstreams, by the instance itself or through a peer.
//!
//! A connection of the instance itself is tried first. If it is not established soon, peers are
//! asked to connect, and whichever connection is established first is used: nothing has been sent
//! by then. While a path is severed, only peers are asked, and a connection without a request shows
//! now and then whether the path is back. A peer never asks another one, so that a connection takes
//! one hop at most.

use std::{collections, sync, time};

use futures_util::{StreamExt as _, stream};
use limpetkeel::{AttemptResult, Contact, InstanceName, Timestamp, UpstreamAddress, UpstreamName};

use crate::{
    peer::{message, tunnel},
    relay::{attempt, planning, shared, upstream},
};

/// How long a connection of the instance itself has to be established before peers are asked. Round
/// trips to another availability zone take a tenth of it.
const DIRECT_HEAD_START: time::Duration = time::Duration::from_millis(30);

/// The time between the requests to two peers, while the first one has not responded.
const PEER_INTERVAL: time::Duration = time::Duration::from_millis(40);

/// Timeout for a connection through a peer. It covers the timeout of the peer's own connection.
const SEARCH_TIMEOUT: time::Duration = time::Duration::from_millis(170);

/// Timeout for an order, including the connection.
const ORDER_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// How long a process that ends may accept connections after its first one has broken.
const EXIT_TIME: time::Duration = time::Duration::from_millis(25);

/// Timeout of a report to a peer.
const REPORT_TIMEOUT: time::Duration = time::Duration::from_millis(500);

/// Connects to an upstream.
///
/// # Errors
///
/// Returns the reason why the instance itself did not connect, if no peer has either.
pub async fn connect(
    shared: &sync::Arc<shared::Shared>,
    upstream: &UpstreamAddress,
    purpose: message::TunnelPurpose,
) -> Result<upstream::Connection, upstream::ConnectError> {
    if shared.paths.lock().is_severed(&upstream.upstream) {
        probe_if_due(shared, upstream);
        if let Some((_, connection)) = connect_through_peer(shared, upstream, purpose).await {
            return Ok(connection);
        }
        return connect_directly(shared.clone(), upstream.clone()).await;
    }
    let started = shared.clock.now();
    let mut direct = Box::pin(connect_directly(shared.clone(), upstream.clone()));
    let Ok(connected) = tokio::time::timeout(DIRECT_HEAD_START, direct.as_mut()).await else {
        return race(shared, upstream, purpose, started, direct).await;
    };
    let Err(e) = connected else {
        return connected;
    };
    let Some((peer, connection)) = connect_through_peer(shared, upstream, purpose).await else {
        return Err(e);
    };
    record_severed(shared, started, &upstream.upstream, peer.name, e);
    Ok(connection)
}

/// Waits for a connection of the instance itself and asks peers meanwhile. If a peer is faster, the
/// path counts as severed once the instance has failed to connect.
async fn race(
    shared: &sync::Arc<shared::Shared>,
    upstream: &UpstreamAddress,
    purpose: message::TunnelPurpose,
    started: Timestamp,
    mut direct: futures_util::future::BoxFuture<
        'static,
        Result<upstream::Connection, upstream::ConnectError>,
    >,
) -> Result<upstream::Connection, upstream::ConnectError> {
    let searching = connect_through_peer(shared, upstream, purpose);
    tokio::pin!(searching);
    let found = tokio::select! {
        found = &mut searching => found,
        connected = &mut direct => match connected {
            Ok(connection) => return Ok(connection),
            Err(e) => {
                let (peer, connection) = searching.await.ok_or(e)?;
                record_severed(shared, started, &upstream.upstream, peer.name, e);
                return Ok(connection);
            }
        },
    };
    let Some((peer, connection)) = found else {
        return direct.await;
    };
    let (shared, name) = (shared.clone(), upstream.upstream.clone());
    tokio::spawn(async move {
        if let Err(e) = direct.await {
            record_severed(&shared, started, &name, peer.name, e);
        }
    });
    Ok(connection)
}

/// Connects to an upstream by the instance itself, and restores its path.
async fn connect_directly(
    shared: sync::Arc<shared::Shared>,
    upstream: UpstreamAddress,
) -> Result<upstream::Connection, upstream::ConnectError> {
    let source = shared.settings.source();
    let connection = upstream::Connection::open(source, upstream.address).await?;
    let now = shared.clock.now();
    let severed = {
        let mut paths = shared.paths.lock();
        let was_severed = paths.record_direct(now, &upstream.upstream);
        was_severed.then(|| paths.severed_count())
    };
    if let Some(severed) = severed {
        let changes = &shared.metrics.relay.path_changes;
        changes.with_label_values(&["restored"]).inc();
        tracing::info!(event = "path_restored", upstream = %upstream.upstream, severed);
    }
    Ok(connection)
}

/// Records that only a peer reaches an upstream, after an attempt of the instance itself that began
/// at `started` has failed.
fn record_severed(
    shared: &shared::Shared,
    started: Timestamp,
    upstream: &UpstreamName,
    peer: InstanceName,
    e: upstream::ConnectError,
) {
    let severed = {
        let mut paths = shared.paths.lock();
        let was_direct = paths.record_severed(started, upstream, peer.clone());
        was_direct.then(|| paths.severed_count())
    };
    if let Some(severed) = severed {
        let changes = &shared.metrics.relay.path_changes;
        changes.with_label_values(&["severed"]).inc();
        let reason = e.code();
        tracing::info!(event = "path_severed", upstream = %upstream, peer = %peer, reason, severed);
    }
}

/// Checks in the background whether a severed path is back.
fn probe_if_due(shared: &sync::Arc<shared::Shared>, upstream: &UpstreamAddress) {
    let now = shared.clock.now();
    if shared.paths.lock().begin_probe(now) {
        tokio::spawn(connect_directly(shared.clone(), upstream.clone()));
    }
}

/// Asks peers to connect to an upstream, one after the other, and returns the first connection and
/// its peer.
async fn connect_through_peer(
    shared: &sync::Arc<shared::Shared>,
    upstream: &UpstreamAddress,
    purpose: message::TunnelPurpose,
) -> Option<(Contact, upstream::Connection)> {
    let mut search = Search::new(shared, upstream, purpose)?;
    let found = tokio::time::timeout(SEARCH_TIMEOUT, search.run()).await;
    let found = found.ok().flatten();
    let now = shared.clock.now();
    let mut paths = shared.paths.lock();
    match &found {
        Some((peer, _)) => paths.record_peer(&upstream.upstream, peer.name.clone()),
        None => {
            for peer in &search.unanswered {
                paths.record_peer_failure(now, &upstream.upstream, peer);
            }
            paths.record_search_failure(now, &upstream.upstream);
        }
    }
    found
}

/// A search for a peer that connects to an upstream.
struct Search<'a> {
    shared: &'a sync::Arc<shared::Shared>,
    upstream: &'a UpstreamAddress,
    purpose: message::TunnelPurpose,
    candidates: collections::VecDeque<Contact>,
    /// The peers that were asked, in order.
    asked: Vec<InstanceName>,
    /// The peers that were asked and have not responded.
    unanswered: Vec<InstanceName>,
}

impl<'a> Search<'a> {
    /// Selects the peers to ask. Returns `None` if there is none, or if none reached the upstream a
    /// short time ago.
    fn new(
        shared: &'a sync::Arc<shared::Shared>,
        upstream: &'a UpstreamAddress,
        purpose: message::TunnelPurpose,
    ) -> Option<Search<'a>> {
        let name = &upstream.upstream;
        let zone = {
            let tables = shared.tables.lock();
            let entry = tables.upstreams.get(name);
            entry.map(|entry| entry.availability_zone.clone())
        };
        let now = shared.clock.now();
        let peers = shared.membership.lock().instances.peers(now);
        let candidates = {
            let paths = shared.paths.lock();
            if !paths.may_search(now, name) {
                return None;
            }
            paths.candidates(now, name, zone.as_ref(), peers, rand::random())
        };
        (!candidates.is_empty()).then(|| Search {
            shared,
            upstream,
            purpose,
            candidates: candidates.into(),
            asked: Vec::new(),
            unanswered: Vec::new(),
        })
    }

    async fn run(&mut self) -> Option<(Contact, upstream::Connection)> {
        let mut opening = stream::FuturesUnordered::new();
        loop {
            if let Some(peer) = self.candidates.pop_front() {
                self.asked.push(peer.name.clone());
                self.unanswered.push(peer.name.clone());
                opening.push(open_tunnel(self.shared, self.upstream, self.purpose, peer));
            }
            let has_more = !self.candidates.is_empty();
            tokio::select! {
                Some((peer, opened)) = opening.next() => {
                    self.unanswered.retain(|name| *name != peer.name);
                    match opened {
                        Ok(connection) => return Some((peer, connection)),
                        Err(e) => self.record_refusal(&peer, &e),
                    }
                }
                () = tokio::time::sleep(PEER_INTERVAL), if has_more => {}
                else => return None,
            }
        }
    }

    /// Passes over a peer that did not connect. The one that it uses itself is asked next.
    fn record_refusal(&mut self, peer: &Contact, e: &tunnel::Error) {
        let now = self.shared.clock.now();
        let name = &self.upstream.upstream;
        let paths = &self.shared.paths;
        paths.lock().record_peer_failure(now, name, &peer.name);
        let tunnel::Error::Refused(message::TunnelRefusal::Unreachable(Some(hint))) = e else {
            return;
        };
        self.candidates.retain(|candidate| candidate.name != *hint);
        if self.asked.contains(hint) {
            return;
        }
        let peers = self.shared.membership.lock().instances.peers(now);
        if let Some(hinted) = peers.into_iter().find(|peer| peer.name == *hint) {
            self.candidates.push_front(hinted);
        }
    }
}

/// Asks a peer to connect to an upstream.
async fn open_tunnel(
    shared: &shared::Shared,
    upstream: &UpstreamAddress,
    purpose: message::TunnelPurpose,
    peer: Contact,
) -> (Contact, Result<upstream::Connection, tunnel::Error>) {
    let opening = message::TunnelRequest {
        upstream: upstream.clone(),
        purpose,
    };
    let opened = async {
        let stream = shared.peers.open_tunnel(peer.address, &opening).await?;
        let connection = upstream::Connection::through(peer.clone(), stream).await;
        connection.map_err(|_| tunnel::Error::Link(crate::peer::Error::Unreachable))
    };
    let opened = opened.await;
    let result = match &opened {
        Ok(_) => "opened",
        Err(tunnel::Error::Refused(refusal)) => refusal.code(),
        Err(tunnel::Error::Link(_)) => "link_failed",
    };
    let tunnels = &shared.metrics.relay.tunnels;
    tunnels.with_label_values(&["requested", result]).inc();
    (peer, opened)
}

/// Sends an order to an upstream and returns the status of the response.
///
/// # Errors
///
/// Returns an error if no response arrives. The order may have been accepted, or may still be.
pub async fn send_order(
    shared: &sync::Arc<shared::Shared>,
    upstream: &UpstreamAddress,
    req: http::Request<bytes::Bytes>,
) -> Result<http::StatusCode, upstream::Error> {
    let response = async {
        let connection = connect(shared, upstream, message::TunnelPurpose::Order).await;
        let connection = connection.map_err(upstream::Error::NotConnected)?;
        Ok(connection.send(req).await?.head.status)
    };
    let result = tokio::time::timeout(ORDER_TIMEOUT, response).await;
    result.unwrap_or(Err(upstream::Error::TimedOut))
}

/// Returns the result of a failed attempt as its planner is told. `peer` is the one that had
/// established the connection, if any.
///
/// A broken or silent connection is no evidence against the upstream if the path has failed, which a
/// new connection shows: the instance itself does not get one, but a peer does. If nobody gets one,
/// a response that broke off ended with its upstream.
pub async fn attempt_result(
    shared: &sync::Arc<shared::Shared>,
    upstream: &UpstreamAddress,
    peer: Option<&Contact>,
    cause: attempt::Cause,
) -> AttemptResult {
    match cause {
        attempt::Cause::Crashed | attempt::Cause::Broken | attempt::Cause::TimedOut => {}
        attempt::Cause::PathBroken => {
            if let Some(peer) = peer {
                let now = shared.clock.now();
                let mut paths = shared.paths.lock();
                paths.record_peer_failure(now, &upstream.upstream, &peer.name);
            }
            return AttemptResult::PathFailed;
        }
        _ => return cause.attempt_result(),
    }
    let connecting = || connect(shared, upstream, message::TunnelPurpose::Order);
    let mut connected = connecting().await;
    let has_failed = connected.as_ref().is_ok_and(|connection| {
        let used = connection.peer().map(|peer| &peer.name);
        used.is_some() && used != peer.map(|peer| &peer.name)
    });
    if has_failed {
        return AttemptResult::PathFailed;
    }
    if cause != attempt::Cause::Broken {
        return cause.attempt_result();
    }
    if connected.is_ok() {
        tokio::time::sleep(EXIT_TIME).await;
        connected = connecting().await;
    }
    match connected {
        Ok(_) => cause.attempt_result(),
        Err(_) => AttemptResult::Crashed,
    }
}

/// Reports the failure of an attempt to the planner once the path was checked, in the background.
/// Returns the task, which ends when the planner has received the report.
pub fn report_failure(
    shared: &sync::Arc<shared::Shared>,
    upstream: UpstreamAddress,
    peer: Option<Contact>,
    cause: attempt::Cause,
    mut plan_guard: planning::PlanGuard,
) -> tokio::task::JoinHandle<()> {
    let shared = shared.clone();
    tokio::spawn(async move {
        let result = attempt_result(&shared, &upstream, peer.as_ref(), cause).await;
        plan_guard.record_attempt_result(&upstream.upstream, result);
        plan_guard.report().await;
    })
}

/// Reports that an upstream has stopped sending, unless its path has failed, in the background.
pub fn report_silence(
    shared: &sync::Arc<shared::Shared>,
    upstream: UpstreamAddress,
    peer: Option<Contact>,
    report: planning::SilenceReport,
) {
    let shared = shared.clone();
    tokio::spawn(async move {
        let silence = attempt::Cause::TimedOut;
        let result = attempt_result(&shared, &upstream, peer.as_ref(), silence).await;
        if result == AttemptResult::Silent {
            report.send();
        }
    });
}

/// Tells a peer what an upstream said in a response that passed through it, in the background. The
/// upstream counts the peer as its caller.
pub fn report_statement(
    shared: &sync::Arc<shared::Shared>,
    peer: &Contact,
    statement: message::UpstreamStatement,
) {
    let (shared, address) = (shared.clone(), peer.address);
    tokio::spawn(async move {
        let req = message::Request::ReportStatement(statement);
        if let Err(e) = shared.peers.call(address, &req, REPORT_TIMEOUT).await {
            tracing::info!(event = "statement_lost", error = %e);
        }
    });
}
