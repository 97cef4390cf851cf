//! Places a request: acquires a unit and a slot here, or chooses a peer that has what is missing.

use std::net::SocketAddr;
use std::sync::Arc;

use smol_str::SmolStr;
use snipevane_core::clock::Clock;
use snipevane_core::shares::{WaitKey, WaitingRequest};
use tokio::sync::oneshot::error::TryRecvError;
use tokio::sync::{oneshot, watch};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::{Grant, PreparedRequest, Refusal, UnitGuard};
use crate::node::Node;
use crate::peer::RequestNeeds;
use crate::state::{GrantParts, Waiter};

/// Place where a request runs.
pub(crate) enum Placement<C: Clock> {
    /// On a slot of this entry VM.
    Here(Grant<C>),
    /// At a peer, which places the request itself.
    Peer(PeerPlacement<C>),
}

/// Peer to which a request is forwarded to be placed there.
pub(crate) struct PeerPlacement<C: Clock> {
    /// VM of the peer.
    pub(crate) vm: SmolStr,
    /// Address of the peer's listener for peers.
    pub(crate) address: SocketAddr,
    /// Unit that this entry VM holds for the request, if any.
    pub(crate) unit: Option<UnitGuard<C>>,
    /// Whether the request may wait at the peer until its latest start time.
    pub(crate) may_wait: bool,
}

/// Waits for a unit and a slot here, or for a peer with room.
///
/// Gives up at the request's latest start time, or when the request is cancelled.
///
/// # Errors
///
/// Returns the refusal of a request that didn't run.
pub(crate) async fn place<C: Clock>(
    node: &Arc<Node<C>>,
    request: &PreparedRequest,
    use_peer_capacity: bool,
    cancel: &CancellationToken,
) -> Result<Placement<C>, Refusal> {
    let mut peer_capacity = node.subscribe_peer_capacity();
    peer_capacity.mark_unchanged();
    let mut entry = QueueEntry::enqueue(node, request)?;
    node.dispatch();
    if let Some(grant) = entry.granted() {
        return Ok(Placement::Here(grant));
    }
    loop {
        if request.may_forward
            && let Some(place) = choose_peer(node, request, use_peer_capacity)
        {
            return Ok(entry.cancel_for(place));
        }
        let remaining = request.start_by.saturating_duration_since(node.now());
        tokio::select! {
            biased;
            grant = entry.next_grant() => return grant.map(Placement::Here),
            () = cancel.cancelled() => return Err(request.refuse_cancelled()),
            () = sleep(remaining) => {
                // A grant may have arrived at the same moment.
                return match entry.granted() {
                    Some(grant) => Ok(Placement::Here(grant)),
                    None => Err(request.refuse_busy(node)),
                };
            }
            () = peer_capacity_changed(&mut peer_capacity) => {}
        }
    }
}

async fn peer_capacity_changed(peer_capacity: &mut watch::Receiver<u64>) {
    // The sender lives as long as the node, so this can't fail.
    let _ = peer_capacity.changed().await;
}

