//! The operators' token, which commands need in the header `Authorization: Bearer`.

use crate::error::{Error, Result};
use jsonrpsee::{server::HttpRequest, Extensions};
use reqwest::header::HeaderValue;
use std::{
    fmt,
    sync::Arc,
    task::{Context, Poll},
};
use tower::{Layer, Service};

/// The environment variable that holds the token.
const TOKEN_VARIABLE: &str = "REDWING_TOKEN";

/// The secret that operators' commands must carry, if one is set.
#[derive(Clone)]
pub struct Token(Option<Arc<[u8]>>);

/// Keeps the secret out of logs.
impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(if self.0.is_some() { "Token(set)" } else { "Token(none)" })
    }
}

impl Token {
    /// Creates a token. `None` allows every command.
    pub fn new(secret: Option<Vec<u8>>) -> Self {
        Token(secret.map(Arc::from))
    }

    /// Reads the token from the environment.
    ///
    /// An empty value is an error: it is most likely a mistake in a start script, and would allow commands
    /// to everybody.
    pub fn from_env() -> Result<Self> {
        let secret = std::env::var_os(TOKEN_VARIABLE).map(std::ffi::OsString::into_encoded_bytes);
        match secret {
            Some(secret) if secret.is_empty() => {
                Err(Error::start("rpc", format!("{TOKEN_VARIABLE} is set but empty")))
            }
            secret => Ok(Token::new(secret)),
        }
    }

    /// Returns whether the value of an `Authorization` header contains the token.
    ///
    /// The time of the comparison depends only on the lengths.
    pub fn admits(&self, header: Option<&[u8]>) -> bool {
        let Some(secret) = &self.0 else { return true };
        let Some(given) = header.and_then(|h| h.strip_prefix(b"Bearer ")) else { return false };
        if given.len() != secret.len() {
            return false;
        }
        let differing = given.iter().zip(secret.iter()).fold(0, |sum, (a, b)| sum | (a ^ b));
        std::hint::black_box(differing) == 0
    }
}

/// Whether a request carries the token. It is stored in the request's extensions for the methods.
#[derive(Clone, Copy, Debug)]
struct HasToken(bool);

/// Returns whether a call may change something.
pub(super) fn is_allowed(extensions: &Extensions) -> bool {
    extensions.get::<HasToken>().is_some_and(|has_token| has_token.0)
}

/// The layer that checks for each HTTP request whether it carries the token.
#[derive(Clone, Debug)]
pub struct TokenLayer {
    token: Token,
}

impl TokenLayer {
    /// Creates the layer for a token.
    pub fn new(token: Token) -> Self {
        TokenLayer { token }
    }
}

impl<S> Layer<S> for TokenLayer {
    type Service = TokenService<S>;

    fn layer(&self, inner: S) -> TokenService<S> {
        TokenService { token: self.token.clone(), inner }
    }
}

/// The HTTP service that [`TokenLayer`] wraps around another one.
#[derive(Clone, Debug)]
pub struct TokenService<S> {
    token: Token,
    inner: S,
}

impl<S, B> Service<HttpRequest<B>> for TokenService<S>
where
    S: Service<HttpRequest<B>>,
{
    type Response = S::Response;
    type Error = S::Error;
    type Future = S::Future;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), S::Error>> {
        self.inner.poll_ready(context)
    }

    fn call(&mut self, mut request: HttpRequest<B>) -> S::Future {
        let header = request.headers().get("authorization").map(HeaderValue::as_bytes);
        let has_token = HasToken(self.token.admits(header));
        request.extensions_mut().insert(has_token);
        self.inner.call(request)
    }
}
