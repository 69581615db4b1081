//! Servers that say in a response that they leave, on virtual time.

mod common {
    pub(crate) mod servers;
}

use common::servers::{at, id, offset, registration};
use redwingtrestle_core::{
    cases,
    process::{
        registration::{Registration, RegistrationState},
        server_registry::{RegistryOptions, ServerRegistry},
        start_marks::ServerStart,
    },
};

const READY: RegistrationState = RegistrationState::Ready;
const DRAINING: RegistrationState = RegistrationState::Draining;

/// The shortest time after a server's word within which no request may reach it any more.
const DRAIN_MS: u64 = 2_000;

/// Returns a registry of servers of which server 0 said at time 0 that it leaves.
fn registry(count: u8) -> ServerRegistry {
    let mut registry = ServerRegistry::new(RegistryOptions::default());
    for number in 0..count {
        let registration = registration(number, READY, 5, 5);
        registry.apply_record(at(0), &id(number), offset(u64::from(number)), Some(registration));
    }
    let start = ServerStart::from(&registration(0, READY, 5, 5));
    assert!(registry.mark_leaving(at(0), &start));
    registry
}

fn is_usable(registry: &ServerRegistry, millis: u64) -> bool {
    let usable = registry.usable(at(millis), &"orders".into());
    usable.iter().any(|s| s.registration().id == id(0))
}

/// Applies records of server 0 beside a second server, and returns whether server 0 is usable at once and later.
fn usable_after(records: &[Option<Registration>]) -> (bool, bool) {
    let mut registry = registry(2);
    for (position, record) in (10..).zip(records) {
        registry.apply_record(at(1), &id(0), offset(position), record.clone());
    }
    (is_usable(&registry, 1), is_usable(&registry, 60_000))
}

cases! {
    usable_after;
    /// Guards against new work for a server that said that it leaves, while the store says that it is ready.
    word_of_the_server_takes_it_out_of_use: &[] => (false, false),
    /// Guards against a store that is behind and brings a leaving server back.
    later_ready_report_does_not_bring_it_back: &[Some(registration(0, READY, 5, 9))] => (false, false),
    /// Guards against a lapsed registration whose renewal brings a leaving server back.
    end_and_new_ready_report_do_not_bring_it_back: &[None, Some(registration(0, READY, 5, 9))] => (false, false),
    /// Guards against a record of an earlier start that makes the mark void.
    record_of_an_earlier_start_does_not_bring_it_back: &[Some(registration(0, READY, 4, 9))] => (false, false),
    /// Guards against a restarted server that gets no work because its earlier start left.
    new_start_gets_work: &[Some(registration(0, READY, 6, 1))] => (true, true),
    /// Guards against a server at another address that gets no work because one with its id left.
    other_address_gets_work:
        &[Some(Registration { addr: ([10, 0, 1, 0], 80).into(), ..registration(0, READY, 5, 9) })] => (true, true),
}

/// Guards against a leaving server that a move of its address or a snapshot brings back.
#[test]
fn removed_and_inserted_start_still_leaves() {
    let mut registry = registry(2);
    registry.remove_displaced(&id(0));
    let records =
        (0..2).map(|n| (registration(n, READY, 5, 6), offset(20 + u64::from(n)))).collect();
    registry.apply_snapshot(at(10), offset(30), records);
    assert!(!is_usable(&registry, 10));
}

/// Guards against a mark that is forgotten while the store still says that the server is ready.
#[test]
fn mark_is_kept_while_the_start_is_registered() {
    let mut registry = registry(2);
    registry.tick(at(600_000));
    assert!(!is_usable(&registry, 600_000));
}

/// Guards against a new start that a late response of the earlier one takes out of use.
#[test]
fn word_of_an_earlier_start_does_not_bind_the_new_one() {
    let mut registry = registry(2);
    registry.apply_record(at(1), &id(0), offset(10), Some(registration(0, READY, 6, 1)));
    registry.mark_leaving(at(2), &ServerStart::from(&registration(0, READY, 5, 5)));
    assert!(is_usable(&registry, 2));
}

/// Guards against requests to the only server of a service later than its drain time, whatever the store says then.
#[test]
fn last_resort_ends_before_the_drain_time() {
    for record in [
        None,
        Some(None),
        Some(Some(registration(0, DRAINING, 5, 6))),
        Some(Some(registration(0, READY, 5, 6))),
    ] {
        let mut registry = registry(1);
        assert!(is_usable(&registry, 1_000));
        registry.record_store_outage(at(1_400));
        if let Some(record) = record {
            registry.apply_record(at(1_500), &id(0), offset(10), record);
        }
        assert!(!is_usable(&registry, DRAIN_MS));
        assert!(registry.has_left(at(DRAIN_MS), &id(0)));
    }
}

/// Guards against refusing a request that was sent to a leaving server as the last one, within its drain time.
#[test]
fn chosen_server_still_gets_the_request_within_the_grace() {
    assert!(!registry(1).has_left(at(1_000), &id(0)));
}
