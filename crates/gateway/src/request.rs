//! The way of one request: route, admit, pick, send, and send again where that is safe.

use crate::{
    accept::Busy,
    attempt::{self, Answer, AnswerBody, Ended, NotRun},
    clock::duration,
    reply::{self, ReplyBody},
    shared::{OpenGuard, Phase, Shared},
};
use bytes::{Bytes, BytesMut};
use futures_util::{future::BoxFuture, stream::FuturesUnordered, FutureExt, StreamExt};
use http_body_util::BodyExt;
use hyper::{
    body::{Body, Frame, Incoming, SizeHint},
    header::{HeaderMap, HeaderValue, CONNECTION, CONTENT_LENGTH, EXPECT, HOST},
    Method, Request, Response, StatusCode, Uri,
};
use rand::Rng;
use redwingtrestle_core::{
    codes::{Outcome, ResultCode},
    ids::ServiceName,
    process::{
        picker::{self, Ask, Choice},
        roster::ServerId,
    },
    time::{Span, Timestamp},
    version::catalog::{HostRoute, Repeat},
};
use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

/// The longest request body that is kept, so that it can be sent again. A longer one is passed on as it arrives.
const KEPT_BODY: usize = 256 * 1024;

/// The part of a route's target for which a request waits for a server to appear; then it is refused.
const HOLD_PART: u64 = 8;

/// The pause before a server that was full is asked again when no other is left.
const FULL_PAUSE: Span = Span::from_millis(150);

/// The least time left with which a request is still sent. A server could not answer sooner.
const LEAST_LEFT: Span = Span::from_millis(20);

/// When to come back after a refusal.
const COME_BACK: Span = Span::from_millis(500);

/// The share of answers after whose usual time a request that may run again is sent to a second server.
const HEDGE_SHARE: f64 = 0.9;

/// How much longer than that it waits, as a fraction.
const HEDGE_FACTOR: (u64, u64) = (5, 4);

/// The shortest wait before a second server is asked.
const LEAST_HEDGE: Span = Span::from_millis(150);

/// How surely an answer is late at a server that is not worth a resend after a refusal, see [`Choice::late`].
const FULL: f64 = 0.3;

/// What a failure costs that is followed by another send, in failed requests: a delay and a part of the budget.
const REPEATABLE_FAILURE: f64 = 0.8;

/// The least share of a server's connections that one node may use.
const LEAST_CONNECTIONS: u32 = 4;

/// The bytes that a route's answers are assumed to have before one was seen.
const FIRST_SIZE: f64 = 4_096.0;

/// The weight of the newest answer in the mean size of a route's answers.
const SIZE_WEIGHT: f64 = 0.1;

/// `Outgoing` is a request as it goes to servers, without its body and the headers that differ by server.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The headers of the caller that are passed on.
    pub headers: HeaderMap,
    /// The id of the caller's attempt.
    pub attempt: Arc<str>,
    /// The service.
    pub service: ServiceName,
    /// Whether the request must not run twice.
    pub once: bool,
}

/// `OutBody` is a request body: what was read already, and the rest if it is too long to be kept.
#[derive(Debug, Default)]
pub struct OutBody {
    first: Option<Bytes>,
    rest: Option<Incoming>,
    left: u64,
}

impl OutBody {
    /// Returns the body once more, if all of it was kept.
    pub fn again(&self) -> Option<OutBody> {
        self.rest.is_none().then(|| OutBody { first: self.first.clone(), rest: None, left: 0 })
    }
}

