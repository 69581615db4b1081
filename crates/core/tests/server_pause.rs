//! Servers that ask for a pause, on virtual time.

mod common {
    pub(crate) mod servers;
}

use common::servers::{self, at, offset};
use rand::{rngs::StdRng, SeedableRng};
use redwingtrestle_core::{
    cases,
    process::{
        picker::{pick, PickRequest, PickerOptions},
        registration::{Registration, RegistrationState},
        server_pause::{parse_pause, retry_after, MAX_PAUSE},
        server_registry::{RegistryOptions, ServerRegistry},
        start_marks::ServerStart,
    },
    time::Span,
};

fn registration(number: u8, started: u64) -> Registration {
    servers::registration(number, RegistrationState::Ready, started, 1)
}

/// Returns a registry whose servers asked at time 0 for these pauses in milliseconds, where 0 is none.
fn registry(pauses: &[u64], draw: f64) -> ServerRegistry {
    let mut registry = ServerRegistry::new(RegistryOptions::default());
    for (number, pause) in (0u8..).zip(pauses) {
        let registration = registration(number, 1);
        let id = registration.id.clone();
        let start = ServerStart::from(&registration);
        registry.apply_record(at(0), &id, offset(u64::from(number)), Some(registration));
        if *pause > 0 {
            registry.record_pause(at(0), &start, Span::from_millis(*pause), draw);
        }
    }
    registry
}

fn usable(registry: &ServerRegistry, millis: u64) -> usize {
    registry.usable(at(millis), &"orders".into()).len()
}

cases! {
    parse_pause;
    /// Guards against ignoring a fraction.
    fraction_is_read: "1.5" => Some(Span::from_millis(1_500)),
    /// Guards against a negative time that is read as a long one.
    negative_time_is_ignored: "-3" => None,
    /// Guards against a date that is read as a number.
    date_is_ignored: "Fri, 04 Dec 2026 20:00:00 GMT" => None,
    /// Guards against a pause without end.
    endless_time_is_ignored: "inf" => None,
    /// Guards against a pause of no number.
    no_number_is_ignored: "NaN" => None,
    /// Guards against a faulty value that takes a server out of use for good.
    long_time_is_cut: "1e300" => Some(MAX_PAUSE),
}

/// Guards against requests within the pause, a server that stays out of use after it, and nodes that return together.
#[test]
fn pause_ends_within_a_tenth_after_its_time() {
    let (early, late) = (registry(&[2_000, 0], 0.0), registry(&[2_000, 0], 1.0));
    assert_eq!((usable(&early, 1_999), usable(&late, 1_999)), (1, 1));
    assert_eq!((usable(&early, 2_001), usable(&late, 2_001)), (2, 1));
    assert_eq!(usable(&late, 2_201), 2);
}

/// Guards against a shorter pause that ends a longer one.
#[test]
fn shorter_pause_does_not_end_a_longer_one() {
    let mut registry = registry(&[5_000, 0], 0.0);
    let start = ServerStart::from(&registration(0, 1));
    registry.record_pause(at(100), &start, Span::from_millis(200), 0.0);
    assert_eq!(usable(&registry, 4_900), 1);
}

/// Guards against a restarted server that serves its predecessor's pause, and against a removal that ends a pause.
#[test]
fn pause_belongs_to_one_start() {
    for (started, expected) in [(1, 1), (2, 2)] {
        let mut registry = registry(&[5_000, 0], 0.0);
        let restarted = registration(0, started);
        let id = restarted.id.clone();
        registry.remove_displaced(&id);
        registry.apply_record(at(10), &id, offset(10), Some(restarted));
        assert_eq!(usable(&registry, 20), expected);
    }
}

/// Guards against a floor of servers in use that pulls work to a pausing server.
#[test]
fn picker_and_floor_leave_out_pausing_servers() {
    let registry = registry(&[5_000, 5_000, 5_000, 0], 0.0);
    let options = PickerOptions { floor: 1.0, ..PickerOptions::default() };
    let mut rng = StdRng::seed_from_u64(1);
    for _ in 0..500 {
        let request = PickRequest {
            service: &"orders".into(),
            target: Span::from_millis(500),
            zone: &"a".into(),
            failure_loss: 0.8,
            bytes: 0.0,
            tried: &[],
            max_in_flight: 10,
            max_response_time: None,
        };
        let choice = pick(&options, &registry, at(100), &request, &mut rng).expect("a server");
        assert_eq!(choice.id.as_str(), "i-3");
    }
}

/// Guards against callers who wait for a service whose servers all pause, and against refusing while one accepts work.
#[test]
fn time_left_is_that_of_the_first_server_if_all_pause() {
    let left = |pauses: &[u64]| registry(pauses, 0.0).pause_left(at(1_000), &"orders".into());
    assert_eq!(left(&[3_000, 4_000]), Some(Span::from_millis(2_000)));
    assert_eq!(left(&[3_000, 0]), None);
    assert_eq!(left(&[]), None);
}

/// Guards against callers told to return at once, never, or all at the same instant.
#[test]
fn callers_are_told_a_bounded_and_spread_time() {
    assert_eq!(retry_after(Span::from_millis(1), 1.0), Span::from_millis(500));
    assert_eq!(retry_after(Span::from_secs(2), 0.0), Span::from_secs(2));
    assert_eq!(retry_after(Span::from_secs(2), 1.0), Span::from_millis(2_200));
    assert_eq!(retry_after(MAX_PAUSE, 1.0), Span::from_secs(10));
}
