//! Settings of a gateway: JSON with comments, fully validated before the process starts.
//!
//! A gateway without its addresses cannot serve, so faults of those settings refuse the file. Each other setting has a
//! default, which replaces a value that cannot be used: a process that ends over it would serve nobody
//! ([docs/OPERATIONS.md](../../../../docs/OPERATIONS.md)).

mod reader;

use crate::logs;
use reader::SettingsReader;
use redwingtrestle_core::{
    codes::ResultCode,
    process::{health_estimate::HealthOptions, picker::PickerOptions},
    time::Span,
};
use std::{net::SocketAddr, num::NonZeroU64, ops::RangeInclusive, path::Path};

/// Configures one gateway process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The name of this VM in logs.
    pub node: String,
    /// The address for callers' requests.
    pub entry: SocketAddr,
    /// The address of the readiness check of the platform.
    pub health: SocketAddr,
    /// The address of the directory, from which callers get the entries to use.
    pub directory: SocketAddr,
    /// The address for other nodes, by UDP and TCP. The port must be the same on all nodes.
    pub peer: SocketAddr,
    /// The address at which metrics are served.
    pub metrics: SocketAddr,
    /// The data centre of this VM.
    pub data_centre: String,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// Addresses of other nodes' VMs. Only their IP addresses are used, with the port of [`peer`](Self::peer).
    pub seeds: Vec<SocketAddr>,
    /// How long callers may cache a response of the directory, in seconds (`entries_ttl_s`).
    pub entries_ttl_s: u64,
    /// How long a planned stop may take. The platform kills the process after that. It is set in seconds (`stop_s`) or
    /// in milliseconds (`stop_ms`), which may have a fraction.
    pub max_stop: Span,
    /// The retries allowed per request of a service, over all nodes.
    pub retry_ratio: f64,
    /// The retries of a service that are always allowed per window, over all nodes.
    pub retry_floor: f64,
    /// The window of the retry budget, set in seconds (`retry_window_s`).
    pub retry_window: Span,
    /// The cost of sending a megabyte between data centres, in failed requests.
    pub zone_cost_mb: f64,
    /// The share of a service's servers that stays in use, whatever their health estimates.
    pub floor_share: f64,
    /// The assumed rate at which a healthy server begins to fail, per second.
    pub onset_per_s: f64,
    /// The assumed rate at which a failing server recovers, per second.
    pub recovery_per_s: f64,
    /// How strongly servers with a lower expected loss are preferred. A loss that is 1 / `focus` higher divides a
    /// server's share by e.
    pub focus: f64,
    /// The cost of load above half of a server's slots, in failed requests for each multiple of the slots.
    pub even_cost: f64,
    /// The cost of a late response, in failed requests.
    pub late_cost: f64,
    /// The window of the bound on the requests of a workspace, set in seconds (`quota_window_s`). Decisions do not depend
    /// on it, as the bound applies to windows of any length.
    pub quota_window: Span,
    /// The share of a quota by which the requests of a window may exceed it.
    pub quota_over: f64,
    /// The requests of a window by which a quota may be exceeded in addition.
    pub quota_slack: f64,
    /// A node that knows of no contact with the store for this long takes no keys, as they may have been revoked
    /// (`revocation_ms`). `None` for no limit.
    pub revocation: Option<Span>,
    /// The memory of the VM in megabytes.
    pub memory_mb: f64,
    /// The processor of the VM in cores.
    pub cpu_share: f64,
    /// The filter of log lines, by level and target.
    pub log_filter: String,
}

/// An error in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The result code, whose number starts the message.
    pub code: ResultCode,
    /// The cause, with the setting's name if there is one.
    pub what: String,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} {}: {}", self.code.number(), self.code, self.what)
    }
}

/// The settings of a file, with the faults of those that are replaced by their defaults.
#[derive(Clone, Debug, PartialEq)]
pub struct ReadSettings {
    /// The settings that hold.
    pub settings: Settings,
    /// Why a value, or an unknown setting, of the file is not used.
    pub replaced: Vec<Fault>,
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, is no JSON, or lacks a setting without which no caller can be served.
    pub fn read(path: &Path) -> Result<ReadSettings, Vec<Fault>> {
        let text = std::fs::read_to_string(path).map_err(|e| {
            let what = format!("{}: {e}", path.display());
            vec![Fault { code: ResultCode::SettingsUnreadable, what }]
        })?;
        Self::parse(&text)
    }

    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    ///
    /// Fails as [`read`](Self::read) does, with all faults and not only the first.
    pub fn parse(text: &str) -> Result<ReadSettings, Vec<Fault>> {
        let mut reader = SettingsReader::new(text)?;
        let settings = Settings::take(&mut reader);
        let replaced = reader.finish()?;
        // A missing setting is a fault, so there are settings where there is none.
        settings.map(|settings| ReadSettings { settings, replaced }).ok_or_else(Vec::new)
    }

