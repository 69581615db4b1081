//! Parsing of the language of queries and commands.

use quickcheck::quickcheck;
use redwingtrestle_core::cases;
use redwingtrestle_ctl::language::{parse, Statement, MAX_TEXT};
use redwingtrestle_wire::query::{Command, Direction, Place, Query};

fn query(text: &str) -> Query {
    match parse(text) {
        Ok(Statement::Query(query)) => query,
        other => panic!("{text}: {other:?}"),
    }
}

fn command(text: &str) -> (Command, Option<u64>, bool) {
    match parse(text) {
        Ok(Statement::Command { command, base, dry_run }) => (command, base, dry_run),
        other => panic!("{text}: {other:?}"),
    }
}

/// Returns the column and the suggestion of the syntax error in `text`.
fn error_position(text: &str) -> (usize, Option<String>) {
    let error = parse(text).expect_err(text);
    (error.column, error.suggestion)
}

fn floor(service: &str, floor: u32, direction: Direction) -> Command {
    Command::SetFloor { service: service.into(), floor, direction }
}

fn some(word: &str) -> Option<String> {
    Some(word.into())
}

mod queries {
    use super::*;

    cases! {
        query;
        /// Guards against a service filter that is ignored.
        ejected_for_service: "show ejected for orders" =>
            Query::Ejected { service: some("orders") },
        /// Guards against a service filter that is mandatory.
        ejected: "show ejected" => Query::Ejected { service: None },
        /// Guards against quotes that become part of the address.
        why: "why \"10.0.0.7:8080\"" => Query::Why { server: "10.0.0.7:8080".parse().unwrap() },
        /// Guards against an IPv6 address that is cut at a colon.
        why_v6: "why [::1]:8080" => Query::Why { server: "[::1]:8080".parse().unwrap() },
        /// Guards against sensitivity to case, line ends or repeated spaces.
        case_and_spacing_are_ignored: "  SHOW\n  Ranks of\torders " =>
            Query::Ranks { service: some("orders") },
        /// Guards against a keyword that cannot be used as a name.
        keyword_as_name: "show ranks of of" => Query::Ranks { service: some("of") },
        /// Guards against quoted names that lose their spaces.
        quoted_name: "show ejected for \"late orders\"" =>
            Query::Ejected { service: some("late orders") },
    }
}

mod commands {
    use super::*;

    cases! {
        command;
        /// Guards against losing the direction that the operator intends.
        raise: "raise floor of orders to 60" =>
            (floor("orders", 60, Direction::Raise), None, false),
        /// Guards against confusing the directions.
        lower: "lower floor of orders to 40 slots" =>
            (floor("orders", 40, Direction::Lower), None, false),
        /// Guards against an ignored `dry run`, which would make the change.
        dry_run: "lower floor of orders to 40 dry run" =>
            (floor("orders", 40, Direction::Lower), None, true),
        /// Guards against suffixes that work in one order only.
        base_then_dry: "set floor of a to 1 at version 42 dry run" =>
            (floor("a", 1, Direction::Either), Some(42), true),
        /// Guards against suffixes that work in one order only.
        dry_then_base: "set floor of a to 1 dry run at version 42" =>
            (floor("a", 1, Direction::Either), Some(42), true),
        /// Guards against swapping rank and service.
        target: "set target of urgent in orders to 250 ms" => (
            Command::SetTarget { service: "orders".into(), rank: "urgent".into(), target_ms: 250 },
            None,
            false,
        ),
        /// Guards against a wrong unit, and against requiring a space before it.
        target_seconds: "set target of urgent in orders to 2s" => (
            Command::SetTarget { service: "orders".into(), rank: "urgent".into(), target_ms: 2_000 },
            None,
            false,
        ),
        /// Guards against losing the decimal of an objective.
        objective: "set objective of urgent in orders to 99.5%" => (
            Command::SetObjective { service: "orders".into(), rank: "urgent".into(), objective: 995 },
            None,
            false,
        ),
        /// Guards against confusing an undrain with a drain.
        undrain: "undrain data centre \"amherst\"" =>
            (Command::Undrain { place: Place::DataCentre("amherst".into()) }, None, false),
        /// Guards against confusing a VM with a server.
        drain_vm: "drain vm \"10.0.0.7\"" =>
            (Command::Drain { place: Place::Vm("10.0.0.7".parse().unwrap()) }, None, false),
    }
}

mod syntax_errors {
    use super::*;

