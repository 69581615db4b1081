//! Prints how slot allocation policies compare and how floods are handled, in a simulated fleet; see
//! `docs/admission.md`.

use fleet::{run, Fleet, Load, Policy};
use redwingtrestle_core::time::Span;

#[path = "../tests/common/fleet.rs"]
mod fleet;

const SERVICE: Span = Span::from_millis(50);

fn load(rank: u8, rate: f64) -> Load {
    let (deadline, target) = [(1_000, 300), (2_000, 600), (3_000, 2_000)][usize::from(rank)];
    Load {
        rank,
        first_workspace: u64::from(rank) * 100_000,
        workspaces: 40,
        rate,
        service: SERVICE,
        deadline: Span::from_millis(deadline),
        target: Span::from_millis(target),
    }
}

fn main() {
    let policies = [
        (Policy::SlotLeases, "Credits"),
        (Policy::Independent, "Independent"),
        (Policy::EqualSplit, "EqualSplit"),
    ];
    println!("policy       servers skew load | peak over  mean over%  idle while queued% | urgent p50 p99 ms  in target%  refused%");
    for (servers, skew) in [(20, 0.25), (20, 0.7), (8, 0.7)] {
        for part in [0.7, 0.9, 1.2] {
            let capacity = servers as f64 * 6.0 / SERVICE.as_secs_f64() * part;
            let loads = [load(0, capacity * 0.3), load(1, capacity * 0.4), load(2, capacity * 0.3)];
            for (policy, label) in policies {
                let stats = run(&Fleet { servers, skew, policy, ..Fleet::default() }, &loads);
                let urgent = &stats.loads[0];
                println!(
                    "{:<12} {servers:>7} {skew:>4} {part:>4} | {:>9.2} {:>11.2} {:>19.2} | {:>10.0} {:>6.0} {:>11.2} {:>9.2}",
                    label,
                    stats.peak_overcommit,
                    100.0 * stats.overcommit,
                    100.0 * stats.idle_queued,
                    urgent.quantile(0.5),
                    urgent.quantile(0.99),
                    100.0 * urgent.in_target as f64 / urgent.offered as f64,
                    100.0 * urgent.refused as f64 / urgent.offered as f64,
                );
            }
        }
    }
    println!("\nfloods, 20 servers, credits, other ranks at a total of 60% of capacity");
    println!("flood            rank workspaces | rank: offered/s answered/s in target% slots used% (share)");
    for flood_rank in [2u8, 0] {
        for workspaces in [1, 1_000] {
            let capacity = 20.0 * 6.0 / SERVICE.as_secs_f64();
            let mut loads =
                vec![load(0, capacity * 0.2), load(1, capacity * 0.25), load(2, capacity * 0.15)];
            let flood =
                Load { first_workspace: 900_000, workspaces, ..load(flood_rank, capacity * 10.0) };
            loads.push(flood);
            let fleet = Fleet { seconds: 16, ..Fleet::default() };
            let stats = run(&fleet, &loads);
            let seconds = fleet.counted();
            for (i, load_stats) in stats.loads.iter().enumerate() {
                println!(
                    "{flood_rank} from {workspaces:>5} ws  {:<10} | {:>8.0} {:>8.0} {:>8.2} {:>8.1}",
                    if i == 3 { "flood".into() } else { format!("rank {i}") },
                    load_stats.offered as f64 / seconds,
                    load_stats.completed as f64 / seconds,
                    100.0 * load_stats.in_target as f64 / load_stats.offered as f64,
                    100.0 * load_stats.busy_us as f64 / 1e6 / seconds / 120.0,
                );
            }
            println!(
                "  peak over {:.2}, idle while queued {:.2}%",
                stats.peak_overcommit,
                100.0 * stats.idle_queued
            );
        }
    }
}
