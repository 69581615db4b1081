//! The stream watch, which follows the store's streams.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use rand::{rngs::StdRng, SeedableRng};
use redwingtrestle_core::{
    process::stream_watch::{StoreCall, StreamWatch},
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
                    watch.advance(end);
                    true
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
    assert!(watch.accept_snapshot(40));
    watch.mark_expired();
    assert!(!watch.accept_snapshot(39));
    assert_eq!(watch.next_call(), StoreCall::Newest);
    assert!(watch.is_failing());
    assert!(watch.accept_snapshot(41));
    assert_eq!(watch.next_call(), StoreCall::Watch(41));
    assert!(!watch.is_failing());
}
