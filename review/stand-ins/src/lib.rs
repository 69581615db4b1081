//! Stand-ins for the scripts of the cases: backend servers, clients, and gateway processes. The store is the project's own
//! stand-in (`platform/fakes`).

#![forbid(unsafe_code)]

pub mod client;
pub mod deadly;
pub mod gateways;
pub mod record;
pub mod servers;

use record::Record;
use redwingtrestle_core::{
    time::Span,
    version::routing_config::{
        CallerLimits, HostRoute, RepeatPolicy, RoutingConfigDoc, ServiceRule, WeightedService,
    },
};
use std::{
    path::{Path, PathBuf},
    process::ExitCode,
};

/// What a case gets from its script: the repository, the folder of the case, a temporary folder, and whether the
/// disruption takes place.
#[derive(Clone, Debug)]
pub struct Case {
    pub repository: PathBuf,
    pub scratch: PathBuf,
    pub record: Record,
    pub has_trouble: bool,
}

impl Case {
    /// Reads the arguments REPOSITORY CASE_FOLDER SCRATCH_FOLDER, and the variable TROUBLE.
    pub fn from_args() -> Self {
        let args: Vec<String> = std::env::args().skip(1).collect();
        let [repository, folder, scratch] = args.as_slice() else {
            panic!("arguments: REPOSITORY CASE_FOLDER SCRATCH_FOLDER");
        };
        let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let record = Record::create(&Path::new(folder).join("record.txt"));
        record.line(if has_trouble { "with the disruption" } else { "without the disruption" });
        let repository = PathBuf::from(repository).canonicalize().expect("the repository");
        Case { repository, scratch: scratch.into(), record, has_trouble }
    }

    /// Writes the verdict and returns the exit code of the script.
    pub fn finish(&self, verdict: Verdict, text: &str) -> ExitCode {
        let (word, code) = match verdict {
            Verdict::Held => ("held", 0),
            Verdict::Broken => ("BROKEN", 1),
            Verdict::NotRun => ("could not run", 2),
        };
        self.record.line(&format!("verdict: {word}: {text}"));
        println!("{word}: {text}");
        ExitCode::from(code)
    }
}

/// The result of a case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

/// Returns a route of the host `shop.example`.
pub fn route(prefix: &str, repeat: RepeatPolicy, service: &str, timeout_ms: u64) -> HostRoute {
    HostRoute {
        name: prefix.trim_matches('/').into(),
        host: "shop.example".into(),
        prefix: prefix.into(),
        repeat,
        timeout: Span::from_millis(timeout_ms),
        target: Span::from_millis(timeout_ms / 2),
        priority: 1,
        parts: vec![WeightedService { service: service.into(), weight: 1 }],
        attempts: 2,
    }
}

/// Returns a configuration with the limits of the platform's example.
pub fn configuration(version: u64, routes: Vec<HostRoute>) -> RoutingConfigDoc {
    let services = routes.iter().flat_map(|r| r.parts.iter().map(|p| p.service.clone()));
    let services = services.map(|name| (name, ServiceRule { connections: 330 })).collect();
    let limits = CallerLimits {
        head: 16_384,
        body: 64 << 20,
        head_time: Span::from_millis(3_000),
        idle_time: Span::from_millis(15_000),
    };
    RoutingConfigDoc { version, routes, services, limits }
}
