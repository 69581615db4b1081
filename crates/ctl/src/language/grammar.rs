//! The grammar of the language, as parser combinators over words.

use super::{suggest, ParseError, Statement, MAX_TEXT};
use redwingtrestle_wire::query::{Command, Direction, Place, Query};
use std::net::{IpAddr, SocketAddr};
use winnow::{
    combinator::{alt, opt, preceded, repeat},
    error::EmptyError,
    prelude::*,
    stream::{LocatingSlice, Location, Stateful, Stream},
    token::{any, take_till, take_while},
};

/// The farthest position at which parsing failed, with what was expected there.
///
/// Alternatives are tried in turn, so the failure of the last one rarely describes the operator's mistake.
#[derive(Clone, Debug, Default)]
struct FarthestFailure {
    offset: usize,
    keywords: Vec<&'static str>,
    values: Vec<&'static str>,
}

type Input<'a> = Stateful<LocatingSlice<&'a str>, FarthestFailure>;
type Parsed<T> = Result<T, EmptyError>;

impl FarthestFailure {
    fn advance_to(&mut self, offset: usize) -> bool {
        if offset > self.offset {
            *self = FarthestFailure { offset, ..FarthestFailure::default() };
        }
        offset == self.offset
    }

    fn expect_keyword(&mut self, offset: usize, keyword: &'static str) {
        if self.advance_to(offset) && !self.keywords.contains(&keyword) {
            self.keywords.push(keyword);
        }
    }

    fn expect_value(&mut self, offset: usize, value: &'static str) {
        if self.advance_to(offset) && !self.values.contains(&value) {
            self.values.push(value);
        }
    }
}

pub(super) fn parse(text: &str) -> Result<Statement, ParseError> {
    if text.len() > MAX_TEXT {
        return Err(ParseError {
            text: format!("{} bytes", text.len()),
            column: 1,
            word: String::new(),
            expected: vec![format!("a text of at most {MAX_TEXT} bytes")],
            suggestion: None,
        });
    }
    let mut input = Stateful { input: LocatingSlice::new(text), state: FarthestFailure::default() };
    match (statement, end).parse_next(&mut input) {
        Ok((statement, ())) => Ok(statement),
        Err(EmptyError) => Err(parse_error(text, &input.state)),
    }
}

/// Builds the error for the farthest position at which parsing failed.
fn parse_error(text: &str, failure: &FarthestFailure) -> ParseError {
    let rest = text.get(failure.offset..).unwrap_or_default();
    let word: String = match rest.strip_prefix('"') {
        Some(quoted) => quoted.split('"').next().unwrap_or_default().into(),
        None => {
            rest.split(|c: char| c.is_whitespace() || c == '"').next().unwrap_or_default().into()
        }
    };
    let replace_control_chars =
        |s: &str| s.chars().map(|c| if c.is_control() { ' ' } else { c }).collect();
    let keywords = failure.keywords.iter().map(|w| format!("\"{w}\""));
    ParseError {
        text: replace_control_chars(text),
        column: text.get(..failure.offset).unwrap_or_default().chars().count() + 1,
        suggestion: suggest::nearest(&word, &failure.keywords).map(Into::into),
        word: replace_control_chars(&word),
        expected: keywords.chain(failure.values.iter().map(ToString::to_string)).collect(),
    }
}

fn statement(i: &mut Input<'_>) -> Parsed<Statement> {
    alt((query.map(Statement::Query), command_statement)).parse_next(i)
}

fn query(i: &mut Input<'_>) -> Parsed<Query> {
    alt((
        preceded(keyword("show"), subject),
        preceded(keyword("why"), server).map(|server| Query::Why { server }),
    ))
    .parse_next(i)
}

fn subject(i: &mut Input<'_>) -> Parsed<Query> {
    alt((
        preceded(keyword("ejected"), opt(preceded(keyword("for"), name)))
            .map(|service| Query::Ejected { service }),
        preceded(keyword("ranks"), opt(preceded(keyword("of"), name)))
            .map(|service| Query::Ranks { service }),
        keyword("services").value(Query::Services),
        keyword("nodes").value(Query::Nodes),
        keyword("versions").value(Query::Versions),
        keyword("drains").value(Query::Drains),
        keyword("members").value(Query::Members),
        keyword("burn").value(Query::Burn),
        keyword("stewards").value(Query::Stewards),
        keyword("config").value(Query::Config),
    ))
    .parse_next(i)
}

