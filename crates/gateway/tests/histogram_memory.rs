//! The memory of the histograms of a process whose metrics nobody asks for. The test stands alone, as it measures its
//! whole process.

mod common;

use common::resident_bytes;
use redwingtrestle_core::time::Span;
use redwingtrestle_gateway::{
    clock::duration,
    telemetry::{handle, run_upkeep},
};

/// The samples of one interval, and the number of intervals. Together the samples take 128 MB.
const SAMPLES: usize = 400_000;
const INTERVALS: usize = 20;

/// The interval of the test, shorter than that of a process.
const INTERVAL: Span = Span::from_millis(20);

/// The most that the process may grow by, in bytes.
const MAX_GROWTH: u64 = 60_000_000;

/// Guards against samples that are kept until someone asks for the metrics.
#[tokio::test]
async fn samples_are_put_into_buckets_at_intervals() {
    tokio::spawn(run_upkeep(handle(), INTERVAL));
    let before = resident_bytes();
    let mut most = 0;
    for _ in 0..INTERVALS {
        let histogram = metrics::histogram!("redwing_gateway_request_seconds", "service" => "a");
        (0..SAMPLES).for_each(|_| histogram.record(0.1));
        tokio::time::sleep(duration(INTERVAL.times(3))).await;
        most = most.max(resident_bytes().saturating_sub(before));
    }
    println!("{most} bytes more");
    assert!(most < MAX_GROWTH, "{most} bytes");
    let count = format!("_count{{service=\"a\"}} {}", SAMPLES * INTERVALS);
    assert!(handle().render().contains(&count), "samples are missing");
}
