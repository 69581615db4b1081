//! Responses of backend servers and other nodes, which may be streamed, and the ends of their requests.

use super::{
    call::Call,
    exchange::{format_error, time_left},
};
use crate::{
    clock::Clock,
    gate::{Permit, RequestEnd},
    homes::RunPermit,
    shared::Shared,
};
use bytes::Bytes;
use futures_util::Stream;
use redwingtrestle_core::{
    codes::{Outcome, ResultCode},
    invariant,
    invariant::Invariant,
    request::{
        deadline::Deadline,
        idempotency_store::{self, RunResult},
        lifecycle::{Dispatched, Request},
        retry::Failure,
    },
};
use redwingtrestle_wire::caller::{self, RefusalBody};
use reqwest::header::{HeaderMap, HeaderName, HeaderValue};
use std::{io, sync::Arc};

/// The result of a request, as the caller gets it.
#[derive(Debug)]
pub enum Reply {
    /// A refusal by this node: its code and a message.
    Refusal(ResultCode, String),
    /// A response of a backend server or of another node.
    Response(Box<ServerResponse>),
}

/// A response in the form in which it is passed on to the caller.
#[derive(Debug)]
pub struct ServerResponse {
    /// The HTTP status.
    pub status: u16,
    /// The end-to-end headers.
    pub headers: HeaderMap,
    /// The response's body.
    pub body: ResponseBody,
}

/// A response's body, either buffered or streamed.
#[derive(Debug)]
pub enum ResponseBody {
    /// The whole body.
    Buffered(Bytes),
    /// A body of known length that is passed on as it arrives.
    Streamed(Box<StreamedResponse>),
}

/// A streamed response of known length. The request's slot is occupied until its last byte has arrived.
#[derive(Debug)]
pub struct StreamedResponse {
    response: reqwest::Response,
    length: u64,
    passed: u64,
    deadline: Deadline,
    id: Arc<str>,
    completion: ResponseCompletion,
}

impl StreamedResponse {
    /// Returns the length in bytes that the sender of the response declared.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// Returns the chunks. A response that is too short or exceeds its deadline ends with an error.
    pub fn into_stream(self) -> impl Stream<Item = io::Result<Bytes>> + Send {
        futures_util::stream::unfold(Some(self), |streamed| async move {
            let mut streamed = streamed?;
            match streamed.next().await {
                Ok(Some(chunk)) => Some((Ok(chunk), Some(streamed))),
                Ok(None) => None,
                Err((failure, what)) => {
                    let StreamedResponse { id, passed, length, .. } = &streamed;
                    let code = failure.code().map_or(0, ResultCode::number);
                    log::warn!(
                        request = &**id, code = code;
                        "response to the caller broken off after {passed} of {length} bytes: {what}"
                    );
                    streamed.completion.fail(failure);
                    Some((Err(io::Error::other(what)), None))
                }
            }
        })
    }

    async fn next(&mut self) -> Result<Option<Bytes>, (Failure, String)> {
        let left = time_left(self.completion.clock, self.deadline);
        let chunk = match tokio::time::timeout(left, self.response.chunk()).await {
            Ok(chunk) => chunk.map_err(|e| (Failure::AnswerBroken, format_error(&e)))?,
            Err(_) => return Err((Failure::ServerTimeout, "the deadline passed".into())),
        };
        self.passed += chunk.as_ref().map_or(0, |c| c.len() as u64);
        let fits = match &chunk {
            Some(_) => self.passed <= self.length,
            None => self.passed == self.length,
        };
        check_length(&self.id, fits, self.passed, self.length)?;
        if self.passed == self.length {
            self.completion.complete(None);
        }
        Ok(chunk)
    }
}

/// Checks that a response has its declared length, so that it neither contains part of another response nor
/// lacks part of its own. The HTTP client guarantees this; if it fails, the response to the caller breaks off.
pub(super) fn check_length(
    id: &str,
    fits: bool,
    passed: u64,
    length: u64,
) -> Result<(), (Failure, String)> {
    invariant!(Invariant::OwnAnswer, fits, "response to {id}: {passed} of {length} bytes");
    if fits {
        return Ok(());
    }
    Err((Failure::AnswerBroken, format!("{passed} bytes arrived of {length}")))
}

/// The slot and the run permit of a request, which end when the last byte of its response has arrived.
#[derive(Debug)]
struct ResponseCompletion {
    clock: Clock,
    status: u16,
    headers: HeaderMap,
    /// The send to a backend server with its slot, or `None` for a response of another node.
    send: Option<(Request<Dispatched>, Permit)>,
    run: Option<RunPermit>,
}

impl ResponseCompletion {
    fn complete(&mut self, body: Option<&Bytes>) {
        let now = self.clock.now();
        if let Some((sent, permit)) = self.send.take() {
            let completed = sent.complete(now, self.status);
            permit.finish(now, RequestEnd::Response(completed.status()));
        }
        if let Some(run) = self.run.take() {
            let header = |(name, value): (&HeaderName, &HeaderValue)| {
                (name.to_string(), value.as_bytes().to_vec())
            };
            let headers = self.headers.iter().map(header).collect();
            let body = body.map(|b| b.to_vec());
            run.end(RunResult::Response(idempotency_store::StoredResponse {
                status: self.status,
                headers,
                body,
            }));
        }
    }

