//! Idempotency keys and the key prefixes that identify their homes.
//!
//! A key is `<ip>-<port>-<start id>-<generation>.<caller key>`, see `docs/design.md`, section 3.1.

use crate::{
    error::{Error, Result},
    ids::StartId,
};
use std::{
    fmt,
    net::{IpAddr, SocketAddr},
    str::FromStr,
    sync::Arc,
};

/// Maximum length of a whole key in bytes. Longer keys are refused before they are parsed.
pub const MAX_KEY_LEN: usize = 256;

/// Maximum length of the caller's part of a key in bytes.
///
/// The longest prefix has 83 bytes (39 for an IPv6 address, 5, 16 and 20 for the digits, 3 for the dashes), so a
/// caller key of this length fits into [`MAX_KEY_LEN`] with any prefix.
pub const MAX_CALLER_KEY_LEN: usize = 128;

/// The process that may run a key and the generation in which it records the key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyPrefix {
    home: SocketAddr,
    start: StartId,
    generation: u64,
}

impl KeyPrefix {
    /// Returns the prefix of a generation of the process with this entry address and start id.
    ///
    /// The flow label and scope of an IPv6 address are cleared because the text form lacks them, so that a prefix
    /// equals its parsed text.
    pub fn new(home: SocketAddr, start: StartId, generation: u64) -> Self {
        KeyPrefix { home: SocketAddr::new(home.ip(), home.port()), start, generation }
    }

    /// Returns the entry address of the home.
    pub fn home(&self) -> SocketAddr {
        self.home
    }

    /// Returns the start id of the home.
    pub fn start(&self) -> StartId {
        self.start
    }

    /// Returns the generation in which the home records the key.
    pub fn generation(&self) -> u64 {
        self.generation
    }
}

impl fmt::Display for KeyPrefix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let KeyPrefix { home, start, generation } = self;
        write!(f, "{}-{}-{start}-{generation}", home.ip(), home.port())
    }
}

impl FromStr for KeyPrefix {
    type Err = Error;

    /// Parses the text form; any other spelling of the same values is an error.
    fn from_str(text: &str) -> Result<Self> {
        let mut fields = text.splitn(4, '-');
        let mut field = |what: &str| {
            fields.next().ok_or_else(|| Error::key(format!("the prefix has no {what}")))
        };
        let ip: IpAddr = number(field("address")?, "address")?;
        let port: u16 = number(field("port")?, "port")?;
        let start = u64::from_str_radix(field("start id")?, 16)
            .map_err(|_| Error::key("the start id of the prefix is not hexadecimal"))?;
        let generation: u64 = number(field("generation")?, "generation")?;
        let prefix = KeyPrefix::new(SocketAddr::new(ip, port), StartId(start), generation);
        // A key must have a single text form, or callers and logs would show one request under two names.
        if prefix.to_string() != text {
            return Err(Error::key(format!("the prefix must be spelled {prefix}")));
        }
        Ok(prefix)
    }
}

fn number<T: FromStr>(text: &str, what: &str) -> Result<T> {
    text.parse().map_err(|_| Error::key(format!("the {what} of the prefix cannot be read")))
}

/// A caller's key with the prefix of its home.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestKey {
    prefix: KeyPrefix,
    caller: Arc<str>,
}

impl RequestKey {
    /// Returns the key of `caller` under `prefix`.
    ///
    /// Fails if `caller` is empty, longer than [`MAX_CALLER_KEY_LEN`] bytes, or not visible ASCII.
    pub fn new(prefix: KeyPrefix, caller: &str) -> Result<Self> {
        check_text(caller, MAX_CALLER_KEY_LEN)?;
        Ok(RequestKey { prefix, caller: caller.into() })
    }

    /// Returns the prefix.
    pub fn prefix(&self) -> &KeyPrefix {
        &self.prefix
    }

    /// Returns the part of the key that the caller chose.
    pub fn caller(&self) -> &Arc<str> {
        &self.caller
    }
}

impl fmt::Display for RequestKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.prefix, self.caller)
    }
}

/// A parsed `Idempotency-Key` header.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Key {
    /// The key has the prefix of its home.
    Homed(RequestKey),
    /// The key has no prefix.
    Plain(Arc<str>),
}

impl Key {
    /// Parses the value of an `Idempotency-Key` header.
    ///
    /// Text that starts with an IP address and `-` is parsed as a homed key, and any fault in it is an error. Other
    /// text is a plain key. Text that is empty, longer than [`MAX_KEY_LEN`] bytes or not visible ASCII is an error.
    pub fn parse(text: &str) -> Result<Self> {
        check_text(text, MAX_KEY_LEN)?;
        let is_homed = text.split_once('-').is_some_and(|(ip, _)| ip.parse::<IpAddr>().is_ok());
        if !is_homed {
            return Ok(Key::Plain(text.into()));
        }
        // The address may contain dots, so the separator is the first dot after the third '-'.
        let dashes = text.match_indices('-').nth(2).map(|(i, _)| i);
        let dot = dashes.and_then(|i| text[i..].find('.').map(|j| i + j));
        let Some(dot) = dot else {
            return Err(Error::key("no caller key follows the prefix"));
        };
        RequestKey::new(text[..dot].parse()?, &text[dot + 1..]).map(Key::Homed)
    }
}

fn check_text(text: &str, limit: usize) -> Result<()> {
    if text.is_empty() {
        return Err(Error::key("the key is empty"));
    }
    if text.len() > limit {
        return Err(Error::key(format!("{} bytes are more than {limit}", text.len())));
    }
    if !text.bytes().all(|b| b.is_ascii_graphic()) {
        return Err(Error::key("only visible ASCII characters are allowed"));
    }
    Ok(())
}
