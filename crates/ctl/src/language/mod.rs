//! The operators' language for queries and commands, described in `docs/LANGUAGE.md`.

mod grammar;
mod suggest;

use redwingtrestle_wire::query::{Command, Query};
use std::fmt;

/// Maximum length of a text, in bytes. Longer texts are rejected.
pub const MAX_TEXT: usize = 4_096;

/// A parsed query or command.
#[derive(Clone, Debug, PartialEq)]
pub enum Statement {
    /// A query.
    Query(Query),
    /// A command with its suffixes.
    Command {
        /// The change.
        command: Command,
        /// The version that the change is based on, if the text gives one.
        base: Option<u64>,
        /// Whether the text has the suffix `dry run`.
        dry_run: bool,
    },
}

/// A syntax error, with the first word that cannot be parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseError {
    /// The whole text, with control characters replaced by spaces.
    pub text: String,
    /// The column of the word, in characters from 1.
    pub column: usize,
    /// The word that cannot be parsed, empty at the end of the text.
    pub word: String,
    /// The words and kinds of values that are valid at this position.
    pub expected: Vec<String>,
    /// The most similar valid word, if one is similar enough.
    pub suggestion: Option<String>,
}

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "column {}: ", self.column)?;
        match self.word.as_str() {
            "" => write!(f, "the text ends too early")?,
            word => write!(f, "{word:?} is not understood here")?,
        }
        if let Some(word) = &self.suggestion {
            write!(f, "; did you mean {word:?}?")?;
        }
        if !self.expected.is_empty() {
            write!(f, " (expected {})", self.expected.join(", "))?;
        }
        let width = self.word.chars().count().max(1);
        write!(f, "\n  {}\n  {}{}", self.text, " ".repeat(self.column - 1), "^".repeat(width))
    }
}

impl std::error::Error for ParseError {}

/// Parses a single query or command.
pub fn parse(text: &str) -> Result<Statement, ParseError> {
    grammar::parse(text)
}
