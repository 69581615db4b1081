//! Requests under which servers ended, on virtual time.

use redwingtrestle_core::{
    process::{
        crash_records::{CrashRecords, CrashReport},
        fingerprint::Fingerprint,
    },
    time::{Span, Timestamp},
};

const REQUEST: Fingerprint = Fingerprint(7);

/// Returns the time `millis` after the start of a test, an hour after the clock's start.
fn at(millis: u64) -> Timestamp {
    Timestamp::ZERO + Span::from_secs(3_600) + Span::from_millis(millis)
}

/// Returns the end of a start of a server under a request that it had run for a second.
fn crash(fingerprint: Fingerprint, tag: u32, started: u64) -> CrashReport {
    CrashReport { fingerprint, tag, started, age: Span::ZERO, run: Span::from_secs(1) }
}

/// Returns records of the ends of servers 1, 2 and so on under [`REQUEST`] at these times in ms.
fn records(times: &[u64]) -> CrashRecords {
    let mut records = CrashRecords::default();
    for (tag, millis) in (1..).zip(times) {
        records.record(at(*millis), &crash(REQUEST, tag, 1), true);
    }
    records
}

fn is_blocked(records: &CrashRecords, millis: u64) -> bool {
    records.block_left(at(millis), REQUEST).is_some()
}

/// Guards against a request that ends more than three servers, and against blaming one for fewer.
#[test]
fn request_is_blocked_after_three_servers() {
    assert!(!is_blocked(&records(&[0, 200]), 300));
    assert!(is_blocked(&records(&[0, 200, 400]), 500));
}

/// Guards against blaming every request at servers that a common fault ends.
#[test]
fn servers_that_end_together_count_once() {
    assert!(!is_blocked(&records(&[0, 10, 20, 30]), 100));
}

/// Guards against a request that ends server after server within milliseconds, as it is sent on as soon as it is lost, and
/// goes on to end as many at each of its next visits.
#[test]
fn request_that_is_sent_on_at_once_is_blocked_after_three_servers() {
    for gap in [1, 4, 10, 39] {
        let mut records = CrashRecords::default();
        for number in 0..3 {
            let run = Span::from_millis(gap);
            let report = CrashReport { run, ..crash(REQUEST, number, 1) };
            records.record(at(u64::from(number) * gap), &report, true);
        }
        assert!(is_blocked(&records, 100), "one end each {gap} ms");
    }
}

/// Guards against an end that another node reports a little late and that therefore seems to be shared.
#[test]
fn delay_of_a_report_does_not_join_two_ends() {
    let mut records = CrashRecords::default();
    for (number, heard) in [(1, 3), (2, 13), (3, 23)] {
        // Each run begins when the one before has ended, and each end seems to be 3 ms later than it was.
        let report = CrashReport { run: Span::from_millis(10), ..crash(REQUEST, number, 1) };
        records.record(at(heard), &report, false);
    }
    let own = CrashReport { run: Span::from_millis(10), ..crash(REQUEST, 4, 1) };
    records.record(at(30), &own, true);
    assert_eq!(records.block_left(at(30), REQUEST), Some(Span::from_secs(120)));
}

/// Guards against an innocent request that is blocked because a fault of a rack ended the servers that ran its copies, in
/// whatever order the nodes report them.
#[test]
fn copies_that_a_common_fault_ends_count_once() {
    let ends = [(1, 0, 300), (2, 12, 40), (3, 25, 500), (4, 38, 80)];
    for rotation in 0..4 {
        let mut records = CrashRecords::default();
        let mut ordered = ends;
        ordered.rotate_left(rotation);
        for (number, end, run) in ordered {
            let (age, run) = (Span::from_millis(100 - end), Span::from_millis(run));
            records.record(at(100), &CrashReport { age, run, ..crash(REQUEST, number, 1) }, false);
        }
        assert!(!is_blocked(&records, 100), "rotated by {rotation}");
    }
}

/// Guards against a request that is not blocked because it comes so often that servers end all the time.
#[test]
fn request_that_ends_servers_in_quick_succession_is_blocked() {
    for gap in [5, 10, 20, 39] {
        let times: Vec<u64> = (0..30).map(|number| number * gap).collect();
        assert!(is_blocked(&records(&times), 30 * gap), "one end each {gap} ms");
    }
}

/// Guards against counting one server for each node that lost the request there.
#[test]
fn one_start_of_a_server_counts_once() {
    let mut records = CrashRecords::default();
    for millis in [0, 200, 400, 600] {
        records.record(at(millis), &crash(REQUEST, 1, 1), millis == 0);
    }
    assert!(!is_blocked(&records, 700));
    records.record(at(800), &crash(REQUEST, 1, 2), true);
    records.record(at(1_000), &crash(REQUEST, 1, 3), true);
    assert!(is_blocked(&records, 1_100));
}

