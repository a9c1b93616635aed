//! The behaviors of an upstream.

use crate::deployment::scripted;

/// The behavior of an upstream towards requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behavior {
    /// Runs the request and responds.
    Normal,
    /// Runs the request, responds, and states that it is leaving.
    Leaving,
    /// Runs the request, responds, and names a limit, in thousandths of a request per second.
    Limited(u32),
    /// Runs the request, responds with the id of another request, and states that it is leaving.
    LeavingWithWrongId,
    /// Declines the request, and states that it did not run it.
    Decline,
    /// Declines the request, states that it did not run it, and asks for no requests for the given
    /// number of milliseconds.
    DeclineFor(u64),
    /// Responds like another upstream at the same address, which rejects the request with status
    /// 421.
    WrongUpstream,
    /// Runs the request and closes the connection without a response.
    DropResponse,
    /// Closes the connection without a response to a request whose prompt has the given part, and
    /// runs other requests.
    CrashOnPart(u64),
    /// Ends, and with it all its connections, after the first event of the stream for a request whose
    /// prompt has the given part, and runs other requests.
    CrashAfterEventOnPart(u64),
    /// Closes the connection without a response to a request with the given body, and runs other
    /// requests.
    CrashOnBody(&'static str),
    /// Runs the request and responds with bytes that are not HTTP.
    MalformedResponse,
    /// Runs the request and responds with the id of another request.
    WrongRequestId,
    /// Runs the request and closes the connection before the response is complete.
    TruncateResponse,
    /// Runs the request and omits the signature from the response.
    Unsigned,
    /// Runs the request and sends a second response, with the id of another request.
    ExtraResponse,
    /// Runs the request and responds with status 500.
    ServerError,
    /// Runs the request and leaves the connection open without a response.
    Hang,
    /// Sends the given number of events, then closes the connection in the middle of the next one.
    CutAfter(u64),
    /// Sends the given number of events, then nothing, and leaves the connection open.
    HangAfter(u64),
    /// Leaves a gap of the given number of milliseconds after two events, then continues.
    GapAfterTwo(u64),
    /// Runs the request, and responds and closes the connection before it has read the body.
    EarlyResponse,
    /// Runs the request, unless the response declines it, and sends a scripted response.
    Scripted(scripted::Script),
    /// Runs the request, and sends a scripted response before it has read the body.
    ScriptedEarly(scripted::Script),
}

impl Behavior {
    /// Returns `true` if an upstream with this behavior responds to stream requests with a stream.
    pub(super) fn sends_streams(self) -> bool {
        matches!(
            self,
            Behavior::Normal
                | Behavior::CrashOnPart(_)
                | Behavior::CrashAfterEventOnPart(_)
                | Behavior::CrashOnBody(_)
                | Behavior::Leaving
                | Behavior::Limited(_)
                | Behavior::CutAfter(_)
                | Behavior::HangAfter(_)
                | Behavior::GapAfterTwo(_)
        )
    }
}
