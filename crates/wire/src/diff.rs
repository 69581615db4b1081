//! The difference between two configuration documents.

use crate::{config::ConfigDoc, query::ChangeLine};
use serde_json::Value;
use std::collections::BTreeMap;

/// Fields that identify an element of a list, in order of preference.
///
/// If elements were identified by position, one new server at the head of a list would show as a change of every
/// later one.
const IDENTITY_FIELDS: [&str; 2] = ["name", "addr"];

/// Returns the values that differ between two configurations, ordered by path.
pub fn diff(before: &ConfigDoc, after: &ConfigDoc) -> Result<Vec<ChangeLine>, serde_json::Error> {
    Ok(diff_values(&serde_json::to_value(before)?, &serde_json::to_value(after)?))
}

/// Returns the values that differ between two JSON documents, ordered by path.
pub fn diff_values(before: &Value, after: &Value) -> Vec<ChangeLine> {
    let (before, after) = (flatten(before), flatten(after));
    let mut paths: Vec<&String> = before.keys().chain(after.keys()).collect();
    paths.sort();
    paths.dedup();
    paths
        .into_iter()
        .filter(|path| before.get(*path) != after.get(*path))
        .map(|path| ChangeLine {
            path: path.clone(),
            before: before.get(path).cloned(),
            after: after.get(path).cloned(),
        })
        .collect()
}

fn flatten(value: &Value) -> BTreeMap<String, String> {
    let mut leaves = BTreeMap::new();
    collect_leaves(String::new(), value, &mut leaves);
    leaves
}

fn collect_leaves(path: String, value: &Value, leaves: &mut BTreeMap<String, String>) {
    match value {
        Value::Object(members) if !members.is_empty() => {
            for (name, member) in members {
                let dot = if path.is_empty() { "" } else { "." };
                collect_leaves(format!("{path}{dot}{name}"), member, leaves);
            }
        }
        Value::Array(elements) if !elements.is_empty() => {
            let labels = labels(elements);
            for (label, element) in labels.into_iter().zip(elements) {
                collect_leaves(format!("{path}[{label}]"), element, leaves);
            }
        }
        // Scalars, empty lists and empty objects are leaves.
        leaf => {
            leaves.insert(path, leaf.to_string());
        }
    }
}

/// Returns the elements' labels: their identities, or their positions if an identity is missing or not unique.
fn labels(elements: &[Value]) -> Vec<String> {
    let named = IDENTITY_FIELDS.iter().find_map(|field| {
        let names: Option<Vec<String>> =
            elements.iter().map(|e| Some(e.get(field)?.as_str()?.to_string())).collect();
        let names = names?;
        let mut unique = names.clone();
        unique.sort();
        unique.dedup();
        (unique.len() == names.len()).then_some(names)
    });
    named.unwrap_or_else(|| (0..elements.len()).map(|i| i.to_string()).collect())
}
