//! The framing of a caller's requests: finds in the raw bytes of its connection where each request ends.
//!
//! The HTTP library hides a `Content-Length` beside a chunked body. Two parsers can see different ends of such a request,
//! and the bytes between would run as a request of their own (request smuggling). Whatever this module cannot follow
//! exactly as the library does counts as unclear.

use crate::chunks::{ChunkError, Chunks};
use httparse::{Request, Status};
use std::mem::MaybeUninit;

/// The most headers of a request, as in the HTTP library.
const MAX_HEADERS: usize = 100;

/// The methods that change nothing at a server. Only requests with these may run in another order than they were sent
/// (RFC 9112, section 9.3.2).
const SAFE_METHODS: [&str; 3] = ["GET", "HEAD", "OPTIONS"];

/// How the end of a request is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyEnd {
    /// The request ends with its head.
    NoBody,
    /// After this many bytes, at least one.
    Length(u64),
    /// After the last chunk.
    Chunked,
    /// The head has both `Content-Length` and `Transfer-Encoding`.
    Ambiguous,
    /// This module cannot tell.
    Unclear,
}

/// What the head of a request says of the bytes that follow it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HeadSummary {
    /// How the end of the request is found.
    pub(crate) end: BodyEnd,
    /// Whether the request has a safe method and no body, and leaves the connection as it is, so that it may be served
    /// at the same time as another such request.
    pub(crate) is_plain: bool,
}

impl HeadSummary {
    /// Summarises a head.
    pub(crate) fn of(head: &Request<'_, '_>) -> Self {
        let mut lengths = head.headers.iter().filter(|h| is_name(h.name, "content-length"));
        let mut encodings = head.headers.iter().filter(|h| is_name(h.name, "transfer-encoding"));
        let end = match (lengths.next(), encodings.next()) {
            (Some(_), Some(_)) => BodyEnd::Ambiguous,
            _ if head.method == Some("CONNECT") => BodyEnd::Unclear,
            (None, None) => BodyEnd::NoBody,
            (Some(length), None) if lengths.next().is_none() => end_by_length(length.value),
            (None, Some(encoding)) if encodings.next().is_none() => {
                let is_chunked = encoding.value.eq_ignore_ascii_case(b"chunked");
                if is_chunked {
                    BodyEnd::Chunked
                } else {
                    BodyEnd::Unclear
                }
            }
            _ => BodyEnd::Unclear,
        };
        let is_safe = head.method.is_some_and(|method| SAFE_METHODS.contains(&method));
        let is_plain = end == BodyEnd::NoBody
            && is_safe
            && head.version == Some(1)
            && !head.headers.iter().any(changes_connection);
        HeadSummary { end, is_plain }
    }
}

/// Returns whether a header has the expected name, in any case.
fn is_name(name: &str, expected: &str) -> bool {
    name.eq_ignore_ascii_case(expected)
}

/// Returns the end of a request with this value of `Content-Length`.
fn end_by_length(value: &[u8]) -> BodyEnd {
    let is_number = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    let length = std::str::from_utf8(value).ok().and_then(|text| text.parse().ok());
    match length.filter(|_| is_number) {
        Some(0) => BodyEnd::NoBody,
        Some(length) => BodyEnd::Length(length),
        None => BodyEnd::Unclear,
    }
}

/// Returns whether a header asks for anything beyond a response on a connection that stays open.
fn changes_connection(header: &httparse::Header<'_>) -> bool {
    let is_kept = || header.value.eq_ignore_ascii_case(b"keep-alive");
    is_name(header.name, "expect")
        || is_name(header.name, "upgrade")
        || (is_name(header.name, "connection") && !is_kept())
}

/// Parses the head at the beginning of `bytes` as the HTTP library does, and passes it and its length in bytes to `read`.
pub(crate) fn parse_head<T>(
    bytes: &[u8],
    read: impl FnOnce(&Request<'_, '_>, usize) -> T,
) -> httparse::Result<T> {
    let mut headers = [const { MaybeUninit::uninit() }; MAX_HEADERS];
    let mut head = Request::new(&mut []);
    Ok(match head.parse_with_uninit_headers(bytes, &mut headers)? {
        Status::Complete(length) => Status::Complete(read(&head, length)),
        Status::Partial => Status::Partial,
    })
}

