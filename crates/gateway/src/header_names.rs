//! The names of the headers that gateways exchange with callers and backend servers.

use hyper::header::HeaderName;

/// The header names of a deployment. The default is the project's own names.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// The id of one attempt of a caller. Backend servers repeat it in their responses.
    pub attempt: HeaderName,
    /// The time that the sender will wait for a response, in milliseconds.
    pub deadline: HeaderName,
    /// The id of the intended server. A server with another id refuses the request.
    pub target: HeaderName,
    /// Marks a refusal of a request that did not run.
    pub not_run: HeaderName,
    /// The server's signature of its response. A success without it is not passed on.
    pub signature: HeaderName,
    /// Marks all responses of a server that leaves and wants no new work.
    pub leaving: HeaderName,
    /// The requests per second that the server takes from all nodes together.
    pub limit: HeaderName,
    /// The name of the caller's workspace. Only nodes set it.
    pub workspace: HeaderName,
}

impl Default for HeaderNames {
    fn default() -> Self {
        HeaderNames {
            attempt: HeaderName::from_static("redwing-request-id"),
            deadline: HeaderName::from_static("redwing-deadline-ms"),
            target: HeaderName::from_static("redwing-server"),
            not_run: HeaderName::from_static("redwing-shed"),
            signature: HeaderName::from_static("redwing-signature"),
            leaving: HeaderName::from_static("redwing-leaving"),
            limit: HeaderName::from_static("redwing-limit"),
            workspace: HeaderName::from_static("redwing-workspace"),
        }
    }
}
