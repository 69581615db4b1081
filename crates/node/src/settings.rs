//! Settings of a node: JSON with comments, fully validated before the node starts.

use crate::logging::DEFAULT_FILTER;
use jsonc_parser::{ast, common::Ranged, parse_to_ast};
use redwingtrestle_core::{codes::ResultCode, time::Span};
use std::{fmt, net::SocketAddr, path::Path, sync::Arc};
use strum::{Display, EnumString, IntoStaticStr, VariantNames};

/// How a node handles gray failures. `Local` and `RoundRobin` are baselines for measurements.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString, IntoStaticStr, VariantNames,
)]
#[strum(serialize_all = "snake_case")]
pub enum Policy {
    /// Nodes pool their evidence, and leaders eject servers and lease slots.
    #[default]
    Full,
    /// Each node ejects servers on its own evidence; nothing is shared between nodes.
    Local,
    /// Round robin without ejections.
    RoundRobin,
}

/// Configures one node process.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The address that listens for callers.
    pub entry: SocketAddr,
    /// The address that listens for peers and operators, by UDP and TCP.
    pub peer: SocketAddr,
    /// The address at which other entry VMs reach `peer`, if it differs.
    pub advertised_peer: Option<SocketAddr>,
    /// The address at which callers and other entry VMs reach `entry`, if it differs.
    pub advertised_entry: Option<SocketAddr>,
    /// The data centre of this VM.
    pub data_centre: Arc<str>,
    /// The region of this VM. It is only shown to operators.
    pub region: Arc<str>,
    /// The URL of the platform's log service.
    pub log: String,
    /// The URL of the platform's list of VMs.
    pub vm_list: Option<String>,
    /// Peer addresses through which the node joins the fleet.
    pub seeds: Vec<SocketAddr>,
    /// How the node handles gray failures.
    pub policy: Policy,
    /// How long callers may cache a response of `/v1/entries`.
    pub entries_ttl: Span,
    /// The maximum size of a request body, in bytes.
    pub max_body: u64,
    /// The maximum total size of a request's header names and values, in bytes.
    pub max_headers: u64,
    /// The maximum duration of a planned stop. Zero means no limit.
    pub max_stop: Span,
    /// The number of threads that serve requests.
    pub workers: usize,
    /// The filter for log lines.
    pub log_filter: String,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            entry: ([127, 0, 0, 1], 8080).into(),
            peer: ([127, 0, 0, 1], 7070).into(),
            advertised_peer: None,
            advertised_entry: None,
            data_centre: Arc::from("local"),
            region: Arc::from("local"),
            log: String::new(),
            vm_list: None,
            seeds: Vec::new(),
            policy: Policy::Full,
            entries_ttl: Span::from_secs(30),
            max_body: 1 << 30,
            max_headers: 16 * 1024,
            max_stop: Span::ZERO,
            workers: 4,
            log_filter: DEFAULT_FILTER.into(),
        }
    }
}

/// A fault in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsFault {
    /// The result code.
    pub code: ResultCode,
    /// The path of the setting, such as `seeds[2]`.
    pub path: String,
    /// The line, counted from 1, or 0 if the file could not be read.
    pub line: usize,
    /// The description of the fault.
    pub what: String,
}

impl fmt::Display for SettingsFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let SettingsFault { code, path, line, what } = self;
        write!(f, "{} {code}: line {line}: {path}: {what}", code.number())
    }
}

/// The known keys, each with whether it is required.
const FIELDS: &[(&str, bool)] = &[
    ("entry", true),
    ("peer", true),
    ("advertised_peer", false),
    ("advertised_entry", false),
    ("data_centre", true),
    ("region", true),
    ("log", true),
    ("vm_list", false),
    ("seeds", false),
    ("policy", false),
    ("entries_ttl_ms", false),
    ("max_body_bytes", false),
    ("max_header_bytes", false),
    ("max_stop_ms", false),
    ("worker_threads", false),
    ("log_filter", false),
];

impl Settings {
    /// Returns the address at which peers reach this node.
    pub fn peer_address(&self) -> SocketAddr {
        self.advertised_peer.unwrap_or(self.peer)
    }

