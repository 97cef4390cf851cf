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

use super::{Grant, Refusal, UnitGuard, Work};
use crate::node::Node;
use crate::peer::RequestNeeds;
use crate::state::{GrantParts, Waiter};

/// Where a request runs.
pub(crate) enum Placement<C: Clock> {
    /// On a slot of this entry VM.
    Here(Grant<C>),
    /// At a peer.
    Peer(PeerPlace<C>),
}

/// A peer that is to place a request.
pub(crate) struct PeerPlace<C: Clock> {
    /// VM of the peer.
    pub(crate) vm: SmolStr,
    /// Peer listener.
    pub(crate) address: SocketAddr,
    /// Unit that is held here for the request.
    pub(crate) unit: Option<UnitGuard<C>>,
    /// Whether the request may wait at the peer until its deadline.
    pub(crate) waits: bool,
}

/// Waits for a place until the request has to start, the caller goes away or a peer has room.
///
/// # Errors
///
/// Returns the refusal of a request that didn't run.
pub(crate) async fn place<C: Clock>(
    node: &Arc<Node<C>>,
    work: &Work,
    may_choose: bool,
    cancel: &CancellationToken,
) -> Result<Placement<C>, Refusal> {
    let mut hints = node.subscribe_peer_capacity();
    hints.mark_unchanged();
    let mut wait = Wait::begin(node, work)?;
    node.dispatch();
    if let Some(grant) = wait.granted() {
        return Ok(Placement::Here(grant));
    }
    loop {
        if work.may_forward
            && let Some(place) = peer_place(node, work, may_choose)
        {
            return Ok(wait.leave_for(place));
        }
        let remaining = work.start_by.saturating_duration_since(node.now());
        tokio::select! {
            biased;
            grant = wait.next_grant() => return grant.map(Placement::Here),
            () = cancel.cancelled() => return Err(work.refuse_cancelled()),
            () = sleep(remaining) => {
                // A grant may have come at the same moment.
                return match wait.granted() {
                    Some(grant) => Ok(Placement::Here(grant)),
                    None => Err(work.refuse_busy(node)),
                };
            }
            () = changed(&mut hints) => {}
        }
    }
}

async fn changed(hints: &mut watch::Receiver<u64>) {
    // The sender lives as long as the node, so an error can't occur.
    let _ = hints.changed().await;
}

/// Looks for a peer that has what is missing here.
///
/// With `may_choose` false, peers that seemed to have room had none, so hints aren't followed.
fn peer_place<C: Clock>(
    node: &Arc<Node<C>>,
    work: &Work,
    may_choose: bool,
) -> Option<PeerPlace<C>> {
    let mut guard = node.state();
    let state = &mut *guard;
    let team = (work.needs_unit()).then_some(work.head.identity.name.as_str());
    let service = work.head.service_name.as_str();
    let zone = state.zone.clone();
    let at_peer = |(vm, address), unit, waits| PeerPlace {
        vm,
        address,
        unit,
        waits,
    };
    let Some(team) = team else {
        if !may_choose {
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
    // With a unit here, only a slot is missing.
    if may_choose && state.limits.free(work.head.identity.team) > 0 {
        let need = RequestNeeds {
            service,
            team: None,
            zone: &zone,
        };
        let peer = state.peers.pick(need)?;
        let unit = state.limits.try_acquire(work.head.identity.team)?;
        let unit = UnitGuard::new(node.clone(), unit);
        return Some(at_peer(peer, Some(unit), false));
    }
    let need = RequestNeeds {
        service,
        team: Some(team),
        zone: &zone,
    };
    if may_choose && let Some(peer) = state.peers.pick(need) {
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
struct Wait<'a, C: Clock> {
    node: &'a Arc<Node<C>>,
    work: &'a Work,
    key: WaitKey,
    rx: oneshot::Receiver<GrantParts>,
    /// Whether the receiver gave a grant or was closed by the queue.
    ended: bool,
}

impl<'a, C: Clock> Wait<'a, C> {
    fn begin(node: &'a Arc<Node<C>>, work: &'a Work) -> Result<Self, Refusal> {
        let (tx, rx) = oneshot::channel();
        let now = node.now();
        let mut state = node.state();
        let Some(queue) = state.waiting.get_mut(work.head.service) else {
            return Err(Refusal::busy(
                "the service is gone",
                std::time::Duration::from_secs(1),
            ));
        };
        let waiting = WaitingRequest {
            team: work.head.identity.team,
            urgency: work.urgency,
            start_by: work.start_by,
            item: Waiter {
                needs_unit: work.needs_unit(),
                tx,
            },
        };
        match queue.push(waiting, now) {
            Ok(key) => Ok(Self {
                node,
                work,
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
            Some(Err(_)) | None => Err(self.work.refuse_busy(self.node)),
        }
    }

    /// Gives up the place for a peer, unless a grant came first.
    fn leave_for(mut self, place: PeerPlace<C>) -> Placement<C> {
        self.cancel();
        match self.granted() {
            Some(grant) => Placement::Here(grant),
            None => Placement::Peer(place),
        }
    }

    fn cancel(&mut self) {
        let mut state = self.node.state();
        if let Some(queue) = state.waiting.get_mut(self.work.head.service) {
            queue.cancel(self.key);
        }
    }
}

impl<C: Clock> Drop for Wait<'_, C> {
    fn drop(&mut self) {
        self.cancel();
        self.rx.close();
        drop(self.granted());
    }
}
