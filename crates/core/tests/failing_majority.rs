//! A service whose servers mostly fail: which requests get the few healthy ones.

use rand::{rngs::StdRng, Rng, SeedableRng};
use redwingtrestle_core::{
    ids::ServiceName,
    process::{
        health_estimate::Observation,
        picker::{self, PickRequest, PickerOptions},
        registration::{Registration, RegistrationState, ServerId},
        server_registry::{RegistryOptions, ServerRegistry},
        stream_position::StreamPosition,
    },
    time::{Span, Timestamp},
};
use std::{cmp::Reverse, collections::BinaryHeap};

const SERVERS: usize = 10;
const SLOTS: usize = 6;
const REQUESTS_PER_S: u64 = 35;
const REQUESTS: u64 = REQUESTS_PER_S * 30;
/// Mean work of a served request; a failing server answers after [`FAILURE_TIME`].
const WORK: Span = Span::from_millis(450);
const FAILURE_TIME: Span = Span::from_millis(3);
const FAILING_SUCCESS: f64 = 0.15;
const HEALTHY_SUCCESS: f64 = 0.988;
/// Share of the requests that have the most urgent rank.
const URGENT_SHARE: f64 = 0.25;
/// Share of the less urgent requests that the gateway sends without a bound.
const UNBOUNDED_SHARE: f64 = 0.25;
/// Target of each rank.
const TARGETS: [Span; 2] = [Span::from_millis(1_000), Span::from_millis(2_000)];

/// What the callers of one rank got.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    asked: u32,
    served: u32,
}

impl Outcome {
    fn served_share(self) -> f64 {
        f64::from(self.served) / f64::from(self.asked)
    }
}

/// A request in progress, ordered by its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Running {
    end: Timestamp,
    sent: Timestamp,
    server: usize,
    rank: usize,
    is_served: bool,
}

fn registration(number: usize) -> Registration {
    Registration {
        id: ServerId(format!("i-{number}").as_str().into()),
        addr: ([10, 0, 0, number as u8], 9_000).into(),
        service: "orders".into(),
        zone: "a".into(),
        slots: SLOTS as u32,
        state: RegistrationState::Ready,
        warmup: Span::ZERO,
        started: 1,
        report: 1,
    }
}

/// A service of which the first `healthy` servers serve and the others mostly fail, and one node that sends to it.
struct Model {
    rng: StdRng,
    registry: ServerRegistry,
    service: ServiceName,
    healthy: usize,
    slots_free_at: Vec<[Timestamp; SLOTS]>,
    running: BinaryHeap<Reverse<Running>>,
    outcomes: [Outcome; 2],
}

impl Model {
    fn new(seed: u64, healthy: usize, now: Timestamp) -> Self {
        let mut registry = ServerRegistry::new(RegistryOptions::default());
        for registration in (0..SERVERS).map(registration) {
            let id = registration.id.clone();
            registry.apply_record(now, &id, StreamPosition::new(0, 1), Some(registration));
        }
        Model {
            rng: StdRng::seed_from_u64(seed),
            registry,
            service: "orders".into(),
            healthy,
            slots_free_at: vec![[now; SLOTS]; SERVERS],
            running: BinaryHeap::new(),
            outcomes: Default::default(),
        }
    }

    fn finish_until(&mut self, now: Timestamp) {
        while let Some(Reverse(request)) = self.running.peek().copied().filter(|r| r.0.end <= now) {
            self.running.pop();
            let Running { end, sent, server, rank, is_served } = request;
            let id = registration(server).id;
            let observation = if is_served { Observation::Success } else { Observation::Error };
            self.registry.record_end(&id);
            self.registry.observe(end, &id, observation, sent);
            self.registry.record_outcome(end, &self.service, is_served);
            self.outcomes[rank].served += u32::from(is_served);
        }
    }

    fn pick(&mut self, now: Timestamp, rank: usize) -> Option<usize> {
        let target = TARGETS[rank];
        self.registry.record_rank(now, &self.service, rank as u8, target);
        let bound = self.registry.max_response_time(now, &self.service, rank as u8);
        let is_unbounded = self.rng.random::<f64>() < UNBOUNDED_SHARE;
        let request = PickRequest {
            service: &self.service,
            target,
            zone: &"a".into(),
            failure_loss: 0.8,
            bytes: 0.0,
            tried: &[],
            max_in_flight: 100,
            max_response_time: bound.filter(|_| !is_unbounded),
        };
        let options = PickerOptions::default();
        let choice = picker::pick(&options, &self.registry, now, &request, &mut self.rng)?;
        choice.id.as_str()[2..].parse().ok()
    }

    fn send(&mut self, now: Timestamp, rank: usize, server: usize) {
        self.registry.record_send(now, &registration(server).id);
        let success = if server < self.healthy { HEALTHY_SUCCESS } else { FAILING_SUCCESS };
        let is_served = self.rng.random::<f64>() < success;
        let spread = self.rng.random_range(0.5..1.5) * WORK.as_micros() as f64;
        let work = if is_served { Span::from_micros(spread as u64) } else { FAILURE_TIME };
        let slot = self.slots_free_at[server].iter_mut().min().expect("a slot");
        *slot = (*slot).max(now) + work;
        self.running.push(Reverse(Running { end: *slot, sent: now, server, rank, is_served }));
    }
}

/// Plays the load on virtual time, each request sent at most once, and returns what the callers of each rank got.
fn play(seed: u64, healthy: usize) -> [Outcome; 2] {
    let mut now = Timestamp::ZERO + Span::from_secs(100);
    let mut model = Model::new(seed, healthy, now);
    for _ in 0..REQUESTS {
        let gap = model.rng.random_range(0..2_000_000 / REQUESTS_PER_S);
        now = now + Span::from_micros(gap);
        model.finish_until(now);
        let rank = usize::from(model.rng.random::<f64>() >= URGENT_SHARE);
        model.outcomes[rank].asked += 1;
        if let Some(server) = model.pick(now, rank) {
            model.send(now, rank, server);
        }
    }
    model.outcomes
}

/// Guards against less urgent requests that fill the healthy servers until urgent ones, whose target is shorter, look
/// late there and go to failing servers.
#[test]
fn urgent_requests_are_served_first_while_most_servers_fail() {
    for (healthy, seed) in (1..=2).flat_map(|healthy| (1..=10).map(move |seed| (healthy, seed))) {
        let [urgent, other] = play(seed, healthy);
        let shares = (urgent.served_share(), other.served_share());
        assert!(shares.0 > shares.1, "{healthy} healthy servers, seed {seed}: served {shares:?}");
        let all =
            Outcome { asked: urgent.asked + other.asked, served: urgent.served + other.served };
        // The slots of the healthy servers suffice for 0.38 and 0.76 of the requests.
        let least = if healthy == 1 { 0.37 } else { 0.62 };
        assert!(all.served_share() > least, "{healthy}, seed {seed}: {}", all.served_share());
    }
}
