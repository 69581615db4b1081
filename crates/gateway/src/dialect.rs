//! The names by which callers and backend servers speak with a gateway.

use hyper::header::HeaderName;

/// `Dialect` holds the header names of a deployment; the default is the product's own.
#[derive(Clone, Debug)]
pub struct Dialect {
    /// The id of one attempt of a caller, which backend servers repeat in their answers.
    pub attempt: HeaderName,
    /// The milliseconds that the sender will wait.
    pub deadline: HeaderName,
    /// The id of the server that is meant; another one refuses the request.
    pub target: HeaderName,
    /// The mark of a refusal before the request ran.
    pub not_run: HeaderName,
    /// The server's proof that an answer is its own. A success without it is not passed on.
    pub signature: HeaderName,
}

impl Default for Dialect {
    fn default() -> Self {
        Dialect {
            attempt: HeaderName::from_static("redwing-request-id"),
            deadline: HeaderName::from_static("redwing-deadline-ms"),
            target: HeaderName::from_static("redwing-server"),
            not_run: HeaderName::from_static("redwing-shed"),
            signature: HeaderName::from_static("redwing-signature"),
        }
    }
}
