//! The life cycle of a call to a plain service, with or without a run-once record.

use std::sync;

use limpetkeel::{
    Admitted, CallKey, Ended, Error, Placed, Received, RecordUpdate, Request, RunOnceClaim,
    StoredResponse, UpdateResult,
};

use crate::{clock, placement, request_lifecycle, run_once, service, shared};

/// An ended call: either `response` is set, or the request contains an error.
pub struct CompletedCall {
    /// The ended request.
    pub request: Request<Ended>,
    /// The response, from the service or from the record of an earlier call.
    pub response: Option<service::Response>,
}

impl CompletedCall {
    fn without_response(request: Request<Ended>) -> CompletedCall {
        CompletedCall {
            request,
            response: None,
        }
    }
}

/// The state of a call without a run-once record.
struct WithoutRecord;

/// The state of a call whose run-once record this instance has claimed.
struct Claimed {
    claim: RunOnceClaim,
}

/// A call and the state of its run-once record.
struct Call<S> {
    call: service::Call,
    state: S,
}

/// Updates of the run-once record of a call.
trait RecordState {
    /// Withdraws the claim, because nothing was sent and nothing will be.
    fn withdraw(&self, shared: &sync::Arc<shared::Shared>);
    /// Records the response of the service.
    fn finish(&self, shared: &sync::Arc<shared::Shared>, response: &service::Response);
}

impl RecordState for WithoutRecord {
    fn withdraw(&self, _: &sync::Arc<shared::Shared>) {}

    fn finish(&self, _: &sync::Arc<shared::Shared>, _: &service::Response) {}
}

impl RecordState for Claimed {
    fn withdraw(&self, shared: &sync::Arc<shared::Shared>) {
        run_once::withdraw_in_background(shared, &self.claim);
    }

    fn finish(&self, shared: &sync::Arc<shared::Shared>, response: &service::Response) {
        let content_type = response.headers.get(http::header::CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok());
        let update = RecordUpdate::Finish {
            call: self.claim.call.clone(),
            nonce: self.claim.nonce,
            answer: StoredResponse {
                status: response.status.as_u16(),
                content_type: content_type.map(str::to_owned),
                body: String::from_utf8(response.body.to_vec()).ok(),
            },
        };
        // Nothing waits for this write. If it fails, later calls with the same key get the outcome
        // `unknown`, which is safe.
        let shared = shared.clone();
        tokio::spawn(async move { run_once::apply(&shared, update).await });
    }
}

/// Serves a call. A call with a key runs at most once.
pub async fn serve(
    shared: sync::Arc<shared::Shared>,
    request: Request<Received>,
    call: service::Call,
    key: Option<CallKey>,
) -> CompletedCall {
    let (_in_progress, admitted) = request_lifecycle::InProgressGuard::admit(&shared, request);
    let completed = match key {
        None => {
            Call {
                call,
                state: WithoutRecord,
            }
            .run(&shared, admitted)
            .await
        }
        Some(key) => serve_run_once(&shared, admitted, call, key).await,
    };
    request_lifecycle::record_end(&shared, &completed.request);
    completed
}

async fn serve_run_once(
    shared: &sync::Arc<shared::Shared>,
    admitted: Request<Admitted>,
    call: service::Call,
    key: CallKey,
) -> CompletedCall {
    let now = clock::unix_millis();
    let remaining = admitted.deadline().since(shared.clock.now());
    let claim = RunOnceClaim {
        call: key,
        nonce: rand::random(),
        fingerprint: fingerprint(&call),
        claimed: now,
        deadline: now.after(remaining),
    };
    let deadline = shared.clock.instant(admitted.deadline());
    let claim_update = run_once::apply(shared, RecordUpdate::Claim(claim.clone()));
    let applied = tokio::time::timeout_at(deadline, claim_update).await;
    let claimed = Claimed { claim };
    match applied {
        Ok(UpdateResult::Done) => {
            Call {
                call,
                state: claimed,
            }
            .run(shared, admitted)
            .await
        }
        Ok(UpdateResult::Finished(answer)) => {
            let request = admitted.replay();
            CompletedCall {
                request,
                response: Some(replay(answer)),
            }
        }
        Ok(UpdateResult::Refused(e)) => {
            if e == Error::StoreUnavailable {
                claimed.withdraw(shared);
            }
            CompletedCall::without_response(admitted.refuse(e))
        }
        Err(_) => {
            claimed.withdraw(shared);
            CompletedCall::without_response(admitted.refuse(Error::DeadlineWhileWaiting))
        }
    }
}

fn fingerprint(call: &service::Call) -> u64 {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    hasher.update(call.method.as_str().as_bytes());
    hasher.update(call.path.as_bytes());
    hasher.update(&call.body);
    hasher.digest()
}

fn replay(answer: StoredResponse) -> service::Response {
    let mut headers = http::HeaderMap::new();
    let content_type = answer.content_type.and_then(|text| text.parse().ok());
    if let Some(content_type) = content_type {
        headers.insert(http::header::CONTENT_TYPE, content_type);
    }
    headers.insert(
        "limpetkeel-replayed",
        http::HeaderValue::from_static("true"),
    );
    service::Response {
        status: http::StatusCode::from_u16(answer.status).unwrap_or(http::StatusCode::OK),
        headers,
        body: answer.body.unwrap_or_default().into(),
    }
}

impl<S: RecordState> Call<S> {
    async fn run(
        self,
        shared: &sync::Arc<shared::Shared>,
        mut admitted: Request<Admitted>,
    ) -> CompletedCall {
        loop {
            let placed =
                request_lifecycle::place(shared, admitted, &[], std::future::pending()).await;
            let (placed, grant_guard) = match placed {
                Ok(placed) => placed,
                Err(ended) => {
                    self.withdraw_unsent(shared, &ended);
                    return CompletedCall::without_response(ended);
                }
            };
            match self.attempt(shared, placed, grant_guard).await {
                Ok(completed) => return completed,
                Err(requeued) => admitted = requeued,
            }
        }
    }

    fn withdraw_unsent(&self, shared: &sync::Arc<shared::Shared>, ended: &Request<Ended>) {
        if ended.outcome() == Some(limpetkeel::Outcome::NotRun) {
            self.state.withdraw(shared);
        }
    }

    async fn attempt(
        &self,
        shared: &sync::Arc<shared::Shared>,
        placed: Request<Placed>,
        grant_guard: placement::GrantGuard,
    ) -> Result<CompletedCall, Request<Admitted>> {
        let Some(target) = placed.grant().upstreams.first().cloned() else {
            return Err(placed.return_grant());
        };
        let streaming = placed.send();
        let deadline = shared.clock.instant(streaming.deadline());
        let call = shared.services.call(&target, &self.call);
        let result = tokio::time::timeout_at(deadline, call).await;
        drop(grant_guard);
        match result {
            Ok(Ok(response)) => {
                self.state.finish(shared, &response);
                Ok(CompletedCall {
                    request: streaming.finish(),
                    response: Some(response),
                })
            }
            Ok(Err(Error::UpstreamRefused)) => {
                Err(request_lifecycle::requeue_unsent(shared, streaming).await)
            }
            Ok(Err(e)) => match request_lifecycle::retry(shared, streaming, e) {
                Ok(admitted) => Err(admitted),
                Err(ended) => Ok(CompletedCall::without_response(ended)),
            },
            Err(_) => {
                let ended = streaming.fail(Error::DeadlineWhileRunning);
                Ok(CompletedCall::without_response(ended))
            }
        }
    }
}