    fn fail(&mut self, failure: Failure) {
        let code = failure.code().unwrap_or(ResultCode::AnswerBroken);
        if let Some((sent, permit)) = self.send.take() {
            permit.finish(self.clock.now(), send_end(failure));
            sent.end_unknown(code);
        }
        if let Some(run) = self.run.take() {
            run.end(RunResult::Unknown(code));
        }
    }
}

/// A response as received from a backend server or another node.
#[derive(Debug)]
pub(crate) struct ReceivedResponse {
    pub(super) status: u16,
    pub(super) headers: HeaderMap,
    pub(super) body: ReceivedBody,
}

#[derive(Debug)]
pub(super) enum ReceivedBody {
    Buffered(Bytes),
    Streamed(reqwest::Response, u64),
}

impl ReceivedResponse {
    /// Returns whether the response is a buffered server error.
    ///
    /// Such a response is kept during a retry, and passed on if no other server takes the request.
    pub(super) fn is_buffered_error(&self) -> bool {
        self.status >= 500 && matches!(self.body, ReceivedBody::Buffered(_))
    }

    /// Returns whether the response has the headers of every response of a node: an outcome and the id of the request.
    ///
    /// A node writes one response to each request, so the id need not tell sends apart.
    pub(crate) fn is_of_node(&self, id: &str) -> bool {
        let has_id = self.headers.get(caller::REQUEST_ID).is_some_and(|given| given == id);
        has_id && self.headers.contains_key(caller::OUTCOME)
    }

    /// Returns the refusal in another node's response, if it is one.
    ///
    /// A refusal whose code is missing or contradicts its outcome does not prove that the request did not run,
    /// so it is returned as `CarrierLost`.
    pub(crate) fn refusal(&self) -> Option<(ResultCode, String)> {
        let header = |name| self.headers.get(name).and_then(|v| v.to_str().ok());
        let outcome = header(caller::OUTCOME)?;
        if outcome == <&str>::from(Outcome::Ran) {
            return None;
        }
        let number = header(caller::RESULT_CODE).and_then(|c| c.parse().ok());
        let code = number
            .and_then(ResultCode::from_number)
            .filter(|code| outcome == <&str>::from(code.outcome()));
        let body = match &self.body {
            ReceivedBody::Buffered(bytes) => serde_json::from_slice(bytes).ok(),
            ReceivedBody::Streamed(..) => None,
        };
        let what = body.map_or_else(|| outcome.to_string(), |b: RefusalBody| b.message);
        Some((code.unwrap_or(ResultCode::CarrierLost), what))
    }

    /// Returns a carrier's response for the caller, without the headers that this node sets itself.
    pub(crate) fn into_carrier_response(
        mut self,
        shared: &Shared,
        call: &Call,
        run: Option<RunPermit>,
    ) -> ServerResponse {
        for name in [caller::OUTCOME, caller::RESULT_CODE, caller::KEY_PREFIX, caller::REQUEST_ID] {
            self.headers.remove(name);
        }
        self.into_response(shared, call, None, run)
    }

    /// Returns the response of a key's home for the caller, unchanged.
    pub(crate) fn into_home_response(self, shared: &Shared, call: &Call) -> ServerResponse {
        self.into_response(shared, call, None, None)
    }

    pub(super) fn into_response(
        self,
        shared: &Shared,
        call: &Call,
        send: Option<(Request<Dispatched>, Permit)>,
        run: Option<RunPermit>,
    ) -> ServerResponse {
        let ReceivedResponse { status, headers, body } = self;
        let mut completion =
            ResponseCompletion { clock: shared.clock, status, headers: headers.clone(), send, run };
        let body = match body {
            ReceivedBody::Buffered(bytes) => {
                completion.complete(Some(&bytes));
                ResponseBody::Buffered(bytes)
            }
            ReceivedBody::Streamed(response, length) => {
                let (id, deadline) = (call.id.clone(), call.deadline);
                let streamed =
                    StreamedResponse { response, length, passed: 0, deadline, id, completion };
                ResponseBody::Streamed(Box::new(streamed))
            }
        };
        ServerResponse { status, headers, body }
    }
}

/// Maps a failure to what the gate records. Failures that say nothing about the server's health are recorded
/// as cancelled requests.
pub(super) fn send_end(failure: Failure) -> RequestEnd {
    match failure {
        Failure::ConnectFailed => RequestEnd::ConnectFailed,
        Failure::ServerLost | Failure::AnswerBroken => RequestEnd::Reset,
        Failure::ServerTimeout => RequestEnd::DeadlinePassed,
        Failure::Shed => RequestEnd::Shed,
        _ => RequestEnd::Cancelled,
    }
}