/// A suffix of a command. Suffixes may be in any order.
#[derive(Clone, Copy)]
enum Suffix {
    DryRun,
    Base(u64),
}

fn command_statement(i: &mut Input<'_>) -> Parsed<Statement> {
    let command = command.parse_next(i)?;
    let suffix = alt((
        (keyword("dry"), keyword("run")).value(Suffix::DryRun),
        preceded((keyword("at"), keyword("version")), number_u64).map(Suffix::Base),
    ));
    // There are two kinds of suffix, so a third suffix must repeat one of them.
    let suffixes: Vec<(usize, Suffix)> = repeat(0..=3, (position, suffix)).parse_next(i)?;
    let (mut base, mut dry_run) = (None, false);
    for (at, suffix) in suffixes {
        match suffix {
            Suffix::DryRun if !dry_run => dry_run = true,
            Suffix::Base(version) if base.is_none() => base = Some(version),
            _ => return fail_only(i, at, "each suffix once"),
        }
    }
    Ok(Statement::Command { command, base, dry_run })
}

fn command(i: &mut Input<'_>) -> Parsed<Command> {
    alt((
        floor,
        preceded(keyword("set"), alt((target, share, objective))),
        preceded(keyword("drain"), place).map(|place| Command::Drain { place }),
        preceded(keyword("undrain"), place).map(|place| Command::Undrain { place }),
    ))
    .parse_next(i)
}

fn floor(i: &mut Input<'_>) -> Parsed<Command> {
    let direction = alt((
        keyword("raise").value(Direction::Raise),
        keyword("lower").value(Direction::Lower),
        keyword("set").value(Direction::Either),
    ));
    let (direction, _, _, service, _, floor, _) = (
        direction,
        keyword("floor"),
        keyword("of"),
        name,
        keyword("to"),
        number_u32,
        opt(keyword("slots")),
    )
        .parse_next(i)?;
    Ok(Command::SetFloor { service, floor, direction })
}

/// Parses `WHAT of RANK in SERVICE to` and returns the rank and the service.
fn of_rank<'a>(what: &'static str) -> impl Parser<Input<'a>, (String, String), EmptyError> {
    (keyword(what), keyword("of"), name, keyword("in"), name, keyword("to"))
        .map(|(_, _, rank, _, service, _)| (rank, service))
}

fn target(i: &mut Input<'_>) -> Parsed<Command> {
    let unit = alt((keyword("ms").value(1), keyword("s").value(1_000)));
    let ((rank, service), at, value, unit) =
        (of_rank("target"), position, number_u64, unit).parse_next(i)?;
    match value.checked_mul(unit) {
        Some(target_ms) => Ok(Command::SetTarget { service, rank, target_ms }),
        None => fail_only(i, at, "a smaller number"),
    }
}

fn share(i: &mut Input<'_>) -> Parsed<Command> {
    let ((rank, service), share, ()) = (of_rank("share"), number_u32, percent).parse_next(i)?;
    Ok(Command::SetShare { service, rank, share })
}

fn objective(i: &mut Input<'_>) -> Parsed<Command> {
    let ((rank, service), objective, ()) =
        (of_rank("objective"), thousandths, percent).parse_next(i)?;
    Ok(Command::SetObjective { service, rank, objective })
}

fn percent(i: &mut Input<'_>) -> Parsed<()> {
    alt((keyword("percent"), keyword("%"))).parse_next(i)
}

fn place(i: &mut Input<'_>) -> Parsed<Place> {
    alt((
        preceded(keyword("server"), server).map(Place::Server),
        preceded(keyword("vm"), vm).map(Place::Vm),
        preceded((keyword("data"), keyword("centre")), name).map(Place::DataCentre),
    ))
    .parse_next(i)
}

fn server(i: &mut Input<'_>) -> Parsed<SocketAddr> {
    value("a server address such as \"10.0.0.7:8080\"").parse_next(i)
}

fn vm(i: &mut Input<'_>) -> Parsed<IpAddr> {
    value("an IP address such as \"10.0.0.7\"").parse_next(i)
}

