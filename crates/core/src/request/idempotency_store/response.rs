//! The responses that the idempotency store keeps.

/// A response with more bytes of header names and values than this is kept without headers and body.
pub const MAX_HEADER_BYTES: usize = 16 * 1024;

/// A backend server's response, kept for callers that repeat the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredResponse {
    /// The HTTP status.
    pub status: u16,
    /// The header names and values.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The body, or `None` if the response was too large to keep. A repeated request then gets
    /// [`ResultCode::AnswerNotKept`](crate::codes::ResultCode::AnswerNotKept).
    pub body: Option<Vec<u8>>,
}

impl StoredResponse {
    fn header_bytes(&self) -> usize {
        self.headers.iter().map(|(name, value)| name.len() + value.len()).sum()
    }

    /// Returns the size of headers and body in bytes.
    pub(crate) fn bytes(&self) -> usize {
        self.header_bytes() + self.body.as_ref().map_or(0, Vec::len)
    }

    /// Drops headers and body if the response is too large to keep.
    pub(super) fn trimmed(self, body_limit: usize, bytes_left: usize) -> Self {
        let body = self.body.as_ref().map_or(0, Vec::len);
        let is_small = body <= body_limit
            && self.header_bytes() <= MAX_HEADER_BYTES
            && self.bytes() <= bytes_left;
        if is_small {
            return self;
        }
        // The headers are useless without the body, so only the status is kept.
        StoredResponse { status: self.status, headers: vec![], body: None }
    }
}
