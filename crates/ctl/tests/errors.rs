//! The documentation page of result codes, and the exit codes.

use redwingtrestle_core::{cases, codes::ResultCode};
use redwingtrestle_ctl::{
    codes::{all, documented_codes},
    error::{Error, Exit},
};
use std::collections::BTreeSet;
use strum::IntoEnumIterator;

/// Guards against a code that is missing from the page or described incorrectly.
#[test]
fn every_code_is_on_the_page() {
    let page = documented_codes();
    for code in ResultCode::iter() {
        let rows: Vec<_> = page.iter().filter(|row| row.number == code.number()).collect();
        let [row] = rows[..] else { panic!("{code}: {} rows on the page", rows.len()) };
        assert_eq!(row.name, code.to_string());
        assert_eq!(row.status, code.status(), "{code}");
        assert_eq!(row.outcome, code.outcome().to_string(), "{code}");
        assert!(!row.caller.is_empty() && !row.operator.is_empty(), "{code}: advice is missing");
    }
}

/// Guards against rows of codes that no longer exist, and against rows that cannot be parsed.
#[test]
fn every_row_of_the_page_describes_a_code() {
    let text = include_str!("../../../docs/ERRORS.md");
    let digits = |l: &&str| l.strip_prefix("| ").is_some_and(|l| l.starts_with(char::is_numeric));
    assert_eq!(
        text.lines().filter(digits).count(),
        documented_codes().len(),
        "a row cannot be read"
    );
    for row in documented_codes() {
        let code = ResultCode::from_number(row.number);
        assert_eq!(code.map(|c| c.to_string()), Some(row.name), "{}", row.number);
    }
}

/// Guards against two codes with the same number, which callers could not distinguish.
#[test]
fn code_numbers_are_unique_and_parse_back() {
    let numbers: BTreeSet<u16> = ResultCode::iter().map(ResultCode::number).collect();
    assert_eq!(numbers.len(), ResultCode::iter().count());
    for code in ResultCode::iter() {
        assert_eq!(ResultCode::from_number(code.number()), Some(code));
    }
    assert_eq!(all().len(), numbers.len());
}

fn exit(code: ResultCode) -> u8 {
    Exit::from(code) as u8
}

cases! {
    exit;
    /// Guards against an exit code other than 0 for success, which scripts would take for a failure.
    accepted: ResultCode::Accepted => 0,
    /// Guards against confusing a conflict, which may be retried, with an invalid change.
    conflict: ResultCode::Conflict => 3,
    /// Guards against a script that retries an invalid change.
    invalid: ResultCode::Invalid => 4,
    /// Guards against a script that treats an unknown result as a failure and repeats the change.
    unknown: ResultCode::CommandUnknown => 5,
    /// Guards against reporting a breached floor as an ordinary failure.
    floor_breach: ResultCode::FloorBreach => 6,
    /// Guards against a code without an exit code of its own that gets one with another meaning.
    unauthorized: ResultCode::Unauthorized => 1,
}

/// Guards against reporting a lost response as a failure that changed nothing.
#[test]
fn lost_response_exits_with_unknown() {
    assert_eq!(Error::ResponseLost { what: String::new() }.exit(), Exit::Unknown);
    let refused = Error::Refused { node: "n".into(), number: 4006, what: String::new() };
    assert_eq!(refused.exit(), Exit::Usage);
}
