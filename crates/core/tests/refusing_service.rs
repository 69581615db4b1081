//! A service whose servers all refuse a part of their work: what callers get from the chosen servers.

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

const SERVERS: usize = 40;
const SLOTS: usize = 6;
const QUEUE: usize = 24;
const WORK: Span = Span::from_millis(460);
const TARGET: Span = Span::from_millis(2_000);
/// Arrivals that fill two fifths of the slots if every server accepts its part.
const REQUESTS_PER_S: u64 = 208;
const SECONDS: u64 = 12;
const FIRST_REFUSAL_S: u64 = 3;
const REFUSED_SHARE: f64 = 0.55;

/// What the callers of one run got.
#[derive(Debug, Default)]
struct Outcome {
    accepted: u32,
    in_target: u32,
    busiest: u32,
}

/// A server that works on `SLOTS` requests at once and queues the others.
#[derive(Debug, Default)]
struct ModelServer {
    slots_free_at: BinaryHeap<Reverse<u64>>,
    accepted: u32,
}

impl ModelServer {
    /// Accepts a request and returns when it ends, or `None` if the queue is full.
    fn accept(&mut self, now: Timestamp) -> Option<Timestamp> {
        let now = now.as_micros();
        while self.slots_free_at.peek().is_some_and(|Reverse(at)| *at <= now) {
            self.slots_free_at.pop();
        }
        if self.slots_free_at.len() >= SLOTS + QUEUE {
            return None;
        }
        let ahead = self.slots_free_at.len();
        let start = if ahead < SLOTS {
            now
        } else {
            let mut ends: Vec<u64> = self.slots_free_at.iter().map(|Reverse(at)| *at).collect();
            ends.sort_unstable();
            ends[ahead - SLOTS]
        };
        let end = start + WORK.as_micros();
        self.slots_free_at.push(Reverse(end));
        self.accepted += 1;
        Some(Timestamp::from_micros(end))
    }
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

/// Plays the load on virtual time. Refusals are not sent again, so every arrival is one send.
fn play(seed: u64) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut registry = ServerRegistry::new(RegistryOptions::default());
    let mut now = Timestamp::ZERO + Span::from_secs(100);
    let start = now;
    for number in 0..SERVERS {
        let registration = registration(number);
        let id = registration.id.clone();
        registry.apply_record(now, &id, StreamPosition::new(0, 1), Some(registration));
    }
    let service = ServiceName::from("orders");
    let mut servers: Vec<ModelServer> = (0..SERVERS).map(|_| ModelServer::default()).collect();
    let mut running: BinaryHeap<Reverse<(Timestamp, Timestamp, usize)>> = BinaryHeap::new();
    let mut outcome = Outcome::default();
    for _ in 0..REQUESTS_PER_S * SECONDS {
        now = now + Span::from_micros(1_000_000 / REQUESTS_PER_S);
        while let Some(Reverse((end, sent_at, index))) = running.peek().copied() {
            if end > now {
                break;
            }
            running.pop();
            let id = registration(index).id;
            registry.record_end(&id);
            registry.observe(end, &id, Observation::Success, sent_at);
        }
        let request = PickRequest {
            service: &service,
            target: TARGET,
            zone: &"a".into(),
            failure_loss: 1.0,
            bytes: 0.0,
            tried: &[],
            max_in_flight: 100,
            max_response_time: None,
        };
        let options = PickerOptions::default();
        let choice = picker::pick(&options, &registry, now, &request, &mut rng).expect("a server");
        let index: usize = choice.id.as_str()[2..].parse().expect("a number");
        registry.record_send(now, &choice.id);
        let refuses = now.since(start) >= Span::from_secs(FIRST_REFUSAL_S)
            && rng.random::<f64>() < REFUSED_SHARE;
        let end = if refuses { None } else { servers[index].accept(now) };
        match end {
            Some(end) => {
                outcome.accepted += 1;
                outcome.in_target += u32::from(end.since(now) <= TARGET);
                running.push(Reverse((end, now, index)));
            }
            None => {
                registry.record_end(&choice.id);
                registry.observe_refusal(now, &choice.id, now);
            }
        }
    }
    outcome.busiest = servers.iter().map(|s| s.accepted).max().unwrap_or(0);
    outcome
}

/// Guards against moving all work to the few servers that happened to refuse none, whose queues then make it late.
#[test]
fn service_that_refuses_everywhere_keeps_its_load_spread() {
    for seed in 1..=10 {
        let outcome = play(seed);
        let mean = f64::from(outcome.accepted) / SERVERS as f64;
        let busiest = f64::from(outcome.busiest) / mean;
        let in_target = f64::from(outcome.in_target) / f64::from(outcome.accepted);
        assert!(busiest < 2.0, "seed {seed}: the busiest server got {busiest:.2} times the mean");
        assert!(in_target > 0.99, "seed {seed}: {in_target:.3} of the accepted requests in target");
    }
}

/// Guards against trusting a server that refuses work alone, while it has free slots.
#[test]
fn single_refusing_server_becomes_suspect() {
    let mut registry = ServerRegistry::new(RegistryOptions::default());
    let now = Timestamp::ZERO + Span::from_secs(100);
    for number in 0..2 {
        let registration = registration(number);
        let id = registration.id.clone();
        registry.apply_record(now, &id, StreamPosition::new(0, 1), Some(registration));
    }
    let (sound, refusing) = (registration(0).id, registration(1).id);
    for step in 1..=40 {
        let now = now + Span::from_millis(step * 50);
        registry.observe(now, &sound, Observation::Success, now);
    }
    let now = now + Span::from_secs(2);
    assert!(registry.observe_refusal(now, &refusing, now));
    assert!(registry.observe_refusal(now, &refusing, now));
    assert_eq!(registry.suspects(now).len(), 1);
}
