//! Registrations of backend servers, and the times and positions at which the tests record them.

use redwingtrestle_core::{
    process::{
        registration::{Registration, RegistrationState, ServerId},
        stream_position::StreamPosition,
    },
    time::{Span, Timestamp},
};

/// Returns the time `millis` after the start of a test, an hour after the clock's start.
pub(crate) fn at(millis: u64) -> Timestamp {
    Timestamp::ZERO + Span::from_secs(3_600) + Span::from_millis(millis)
}

/// Returns a position in a store that was never restored.
pub(crate) fn offset(offset: u64) -> StreamPosition {
    StreamPosition::new(0, offset)
}

/// Returns the id of a server.
pub(crate) fn id(number: u8) -> ServerId {
    ServerId(format!("i-{number}").into())
}

/// Returns the registration of a server of the service `orders` in the zone `a`.
pub(crate) fn registration(
    number: u8,
    state: RegistrationState,
    started: u64,
    report: u64,
) -> Registration {
    Registration {
        id: id(number),
        addr: ([10, 0, 0, number], 80).into(),
        service: "orders".into(),
        zone: "a".into(),
        slots: 6,
        state,
        warmup: Span::ZERO,
        started,
        report,
    }
}
