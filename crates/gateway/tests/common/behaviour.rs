//! What a backend server does with a request, and the bytes of its response.

/// `Behaviour` is a backend server's treatment of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Behaviour {
    /// Responds with 200 and the body `ok`.
    Serve,
    /// Responds after this many milliseconds.
    Delay(u64),
    /// Responds with this status.
    Status(u16),
    /// Refuses before running, with the "not run" header.
    Shed,
    /// Refuses after this many milliseconds, with the "not run" header.
    ShedAfter(u64),
    /// Refuses because the address belongs to another server.
    Misdirected,
    /// Runs the request, and closes the connection without a response.
    CloseWithoutResponse,
    /// Breaks off the response in the middle of its body.
    TruncateBody,
    /// Responds with the id of another attempt.
    ForeignId,
    /// Responds, and sends a second response after it.
    ExtraResponse,
    /// Never responds.
    NeverRespond,
    /// Begins a response of two megabytes, and breaks it off.
    TruncateLongBody,
    /// Responds after this many milliseconds with a body of [`LARGE_BODY`] bytes.
    LargeBody(u64),
    /// Responds with this status and says that the server leaves.
    Leave(u16),
    /// Refuses before running, and says that the server leaves.
    LeaveAndShed,
    /// Responds with the id of another attempt and says that the server leaves.
    LeaveForeignId,
    /// Refuses before running, and asks for a pause of this many milliseconds.
    Pause(u64),
    /// Responds with 503 without the "not run" header, and asks for a pause of this many milliseconds.
    PauseUnmarked(u64),
    /// Responds with this status, and names a limit of this many requests in 10 s.
    Limit(u16, u32),
    /// Responds with a megabyte and says that the server leaves.
    LeaveWithLongBody,
}

/// The size of the body of [`Behaviour::LargeBody`], in bytes. A gateway buffers all of it.
pub(crate) const LARGE_BODY: usize = 600_000;

impl Behaviour {
    /// Returns the bytes that the server sends for the attempt `id`.
    pub(crate) fn response(self, id: &str) -> Vec<u8> {
        match self {
            Behaviour::Serve | Behaviour::Delay(_) => success(id, "ok"),
            Behaviour::Status(status) => empty(status, id),
            Behaviour::Shed => refusal(503, "redwing-shed: 1\r\n"),
            Behaviour::ShedAfter(_) => {
                refusal(503, &format!("redwing-request-id: {id}\r\nredwing-shed: 1\r\n"))
            }
            Behaviour::Misdirected => refusal(421, ""),
            Behaviour::LargeBody(_) => success(id, &"x".repeat(LARGE_BODY)),
            Behaviour::CloseWithoutResponse | Behaviour::NeverRespond => String::new(),
            Behaviour::TruncateBody => truncated(id),
            Behaviour::TruncateLongBody => truncated_long(id),
            Behaviour::ForeignId => success("another-attempt", "not yours"),
            Behaviour::ExtraResponse => success(id, "ok") + &success(id, "not yours"),
            Behaviour::Leave(status) => leaving(status, id, ""),
            Behaviour::LeaveAndShed => leaving_refusal(id),
            Behaviour::LeaveForeignId => leaving(200, "another-attempt", ""),
            Behaviour::Limit(status, tenths) => limited(status, id, tenths),
            Behaviour::LeaveWithLongBody => leaving(200, id, &"x".repeat(1_000_000)),
            Behaviour::Pause(ms) => pausing(ms, id, "redwing-shed: 1\r\n"),
            Behaviour::PauseUnmarked(ms) => pausing(ms, id, ""),
        }
        .into_bytes()
    }

    /// Returns whether the server closes the connection after the response.
    pub(crate) fn closes(self) -> bool {
        matches!(
            self,
            Behaviour::CloseWithoutResponse | Behaviour::TruncateBody | Behaviour::TruncateLongBody
        )
    }
}

fn success(id: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nredwing-request-id: {id}\r\nredwing-signature: s\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn empty(status: u16, id: &str) -> String {
    format!(
        "HTTP/1.1 {status} X\r\nredwing-request-id: {id}\r\nredwing-signature: s\r\ncontent-length: 0\r\n\r\n"
    )
}

/// Returns a response without a signature, with these further header lines.
fn refusal(status: u16, lines: &str) -> String {
    format!("HTTP/1.1 {status} X\r\n{lines}content-length: 0\r\n\r\n")
}

/// Returns a response whose body lacks its last bytes.
fn truncated(id: &str) -> String {
    let mut response = success(id, "a body that breaks off");
    response.truncate(response.len() - 5);
    response
}

/// Returns a response that has only a twentieth of its body.
fn truncated_long(id: &str) -> String {
    let head = format!(
        "HTTP/1.1 200 OK\r\nredwing-request-id: {id}\r\nredwing-signature: s\r\ncontent-length: 2000000\r\n\r\n"
    );
    head + &"x".repeat(100_000)
}

/// Returns a response of a server that asks for a pause.
fn pausing(ms: u64, id: &str, mark: &str) -> String {
    let seconds = ms as f64 / 1_000.0;
    refusal(503, &format!("redwing-request-id: {id}\r\n{mark}retry-after: {seconds}\r\n"))
}

/// Returns a response of a server that leaves.
fn leaving(status: u16, id: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} X\r\nredwing-request-id: {id}\r\nredwing-signature: s\r\nredwing-leaving: 1\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Returns a refusal of a server that leaves.
fn leaving_refusal(id: &str) -> String {
    leaving(503, id, "").replacen("content-length", "redwing-shed: 1\r\ncontent-length", 1)
}

/// Returns a response of a server that names a limit.
fn limited(status: u16, id: &str, tenths: u32) -> String {
    let line = format!("redwing-limit: {}\r\n", f64::from(tenths) / 10.0);
    empty(status, id).replacen("content-length", &format!("{line}content-length"), 1)
}
