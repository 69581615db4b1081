//! The stream watch, which follows the store's streams.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use rand::{rngs::StdRng, SeedableRng};
use redwingtrestle_core::{
    process::{
        stream_position::{EraChange, StoreEra, StreamPosition},
        stream_watch::{StoreCall, StreamWatch},
    },
    time::Span,
};

fn at(era: u64, offset: u64) -> StreamPosition {
    StreamPosition::new(era, offset)
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Snapshot(StreamPosition),
    Changes(StreamPosition),
    Relayed(StreamPosition),
    Expired,
    Failed,
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let end = at(u64::from(u8::arbitrary(g) % 3), u64::from(u8::arbitrary(g)));
        match u8::arbitrary(g) % 5 {
            0 => Event::Snapshot(end),
            1 => Event::Changes(end),
            2 => Event::Relayed(end),
            3 => Event::Expired,
            _ => Event::Failed,
        }
    }
}

/// Guards against a watch that goes back, continues from records that are gone, or retries without a pause.
#[test]
fn position_never_goes_back() {
    fn check(events: Vec<Event>) -> bool {
        let mut watch = StreamWatch::default();
        let mut rng = StdRng::seed_from_u64(7);
        events.into_iter().all(|event| {
            let before = watch.position();
            let is_fine = match event {
                Event::Snapshot(end) => {
                    watch.accept_snapshot(end) == before.is_none_or(|known| end >= known)
                }
                Event::Changes(end) => {
                    let from = before.unwrap_or(end);
                    watch.advance(from, end) == (from.era == end.era)
                }
                Event::Relayed(end) => {
                    watch.advance_relayed(end);
                    true
                }
                Event::Expired => {
                    watch.mark_expired();
                    watch.next_call() == StoreCall::Newest
                }
                Event::Failed => {
                    let pause = watch.record_failure(&mut rng);
                    watch.is_failing()
                        && pause >= Span::from_millis(100)
                        && pause <= Span::from_millis(1_000)
                }
            };
            is_fine && watch.position() >= before
        })
    }
    let gen = Gen::from_size_and_seed(60, 0x6665_6564);
    QuickCheck::new().rng(gen).tests(2_000).quickcheck(check as fn(Vec<Event>) -> bool);
}

/// Guards against ended servers that return with a snapshot older than the known position.
#[test]
fn older_snapshot_is_refused_and_read_again() {
    let mut watch = StreamWatch::default();
    assert!(watch.accept_snapshot(at(0, 40)));
    watch.mark_expired();
    assert!(!watch.accept_snapshot(at(0, 39)));
    assert_eq!(watch.next_call(), StoreCall::Newest);
    assert!(watch.is_failing());
    assert!(watch.accept_snapshot(at(0, 41)));
    assert_eq!(watch.next_call(), StoreCall::Watch(at(0, 41)));
    assert!(!watch.is_failing());
}

/// Guards against a node that refuses the snapshot of a restored store because its offsets went back.
#[test]
fn snapshot_of_a_restored_store_is_accepted() {
    let mut watch = StreamWatch::default();
    assert!(watch.accept_snapshot(at(0, 40)));
    watch.mark_expired();
    assert!(watch.accept_snapshot(at(1, 31)));
    assert_eq!(watch.next_call(), StoreCall::Watch(at(1, 31)));
    assert!(!watch.accept_snapshot(at(0, 60)), "a late response of the lost store");
}

/// Guards against records that were written again below the watched offset and are skipped.
#[test]
fn records_of_a_restored_store_do_not_follow_the_known_ones() {
    let mut watch = StreamWatch::default();
    assert!(watch.accept_snapshot(at(0, 40)));
    assert!(!watch.advance(at(0, 40), at(1, 43)));
    assert_eq!(watch.position(), Some(at(0, 40)));
    assert_eq!(watch.next_call(), StoreCall::Newest);
    assert!(watch.accept_snapshot(at(1, 43)));
    assert!(!watch.advance(at(0, 40), at(0, 44)), "a late response of the lost store");
    assert_eq!(watch.next_call(), StoreCall::Watch(at(1, 43)));
}

/// Guards against a store that is called without a pause because it has no records at the end of its own snapshots.
#[test]
fn repeated_expiry_is_followed_by_a_pause() {
    let mut watch = StreamWatch::default();
    let mut rng = StdRng::seed_from_u64(7);
    let mut expire = |watch: &mut StreamWatch| {
        assert!(watch.accept_snapshot(at(1, 41)));
        let pause = watch.record_expiry(&mut rng);
        assert_eq!(watch.next_call(), StoreCall::Newest);
        pause
    };
    assert_eq!(expire(&mut watch), None, "the first one is read at once");
    let pauses: Vec<Span> = (0..5).filter_map(|_| expire(&mut watch)).collect();
    assert_eq!(pauses.len(), 5);
    assert!(pauses.iter().all(|pause| *pause >= Span::from_millis(100)), "{pauses:?}");
    assert!(pauses[4] >= Span::from_millis(700), "{pauses:?}");
    assert!(watch.accept_snapshot(at(1, 41)));
    assert!(watch.advance(at(1, 41), at(1, 41)));
    assert_eq!(expire(&mut watch), None, "records were read in between");
}

/// Guards against an era that goes back, and against a first response that counts as a restore.
#[test]
fn era_of_the_store_only_grows() {
    let mut era = StoreEra::default();
    let changes = [3, 3, 5, 4, 5].map(|next| era.observe(next));
    let (restored, outdated) =
        (EraChange::Restored { before: 3 }, EraChange::Outdated { known: 5 });
    let current = EraChange::Current;
    assert_eq!(changes, [current, current, restored, outdated, current]);
    assert_eq!(era.known(), Some(5));
}
