//! Reads files in JSON with comments.

use crate::error::{Error, Result};
use jsonc_parser::{parse_to_serde_value, ParseOptions};
use redwingtrestle_wire::config::ConfigDoc;
use serde_json::Value;
use std::fs;

/// Maximum size of a file, in bytes. A configuration of the size that the design targets has about 2 MB.
const MAX_FILE: u64 = 16 * 1024 * 1024;

/// Reads a file in JSON with comments.
pub fn read(path: &str) -> Result<Value> {
    let size = fs::metadata(path).map_err(|e| Error::file(path, &e))?.len();
    if size > MAX_FILE {
        return Err(Error::file(path, &format!("{size} bytes, more than the limit of {MAX_FILE}")));
    }
    let text = fs::read_to_string(path).map_err(|e| Error::file(path, &e))?;
    parse(&text).map_err(|what| Error::file(path, &what))
}

/// Reads a configuration and validates it like the nodes do.
pub fn config(path: &str) -> Result<ConfigDoc> {
    let invalid = |faults| Error::Invalid { path: path.into(), faults };
    let doc: ConfigDoc =
        serde_json::from_value(read(path)?).map_err(|fault| invalid(vec![fault.to_string()]))?;
    match doc.faults() {
        faults if faults.is_empty() => Ok(doc),
        faults => Err(invalid(faults)),
    }
}

/// Parses JSON with comments. Trailing commas are allowed, but an empty text is an error.
pub fn parse(text: &str) -> Result<Value, String> {
    let options = ParseOptions {
        allow_comments: true,
        allow_trailing_commas: true,
        allow_loose_object_property_names: false,
    };
    match parse_to_serde_value(text, &options) {
        Ok(Some(value)) => Ok(value),
        Ok(None) => Err("it is empty".into()),
        Err(fault) => Err(fault.to_string()),
    }
}