/// Chooses a peer that has what is missing here.
///
/// `use_peer_capacity` is false once the request was forwarded too often to peers that turned out
/// to have no room; the free units and slots that peers report in heartbeats are then ignored.
fn choose_peer<C: Clock>(
    node: &Arc<Node<C>>,
    request: &PreparedRequest,
    use_peer_capacity: bool,
) -> Option<PeerPlacement<C>> {
    let mut guard = node.state();
    let state = &mut *guard;
    let team = (request.needs_unit()).then_some(request.head.identity.name.as_str());
    let service = request.head.service_name.as_str();
    let zone = state.zone.clone();
    let at_peer = |(vm, address), unit, may_wait| PeerPlacement {
        vm,
        address,
        unit,
        may_wait,
    };
    let Some(team) = team else {
        if !use_peer_capacity {
            return None;
        }
        let need = RequestNeeds {
            service,
            team: None,
            zone: &zone,
        };
        return state
            .peers
            .pick(need)
            .map(|peer| at_peer(peer, None, false));
    };
    // If a unit is free here, only a slot is missing.
    if use_peer_capacity && state.limits.free(request.head.identity.team) > 0 {
        let need = RequestNeeds {
            service,
            team: None,
            zone: &zone,
        };
        let peer = state.peers.pick(need)?;
        let unit = state.limits.try_acquire(request.head.identity.team)?;
        let unit = UnitGuard::new(node.clone(), unit);
        return Some(at_peer(peer, Some(unit), false));
    }
    let need = RequestNeeds {
        service,
        team: Some(team),
        zone: &zone,
    };
    if use_peer_capacity && let Some(peer) = state.peers.pick(need) {
        return Some(at_peer(peer, None, false));
    }
    // No unit is allocated to this entry VM, so the request waits at a peer that has some.
    if state.limit_rollout.total_allowance(team) == 0 {
        let peer = state.peers.largest_holder(&state.limit_allocation, team)?;
        return Some(at_peer(peer, None, true));
    }
    None
}

/// Entry of a request in a fair queue.
///
/// Dropping it cancels the entry and releases a grant that arrived in the meantime.
struct QueueEntry<'a, C: Clock> {
    node: &'a Arc<Node<C>>,
    request: &'a PreparedRequest,
    key: WaitKey,
    rx: oneshot::Receiver<GrantParts>,
    /// Whether the receiver has returned a grant or was closed by the queue.
    ended: bool,
}

impl<'a, C: Clock> QueueEntry<'a, C> {
    fn enqueue(node: &'a Arc<Node<C>>, request: &'a PreparedRequest) -> Result<Self, Refusal> {
        let (tx, rx) = oneshot::channel();
        let now = node.now();
        let mut state = node.state();
        let Some(queue) = state.waiting.get_mut(request.head.service) else {
            return Err(Refusal::busy(
                "the service is gone",
                std::time::Duration::from_secs(1),
            ));
        };
        let waiting = WaitingRequest {
            team: request.head.identity.team,
            urgency: request.urgency,
            start_by: request.start_by,
            item: Waiter {
                needs_unit: request.needs_unit(),
                tx,
            },
        };
        match queue.push(waiting, now) {
            Ok(key) => Ok(Self {
                node,
                request,
                key,
                rx,
                ended: false,
            }),
            Err(full) => Err(Refusal::busy("too many requests wait", full.retry_after)),
        }
    }

    fn granted(&mut self) -> Option<Grant<C>> {
        if self.ended {
            return None;
        }
        match self.rx.try_recv() {
            Ok(parts) => {
                self.ended = true;
                Some(Grant::new(self.node.clone(), parts))
            }
            Err(TryRecvError::Empty) => None,
            Err(TryRecvError::Closed) => {
                self.ended = true;
                None
            }
        }
    }

    async fn next_grant(&mut self) -> Result<Grant<C>, Refusal> {
        // A oneshot receiver panics if it is polled again after it has completed.
        let received = if self.ended {
            None
        } else {
            Some((&mut self.rx).await)
        };
        self.ended = true;
        match received {
            Some(Ok(parts)) => Ok(Grant::new(self.node.clone(), parts)),
            // The queue dropped the request because its start time passed or its service was
            // removed.
            Some(Err(_)) | None => Err(self.request.refuse_busy(self.node)),
        }
    }

    /// Cancels the entry in favour of a peer, unless a grant arrived first.
    fn cancel_for(mut self, place: PeerPlacement<C>) -> Placement<C> {
        self.cancel();
        match self.granted() {
            Some(grant) => Placement::Here(grant),
            None => Placement::Peer(place),
        }
    }

    fn cancel(&mut self) {
        let mut state = self.node.state();
        if let Some(queue) = state.waiting.get_mut(self.request.head.service) {
            queue.cancel(self.key);
        }
    }
}

impl<C: Clock> Drop for QueueEntry<'_, C> {
    fn drop(&mut self) {
        self.cancel();
        self.rx.close();
        drop(self.granted());
    }
}
