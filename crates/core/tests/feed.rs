//! The follower of the store's streams.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use rand::{rngs::StdRng, SeedableRng};
use redwingtrestle_core::{
    process::feed::{Feed, Step},
    time::Span,
};

#[derive(Clone, Copy, Debug)]
enum Event {
    Snapshot(u64),
    Changes(u64),
    Relayed(u64),
    Expired,
    Failed,
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let end = u64::from(u8::arbitrary(g));
        match u8::arbitrary(g) % 5 {
            0 => Event::Snapshot(end),
            1 => Event::Changes(end),
            2 => Event::Relayed(end),
            3 => Event::Expired,
            _ => Event::Failed,
        }
    }
}

/// Guards against a follower that goes back, watches from records that are gone, or asks without a pause.
#[test]
fn position_never_goes_back() {
    fn check(events: Vec<Event>) -> bool {
        let mut feed = Feed::default();
        let mut rng = StdRng::seed_from_u64(7);
        events.into_iter().all(|event| {
            let before = feed.position();
            let is_fine = match event {
                Event::Snapshot(end) => {
                    feed.snapshot(end) == before.is_none_or(|known| end >= known)
                }
                Event::Changes(end) => {
                    feed.changes(end);
                    true
                }
                Event::Relayed(end) => {
                    feed.relayed(end);
                    true
                }
                Event::Expired => {
                    feed.expired();
                    feed.step() == Step::Newest
                }
                Event::Failed => {
                    let pause = feed.failed(&mut rng);
                    feed.is_away()
                        && pause >= Span::from_millis(100)
                        && pause <= Span::from_millis(1_000)
                }
            };
            is_fine && feed.position() >= before
        })
    }
    let gen = Gen::from_size_and_seed(60, 0x6665_6564);
    QuickCheck::new().rng(gen).tests(2_000).quickcheck(check as fn(Vec<Event>) -> bool);
}

/// Guards against servers that come back from a snapshot which is older than what is known.
#[test]
fn older_snapshot_is_refused_and_read_again() {
    let mut feed = Feed::default();
    assert!(feed.snapshot(40));
    feed.expired();
    assert!(!feed.snapshot(39));
    assert_eq!(feed.step(), Step::Newest);
    assert!(feed.is_away());
    assert!(feed.snapshot(41));
    assert_eq!(feed.step(), Step::Watch(41));
    assert!(!feed.is_away());
}