    cases! {
        error_position;
        /// Guards against an error without a position.
        first_word: "shwo ejected" => (1, some("show")),
        /// Guards against pointing at the first word although the second is wrong.
        second_word: "show ejeted" => (6, some("ejected")),
        /// Guards against a column that is counted in bytes instead of characters.
        column_counts_characters: "show ejected for Bäume fro" => (24, None),
        /// Guards against suggesting a word that is not valid at this position.
        misspelt_setting: "set flor of orders to 3" => (5, some("floor")),
        /// Guards against a position before the missing word.
        missing_last_words: "raise floor of orders" => (22, None),
        /// Guards against accepting a VM where a server is needed.
        not_a_server: "drain server \"10.0.0.7\"" => (14, None),
        /// Guards against numbers that wrap around.
        floor_overflow: "raise floor of orders to 4294967296" => (26, None),
        /// Guards against numbers that wrap around when the unit is applied.
        target_overflow: "set target of a in b to 18446744073709551615 s" => (25, None),
        /// Guards against rounding an objective without an error.
        objective_with_two_decimals: "set objective of a in b to 99.55 %" => (28, None),
        /// Guards against ignoring extra words at the end of the text.
        extra_word: "show nodes now" => (12, None),
        /// Guards against ignoring a misspelt `dry run`, which would make the change.
        misspelt_suffix: "drain vm 10.0.0.7 dry rnu" => (23, some("run")),
        /// Guards against two bases, one of which would be ignored.
        two_bases: "drain vm 10.0.0.7 at version 1 at version 2" => (32, None),
        /// Guards against accepting an empty name, which would match no service.
        empty_name: "show ejected for \"\"" => (18, None),
        /// Guards against a panic on an unclosed quote.
        open_quote: "why \"10.0.0.7:8080" => (5, None),
        /// Guards against a panic on an empty text.
        empty: "" => (1, None),
    }
}

/// Guards against an error message that does not show the position.
#[test]
fn message_marks_the_misspelt_word() {
    let message = parse("show ejeted").unwrap_err().to_string();
    let mut lines = message.lines();
    let first = lines.next().unwrap();
    assert!(first.starts_with("column 6: \"ejeted\" is not understood here"), "{first}");
    assert!(first.contains("did you mean \"ejected\"?"), "{first}");
    assert_eq!(lines.collect::<Vec<_>>(), ["  show ejeted", "       ^^^^^^"]);
}

/// Guards against unbounded work on a long text.
#[test]
fn too_long_text_is_rejected() {
    let error = parse(&"show ".repeat(MAX_TEXT)).unwrap_err();
    assert_eq!(error.expected, ["a text of at most 4096 bytes"]);
}

/// Guards against control characters that reach the operator's terminal.
#[test]
fn control_characters_are_not_echoed() {
    let message = parse("show \u{1b}[31m").unwrap_err().to_string();
    assert!(!message.contains('\u{1b}'), "{message:?}");
}

/// Guards against a documentation page with examples that do not parse.
#[test]
fn every_example_on_the_page_parses() {
    let page = include_str!("../../../docs/LANGUAGE.md");
    let mut examples = 0;
    for block in page.split("```redwing\n").skip(1) {
        let block = block.split("```").next().unwrap();
        for line in block.lines().filter(|l| !l.trim().is_empty()) {
            if let Err(error) = parse(line) {
                panic!("{error}");
            }
            examples += 1;
        }
    }
    assert!(examples >= 25, "only {examples} examples found");
}

const WORDS: [&str; 34] = [
    "show",
    "why",
    "ejected",
    "for",
    "ranks",
    "of",
    "raise",
    "lower",
    "set",
    "floor",
    "target",
    "share",
    "objective",
    "in",
    "to",
    "drain",
    "undrain",
    "server",
    "vm",
    "data",
    "centre",
    "dry",
    "run",
    "at",
    "version",
    "ms",
    "%",
    "\"",
    "10.0.0.7:80",
    "99.5",
    "7",
    "é",
    "\u{0}",
    "orders",
];

quickcheck! {
    /// Guards against a panic on any text.
    fn random_text_never_panics(text: String) -> bool {
        parse(&text).map_or_else(|e| !e.to_string().is_empty(), |_| true)
    }

    /// Guards against a panic deep in the grammar, which random text does not reach.
    fn random_words_never_panic(picks: Vec<u8>) -> bool {
        let words: Vec<_> = picks.iter().map(|p| WORDS[*p as usize % WORDS.len()]).collect();
        let text = words.join(" ");
        parse(&text).map_or_else(|e| e.column <= text.chars().count() + 1, |_| true)
    }
}
