//! The life cycle of a request, with one type for each state.
//!
//! `Received` becomes `Admitted` or ends. `Admitted` becomes `Placed` with a grant, or ends.
//! `Placed` becomes `Streaming` just before the first byte may be sent, returns to `Admitted` if
//! the upstream is unreachable, or ends. `Streaming` ends or returns to `Admitted` for a retry.
//! Other transitions do not compile.

use std::sync;

use crate::{error, grant, name, rank, request_size, unit};

/// The properties of a request that do not change with its state.
#[derive(Clone, Debug)]
pub struct RequestInfo {
    /// The route that the caller named.
    pub route: name::RouteName,
    /// The pool that serves the route.
    pub pool: name::PoolName,
    /// The rank of the request.
    pub rank: rank::Rank,
    /// The workspace whose fair share is charged.
    pub workspace: name::WorkspaceName,
    /// The size of the request.
    pub size: request_size::RequestSize,
    /// Whether the request may be retried after an upstream failure.
    pub idempotent: bool,
}

/// The request has arrived and has not been admitted.
#[derive(Debug)]
pub struct Received(());

/// The request has been admitted, so it ends with a response or an error with an outcome.
#[derive(Debug)]
pub struct Admitted(());

/// The request has a grant for its upstreams.
#[derive(Debug)]
pub struct Placed {
    grant: grant::Grant,
}

/// An attempt has started, so the request may be running.
#[derive(Debug)]
pub struct Streaming {
    grant: grant::Grant,
    first_token: Option<unit::Timestamp>,
    previously_sent: bool,
}

/// The request has ended.
#[derive(Debug)]
pub struct Ended {
    result: error::Result<()>,
}

/// A request in one state of its life cycle.
#[derive(Debug)]
pub struct Request<S> {
    info: sync::Arc<RequestInfo>,
    received: unit::Timestamp,
    deadline: unit::Timestamp,
    attempt: u32,
    delivered: u64,
    sent: bool,
    failed_on: Vec<name::UpstreamName>,
    state: S,
}

/// How to handle a chunk of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChunkDecision {
    /// The chunk is the next one and must be forwarded.
    Forward,
    /// The chunk is a duplicate or belongs to another request or attempt and must be dropped.
    Stale,
}

/// The position of a chunk: its grant, its attempt and its token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChunkPosition {
    /// The grant under which the upstream runs the request.
    pub id: grant::RequestId,
    /// The number of the attempt.
    pub attempt: u32,
    /// The index of the token in the complete response.
    pub token: u64,
}

impl<S> Request<S> {
    /// Returns the properties of the request.
    pub fn info(&self) -> &RequestInfo {
        &self.info
    }

    /// Returns the arrival time of the request.
    pub fn received(&self) -> unit::Timestamp {
        self.received
    }

    /// Returns the deadline of the request.
    pub fn deadline(&self) -> unit::Timestamp {
        self.deadline
    }

    /// Returns the number of the current attempt, starting at one, or zero before the first.
    pub fn attempt(&self) -> u32 {
        self.attempt
    }

    /// Returns the number of tokens that were forwarded to the caller.
    pub fn delivered(&self) -> u64 {
        self.delivered
    }

    /// Replaces the state and returns the previous one.
    fn into_state<T>(self, state: T) -> (Request<T>, S) {
        let request = Request {
            info: self.info,
            received: self.received,
            deadline: self.deadline,
            attempt: self.attempt,
            delivered: self.delivered,
            sent: self.sent,
            failed_on: self.failed_on,
            state,
        };
        (request, self.state)
    }

    fn end(self, result: error::Result<()>) -> Request<Ended> {
        self.into_state(Ended { result }).0
    }
}

impl Request<Received> {
    /// Creates a request that arrives at `now` with a deadline `timeout` later.
    pub fn new(
        info: RequestInfo,
        now: unit::Timestamp,
        timeout: unit::Millis,
    ) -> Request<Received> {
        Request {
            info: sync::Arc::new(info),
            received: now,
            deadline: now.after(timeout),
            attempt: 0,
            delivered: 0,
            sent: false,
            failed_on: Vec::new(),
            state: Received(()),
        }
    }

    /// Admits the request.
    pub fn admit(self) -> Request<Admitted> {
        self.into_state(Admitted(())).0
    }

    /// Ends the request with an error before it is admitted.
    pub fn refuse(self, error: error::Error) -> Request<Ended> {
        self.end(Err(error))
    }
}

impl Request<Admitted> {
    /// Creates a placement request for a keeper.
    ///
    /// Each placement request needs a new `id`: a keeper that grants an abandoned one, and cancels
    /// it when the grant expires, must not cancel the request where it runs.
    pub fn placement_request(
        &self,
        now: unit::Timestamp,
        id: grant::RequestId,
        from: &name::InstanceName,
        prefixes: &[u64],
    ) -> grant::PlacementRequest {
        grant::PlacementRequest {
            id,
            instance: from.clone(),
            pool: self.info.pool.clone(),
            workspace: self.info.workspace.clone(),
            rank: self.info.rank,
            size: self.info.size,
            remaining: self.deadline.since(now),
            prefixes: prefixes.to_vec(),
            excluded_upstreams: self.failed_on.clone(),
        }
    }

