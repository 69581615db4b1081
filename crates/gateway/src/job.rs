//! The sends of one request: pick a server, send, and send again where that is safe.

use crate::{
    attempt::{self, Answer, AnswerBody, Ended, NotRun},
    clock::duration,
    outgoing::{OutBody, Outgoing},
    shared::{Fleet, Shared},
};
use futures_util::{future::BoxFuture, stream::FuturesUnordered, FutureExt, StreamExt};
use hyper::StatusCode;
use rand::Rng;
use redwingtrestle_core::{
    codes::ResultCode,
    process::{
        picker::{self, Choice, PickRequest},
        registration::ServerId,
    },
    time::{Span, Timestamp},
    version::routing_config::HostRoute,
};
use std::sync::Arc;

/// The part of a route's target for which a request waits for a server to appear; then it is refused.
const HOLD_PART: u64 = 8;

/// The pause after which a request that found no server with room looks again.
const FULL_PAUSE: Span = Span::from_millis(150);

/// The least time left with which a request is still sent. A server could not answer sooner.
const LEAST_LEFT: Span = Span::from_millis(20);

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

/// The share of less urgent requests that are sent like the most urgent ones, so that no rank starves.
const LEAST_SHARE: f64 = 0.25;

/// The least share of a server's connections that one node may use.
const LEAST_CONNECTIONS: u32 = 4;

/// The bytes that a route's answers are assumed to have before one was seen.
const FIRST_SIZE: f64 = 4_096.0;

/// The weight of the newest answer in the mean size of a route's answers.
const SIZE_WEIGHT: f64 = 0.1;

/// `Verdict` is what a caller is told.
#[derive(Debug)]
pub enum Verdict {
    /// A server's answer.
    Answer(Answer),
    /// The gateway's own refusal or failure.
    Own(ResultCode),
}

/// `Job` is a request with its route, service and time.
#[derive(Debug)]
pub struct Job {
    /// The state of the process.
    pub shared: Arc<Shared>,
    /// The route.
    pub route: Arc<HostRoute>,
    /// The request as it goes to servers.
    pub outgoing: Outgoing,
    /// The version of the configuration that has the route.
    pub version: u64,
    /// When the request arrived.
    pub begun: Timestamp,
    /// When the time of the caller or the route is up.
    pub end: Timestamp,
}

/// `Course` is how far a job is.
#[derive(Default)]
struct Course {
    tried: Vec<ServerId>,
    bound: Option<Span>,
    sends: u32,
    may_have_run: bool,
    is_shed: bool,
    fallback: Option<Answer>,
    last: String,
    choice: Option<Choice>,
}

impl Job {
    /// Sends the request until there is an answer, no server is left to ask, or the time is up.
    pub async fn run(self, body: OutBody) -> Verdict {
        self.shared.count_request(&self.outgoing.service);
        let mut course = Course { bound: self.bound(), ..Course::default() };
        let verdict = self.attempts(body, &mut course).await;
        self.settle(&verdict, &course);
        self.log(&verdict, &course);
        verdict
    }

    /// Returns the longest answer time at the servers that this request may use beside more urgent ones.
    fn bound(&self) -> Option<Span> {
        let now = self.shared.now();
        let (service, rank) = (&self.outgoing.service, self.route.priority);
        let mut fleet = self.shared.fleet();
        fleet.registry.record_rank(now, service, rank, self.route.target);
        let is_equal = fleet.rng.random::<f64>() < LEAST_SHARE;
        if is_equal {
            return None;
        }
        fleet.registry.bound(now, service, rank)
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
                        course.choice = Some(choice.clone());
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
        let usual = self.shared.fleet().registry.usual(&self.outgoing.service, HEDGE_SHARE);
        let wait = match usual {
            Some(usual) => {
                Span::from_micros(usual.times(HEDGE_FACTOR.0).as_micros() / HEDGE_FACTOR.1)
            }
            None => Span::from_micros(self.route.target.as_micros() / 2),
        };
        duration(wait.max(LEAST_HEDGE))
    }

    /// Counts a send to a server that cannot be reached as unserved, also when another send serves the caller: requests
    /// that were sent to such servers before fail seconds later, and this is the first sign of it.
    fn count_unreachable(&self, choice: &Choice) {
        if !choice.is_trial {
            let now = self.shared.now();
            self.shared.fleet().registry.record_outcome(now, &self.outgoing.service, false);
        }
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
            Ended::Answer(answer) => {
                self.learn_size(&answer);
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
                if why == NotRun::Unreachable {
                    self.count_unreachable(choice);
                }
                // Only a refusal of the server itself used up one of the servers that the route allows.
                if why != NotRun::Shed {
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
            if let Some(choice) = self.pick(&course.tried, failure, course.bound) {
                return Some(choice);
            }
            if course.is_shed && is_paused {
                return self.pick(&[], failure, course.bound);
            }
            if !may_wait || tokio::time::Instant::now() >= until {
                return None;
            }
            is_paused = true;
            tokio::select! {
                () = changed => {}
                () = tokio::time::sleep(duration(FULL_PAUSE.min(hold))) => {}
            }
        }
    }

    fn pick(&self, tried: &[ServerId], failure: f64, bound: Option<Span>) -> Option<Choice> {
        let shared = &self.shared;
        let now = shared.now();
        let routing_config = shared.routing_config.load();
        let service = &self.outgoing.service;
        let connections =
            routing_config.as_ref()?.service(service).map_or(u32::MAX, |s| s.connections);
        let mut fleet = shared.fleet();
        let nodes = fleet.peers.size(now) as u32;
        let Fleet { registry, rng, sizes, .. } = &mut *fleet;
        let pick_request = PickRequest {
            service,
            target: self.route.target,
            zone: &shared.zone,
            failure,
            bytes: sizes.get(&self.route.name).copied().unwrap_or(FIRST_SIZE),
            tried,
            limit: (connections / nodes).max(LEAST_CONNECTIONS),
            bound,
        };
        picker::pick(&shared.picker, registry, now, &pick_request, rng)
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
            (false, false, true) if self.has_servers() => ResultCode::QueueFull,
            (false, false, true) => ResultCode::NoServer,
        })
    }

    /// Returns whether the service has servers, although none has room for this request.
    fn has_servers(&self) -> bool {
        let now = self.shared.now();
        !self.shared.fleet().registry.usable(now, &self.outgoing.service).is_empty()
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

    /// Counts the end of the request for its service.
    ///
    /// A failure at a server that was only tried for the floor is left out: these tries follow from the share of
    /// unserved requests, and would keep themselves going.
    fn settle(&self, verdict: &Verdict, course: &Course) {
        let is_served = matches!(verdict, Verdict::Answer(a) if !a.status.is_server_error());
        let was_trial = course.choice.as_ref().is_some_and(|choice| choice.is_trial);
        if is_served || !was_trial {
            let now = self.shared.now();
            self.shared.fleet().registry.record_outcome(now, &self.outgoing.service, is_served);
        }
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
        // What decided the last choice: what was believed of the server, how old that was, and the load there.
        let choice = course.choice.as_ref();
        log::info!(target: "requests", attempt = &*self.outgoing.attempt, route = &*self.route.name, service,
            version = self.version, servers = servers.join(","), sends = course.sends, status,
            ms = took.as_millis(), last = course.last.as_str(),
            failing = choice.map(|c| (c.failure * 100.0) as u64), age_ms = choice.map(|c| c.age.as_millis()),
            trial = choice.map(|c| c.is_trial), load = choice.map(|c| c.load), late = choice.map(|c| (c.late * 100.0) as u64),
            among = choice.map(|c| c.among); "{result}");
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
