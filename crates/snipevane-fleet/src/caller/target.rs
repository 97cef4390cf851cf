//! Destination of a caller's request: the queue of its path, and the team of its key.

use http::Request;
use http::header::HOST;
use hyper::body::Incoming;
use smol_str::SmolStr;
use snipevane_adapter::callers::API_KEY_HEADER;
use snipevane_core::jobs::{Queue, Site};

use crate::clock::Clock;
use crate::node::Node;

/// Destination of a request.
pub(super) struct Target {
    /// Queue of the path.
    pub(super) queue: Queue,
    /// Team whose key the request carries.
    pub(super) team: Option<SmolStr>,
    /// Path after the queue's prefix; empty for the queue itself, otherwise a job's identifier.
    pub(super) path_suffix: String,
    /// Maximum size of a body, in bytes.
    pub(super) max_body_bytes: usize,
}

impl Target {
    /// Finds the queue and the team of a request.
    ///
    /// While the configuration is unconfirmed, every request is told to retry: a newer version may have
    /// withdrawn its key, or removed or added its queue.
    pub(super) fn resolve<C: Clock>(
        node: &Node<C>,
        request: &Request<Incoming>,
    ) -> Result<Self, Rejection> {
        let view = node.site_view.borrow();
        if !view.is_confirmed(node.clock.now(), &node.settings.bounds) {
            return Err(Rejection::ConfigUnconfirmed);
        }
        let site = view.site.clone().ok_or(Rejection::ConfigUnconfirmed)?;
        drop(view);
        let path = request.uri().path();
        let queue = site.route(host(request), path);
        let queue = queue.ok_or(Rejection::UnknownQueue)?;
        let team = authenticate(&site, queue, request)?;
        Ok(Self {
            path_suffix: path[queue.path_prefix.len()..].to_owned(),
            queue: queue.clone(),
            team,
            max_body_bytes: site.max_body_bytes(),
        })
    }
}

/// Reason why a request is rejected before it reaches its queue.
#[derive(Clone, Copy)]
pub(super) enum Rejection {
    /// There is no configuration, or it may be outdated.
    ConfigUnconfirmed,
    /// No queue matches the host and path.
    UnknownQueue,
    /// The request has no key, or one that belongs to no team.
    UnknownKey,
}

/// Returns the host name of a request, without the port.
fn host(request: &Request<Incoming>) -> &str {
    let header = request
        .headers()
        .get(HOST)
        .and_then(|host| host.to_str().ok());
    let host = header.or_else(|| request.uri().host()).unwrap_or_default();
    host.split(':').next().unwrap_or_default()
}

/// Returns the team whose key the request carries; none if the queue is open and the request has
/// no known key.
fn authenticate(
    site: &Site,
    queue: &Queue,
    request: &Request<Incoming>,
) -> Result<Option<SmolStr>, Rejection> {
    let key = request
        .headers()
        .get(API_KEY_HEADER)
        .and_then(|key| key.to_str().ok());
    let team = key.and_then(|key| site.team_of_key(key));
    if team.is_none() && !queue.open {
        return Err(Rejection::UnknownKey);
    }
    Ok(team.map(|team| team.name.clone()))
}