/// Parses a word as a value of type `T`. `expected` describes the value in errors.
fn value<'a, T: std::str::FromStr>(
    expected: &'static str,
) -> impl Parser<Input<'a>, T, EmptyError> {
    move |i: &mut Input<'a>| {
        let (at, text) = (position, opt(word)).parse_next(i)?;
        match text.and_then(|t| t.parse().ok()) {
            Some(value) => Ok(value),
            None => fail(i, at, expected),
        }
    }
}

/// Parses the name of a service, rank or data centre, with or without quotes.
fn name(i: &mut Input<'_>) -> Parsed<String> {
    let (at, text) = (position, opt(word)).parse_next(i)?;
    match text {
        Some(name) if !name.is_empty() && !name.chars().any(char::is_control) => Ok(name.into()),
        _ => fail(i, at, "a name"),
    }
}

fn number_u64(i: &mut Input<'_>) -> Parsed<u64> {
    let (at, digits) = (position, opt(digits)).parse_next(i)?;
    match digits.and_then(|d| d.parse().ok()) {
        Some(number) => Ok(number),
        None => fail(i, at, "a whole number"),
    }
}

fn number_u32(i: &mut Input<'_>) -> Parsed<u32> {
    let (at, number) = (position, number_u64).parse_next(i)?;
    match number.try_into() {
        Ok(number) => Ok(number),
        Err(_) => fail(i, at, "a smaller number"),
    }
}

/// Parses a percentage with up to one decimal and returns it in thousandths.
fn thousandths(i: &mut Input<'_>) -> Parsed<u32> {
    let (at, whole, part) = (position, opt(digits), opt(preceded('.', digits))).parse_next(i)?;
    let number = whole.and_then(|w| match (w.parse::<u32>(), part.unwrap_or("0")) {
        (Ok(w), part) if part.len() == 1 => w.checked_mul(10)?.checked_add(part.parse().ok()?),
        _ => None,
    });
    match number {
        Some(number) => Ok(number),
        None => fail(i, at, "a percentage with at most one decimal, such as 99.5"),
    }
}

/// Parses the keyword `known`, ignoring case. On failure, restores the input and reports the keyword as expected.
fn keyword<'a>(known: &'static str) -> impl Parser<Input<'a>, (), EmptyError> {
    move |i: &mut Input<'a>| {
        let start = i.checkpoint();
        let (at, found) = (position, opt(bare_word)).parse_next(i)?;
        if found.is_some_and(|w| w.eq_ignore_ascii_case(known)) {
            return Ok(());
        }
        i.state.expect_keyword(at, known);
        i.reset(&start);
        Err(EmptyError)
    }
}

/// Parses an unquoted word, or a quoted one without its quotes.
fn word<'a>(i: &mut Input<'a>) -> Parsed<&'a str> {
    alt((('"', take_till(0.., '"'), any).map(|(_, inner, _)| inner), bare_word)).parse_next(i)
}

fn bare_word<'a>(i: &mut Input<'a>) -> Parsed<&'a str> {
    take_till(1.., |c: char| c.is_whitespace() || c == '"').parse_next(i)
}

fn digits<'a>(i: &mut Input<'a>) -> Parsed<&'a str> {
    take_while(1.., |c: char| c.is_ascii_digit()).parse_next(i)
}

/// Skips whitespace and returns the byte offset after it.
fn position(i: &mut Input<'_>) -> Parsed<usize> {
    let _: &str = take_while(0.., char::is_whitespace).parse_next(i)?;
    Ok(i.current_token_start())
}

fn end(i: &mut Input<'_>) -> Parsed<()> {
    let at = position(i)?;
    match i.peek_token() {
        None => Ok(()),
        Some(_) => fail(i, at, "the end of the text"),
    }
}

/// Fails at byte offset `at`, where `expected` would have been valid.
fn fail<T>(i: &mut Input<'_>, at: usize, expected: &'static str) -> Parsed<T> {
    i.state.expect_value(at, expected);
    Err(EmptyError)
}

/// Fails like [`fail`], but discards failures at a farther position.
fn fail_only<T>(i: &mut Input<'_>, at: usize, expected: &'static str) -> Parsed<T> {
    i.state = FarthestFailure { offset: at, ..FarthestFailure::default() };
    fail(i, at, expected)
}