    /// Returns the address at which callers reach this node.
    pub fn entry_address(&self) -> SocketAddr {
        self.advertised_entry.unwrap_or(self.entry)
    }

    /// Reads and validates a settings file.
    pub fn read(path: &Path) -> Result<Self, Vec<SettingsFault>> {
        let text = std::fs::read_to_string(path).map_err(|e| {
            vec![SettingsFault {
                code: ResultCode::SettingsUnreadable,
                path: path.display().to_string(),
                line: 0,
                what: e.to_string(),
            }]
        })?;
        Self::parse(&text)
    }

    /// Parses and validates the text of a settings file. Returns all faults in the order of the text.
    pub fn parse(text: &str) -> Result<Self, Vec<SettingsFault>> {
        let root = parse_to_ast(text, &Default::default(), &Default::default()).map_err(|e| {
            vec![SettingsFault {
                code: ResultCode::SettingsSyntax,
                path: "$".into(),
                line: e.line_display(),
                what: e.kind().to_string(),
            }]
        })?;
        let mut validator = Validator { text, faults: Vec::new() };
        let Some(ast::Value::Object(object)) = &root.value else {
            validator.fault(
                ResultCode::SettingsSyntax,
                "$",
                0,
                "the file must contain a JSON object",
            );
            return Err(validator.into_faults());
        };
        validator.check_keys(object);
        let settings = validator.read_settings(object);
        validator.faults.sort_by_key(|(at, _)| *at);
        if validator.faults.is_empty() {
            Ok(settings)
        } else {
            Err(validator.into_faults())
        }
    }
}

/// Validates a settings file and collects the faults, each with its byte position in the text.
struct Validator<'a> {
    text: &'a str,
    faults: Vec<(usize, SettingsFault)>,
}