/// Guards against blocking an innocent request that was in flight at servers which ended.
#[test]
fn request_that_is_served_meanwhile_is_not_blocked() {
    let mut records = records(&[0, 200]);
    records.record_served(at(300), REQUEST);
    for (tag, millis) in [(3, 400), (4, 600), (5, 800)] {
        records.record(at(millis), &crash(REQUEST, tag, 1), true);
    }
    assert!(!is_blocked(&records, 900));
    records.record(at(1_000), &crash(REQUEST, 6, 1), true);
    assert!(is_blocked(&records, 1_100));
}

/// Guards against a request that counts as served for less time because it was served before as well.
#[test]
fn request_that_is_served_again_keeps_its_standing() {
    let mut records = CrashRecords::default();
    records.record_served(at(0), REQUEST);
    records.record(at(50), &crash(REQUEST, 1, 1), true);
    for number in 0..4_000 {
        records.record_served(at(100), Fingerprint(1_000 + number));
    }
    records.record_served(at(100), REQUEST);
    for number in 4_000..4_200 {
        records.record_served(at(100), Fingerprint(1_000 + number));
    }
    for (tag, millis) in [(2, 200), (3, 400), (4, 600)] {
        records.record(at(millis), &crash(REQUEST, tag, 1), true);
    }
    assert!(!is_blocked(&records, 700));
}

/// Guards against a request that ends a server uncounted at each node that served it some time ago.
#[test]
fn request_that_was_served_long_ago_is_suspected_at_once() {
    let mut records = CrashRecords::default();
    records.record_served(at(0), REQUEST);
    for (tag, millis) in [(1, 10_000), (2, 12_500), (3, 15_000)] {
        records.record(at(millis), &crash(REQUEST, tag, 1), true);
    }
    assert!(is_blocked(&records, 15_100));
}

/// Guards against a request that is blamed for servers that ended before it was served, as reports of them come late.
#[test]
fn late_report_of_an_end_before_the_service_does_not_count() {
    let mut records = CrashRecords::default();
    records.record_served(at(1_000), REQUEST);
    for tag in 1..=3 {
        let age = Span::from_millis(200 * u64::from(tag) + 100);
        records.record(at(1_100), &CrashReport { age, ..crash(REQUEST, tag, 1) }, false);
    }
    assert!(!is_blocked(&records, 1_200));
}

/// Guards against a block without end, and against one that lets a request end three more servers each time it is over.
#[test]
fn block_ends_and_the_next_server_renews_it_for_longer() {
    let mut records = records(&[0, 200, 400]);
    assert!(is_blocked(&records, 60_300));
    assert!(!is_blocked(&records, 60_500));
    records.tick(at(70_000));
    records.record(at(70_000), &crash(REQUEST, 9, 1), true);
    assert!(is_blocked(&records, 70_000 + 119_000));
    assert!(!is_blocked(&records, 70_000 + 121_000));
}

/// Guards against a suspicion that is kept for good.
#[test]
fn suspicion_is_forgotten() {
    let mut records = records(&[0, 200]);
    records.tick(at(130_000));
    records.record(at(130_000), &crash(REQUEST, 3, 1), true);
    assert!(!is_blocked(&records, 130_100));
}

/// Guards against memory that grows with the requests in flight at servers that end.
#[test]
fn flood_of_suspects_is_bounded_and_keeps_the_blocked_one() {
    let mut records = records(&[0, 200, 400]);
    for number in 0..50_000 {
        let report = crash(Fingerprint(1_000 + number), number as u32, 1);
        records.record(at(500 + number), &report, true);
    }
    assert!(is_blocked(&records, 50_000));
    assert!(records.reports(at(50_600)).len() <= 1_026);
}

/// Guards against a node that misses the message about a blocked request, and against a message for each request.
#[test]
fn blocked_request_that_returns_is_told_again_at_most_once_a_second() {
    let mut records = records(&[0, 200, 400]);
    assert_eq!(records.take_reports(at(500)).len(), 3);
    let mut told = Vec::new();
    for millis in (600..=1_700).step_by(100) {
        records.repeat(at(millis), REQUEST);
        told.push(records.take_reports(at(millis)).len());
    }
    assert_eq!(told.iter().sum::<usize>(), 3, "{told:?}");
}

/// Guards against nodes that count a crash from the time of its message instead of its own.
#[test]
fn report_of_another_node_blocks_from_the_time_of_the_crash() {
    let mut records = CrashRecords::default();
    for (tag, age) in [(1, 30_000), (2, 20_000), (3, 10_000)] {
        let report = CrashReport { age: Span::from_millis(age), ..crash(REQUEST, tag, 1) };
        records.record(at(40_000), &report, false);
    }
    let left = records.block_left(at(40_000), REQUEST).expect("a block");
    assert_eq!(left, Span::from_secs(50));
    assert_eq!(records.take_reports(at(40_000)).len(), 0);
}

/// Guards against different requests with the same fingerprint.
#[test]
fn fingerprint_keeps_its_parts_apart() {
    assert_ne!(Fingerprint::of(&[b"ab", b"c"]), Fingerprint::of(&[b"a", b"bc"]));
    assert_eq!(Fingerprint::of(&[b"ab", b"c"]), Fingerprint::of(&[b"ab", b"c"]));
}
