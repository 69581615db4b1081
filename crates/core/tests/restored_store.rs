//! The registry of backend servers when the store comes back from an older copy.

mod common {
    pub(crate) mod servers;
}

use common::servers::{self, at, id, offset as before};
use redwingtrestle_core::{
    cases,
    process::{
        registration::{Registration, RegistrationState, ServerId},
        server_registry::{Change, RegistryOptions, ServerRegistry},
        stream_position::StreamPosition,
    },
    time::Timestamp,
};
use std::collections::HashMap;

const READY: RegistrationState = RegistrationState::Ready;
const DRAINING: RegistrationState = RegistrationState::Draining;

fn after(offset: u64) -> StreamPosition {
    StreamPosition::new(1, offset)
}

fn registration(number: u8, (state, started, report): Report) -> Registration {
    servers::registration(number, state, started, report)
}

/// State, start and number of a report.
type Report = (RegistrationState, u64, u64);

/// Returns a registry with the server 0, whose records were read before the restore from offset 30 on.
fn registry(records: &[Option<Report>]) -> ServerRegistry {
    let mut registry = ServerRegistry::new(RegistryOptions::default());
    for (offset, record) in (30..).zip(records) {
        let record = record.map(|report| registration(0, report));
        registry.apply_record(at(0), &id(0), before(offset), record);
    }
    registry
}

fn usable(registry: &ServerRegistry, now: Timestamp) -> usize {
    registry.usable(now, &"orders".into()).len()
}

/// Applies the snapshot of the restored store with the copy of server 0, then the records that are written again from
/// offset 20 on. Returns the change by the snapshot, that by the last record, and the number of usable servers.
fn restore(
    known: &[Option<Report>],
    copy: Option<Report>,
    again: &[Option<Report>],
) -> (Change, Change, usize) {
    let mut registry = registry(known);
    let records = copy.map(|report| (registration(0, report), after(12)));
    let changes: HashMap<ServerId, Change> = registry
        .apply_snapshot(at(10), after(20), records.into_iter().collect())
        .into_iter()
        .collect();
    let mut last = Change::Nothing;
    for (offset, record) in (20..).zip(again) {
        let record = record.map(|report| registration(0, report));
        last = registry.apply_record(at(20), &id(0), after(offset), record);
    }
    let by_snapshot = changes.get(&id(0)).copied().unwrap_or(Change::Nothing);
    (by_snapshot, last, usable(&registry, at(9_000)))
}

fn restore_case(
    case: (&[Option<Report>], Option<Report>, &[Option<Report>]),
) -> (Change, Change, usize) {
    restore(case.0, case.1, case.2)
}

cases! {
    restore_case;
    /// Guards against draining that is never seen because it is written at an offset that was given out before.
    draining_at_a_reused_offset_takes_a_server_out_of_use:
        (&[Some((READY, 1, 5))], Some((READY, 1, 4)), &[Some((DRAINING, 1, 6))])
        => (Change::Nothing, Change::Draining, 0),
    /// Guards against an end of a registration that is never seen because its offset was given out before.
    end_at_a_reused_offset_takes_a_server_out_of_use: (&[Some((READY, 1, 5))], Some((READY, 1, 5)), &[None])
        => (Change::Nothing, Change::Ended, 0),
    /// Guards against a draining server that its old copy brings back.
    old_copy_of_a_draining_server_is_refused: (&[Some((READY, 1, 5)), Some((DRAINING, 1, 6))], Some((READY, 1, 5)), &[])
        => (Change::Refused, Change::Nothing, 0),
    /// Guards against an ended server that its old copy brings back, then or when the same record is written again.
    old_copy_of_an_ended_server_is_refused: (&[Some((READY, 1, 5)), None], Some((READY, 1, 5)), &[Some((READY, 1, 5))])
        => (Change::Refused, Change::Refused, 0),
    /// Guards against a server that stays out of use although it reports again.
    ended_server_returns_with_a_newer_report: (&[Some((READY, 1, 5)), None], Some((READY, 1, 5)), &[Some((READY, 1, 6))])
        => (Change::Refused, Change::Returned, 1),
    /// Guards against a restarted server that stays out of use after a restore.
    draining_server_returns_with_a_newer_start:
        (&[Some((READY, 1, 5)), Some((DRAINING, 1, 6))], Some((READY, 1, 5)), &[Some((READY, 2, 1))])
        => (Change::Refused, Change::Joined, 1),
    /// Guards against a start that an old copy undoes.
    copy_of_an_earlier_start_is_ignored: (&[Some((READY, 2, 1))], Some((DRAINING, 1, 9)), &[])
        => (Change::Nothing, Change::Nothing, 1),
    /// Guards against a server that joined in the lost seconds and stays out of use when the same record is written again.
    missing_server_returns_when_it_is_written_again: (&[Some((READY, 1, 5))], None, &[Some((READY, 1, 5))])
        => (Change::Ended, Change::Returned, 1),
    /// Guards against a server that is used for ever although it does not register at the restored store.
    missing_server_that_does_not_register_is_gone: (&[Some((READY, 1, 5))], None, &[])
        => (Change::Ended, Change::Nothing, 0),
}

/// Guards against requests without a server in the seconds in which running servers register again.
#[test]
fn missing_servers_stay_usable_for_the_outage_grace() {
    let mut registry = registry(&[Some((READY, 1, 5))]);
    let other = vec![(registration(1, (READY, 1, 1)), after(3))];
    registry.apply_snapshot(at(10), after(20), other);
    assert_eq!(usable(&registry, at(1_000)), 2);
    assert_eq!(usable(&registry, at(2_000)), 1);
}

/// Guards against responses of the lost store that arrive late and change what the restored one says.
#[test]
fn late_records_of_the_lost_store_are_ignored() {
    let mut registry = registry(&[Some((READY, 1, 5))]);
    registry.apply_snapshot(at(10), after(20), vec![(registration(0, (READY, 1, 5)), after(3))]);
    let late = |number| Some(registration(number, (READY, 1, 9)));
    assert_eq!(registry.apply_record(at(20), &id(7), before(50), late(7)), Change::Nothing);
    assert_eq!(registry.apply_record(at(20), &id(0), before(51), None), Change::Nothing);
    assert_eq!(registry.apply_snapshot(at(20), before(52), Vec::new()), []);
    assert_eq!(usable(&registry, at(30)), 1);
}

/// Guards against changes that a peer takes for all that it lacks, although it knows only an earlier era or a part of
/// what the snapshot of the restored store covers.
#[test]
fn peer_from_before_the_snapshot_of_the_restored_store_gets_all_registrations() {
    let mut registry = registry(&[Some((READY, 1, 5))]);
    registry.apply_snapshot(at(10), after(20), vec![(registration(1, (READY, 1, 1)), after(3))]);
    assert_eq!(registry.changes_since(before(25)), None);
    assert_eq!(registry.changes_since(after(0)), None);
    assert_eq!(registry.changes_since(after(20)), Some(Vec::new()));
    registry.apply_record(at(20), &id(1), after(20), None);
    let ended = registry.changes_since(after(20)).expect("the changes since the snapshot");
    assert_eq!(ended, [(id(1), after(20), None)]);
}
