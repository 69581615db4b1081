//! The contacts of the fleet with the store, and the role that a node takes in watching it.

use rand::{rngs::StdRng, SeedableRng};
use redwingtrestle_core::{
    process::{
        store_contact::{ContactReport, StoreContacts},
        stream_watch::{StreamWatch, WatchRole},
    },
    time::{Span, Timestamp},
};

const APPLY_TIME: Span = Span::from_secs(2);

/// What a node's check, one call and one message take together, at most.
const DELAYS: Span = Span::from_millis(300);

fn at(millis: u64) -> Timestamp {
    Timestamp::ZERO + Span::from_millis(100_000 + millis)
}

fn rng() -> StdRng {
    StdRng::seed_from_u64(7)
}

fn report(node: u32, number: u32, age_ms: u64) -> ContactReport {
    ContactReport { node, number, age: Span::from_millis(age_ms) }
}

/// Guards against a node that waits longer for its readers than a change may take to be in force.
#[test]
fn contact_is_overdue_before_a_change_is_late() {
    for seed in 0..100 {
        let mut contacts = StoreContacts::new(at(0), 1);
        contacts.record_own(at(100), &mut StdRng::seed_from_u64(seed));
        assert!(contacts.is_overdue(at(100) + (APPLY_TIME - DELAYS)), "seed {seed}");
    }
}

/// Guards against nodes that all ask at once when the contact of the fleet is lost.
#[test]
fn nodes_ask_one_after_the_other() {
    let mut moments: Vec<u64> = Vec::new();
    for seed in 0..5 {
        let mut contacts = StoreContacts::new(at(0), 1);
        contacts.record_own(at(100), &mut StdRng::seed_from_u64(seed));
        moments.extend((0..3_000).find(|ms| contacts.is_overdue(at(*ms))));
    }
    moments.sort_unstable();
    moments.dedup();
    assert_eq!(moments.len(), 5, "{moments:?}");
}

/// Guards against a contact that stays young by going around, as each message takes some time.
#[test]
fn repeated_contact_does_not_get_younger() {
    let mut contacts = StoreContacts::new(at(0), 1);
    contacts.record_peer(at(1_000), &report(2, 5, 100));
    for ms in (1_000..4_000).step_by(10) {
        contacts.record_peer(at(ms), &report(2, 5, 50));
        contacts.record_peer(at(ms), &report(2, 4, 50));
    }
    assert_eq!(contacts.age(at(4_000)), Span::from_millis(3_100));
    assert!(contacts.is_overdue(at(4_000)));
    contacts.record_peer(at(4_000), &report(2, 6, 200));
    assert_eq!(contacts.newest(at(4_000)), Some(report(2, 6, 200)));
}

/// Guards against a node that takes its own contact, which another one passes on, for news.
#[test]
fn own_contact_does_not_come_back() {
    let mut contacts = StoreContacts::new(at(0), 1);
    contacts.record_own(at(100), &mut rng());
    contacts.record_peer(at(5_000), &report(1, 9, 0));
    assert_eq!(contacts.newest(at(5_000)), Some(report(1, 1, 4_900)));
}

/// Guards against an older contact that replaces a newer one, and against a report before the first contact.
#[test]
fn newest_contact_is_kept() {
    let mut contacts = StoreContacts::new(at(0), 1);
    assert_eq!(contacts.newest(at(10)), None);
    contacts.record_own(at(500), &mut rng());
    contacts.record_peer(at(600), &report(2, 1, 400));
    assert_eq!(contacts.newest(at(600)), Some(report(1, 1, 100)));
}

/// Guards against a watch that is asked about without end because the other stream does not respond.
#[test]
fn stream_that_responded_lately_is_not_asked_about() {
    let mut watch = StreamWatch::default();
    assert_eq!(watch.role(at(0), true, WatchRole::Follower), WatchRole::Asking);
    watch.record_response(at(0));
    assert_eq!(watch.role(at(1_000), true, WatchRole::Follower), WatchRole::Follower);
    assert_eq!(watch.role(at(2_000), true, WatchRole::Reader), WatchRole::Asking);
    assert_eq!(watch.role(at(2_000), false, WatchRole::Writer), WatchRole::Writer);
}