    fn take(reader: &mut SettingsReader) -> Option<Settings> {
        let (node, data_centre) = (reader.name("node"), reader.name("data_centre"));
        let mut addr = |name| reader.required::<SocketAddr>(name);
        let (entry, health, directory) = (addr("entry"), addr("health"), addr("directory"));
        let (peer, metrics, store) = (addr("peer"), addr("metrics"), addr("store"));
        if entry.is_some() && entry == peer {
            reader.refuse("peer: must differ from entry");
        }
        let (stop_s, stop_ms) =
            (reader.number("stop_s", SECONDS), reader.number("stop_ms", MILLISECONDS));
        let max_stop = stop_s.or(stop_ms.map(|ms| ms / 1e3)).map(Span::from_secs_f64);
        let window = reader.number("retry_window_s", WINDOW_S).map(Span::from_secs_f64);
        let picker = PickerOptions::default();
        let health_options = HealthOptions::default();
        let mut number = |name, range, default| reader.number(name, range).unwrap_or(default);
        let retry_ratio = number("retry_ratio", RETRY_RATIO, DEFAULT_RETRY_RATIO);
        let retry_floor = number("retry_floor", RETRY_FLOOR, DEFAULT_RETRY_FLOOR);
        let zone_cost_mb = number("zone_cost_mb", ZONE_COST, 0.0);
        let floor_share = number("floor_share", SHARE, picker.floor);
        let onset_per_s = number("onset_per_s", RATE_PER_S, health_options.onset_per_s);
        let recovery_per_s = number("recovery_per_s", RATE_PER_S, health_options.recovery_per_s);
        let focus = number("focus", WEIGHT, picker.focus);
        let even_cost = number("even_cost", WEIGHT, picker.even_cost);
        let late_cost = number("late_cost", WEIGHT, picker.late_cost);
        let quota_over = number("quota_over", SHARE, DEFAULT_QUOTA_OVER);
        let quota_slack = number("quota_slack", RETRY_FLOOR, DEFAULT_QUOTA_SLACK);
        let memory_mb = number("memory_mb", MEMORY_MB, DEFAULT_MEMORY_MB);
        let cpu_share = number("cpu_share", CORES, DEFAULT_CPU_SHARE);
        let quota_window = reader.number("quota_window_s", WINDOW_S).map(Span::from_secs_f64);
        let revocation = reader.number("revocation_ms", MILLISECONDS);
        let entries_ttl_s = reader.optional::<NonZeroU64>("entries_ttl_s");
        let log_filter = reader.optional("log_filter");
        let seeds = reader.list("seeds");
        Some(Settings {
            node: node?,
            entry: entry?,
            health: health?,
            directory: directory?,
            peer: peer?,
            metrics: metrics?,
            data_centre: data_centre?,
            store: store?,
            seeds,
            entries_ttl_s: entries_ttl_s.map_or(DEFAULT_ENTRIES_TTL_S, NonZeroU64::get),
            max_stop: max_stop.unwrap_or(DEFAULT_STOP),
            retry_ratio,
            retry_floor,
            retry_window: window.unwrap_or(DEFAULT_RETRY_WINDOW),
            zone_cost_mb,
            floor_share,
            onset_per_s,
            recovery_per_s,
            focus,
            even_cost,
            late_cost,
            quota_window: quota_window.unwrap_or(DEFAULT_QUOTA_WINDOW),
            quota_over,
            quota_slack,
            revocation: revocation.map(|ms| Span::from_secs_f64(ms / 1e3)),
            memory_mb,
            cpu_share,
            log_filter: log_filter.unwrap_or_else(|| logs::DEFAULT_FILTER.into()),
        })
    }
}

const DEFAULT_ENTRIES_TTL_S: u64 = 2;
const DEFAULT_STOP: Span = Span::from_secs(30);
const DEFAULT_RETRY_RATIO: f64 = 0.1;
const DEFAULT_RETRY_FLOOR: f64 = 10.0;
const DEFAULT_RETRY_WINDOW: Span = Span::from_secs(10);

const DEFAULT_QUOTA_WINDOW: Span = Span::from_secs(5);
const DEFAULT_QUOTA_OVER: f64 = 0.1;
const DEFAULT_QUOTA_SLACK: f64 = 20.0;
const DEFAULT_MEMORY_MB: f64 = 512.0;
const DEFAULT_CPU_SHARE: f64 = 0.5;

/// A longer time than a day is a mistake of its unit.
const SECONDS: RangeInclusive<f64> = 0.0..=86_400.0;
const MILLISECONDS: RangeInclusive<f64> = 0.0..=86_400_000.0;

/// The window of the retry budget, in seconds. It is divided into intervals, so it must not be 0.
const WINDOW_S: RangeInclusive<f64> = 0.01..=86_400.0;

const MEMORY_MB: RangeInclusive<f64> = 32.0..=1e6;
const CORES: RangeInclusive<f64> = 0.01..=1_024.0;
const RETRY_RATIO: RangeInclusive<f64> = 0.0..=100.0;
const RETRY_FLOOR: RangeInclusive<f64> = 0.0..=1e9;
const ZONE_COST: RangeInclusive<f64> = 0.0..=1e6;
const SHARE: RangeInclusive<f64> = 0.0..=1.0;
const RATE_PER_S: RangeInclusive<f64> = 1e-6..=10.0;
const WEIGHT: RangeInclusive<f64> = 0.0..=1e3;