impl Body for OutBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        if let Some(first) = self.first.take() {
            return Poll::Ready(Some(Ok(Frame::data(first))));
        }
        let Some(rest) = &mut self.rest else { return Poll::Ready(None) };
        let frame = match Pin::new(rest).poll_frame(context) {
            Poll::Ready(Some(Ok(frame))) => frame,
            Poll::Ready(Some(Err(e))) => return Poll::Ready(Some(Err(io::Error::other(e)))),
            Poll::Ready(None) => return Poll::Ready(None),
            Poll::Pending => return Poll::Pending,
        };
        let length = frame.data_ref().map_or(0, Bytes::len) as u64;
        if length > self.left {
            return Poll::Ready(Some(Err(io::Error::other("the body is larger than the limit"))));
        }
        self.left -= length;
        Poll::Ready(Some(Ok(frame)))
    }

    fn is_end_stream(&self) -> bool {
        self.first.is_none() && self.rest.as_ref().is_none_or(Body::is_end_stream)
    }

    fn size_hint(&self) -> SizeHint {
        let first = self.first.as_ref().map_or(0, Bytes::len) as u64;
        match self.rest.as_ref().map_or(Some(0), |rest| rest.size_hint().exact()) {
            Some(rest) => SizeHint::with_exact(first + rest),
            None => SizeHint::default(),
        }
    }
}

/// `Verdict` is what a caller is told.
#[derive(Debug)]
enum Verdict {
    Answer(Answer),
    Own(ResultCode),
}

/// `Job` is a request with its route, service and time.
struct Job {
    shared: Arc<Shared>,
    route: Arc<HostRoute>,
    outgoing: Outgoing,
    version: u64,
    begun: Timestamp,
    end: Timestamp,
}