impl Validator<'_> {
    fn fault(&mut self, code: ResultCode, path: &str, at: usize, what: impl Into<String>) {
        let line = self.text[..at].matches('\n').count() + 1;
        self.faults.push((at, SettingsFault { code, path: path.into(), line, what: what.into() }));
    }

    fn into_faults(self) -> Vec<SettingsFault> {
        self.faults.into_iter().map(|(_, fault)| fault).collect()
    }

    /// Finds unknown, repeated and missing keys.
    fn check_keys(&mut self, object: &ast::Object<'_>) {
        let mut seen = Vec::new();
        for property in &object.properties {
            let name = property.name.as_str();
            if !FIELDS.iter().any(|(known, _)| *known == name) {
                let what = "this key is not known";
                self.fault(ResultCode::SettingsUnknownKey, name, property.start(), what);
            }
            if seen.contains(&name) {
                let what = "this key occurs more than once";
                self.fault(ResultCode::SettingsValue, name, property.start(), what);
            }
            seen.push(name);
        }
        for (name, _) in
            FIELDS.iter().filter(|(name, is_required)| *is_required && !seen.contains(name))
        {
            self.fault(ResultCode::SettingsMissing, name, object.start(), "must be set");
        }
    }

    fn read_settings(&mut self, object: &ast::Object<'_>) -> Settings {
        let mut settings = Settings::default();
        for property in &object.properties {
            let (name, value) = (property.name.as_str(), &property.value);
            match name {
                "entry" => self.addr(name, value, &mut settings.entry),
                "peer" => self.addr(name, value, &mut settings.peer),
                "advertised_peer" => {
                    self.addr(name, value, settings.advertised_peer.insert(settings.peer));
                }
                "advertised_entry" => {
                    self.addr(name, value, settings.advertised_entry.insert(settings.entry));
                }
                "data_centre" => self.name(name, value, &mut settings.data_centre),
                "region" => self.name(name, value, &mut settings.region),
                "log" => self.url(name, value, &mut settings.log),
                "vm_list" => {
                    let mut url = String::new();
                    self.url(name, value, &mut url);
                    settings.vm_list = Some(url);
                }
                "seeds" => self.seeds(value, &mut settings.seeds),
                "policy" => self.policy(name, value, &mut settings.policy),
                "entries_ttl_ms" => self.millis(name, value, 1_000, &mut settings.entries_ttl),
                "max_stop_ms" => self.millis(name, value, 0, &mut settings.max_stop),
                "max_body_bytes" => self.number(name, value, 1, &mut settings.max_body),
                "max_header_bytes" => self.number(name, value, 1024, &mut settings.max_headers),
                "worker_threads" => {
                    let mut workers = 0;
                    self.number(name, value, 1, &mut workers);
                    settings.workers = workers as usize;
                }
                "log_filter" => {
                    settings.log_filter = self.string(name, value).unwrap_or_default();
                }
                _ => {}
            }
        }
        if settings.entry == settings.peer {
            let what = "must differ from entry";
            self.fault(ResultCode::SettingsValue, "peer", object.start(), what);
        }
        settings
    }

    fn string(&mut self, path: &str, value: &ast::Value<'_>) -> Option<String> {
        if let ast::Value::StringLit(s) = value {
            return Some(s.value.to_string());
        }
        self.fault(ResultCode::SettingsValue, path, value.start(), "must be a string");
        None
    }

    fn name(&mut self, path: &str, value: &ast::Value<'_>, into: &mut Arc<str>) {
        let Some(text) = self.string(path, value) else { return };
        if text.is_empty() || text.len() > 64 {
            let what = "must be a name of 1 to 64 bytes";
            self.fault(ResultCode::SettingsValue, path, value.start(), what);
        }
        *into = Arc::from(text);
    }

    fn addr(&mut self, path: &str, value: &ast::Value<'_>, into: &mut SocketAddr) {
        let Some(text) = self.string(path, value) else { return };
        match text.parse() {
            Ok(addr) => *into = addr,
            Err(_) => {
                let what = format!("{text:?} is not an IP address and port");
                self.fault(ResultCode::SettingsValue, path, value.start(), what);
            }
        }
    }

    fn url(&mut self, path: &str, value: &ast::Value<'_>, into: &mut String) {
        let Some(text) = self.string(path, value) else { return };
        let host = text.strip_prefix("http://").unwrap_or("");
        if host.parse::<SocketAddr>().is_err() {
            let what = format!("{text:?} is not of the form http://IP:PORT");
            self.fault(ResultCode::SettingsValue, path, value.start(), what);
        }
        *into = text;
    }

    fn seeds(&mut self, value: &ast::Value<'_>, into: &mut Vec<SocketAddr>) {
        let ast::Value::Array(array) = value else {
            let what = "must be a list of addresses";
            self.fault(ResultCode::SettingsValue, "seeds", value.start(), what);
            return;
        };
        for (i, element) in array.elements.iter().enumerate() {
            let mut addr = SocketAddr::from(([0, 0, 0, 0], 0));
            self.addr(&format!("seeds[{i}]"), element, &mut addr);
            into.push(addr);
        }
    }

    fn policy(&mut self, path: &str, value: &ast::Value<'_>, into: &mut Policy) {
        let Some(text) = self.string(path, value) else { return };
        match text.parse() {
            Ok(policy) => *into = policy,
            Err(_) => {
                let what = format!("{text:?} is none of {}", Policy::VARIANTS.join(", "));
                self.fault(ResultCode::SettingsValue, path, value.start(), what);
            }
        }
    }

    fn number(&mut self, path: &str, value: &ast::Value<'_>, min: u64, into: &mut u64) {
        let number = match value {
            ast::Value::NumberLit(n) => n.value.parse().ok(),
            _ => None,
        };
        match number {
            Some(number) if number >= min => *into = number,
            _ => {
                let what = format!("must be a whole number of at least {min}");
                self.fault(ResultCode::SettingsValue, path, value.start(), what);
            }
        }
    }

    fn millis(&mut self, path: &str, value: &ast::Value<'_>, min: u64, into: &mut Span) {
        let mut millis = 0;
        self.number(path, value, min, &mut millis);
        *into = Span::from_millis(millis);
    }
}