/// The part of a request to which the next byte of a connection belongs.
#[derive(Debug)]
enum Place {
    Head,
    Length(u64),
    Chunks(Chunks),
    Unclear,
}

/// Follows the requests of one connection.
#[derive(Debug)]
pub(crate) struct RequestFraming {
    place: Place,
    /// The beginning of a head whose end has not arrived.
    partial: Vec<u8>,
    /// The newest complete head.
    latest: Option<HeadSummary>,
}

impl RequestFraming {
    /// Starts at the first byte of a connection.
    pub(crate) fn new() -> Self {
        RequestFraming { place: Place::Head, partial: Vec::new(), latest: None }
    }

    /// Returns whether the next byte is the first of a request.
    pub(crate) fn is_between_requests(&self) -> bool {
        matches!(self.place, Place::Head) && self.partial.is_empty()
    }

    /// Returns whether the next byte belongs to a head.
    pub(crate) fn is_in_head(&self) -> bool {
        matches!(self.place, Place::Head)
    }

    /// Returns whether the next byte belongs to a body.
    pub(crate) fn is_in_body(&self) -> bool {
        matches!(self.place, Place::Length(_) | Place::Chunks(_))
    }

    /// Returns the newest complete head.
    pub(crate) fn latest(&self) -> Option<HeadSummary> {
        self.latest
    }

    /// Forgets the beginning of a head, which is going to be followed again.
    pub(crate) fn restart_head(&mut self) {
        self.partial.clear();
    }

    /// Follows `bytes` up to the end of the current request, and returns how many of them belong to it.
    pub(crate) fn follow(&mut self, bytes: &[u8]) -> usize {
        let mut count = 0;
        while count < bytes.len() {
            count += self.follow_part(&bytes[count..]);
            if self.is_between_requests() {
                break;
            }
        }
        count
    }

    /// Follows `bytes` up to the end of the current part at most, and returns how many of them belong to it.
    fn follow_part(&mut self, bytes: &[u8]) -> usize {
        match &mut self.place {
            Place::Head => self.follow_head(bytes),
            Place::Length(left) => {
                let count = (*left).min(bytes.len() as u64);
                *left -= count;
                if *left == 0 {
                    self.place = Place::Head;
                }
                count as usize
            }
            Place::Chunks(chunks) => match chunks.follow(bytes) {
                Ok((count, has_ended)) => {
                    if has_ended {
                        self.place = Place::Head;
                    }
                    count
                }
                Err(ChunkError) => self.lose_track(bytes),
            },
            Place::Unclear => bytes.len(),
        }
    }

    /// Follows a head. Its bytes are copied only if it arrives in parts.
    fn follow_head(&mut self, bytes: &[u8]) -> usize {
        let known = self.partial.len();
        let may_end = bytes.contains(&b'\n');
        if known > 0 || !may_end {
            self.partial.extend_from_slice(bytes);
        }
        if !may_end {
            return bytes.len();
        }
        let head = if known > 0 { &self.partial } else { bytes };
        match parse_head(head, |head, length| (HeadSummary::of(head), length)) {
            Ok(Status::Complete((summary, length))) => {
                self.partial = Vec::new();
                self.latest = Some(summary);
                self.place = match summary.end {
                    BodyEnd::NoBody => Place::Head,
                    BodyEnd::Length(length) => Place::Length(length),
                    BodyEnd::Chunked => Place::Chunks(Chunks::default()),
                    BodyEnd::Ambiguous | BodyEnd::Unclear => Place::Unclear,
                };
                length - known
            }
            Ok(Status::Partial) => {
                if known == 0 {
                    self.partial.extend_from_slice(bytes);
                }
                bytes.len()
            }
            Err(_) => self.lose_track(bytes),
        }
    }

    /// Stops to follow the connection: all further bytes are unclear.
    fn lose_track(&mut self, bytes: &[u8]) -> usize {
        *self = RequestFraming { place: Place::Unclear, ..RequestFraming::new() };
        bytes.len()
    }
}