/// Serves one request of a caller.
pub async fn serve(
    shared: Arc<Shared>,
    request: Request<Incoming>,
    busy: Busy,
) -> Response<ReplyBody> {
    let open = shared.open();
    let begun = shared.now();
    let attempt: Arc<str> = request
        .headers()
        .get(&shared.dialect.attempt)
        .and_then(|id| id.to_str().ok())
        .unwrap_or_default()
        .into();
    let is_head = request.method() == Method::HEAD;
    let verdict = match prepare(&shared, request, begun, &attempt).await {
        Ok((job, body)) => {
            let open = shared.open();
            dispatch(job, body, open).await
        }
        Err(code) => {
            log::info!(target: "requests", attempt = &*attempt, code = code.number(),
                version = shared.catalog.load().as_ref().map_or(0, |c| c.version()); "refused: {code}");
            Verdict::Own(code)
        }
    };
    let mut response = match verdict {
        Verdict::Answer(Answer { status, headers, body }) => {
            let body = match body {
                AnswerBody::Whole(bytes) => ReplyBody::from(bytes),
                AnswerBody::Passing(passing) => ReplyBody::from(*passing),
            };
            reply::answer(status, headers, body, is_head)
        }
        Verdict::Own(code) => {
            let wait =
                (code.outcome() == Outcome::NotRun && code.status() == 503).then_some(COME_BACK);
            reply::refusal(code, wait)
        }
    };
    if *shared.phase.borrow() != Phase::Running {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response.map(|body| body.holding(busy, open))
}

/// Finds the route of a request, its service and its time, and reads its body.
async fn prepare(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
    begun: Timestamp,
    attempt: &Arc<str>,
) -> Result<(Job, OutBody), ResultCode> {
    let catalog = shared.catalog.load_full().ok_or(ResultCode::NotReady)?;
    let (mut head, body) = request.into_parts();
    let host =
        head.uri.host().or_else(|| head.headers.get(HOST)?.to_str().ok()).unwrap_or_default();
    let Some(route) = catalog.find(host, head.uri.path()) else {
        // Without the store and without peers the configuration may be old, and the route may exist by now.
        let is_isolated = {
            let fleet = shared.fleet();
            fleet.configuration.is_away() && fleet.mesh.size(begun) == 1
        };
        return Err(if is_isolated { ResultCode::NotReady } else { ResultCode::NoRoute });
    };
    let draw = shared.fleet().rng.random();
    let service = route.service(draw).cloned().ok_or(ResultCode::NoServer)?;
    let waits =
        head.headers.get(&shared.dialect.deadline).and_then(|v| v.to_str().ok()?.parse().ok());
    let time = waits.map_or(route.timeout, |ms| Span::from_millis(ms).min(route.timeout));
    let limit = catalog.limits().body;
    let body = read(body, limit, duration(time)).await?;
    reply::strip_hop(&mut head.headers);
    head.headers.remove(CONTENT_LENGTH);
    head.headers.remove(EXPECT);
    let path = head.uri.path_and_query().map_or("/", |p| p.as_str());
    let uri = path.parse().map_err(|_| ResultCode::BadRequest)?;
    let once = route.repeat == Repeat::Once;
    let outgoing = Outgoing {
        method: head.method,
        uri,
        headers: head.headers,
        attempt: attempt.clone(),
        service,
        once,
    };
    let job = Job {
        shared: shared.clone(),
        version: catalog.version(),
        outgoing,
        begun,
        end: begun + time,
        route,
    };
    Ok((job, body))
}

/// Reads a request body, or its beginning if it is too long to be kept.
async fn read(
    mut body: Incoming,
    limit: u64,
    time: std::time::Duration,
) -> Result<OutBody, ResultCode> {
    if body.size_hint().lower() > limit {
        return Err(ResultCode::BodyTooLarge);
    }
    if body.size_hint().lower() > KEPT_BODY as u64 {
        return Ok(OutBody { first: None, rest: Some(body), left: limit });
    }
    let mut bytes = BytesMut::new();
    let reading = async {
        while let Some(frame) = body.frame().await {
            if let Ok(data) = frame.map_err(|_| ResultCode::BadRequest)?.into_data() {
                bytes.extend_from_slice(&data);
            }
            if bytes.len() > KEPT_BODY {
                return Ok(true);
            }
        }
        Ok(false)
    };
    let is_long =
        tokio::time::timeout(time, reading).await.map_err(|_| ResultCode::DeadlineUnmet)??;
    if bytes.len() as u64 > limit {
        return Err(ResultCode::BodyTooLarge);
    }
    let left = limit - bytes.len() as u64;
    let first = (!bytes.is_empty()).then(|| bytes.freeze());
    Ok(OutBody { first, rest: is_long.then_some(body), left })
}

/// Runs a job. One that must not run twice goes on when its caller leaves, as breaking it off would leave its effect
/// unknown; any other ends with its caller.
async fn dispatch(job: Job, body: OutBody, open: OpenGuard) -> Verdict {
    if !job.outgoing.once {
        return job.run(body).await;
    }
    let task = tokio::spawn(async move {
        let verdict = job.run(body).await;
        drop(open);
        verdict
    });
    task.await.unwrap_or_else(|e| {
        log::error!(target: "requests", "a request's task failed: {e}");
        Verdict::Own(ResultCode::ServerLost)
    })
}

/// `Course` is how far a job is.
#[derive(Default)]
struct Course {
    tried: Vec<ServerId>,
    sends: u32,
    may_have_run: bool,
    is_shed: bool,
    fallback: Option<Answer>,
    last: String,
}

impl Job {
    async fn run(self, body: OutBody) -> Verdict {
        self.shared.count_request(&self.outgoing.service);
        let mut course = Course::default();
        let verdict = self.attempts(body, &mut course).await;
        self.log(&verdict, &course);
        verdict
    }

    async fn attempts(&self, body: OutBody, course: &mut Course) -> Verdict {
        let mut running: FuturesUnordered<BoxFuture<'_, (Choice, Ended)>> = FuturesUnordered::new();
        let mut body = Some(body);
        let mut again = body.as_ref().and_then(OutBody::again);
        let hedge = tokio::time::sleep(self.hedge());
        let end = tokio::time::sleep(duration(self.end.since(self.shared.now())));
        tokio::pin!(hedge, end);
        let mut is_hedged = self.outgoing.once || again.is_none();
        let mut is_wanted = true;
        loop {
            if is_wanted {
                is_wanted = false;
                let choice = self.choose(course, running.is_empty()).await;
                match choice.filter(|choice| self.may_use(choice, course)) {
                    Some(choice) => {
                        let Some(next) = body.take().or_else(|| again.take()) else {
                            return self.give_up(course);
                        };
                        again = next.again();
                        course.tried.push(choice.id.clone());
                        course.sends += 1;
                        running.push(self.send(choice, next).boxed());
                    }
                    None if running.is_empty() => return self.give_up(course),
                    None => {}
                }
            }
            tokio::select! {
                biased;
                Some((choice, ended)) = running.next() => {
                    match self.judge(ended, &choice, course) {
                        Some(verdict) => return verdict,
                        None if self.may_send_again(course) => is_wanted = true,
                        None if running.is_empty() => return self.give_up(course),
                        None => {}
                    }
                }
                () = &mut end => {
                    course.may_have_run |= !running.is_empty();
                    return self.late(course);
                }
                () = &mut hedge, if !is_hedged => {
                    is_hedged = true;
                    is_wanted = self.may_send_again(course);
                }
            }
        }
    }

    async fn send(&self, choice: Choice, body: OutBody) -> (Choice, Ended) {
        let ended = attempt::send(&self.shared, &choice, &self.outgoing, body, self.end).await;
        (choice, ended)
    }

    /// Returns how long to wait for the first server before a second one is asked as well.
    fn hedge(&self) -> std::time::Duration {
        let usual = self.shared.fleet().roster.usual(&self.outgoing.service, HEDGE_SHARE);
        let wait = match usual {
            Some(usual) => {
                Span::from_micros(usual.times(HEDGE_FACTOR.0).as_micros() / HEDGE_FACTOR.1)
            }
            None => Span::from_micros(self.route.target.as_micros() / 2),
        };
        duration(wait.max(LEAST_HEDGE))
    }

    /// Takes the end of a send, and returns what the caller is told if that is decided.
    fn judge(&self, ended: Ended, choice: &Choice, course: &mut Course) -> Option<Verdict> {
        let service = self.outgoing.service.as_str().to_string();
        let label: &'static str = match &ended {
            Ended::Answer(_) => "answer",
            Ended::ServerError(_) => "server_error",
            Ended::NotRun(why) => (*why).into(),
            Ended::Lost(_) => "lost",
        };
        metrics::counter!("redwing_gateway_sends_total", "service" => service, "end" => label)
            .increment(1);
        log::debug!(target: "requests", attempt = &*self.outgoing.attempt, server = choice.id.as_str(),
            end = label; "a send ended");
        match ended {
            Ended::Answer(mut answer) => {
                self.learn_size(&answer);
                if let AnswerBody::Passing(passing) = &mut answer.body {
                    passing.end =
                        Box::pin(tokio::time::sleep(duration(self.end.since(self.shared.now()))));
                }
                course.last = label.into();
                return Some(Verdict::Answer(answer));
            }
            Ended::ServerError(answer) => {
                course.may_have_run = true;
                course.last = format!("{label} {}", answer.status.as_u16());
                course.fallback = Some(answer);
            }
            Ended::NotRun(why) => {
                course.is_shed = why == NotRun::Shed;
                if matches!(why, NotRun::Unreachable | NotRun::Unsent) {
                    course.sends -= 1;
                }
                course.last = label.into();
            }
            Ended::Lost(what) => {
                course.may_have_run = true;
                course.last = what;
            }
        }
        None
    }

    /// Returns whether the request may go to one more server.
    fn may_send_again(&self, course: &Course) -> bool {
        let is_safe = !(course.may_have_run && self.outgoing.once);
        is_safe
            && course.sends < self.route.attempts
            && self.end.since(self.shared.now()) > LEAST_LEFT
    }

    /// Returns whether the chosen server is worth a send, and takes a resend from the budget.
    ///
    /// While a whole service is full, a request that was refused by one server would be refused by the next, and the
    /// budget would be missing when it can help.
    fn may_use(&self, choice: &Choice, course: &Course) -> bool {
        if course.sends == 0 {
            return true;
        }
        let is_full = course.is_shed && choice.late > FULL;
        !is_full && self.shared.try_resend(&self.outgoing.service)
    }

    /// Chooses a server. A request with nothing in flight waits a short time for one to appear.
    async fn choose(&self, course: &Course, may_wait: bool) -> Option<Choice> {
        let hold = Span::from_micros(self.route.target.as_micros() / HOLD_PART);
        let until = tokio::time::Instant::now() + duration(hold);
        let mut is_paused = false;
        loop {
            let changed = self.shared.changed.notified();
            if self.end.since(self.shared.now()) <= LEAST_LEFT {
                return None;
            }
            let is_last = self.outgoing.once || course.sends + 1 >= self.route.attempts;
            let failure = if is_last { 1.0 } else { REPEATABLE_FAILURE };
            if let Some(choice) = self.pick(&course.tried, failure) {
                return Some(choice);
            }
            if course.is_shed && is_paused {
                return self.pick(&[], failure);
            }
            if !may_wait || tokio::time::Instant::now() >= until {
                return None;
            }
            let pause = if course.is_shed { FULL_PAUSE.min(hold) } else { hold };
            is_paused = true;
            tokio::select! {
                () = changed => {}
                () = tokio::time::sleep(duration(pause)) => {}
            }
        }
    }

    fn pick(&self, tried: &[ServerId], failure: f64) -> Option<Choice> {
        let shared = &self.shared;
        let now = shared.now();
        let catalog = shared.catalog.load();
        let service = &self.outgoing.service;
        let connections = catalog.as_ref()?.service(service).map_or(u32::MAX, |s| s.connections);
        let mut fleet = shared.fleet();
        let nodes = fleet.mesh.size(now) as u32;
        let crate::shared::Fleet { roster, rng, sizes, .. } = &mut *fleet;
        let ask = Ask {
            service,
            target: self.route.target,
            zone: &shared.zone,
            failure,
            bytes: sizes.get(&self.route.name).copied().unwrap_or(FIRST_SIZE),
            tried,
            limit: (connections / nodes).max(LEAST_CONNECTIONS),
        };
        picker::pick(&shared.picker, roster, now, &ask, rng)
    }

    fn learn_size(&self, answer: &Answer) {
        let AnswerBody::Whole(bytes) = &answer.body else { return };
        let mut fleet = self.shared.fleet();
        let size = fleet.sizes.entry(self.route.name.clone()).or_insert(FIRST_SIZE);
        *size += SIZE_WEIGHT * (bytes.len() as f64 - *size);
    }

    /// Returns what the caller is told when no server is left to ask.
    fn give_up(&self, course: &mut Course) -> Verdict {
        if let Some(answer) = course.fallback.take() {
            return final_error(answer);
        }
        Verdict::Own(match (course.may_have_run, course.is_shed, course.tried.is_empty()) {
            (true, _, _) => ResultCode::ServerLost,
            (false, true, _) => ResultCode::Shed,
            (false, false, false) => ResultCode::ConnectFailed,
            (false, false, true) => ResultCode::NoServer,
        })
    }

    /// Returns what the caller is told when its time is up.
    fn late(&self, course: &mut Course) -> Verdict {
        if let Some(answer) = course.fallback.take() {
            return final_error(answer);
        }
        Verdict::Own(if course.may_have_run {
            ResultCode::ServerTimeout
        } else {
            ResultCode::DeadlineUnmet
        })
    }

    fn log(&self, verdict: &Verdict, course: &Course) {
        let took = self.shared.now().since(self.begun);
        let (result, status) = match verdict {
            Verdict::Answer(answer) => ("answered".to_string(), answer.status.as_u16()),
            Verdict::Own(code) => (code.to_string(), code.status()),
        };
        let service = self.outgoing.service.as_str();
        metrics::counter!("redwing_gateway_requests_total", "service" => service.to_string(),
            "result" => result.clone())
        .increment(1);
        metrics::histogram!("redwing_gateway_request_seconds", "service" => service.to_string())
            .record(took.as_secs_f64());
        let servers: Vec<&str> = course.tried.iter().map(ServerId::as_str).collect();
        log::info!(target: "requests", attempt = &*self.outgoing.attempt, route = &*self.route.name, service,
            version = self.version, servers = servers.join(","), sends = course.sends, status,
            ms = took.as_millis(), last = course.last.as_str(); "{result}");
    }
}

/// Returns a server's error for the caller. A status that promises that the request did not run is not passed on, as
/// the server has not marked it so.
fn final_error(answer: Answer) -> Verdict {
    let promises = [
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::REQUEST_TIMEOUT,
    ];
    if promises.contains(&answer.status) {
        return Verdict::Own(ResultCode::ServerLost);
    }
    Verdict::Answer(answer)
}
