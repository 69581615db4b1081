//! Callers' keys: finds the workspace of a request, and replaces the key by the workspace's name.
//!
//! Backend servers must never see a key, and trust the workspace that a node names
//! ([docs/design/keys.md](../../../docs/design/keys.md)).

use crate::{header_names::HeaderNames, shared::Shared};
use hyper::header::{HeaderMap, HeaderName, HeaderValue, AUTHORIZATION};
use redwingtrestle_core::{
    codes::ResultCode,
    time::Timestamp,
    version::routing_config::{HostRoute, RoutingConfig, Workspace},
};
use std::sync::Arc;

/// The authentication scheme of keys.
const SCHEME: &str = "bearer";

/// A caller's key and the workspace that it belongs to.
#[derive(Clone, Debug)]
pub struct Credentials {
    key: Arc<str>,
    /// The workspace that held the key when the request arrived.
    pub workspace: Arc<Workspace>,
}

impl Credentials {
    /// Returns whether the key still belongs to the workspace.
    pub fn hold(&self, routing_config: &RoutingConfig) -> bool {
        let owner = routing_config.workspace(&self.key);
        owner.is_some_and(|workspace| workspace.name == self.workspace.name)
    }
}

/// Finds the workspace of a request. Returns `None` if the deployment has no workspaces or the route is anonymous.
///
/// # Errors
///
/// [`ResultCode::UnknownKey`] if the key is missing or unknown, and [`ResultCode::NotReady`] if this node cannot know
/// whether it is.
pub fn authenticate(
    shared: &Shared,
    now: Timestamp,
    routing_config: &RoutingConfig,
    route: &HostRoute,
    headers: &HeaderMap,
) -> Result<Option<Credentials>, ResultCode> {
    if !routing_config.has_workspaces() || route.anonymous {
        return Ok(None);
    }
    let known = key(headers).and_then(|key| Some((key, routing_config.workspace(key)?.clone())));
    let Some((key, workspace)) = known else {
        return Err(if shared.has_outdated_config(now) {
            ResultCode::NotReady
        } else {
            ResultCode::UnknownKey
        });
    };
    if shared.settings.revocation.is_some_and(|most| shared.fleet().store_contacts.age(now) > most)
    {
        return Err(ResultCode::NotReady);
    }
    Ok(Some(Credentials { key: key.into(), workspace }))
}

/// Returns the key of a request. Of several, none is taken: which of them counts would be ambiguous.
fn key(headers: &HeaderMap) -> Option<&str> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let value = values.next()?.to_str().ok()?;
    if values.next().is_some() {
        return None;
    }
    let (scheme, key) = value.trim().split_once(' ')?;
    scheme.eq_ignore_ascii_case(SCHEME).then(|| key.trim_start())
}

/// Removes the key and what the caller says of its workspace, and names the workspace instead.
pub fn replace_key(
    headers: &mut HeaderMap,
    names: &HeaderNames,
    credentials: Option<&Credentials>,
) {
    headers.remove(AUTHORIZATION);
    let forged: Vec<HeaderName> =
        headers.keys().filter(|name| is_same_name(name, &names.workspace)).cloned().collect();
    for name in forged {
        headers.remove(name);
    }
    let Some(credentials) = credentials else { return };
    match HeaderValue::from_str(credentials.workspace.name.as_str()) {
        Ok(name) => {
            headers.insert(names.workspace.clone(), name);
        }
        Err(e) => {
            log::error!(target: "requests", workspace = credentials.workspace.name.as_str();
                "the name of a workspace is no valid header value, sending without it: {e}");
        }
    }
}

/// Returns whether a server may read both names as the same. Many do not tell hyphens from underscores.
fn is_same_name(name: &HeaderName, other: &HeaderName) -> bool {
    let plain = |name: &HeaderName| name.as_str().replace('_', "-");
    plain(name) == plain(other)
}
