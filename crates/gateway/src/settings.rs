//! Settings of a gateway: JSON with comments, fully validated before the process starts.

use redwingtrestle_core::codes::ResultCode;
use serde::Deserialize;
use std::{net::SocketAddr, path::Path};

/// Configures one gateway process.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
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
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// How long callers may cache a response of the directory, in seconds.
    #[serde(default = "defaults::entries_ttl_s")]
    pub entries_ttl_s: u64,
    /// How long a planned stop may take, in milliseconds. The platform kills the process after that.
    #[serde(default = "defaults::stop_ms")]
    pub stop_ms: u64,
    /// The retries allowed per request of a service, over all nodes.
    #[serde(default = "defaults::retry_ratio")]
    pub retry_ratio: f64,
    /// The retries of a service that are always allowed per window, over all nodes.
    #[serde(default = "defaults::retry_floor")]
    pub retry_floor: u64,
    /// The window of the retry budget, in seconds.
    #[serde(default = "defaults::retry_window_s")]
    pub retry_window_s: u64,
    /// The cost of sending a megabyte between data centres, in failed requests.
    #[serde(default)]
    pub zone_cost_mb: f64,
    /// The share of a service's servers that stays in use, whatever their health estimates.
    #[serde(default = "defaults::floor_share")]
    pub floor_share: f64,
    /// The assumed rate at which a healthy server begins to fail, per second.
    #[serde(default = "defaults::onset_per_s")]
    pub onset_per_s: f64,
    /// The assumed rate at which a failing server recovers, per second.
    #[serde(default = "defaults::recovery_per_s")]
    pub recovery_per_s: f64,
    /// How strongly servers with a lower expected loss are preferred. A loss that is 1 / `focus` higher divides a
    /// server's share by e.
    #[serde(default = "defaults::focus")]
    pub focus: f64,
    /// The cost of load above half of a server's slots, in failed requests for each multiple of the slots.
    #[serde(default = "defaults::even_cost")]
    pub even_cost: f64,
    /// The cost of a late response, in failed requests.
    #[serde(default = "defaults::late_cost")]
    pub late_cost: f64,
    /// The filter of log lines, by level and target.
    #[serde(default = "defaults::log_filter")]
    pub log_filter: String,
}

mod defaults {
    use redwingtrestle_core::process::{health_estimate::HealthOptions, picker::PickerOptions};

    pub(super) fn entries_ttl_s() -> u64 {
        2
    }

    pub(super) fn stop_ms() -> u64 {
        30_000
    }

    pub(super) fn retry_ratio() -> f64 {
        0.1
    }

    pub(super) fn retry_floor() -> u64 {
        10
    }

    pub(super) fn retry_window_s() -> u64 {
        10
    }

    pub(super) fn floor_share() -> f64 {
        PickerOptions::default().floor
    }

    pub(super) fn onset_per_s() -> f64 {
        HealthOptions::default().onset_per_s
    }

    pub(super) fn recovery_per_s() -> f64 {
        HealthOptions::default().recovery_per_s
    }

    pub(super) fn focus() -> f64 {
        PickerOptions::default().focus
    }

    pub(super) fn even_cost() -> f64 {
        PickerOptions::default().even_cost
    }

    pub(super) fn late_cost() -> f64 {
        PickerOptions::default().late_cost
    }

    pub(super) fn log_filter() -> String {
        crate::logs::DEFAULT_FILTER.into()
    }
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

impl Settings {
    /// Reads and validates a settings file.
    pub fn read(path: &Path) -> Result<Self, Vec<Fault>> {
        let text = std::fs::read_to_string(path).map_err(|e| {
            let what = format!("{}: {e}", path.display());
            vec![Fault { code: ResultCode::SettingsUnreadable, what }]
        })?;
        Self::parse(&text)
    }

    /// Parses and validates the text of a settings file. Returns all invalid values, not only the first.
    pub fn parse(text: &str) -> Result<Self, Vec<Fault>> {
        let fault = |code, what: String| vec![Fault { code, what }];
        let value = jsonc_parser::parse_to_serde_value(text, &Default::default())
            .map_err(|e| fault(ResultCode::SettingsSyntax, e.to_string()))?
            .unwrap_or_default();
        let settings: Settings = serde_json::from_value(value)
            .map_err(|e| fault(ResultCode::SettingsValue, e.to_string()))?;
        let faults = settings.faults();
        if faults.is_empty() {
            Ok(settings)
        } else {
            Err(faults)
        }
    }

    fn faults(&self) -> Vec<Fault> {
        let checks = [
            (self.node.is_empty(), "node: must not be empty"),
            (self.data_centre.is_empty(), "data_centre: must not be empty"),
            (self.entries_ttl_s == 0, "entries_ttl_s: must be at least 1"),
            (self.stop_ms < 1_000, "stop_ms: must be at least 1000"),
            (!(0.0..=1.0).contains(&self.retry_ratio), "retry_ratio: must be between 0 and 1"),
            (self.retry_window_s == 0, "retry_window_s: must be at least 1"),
            (!(0.0..=1e6).contains(&self.zone_cost_mb), "zone_cost_mb: must not be negative"),
            (!(0.0..=1.0).contains(&self.floor_share), "floor_share: must be between 0 and 1"),
            (
                !(1e-6..=10.0).contains(&self.onset_per_s),
                "onset_per_s: must be above 0, at most 10",
            ),
            (
                !(1e-6..=10.0).contains(&self.recovery_per_s),
                "recovery_per_s: must be above 0, at most 10",
            ),
            (!(0.0..=1e3).contains(&self.focus), "focus: must be between 0 and 1000"),
            (!(0.0..=1e3).contains(&self.even_cost), "even_cost: must be between 0 and 1000"),
            (!(0.0..=1e3).contains(&self.late_cost), "late_cost: must be between 0 and 1000"),
            (self.entry == self.peer, "peer: must differ from entry"),
        ];
        let wrong = checks.into_iter().filter(|(is_wrong, _)| *is_wrong);
        wrong
            .map(|(_, what)| Fault { code: ResultCode::SettingsValue, what: what.into() })
            .collect()
    }
}
