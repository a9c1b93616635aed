//! The path of a call of a plain service, with or without a run-once record.

use std::sync;

use limpetkeel::{
    Admitted, Answer, Applied, CallKey, Claim, Ended, Error, Placed, Received, Request, Update,
};

use crate::{clock, path, placing, run_once, service, shared};

/// The end of a call: the answer, or none with an error in the request.
pub struct CompletedCall {
    /// The request.
    pub request: Request<Ended>,
    /// The answer, from the service or from the record of an earlier call.
    pub answer: Option<service::Answer>,
}

impl CompletedCall {
    fn without_answer(request: Request<Ended>) -> CompletedCall {
        CompletedCall {
            request,
            answer: None,
        }
    }
}

/// A call without a record.
struct Unkeyed;

/// A call whose record this instance has claimed.
struct Claimed {
    claim: Claim,
}

/// A call with what is known of its record.
struct Call<S> {
    call: service::Call,
    state: S,
}

/// What happens to the record as the call goes on.
trait Record {
    /// Nothing was sent and nothing will be.
    fn withdraw(&self, shared: &sync::Arc<shared::Shared>);
    /// The service answered.
    fn finish(&self, shared: &sync::Arc<shared::Shared>, answer: &service::Answer);
}

impl Record for Unkeyed {
    fn withdraw(&self, _: &sync::Arc<shared::Shared>) {}

    fn finish(&self, _: &sync::Arc<shared::Shared>, _: &service::Answer) {}
}

impl Record for Claimed {
    fn withdraw(&self, shared: &sync::Arc<shared::Shared>) {
        run_once::withdraw_later(shared, &self.claim);
    }

    fn finish(&self, shared: &sync::Arc<shared::Shared>, answer: &service::Answer) {
        let content_type = answer.headers.get(http::header::CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok());
        let update = Update::Finish {
            call: self.claim.call.clone(),
            nonce: self.claim.nonce,
            answer: Answer {
                status: answer.status.as_u16(),
                content_type: content_type.map(str::to_owned),
                body: String::from_utf8(answer.body.to_vec()).ok(),
            },
        };
        // A record that is never finished is answered as unknown: safe, so nobody waits for it.
        let shared = shared.clone();
        tokio::spawn(async move { run_once::apply(&shared, update).await });
    }
}

/// Serves a call; a key makes it run at most once.
pub async fn serve(
    shared: sync::Arc<shared::Shared>,
    request: Request<Received>,
    call: service::Call,
    key: Option<CallKey>,
) -> CompletedCall {
    let (_in_progress, admitted) = path::InProgress::admit(&shared, request);
    let ending = match key {
        None => {
            Call {
                call,
                state: Unkeyed,
            }
            .run(&shared, admitted)
            .await
        }
        Some(key) => serve_keyed(&shared, admitted, call, key).await,
    };
    path::record(&shared, &ending.request);
    ending
}

async fn serve_keyed(
    shared: &sync::Arc<shared::Shared>,
    admitted: Request<Admitted>,
    call: service::Call,
    key: CallKey,
) -> CompletedCall {
    let now = clock::unix_millis();
    let left = admitted.deadline().since(shared.clock.now());
    let claim = Claim {
        call: key,
        nonce: rand::random(),
        fingerprint: fingerprint(&call),
        claimed: now,
        deadline: now.after(left),
    };
    let deadline = shared.clock.instant(admitted.deadline());
    let claiming = run_once::apply(shared, Update::Claim(claim.clone()));
    let applied = tokio::time::timeout_at(deadline, claiming).await;
    let claimed = Claimed { claim };
    match applied {
        Ok(Applied::Done) => {
            Call {
                call,
                state: claimed,
            }
            .run(shared, admitted)
            .await
        }
        Ok(Applied::Finished(answer)) => {
            let request = admitted.replay();
            CompletedCall {
                request,
                answer: Some(replayed(answer)),
            }
        }
        Ok(Applied::Refused(e)) => {
            if e == Error::StoreUnavailable {
                claimed.withdraw(shared);
            }
            CompletedCall::without_answer(admitted.refuse(e))
        }
        Err(_) => {
            claimed.withdraw(shared);
            CompletedCall::without_answer(admitted.refuse(Error::DeadlineWhileWaiting))
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

fn replayed(answer: Answer) -> service::Answer {
    let mut headers = http::HeaderMap::new();
    let content_type = answer.content_type.and_then(|text| text.parse().ok());
    if let Some(content_type) = content_type {
        headers.insert(http::header::CONTENT_TYPE, content_type);
    }
    headers.insert(
        "limpetkeel-replayed",
        http::HeaderValue::from_static("true"),
    );
    service::Answer {
        status: http::StatusCode::from_u16(answer.status).unwrap_or(http::StatusCode::OK),
        headers,
        body: answer.body.unwrap_or_default().into(),
    }
}

impl<S: Record> Call<S> {
    async fn run(
        self,
        shared: &sync::Arc<shared::Shared>,
        mut admitted: Request<Admitted>,
    ) -> CompletedCall {
        loop {
            let placed = path::place(shared, admitted, &[], std::future::pending()).await;
            let (placed, hold) = match placed {
                Ok(placed) => placed,
                Err(ended) => {
                    self.withdraw_unsent(shared, &ended);
                    return CompletedCall::without_answer(ended);
                }
            };
            match self.attempt(shared, placed, hold).await {
                Ok(ending) => return ending,
                Err(again) => admitted = again,
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
        hold: placing::Hold,
    ) -> Result<CompletedCall, Request<Admitted>> {
        let Some(place) = placed.grant().places.first().cloned() else {
            return Err(placed.unplace());
        };
        let streaming = placed.send();
        let deadline = shared.clock.instant(streaming.deadline());
        let calling = shared.services.call(&place, &self.call);
        let called = tokio::time::timeout_at(deadline, calling).await;
        drop(hold);
        match called {
            Ok(Ok(answer)) => {
                self.state.finish(shared, &answer);
                Ok(CompletedCall {
                    request: streaming.finish(),
                    answer: Some(answer),
                })
            }
            Ok(Err(Error::UpstreamRefused)) => Err(path::not_sent(shared, streaming).await),
            Ok(Err(e)) => match path::retry(shared, streaming, e) {
                Ok(admitted) => Err(admitted),
                Err(ended) => Ok(CompletedCall::without_answer(ended)),
            },
            Err(_) => {
                let ended = streaming.fail(Error::DeadlineWhileRunning);
                Ok(CompletedCall::without_answer(ended))
            }
        }
    }
}
