//! Reads the settings of a file one by one, and collects the faults of all.

use super::Fault;
use redwingtrestle_core::codes::ResultCode;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};
use std::ops::RangeInclusive;

/// The settings of a file that were not read yet, and the faults of those that were.
#[derive(Debug)]
pub(super) struct SettingsReader {
    unread: Map<String, Value>,
    /// Faults of settings without which a gateway cannot serve.
    refusing: Vec<Fault>,
    /// Faults of settings that have a default.
    replaced: Vec<Fault>,
}

impl SettingsReader {
    /// Parses the text of a settings file: JSON with comments, with an object at the top.
    pub(super) fn new(text: &str) -> Result<Self, Vec<Fault>> {
        let syntax = |what| vec![Fault { code: ResultCode::SettingsSyntax, what }];
        match jsonc_parser::parse_to_serde_value(text, &Default::default()) {
            Ok(Some(Value::Object(unread))) => {
                Ok(SettingsReader { unread, refusing: Vec::new(), replaced: Vec::new() })
            }
            Ok(_) => Err(syntax("the file holds no object".into())),
            Err(e) => Err(syntax(e.to_string())),
        }
    }

    /// Takes a setting without which a gateway cannot serve. Without a usable value the file is refused.
    pub(super) fn required<T: DeserializeOwned>(&mut self, name: &str) -> Option<T> {
        let Some(value) = self.unread.remove(name) else {
            let what = format!("{name}: is missing");
            self.refusing.push(Fault { code: ResultCode::SettingsMissing, what });
            return None;
        };
        decode(name, value).map_err(|fault| self.refusing.push(fault)).ok()
    }

    /// Takes a name without which a gateway cannot serve. It must not be empty.
    pub(super) fn name(&mut self, name: &str) -> Option<String> {
        let text = self.required::<String>(name)?;
        if text.is_empty() {
            self.refuse(&format!("{name}: must not be empty"));
        }
        Some(text)
    }

    /// Refuses the file for a value that was read.
    pub(super) fn refuse(&mut self, what: &str) {
        self.refusing.push(Fault { code: ResultCode::SettingsValue, what: what.into() });
    }

    /// Takes a setting that has a default, or `None` if the default holds.
    pub(super) fn optional<T: DeserializeOwned>(&mut self, name: &str) -> Option<T> {
        let value = self.unread.remove(name)?;
        decode(name, value).map_err(|fault| self.replaced.push(fault)).ok()
    }

    /// Takes a number that has a default, or `None` if the default holds.
    pub(super) fn number(&mut self, name: &str, range: RangeInclusive<f64>) -> Option<f64> {
        let number = self.optional(name)?;
        if range.contains(&number) {
            return Some(number);
        }
        let what = format!("{name}: must be between {} and {}", range.start(), range.end());
        self.replaced.push(Fault { code: ResultCode::SettingsValue, what });
        None
    }

    /// Takes a list, without the entries that cannot be decoded.
    pub(super) fn list<T: DeserializeOwned>(&mut self, name: &str) -> Vec<T> {
        let values: Vec<Value> = self.optional(name).unwrap_or_default();
        let mut entries = Vec::new();
        for value in values {
            match decode(name, value) {
                Ok(entry) => entries.push(entry),
                Err(fault) => self.replaced.push(fault),
            }
        }
        entries
    }

    /// Returns the faults of settings that are replaced by their defaults, or, if the file is refused, all faults.
    pub(super) fn finish(mut self) -> Result<Vec<Fault>, Vec<Fault>> {
        let unknown = self.unread.into_iter().map(|(name, _)| Fault {
            code: ResultCode::SettingsUnknownKey,
            what: format!("{name}: is no setting of a gateway"),
        });
        self.replaced.extend(unknown);
        if self.refusing.is_empty() {
            return Ok(self.replaced);
        }
        self.refusing.extend(self.replaced);
        Err(self.refusing)
    }
}

fn decode<T: DeserializeOwned>(name: &str, value: Value) -> Result<T, Fault> {
    serde_json::from_value(value)
        .map_err(|e| Fault { code: ResultCode::SettingsValue, what: format!("{name}: {e}") })
}
