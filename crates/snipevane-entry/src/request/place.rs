//! Finds a place for a request: a unit and a slot here, or a peer that has both.

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
use crate::peer::Need;
use crate::state::{GrantParts, Waiter};

/// Where a request runs.
pub(crate) enum Placement<C: Clock> {
    /// On a slot of this entry VM.
    Here(Grant<C>),
    /// At a peer.
    Peer(PeerPlacement<C>),
}

/// A peer that is to place a request.
pub(crate) struct PeerPlacement<C: Clock> {
    /// VM of the peer.
    pub(crate) vm: SmolStr,
    /// Peer listener.
    pub(crate) address: SocketAddr,
    /// Unit that is held here for the request.
    pub(crate) unit: Option<UnitGuard<C>>,
    /// Whether the request may wait at the peer until its deadline.
    pub(crate) may_wait: bool,
}

/// Waits for a place until the request has to start, the caller goes away or a peer has room.
///
/// # Errors
///
/// Returns the refusal of a request that didn't run.
pub(crate) async fn place<C: Clock>(
    node: &Arc<Node<C>>,
    request: &PreparedRequest,
    use_hints: bool,
    cancel: &CancellationToken,
) -> Result<Placement<C>, Refusal> {
    let mut hints = node.hints();
    hints.mark_unchanged();
    let mut entry = QueueEntry::enqueue(node, request)?;
    node.dispatch();
    if let Some(grant) = entry.granted() {
        return Ok(Placement::Here(grant));
    }
    loop {
        if request.may_forward
            && let Some(place) = choose_peer(node, request, use_hints)
        {
            return Ok(entry.cancel_for(place));
        }
        let remaining = request.start_by.saturating_duration_since(node.now());
        tokio::select! {
            biased;
            grant = entry.next_grant() => return grant.map(Placement::Here),
            () = cancel.cancelled() => return Err(request.refuse_cancelled()),
            () = sleep(remaining) => {
                // A grant may have come at the same moment.
                return match entry.granted() {
                    Some(grant) => Ok(Placement::Here(grant)),
                    None => Err(request.refuse_busy(node)),
                };
            }
            () = hint_changed(&mut hints) => {}
        }
    }
}

async fn hint_changed(hints: &mut watch::Receiver<u64>) {
    // The sender lives as long as the node, so an error can't occur.
    let _ = hints.changed().await;
}

/// Looks for a peer that has what is missing here.
///
/// With `use_hints` false, peers that seemed to have room had none, so hints aren't followed.
fn choose_peer<C: Clock>(
    node: &Arc<Node<C>>,
    request: &PreparedRequest,
    use_hints: bool,
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
        if !use_hints {
            return None;
        }
        let need = Need {
            service,
            team: None,
            zone: &zone,
        };
        return state
            .peers
            .choose(need)
            .map(|peer| at_peer(peer, None, false));
    };
    // With a unit here, only a slot is missing.
    if use_hints && state.limits.free(request.head.identity.team) > 0 {
        let need = Need {
            service,
            team: None,
            zone: &zone,
        };
        let peer = state.peers.choose(need)?;
        let unit = state.limits.try_acquire(request.head.identity.team)?;
        let unit = UnitGuard::new(node.clone(), unit);
        return Some(at_peer(peer, Some(unit), false));
    }
    let need = Need {
        service,
        team: Some(team),
        zone: &zone,
    };
    if use_hints && let Some(peer) = state.peers.choose(need) {
        return Some(at_peer(peer, None, false));
    }
    // No unit is dealt to this entry VM, so the request waits where one is.
    if state.limit_deals.total_allowance(team) == 0 {
        let peer = state.peers.largest_holder(&state.deal, team)?;
        return Some(at_peer(peer, None, true));
    }
    None
}

/// A place in a share queue; dropping it gives up the place, and what was granted meanwhile.
struct QueueEntry<'a, C: Clock> {
    node: &'a Arc<Node<C>>,
    request: &'a PreparedRequest,
    key: WaitKey,
    rx: oneshot::Receiver<GrantParts>,
    /// Whether the receiver gave a grant or was closed by the queue.
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
        // A receiver that has ended must not be asked again.
        let received = if self.ended {
            None
        } else {
            Some((&mut self.rx).await)
        };
        self.ended = true;
        match received {
            Some(Ok(parts)) => Ok(Grant::new(self.node.clone(), parts)),
            // The queue dropped the request, because its time ran out or its service is gone.
            Some(Err(_)) | None => Err(self.request.refuse_busy(self.node)),
        }
    }

    /// Gives up the place for a peer, unless a grant came first.
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
