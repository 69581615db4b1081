//! Structured logs on standard error, with one JSON object per line.

use logforth::{filter::rustlog::RustLogFilterBuilder, layout::JsonLayout};

/// The filter that is used if the settings contain none. Rocket and hyper log several lines per request, which
/// the node's own lines already cover.
pub const DEFAULT_FILTER: &str = "info,rocket=off,hyper=warn,reqwest=warn,jsonrpsee=warn";

/// Starts logging, with [`DEFAULT_FILTER`] if `filter` is invalid. Further calls in the same process have no effect.
pub fn start(filter: &str) {
    let filter = RustLogFilterBuilder::try_from_spec(filter)
        .unwrap_or_else(|_| RustLogFilterBuilder::from_spec(DEFAULT_FILTER))
        .build();
    let _ =
        logforth::starter_log::stderr().layout(JsonLayout::default()).filter(filter).try_apply();
}
