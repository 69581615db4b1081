//! A randomized soak test: real gateway processes with callers and backend servers, and faults injected from outside.
//!
//! `cargo test -p redwingtrestle-node --test soak` runs two short seeds. `REDWING_SOAK=FIRST..LAST` runs those seeds,
//! and `REDWING_SOAK_SECONDS` sets how long faults are injected; see docs/OPERATIONS.md, section 10.

mod soak {
    #![allow(unreachable_pub, missing_docs, reason = "the modules of this test use each other")]

    pub mod caller;
    pub mod checks;
    pub mod crashes;
    pub mod events;
    pub mod limits;
    pub mod link;
    pub mod process;
    pub mod record;
    pub mod run;
    pub mod server;
}

use soak::run::{Report, Size, SoakRun};
use std::{env, fs, time::Duration};

const SHORT_RUN: Size = Size { nodes: 4, servers: 9, callers: 24, time: Duration::from_secs(6) };

/// Runs one seed. The logs of a run with violations are kept.
fn run_seed(seed: u64, size: Size) -> Report {
    let folder = env::temp_dir().join(format!("redwing-soak-{}-{seed}", std::process::id()));
    fs::create_dir_all(&folder).expect("a folder for logs");
    let runtime = tokio::runtime::Runtime::new().expect("a runtime");
    let report = runtime.block_on(async {
        let run = SoakRun::start(seed, size, &folder).await;
        run.execute(seed).await
    });
    runtime.shutdown_background();
    if report.violations.is_empty() {
        // A folder that cannot be removed does not fail the run.
        let _ = fs::remove_dir_all(&folder);
    } else {
        eprintln!("seed {seed}: logs in {}", folder.display());
    }
    report
}

fn assert_no_violations(seed: u64) {
    let violations = run_seed(seed, SHORT_RUN).violations;
    assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
}

/// Guards against guarantees that are kept under single faults and violated when several faults overlap.
#[test]
fn short_run_violates_no_guarantee() {
    assert_no_violations(1);
}

/// Guards against violated guarantees under overlapping faults, with a second series of faults.
#[test]
fn short_run_with_second_seed_violates_no_guarantee() {
    assert_no_violations(2);
}

/// Runs the seeds that `REDWING_SOAK` gives, and does nothing if it is not set.
#[test]
fn seeds_by_hand() {
    let Ok(range) = env::var("REDWING_SOAK") else { return };
    let (first, last) = range.split_once("..").expect("FIRST..LAST");
    let seconds = env::var("REDWING_SOAK_SECONDS").map_or(6, |s| s.parse().expect("seconds"));
    let size = Size { time: Duration::from_secs(seconds), ..SHORT_RUN };
    let (first, last): (u64, u64) = (first.parse().expect("a seed"), last.parse().expect("a seed"));
    let mut failed = 0;
    for seed in first..last {
        let Report { violations, sent, served } = run_seed(seed, size);
        println!("seed {seed}: {sent} requests, {served:.3} served, broken: {violations:#?}");
        failed += usize::from(!violations.is_empty());
    }
    assert_eq!(failed, 0, "seeds with violated guarantees");
}