    /// Excludes the upstreams of a failed grant from the next placement request.
    fn exclude_upstreams(mut self, grant: &grant::Grant) -> Request<Admitted> {
        let upstreams = grant.upstreams.iter().map(|target| target.upstream.clone());
        self.failed_on.extend(upstreams);
        self
    }

    /// Places the request on the upstreams of a grant.
    pub fn place(self, grant: grant::Grant) -> Request<Placed> {
        self.into_state(Placed { grant }).0
    }

    /// Ends the request with the stored response of an earlier call with the same key.
    pub fn replay(self) -> Request<Ended> {
        self.end(Ok(()))
    }

    /// Ends the request with an error before it is placed.
    pub fn refuse(self, error: error::Error) -> Request<Ended> {
        self.end(Err(error))
    }
}

impl Request<Placed> {
    /// Returns the grant.
    pub fn grant(&self) -> &grant::Grant {
        &self.state.grant
    }

    /// Starts an attempt; from now on the request may have run.
    pub fn send(mut self) -> Request<Streaming> {
        self.attempt += 1;
        let previously_sent = std::mem::replace(&mut self.sent, true);
        let (request, placed) = self.into_state(());
        let streaming = Streaming {
            grant: placed.grant,
            first_token: None,
            previously_sent,
        };
        request.into_state(streaming).0
    }

    /// Returns to `Admitted` because the upstream is unreachable and nothing was sent.
    pub fn return_grant(self) -> Request<Admitted> {
        let (request, placed) = self.into_state(Admitted(()));
        request.exclude_upstreams(&placed.grant)
    }

    /// Ends the request with an error before a byte of this attempt is sent.
    pub fn refuse(self, error: error::Error) -> Request<Ended> {
        self.end(Err(error))
    }
}

impl Request<Streaming> {
    /// Returns the grant.
    pub fn grant(&self) -> &grant::Grant {
        &self.state.grant
    }

    /// Returns the arrival time of the first token of this attempt.
    pub fn first_token(&self) -> Option<unit::Timestamp> {
        self.state.first_token
    }

    /// Decides by its position whether a chunk is forwarded.
    ///
    /// # Errors
    ///
    /// Returns [`error::Error::UpstreamMismatch`] if an earlier token is missing.
    pub fn accept(
        &mut self,
        now: unit::Timestamp,
        position: ChunkPosition,
    ) -> error::Result<ChunkDecision> {
        let is_current = position.id == self.state.grant.id && position.attempt == self.attempt;
        if !is_current || position.token < self.delivered {
            return Ok(ChunkDecision::Stale);
        }
        if position.token > self.delivered {
            return Err(error::Error::UpstreamMismatch);
        }
        self.delivered += 1;
        self.state.first_token.get_or_insert(now);
        Ok(ChunkDecision::Forward)
    }

    /// Returns to `Admitted` because the connection was refused and this attempt sent nothing.
    pub fn connection_refused(mut self) -> Request<Admitted> {
        self.sent = self.state.previously_sent;
        let (request, streaming) = self.into_state(Admitted(()));
        request.exclude_upstreams(&streaming.grant)
    }

    /// Returns `true` if the request may be retried after this attempt has failed.
    pub fn may_retry(&self, now: unit::Timestamp) -> bool {
        self.info.idempotent && now < self.deadline
    }

    /// Returns to `Admitted` for a retry.
    ///
    /// # Errors
    ///
    /// Returns the request ended with `error` if it may not be retried.
    pub fn retry(
        self,
        now: unit::Timestamp,
        error: error::Error,
    ) -> Result<Request<Admitted>, Request<Ended>> {
        if !self.may_retry(now) {
            return Err(self.end(Err(error)));
        }
        let (request, streaming) = self.into_state(Admitted(()));
        Ok(request.exclude_upstreams(&streaming.grant))
    }

    /// Ends the request with its complete response.
    pub fn finish(self) -> Request<Ended> {
        self.end(Ok(()))
    }

    /// Ends the request with an error instead of its complete response.
    pub fn fail(self, error: error::Error) -> Request<Ended> {
        self.end(Err(error))
    }
}

impl Request<Ended> {
    /// Returns the error if the request has no complete response.
    pub fn error(&self) -> Option<&error::Error> {
        self.state.result.as_ref().err()
    }

    /// Returns the outcome for the caller, or `None` if the request has its complete response.
    ///
    /// Once a byte may have been sent, the outcome is never [`error::Outcome::NotRun`]. It is
    /// [`error::Outcome::Unknown`] after a conflict and for a request that is not idempotent, since
    /// it may have taken effect. Otherwise it is [`error::Outcome::Failed`].
    pub fn outcome(&self) -> Option<error::Outcome> {
        let error = self.error()?;
        if !self.sent {
            return Some(error.outcome());
        }
        Some(match error.category() {
            error::Category::Conflict => error::Outcome::Unknown,
            _ if self.info.idempotent => error::Outcome::Failed,
            _ => error::Outcome::Unknown,
        })
    }
}
