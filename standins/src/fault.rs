//! Faults that can be injected into a stand-in.

use std::time;

use salvo::http;

use crate::http_server;

/// The kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Refuses the request with status 503 and does not run it.
    Refuse,
    /// Delays the request before it runs.
    Delay,
    /// Accepts the request, does not run it and never responds.
    Freeze,
    /// Runs the request, then closes the connection instead of sending the response.
    #[serde(rename = "lose-answer")]
    DropResponse,
    /// Closes the connection in the middle of a stream.
    Cut,
    /// Ends a stream early, as if it were complete.
    Truncate,
    /// Inserts events of another request into a stream.
    #[serde(rename = "cross")]
    MixStreams,
    /// Sends events of a stream twice.
    Duplicate,
}

/// A fault to inject, and into how many requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Fault {
    /// The kind of the fault.
    pub kind: FaultKind,
    /// The delay in milliseconds, for [`FaultKind::Delay`].
    #[serde(default)]
    pub delay_ms: u64,
    /// The number of requests into which the fault is injected; if absent, all requests until the
    /// fault is cleared.
    #[serde(default)]
    pub count: Option<u32>,
}

/// Holds the active fault, if any, and injects it into requests.
#[derive(Debug, Default)]
pub struct FaultInjector {
    active: parking_lot::Mutex<Option<Fault>>,
}

impl FaultInjector {
    /// Activates a fault, or clears the active one.
    pub fn set(&self, fault: Option<Fault>) {
        *self.active.lock() = fault;
    }

    /// Returns the fault to inject into the next request, and counts it down.
    pub fn next_fault(&self) -> Option<Fault> {
        let mut active = self.active.lock();
        let fault = (*active)?;
        match fault.count {
            None => {}
            Some(0 | 1) => *active = None,
            Some(count) => {
                *active = Some(Fault {
                    count: Some(count - 1),
                    ..fault
                })
            }
        }
        Some(fault)
    }

    /// Applies the faults that take effect before a request runs. Returns the kind of the fault if
    /// it takes effect later.
    ///
    /// # Errors
    ///
    /// Returns the status to respond with if the fault refuses the request.
    pub async fn apply_before_work(&self) -> Result<Option<FaultKind>, http::StatusCode> {
        let Some(fault) = self.next_fault() else {
            return Ok(None);
        };
        match fault.kind {
            FaultKind::Refuse => Err(http::StatusCode::SERVICE_UNAVAILABLE),
            FaultKind::Delay => {
                tokio::time::sleep(time::Duration::from_millis(fault.delay_ms)).await;
                Ok(None)
            }
            FaultKind::Freeze => {
                std::future::pending::<()>().await;
                Ok(None)
            }
            deferred => Ok(Some(deferred)),
        }
    }

    /// Handles a `PUT` request that sets the fault; a body of `null` clears it.
    pub async fn handle_put(&self, req: &mut salvo::Request, res: &mut salvo::Response) {
        if let Some(fault) = http_server::read_json(req, res).await {
            self.set(fault);
            res.status_code(http::StatusCode::NO_CONTENT);
        }
    }
}

/// Responds with a body that fails at once, which closes the connection.
pub fn drop_response(res: &mut salvo::Response) {
    let error = std::io::Error::other("answer lost");
    let stream = futures_util::stream::iter([Err::<bytes::Bytes, _>(error)]);
    res.status_code(http::StatusCode::OK);
    res.stream(stream);
}
