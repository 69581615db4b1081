//! The difference between two configuration documents.

use crate::error::{Error, Result};
use redwingtrestle_wire::{config::ConfigDoc, query::ChangeLine};

pub use redwingtrestle_wire::diff::diff_values;

/// Returns the values that differ between two configurations, ordered by path.
pub fn diff(before: &ConfigDoc, after: &ConfigDoc) -> Result<Vec<ChangeLine>> {
    redwingtrestle_wire::diff::diff(before, after).map_err(|error| Error::usage(error.to_string()))
}
