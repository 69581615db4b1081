//! The operators' command-line program `redwingctl`: query language, reports and load generator.
//!
//! `redwingctl` connects to nodes by JSON-RPC on their peer ports. `docs/LANGUAGE.md` describes the language,
//! `docs/ERRORS.md` the result codes.

#![forbid(unsafe_code)]

pub mod args;
pub mod client;
pub mod codes;
pub mod diff;
pub mod document;
pub mod error;
mod format;
pub mod language;
pub mod load;
pub mod plot;
pub mod run;
pub mod table;
pub mod trace;
