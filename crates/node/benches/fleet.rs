//! Compares the policies on loopback: `cargo bench -p redwingtrestle-node --bench fleet`.
//!
//! Each node is a `redwingd` child process with its own counters, threads and memory, so control bytes,
//! processor time and resident memory can be measured per node. In a single process, the counters of all
//! nodes would be added up. The results are in docs/MEASUREMENTS.md.

#[path = "fleet/cluster.rs"]
mod cluster;
#[path = "fleet/latency.rs"]
mod latency;
#[path = "fleet/phases.rs"]
mod phases;
#[path = "fleet/preset.rs"]
mod preset;
#[path = "fleet/probe.rs"]
mod probe;
#[path = "fleet/report.rs"]
mod report;
#[path = "fleet/slopes.rs"]
mod slopes;

use argh::FromArgs;
use preset::Preset;
use redwingtrestle_node::settings::Policy;
use report::Report;
use std::{path::PathBuf, process::ExitCode, time::Instant};

/// Measures the fleet and its baselines on loopback.
#[derive(Debug, FromArgs)]
struct Args {
    /// kerlouan, authority or both
    #[argh(option, default = "\"both\".into()")]
    preset: String,
    /// ordinary, gray, flood, keys, latency, slopes, sizes, or several with commas; by default the first five
    #[argh(option, default = "\"ordinary,gray,flood,keys,latency\".into()")]
    phase: String,
    /// full, local, round_robin, or several with commas
    #[argh(option, default = "\"full,local,round_robin\".into()")]
    policy: String,
    /// shorter phases and fewer repetitions, Kerlouan only unless a preset is named
    #[argh(switch)]
    quick: bool,
    /// the seed of arrivals and of the stand-ins' choices
    #[argh(option, default = "1")]
    seed: u64,
    /// where to write the figures as JSON
    #[argh(option)]
    json: Option<PathBuf>,
}

/// The names of all phases.
const PHASES: [&str; 7] = ["ordinary", "gray", "flood", "keys", "latency", "slopes", "sizes"];

fn main() -> ExitCode {
    // `cargo bench` passes `--bench`; `cargo test --benches` does not, and must not start a fleet.
    let mut args: Vec<String> = std::env::args().skip(1).collect();
    let is_bench = args.iter().any(|a| a == "--bench") && !args.iter().any(|a| a == "--test");
    if !is_bench {
        return ExitCode::SUCCESS;
    }
    args.retain(|a| a != "--bench");
    let words: Vec<&str> = args.iter().map(String::as_str).collect();
    let args = match Args::from_args(&["fleet"], &words) {
        Ok(args) => args,
        Err(early) => {
            println!("{}", early.output);
            return if early.status.is_ok() { ExitCode::SUCCESS } else { ExitCode::FAILURE };
        }
    };
    match run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("{what}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: &Args) -> Result<(), String> {
    let wanted: Vec<&str> = args.phase.split(',').collect();
    if let Some(unknown) = wanted.iter().find(|p| !PHASES.contains(p)) {
        return Err(format!("phase {unknown} is not known; there are {}", PHASES.join(", ")));
    }
    let presets: Vec<&Preset> = match args.preset.as_str() {
        "both" if args.quick => vec![&preset::KERLOUAN],
        "both" => vec![&preset::KERLOUAN, &preset::AUTHORITY],
        "kerlouan" => vec![&preset::KERLOUAN],
        "authority" => vec![&preset::AUTHORITY],
        other => return Err(format!("preset {other} is not known")),
    };
    let policies = args.policy.split(',').map(str::parse).collect::<Result<Vec<Policy>, _>>();
    let policies = policies.map_err(|e| format!("policy: {e}"))?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(4)
        .enable_all()
        .build()
        .map_err(|e| e.to_string())?;
    let begun = Instant::now();
    let mut report = Report::new(args.seed, args.quick);
    runtime.block_on(async {
        let options = phases::BenchOptions { seed: args.seed, quick: args.quick };
        for preset in presets {
            for policy in &policies {
                phases::run(preset, *policy, &wanted, &options, &mut report).await;
            }
        }
        if wanted.contains(&"latency") {
            latency::run(&options, &mut report).await;
        }
        if wanted.contains(&"slopes") {
            slopes::vary_nodes(&options, &mut report).await;
        }
        if wanted.contains(&"sizes") {
            slopes::vary_sizes(&options, &mut report).await;
        }
    });
    report.print();
    println!("\nThe run took {:.0} s.", begun.elapsed().as_secs_f64());
    match &args.json {
        Some(path) => report.write(path).map_err(|e| format!("{}: {e}", path.display())),
        None => Ok(()),
    }
}
