//! Messages between the scheduler and the senders of its start orders.

use std::rc::Rc;

use http::StatusCode;
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use smol_str::SmolStr;
use snipevane_core::jobs::{JobId, MinionKey, OrderReply, Recipient, RunKey, StartOrder};
use snipevane_core::senders::Batch;

/// Path of [`StartsRequest`].
pub(crate) const STARTS_PATH: &str = "/orders/starts";

/// Kind of the messages with that path, for metrics.
pub(super) const STARTS_KIND: &str = "start_batch";

/// Requests that the receiver send start orders to minions.
///
/// The response has a line of JSON for each order, an [`Outcome`], in the order in which they become known.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartsRequest {
    /// Fencing token of the scheduler's term.
    pub fence: u64,
    /// Time on the receiver's monotonic clock from which no order is sent any more, in milliseconds.
    pub expires_clock_ms: u64,
    /// Payloads of the jobs, each once.
    pub payloads: Vec<String>,
    /// Orders to send.
    pub starts: Vec<Start>,
}

/// Start order in a [`StartsRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// Identifier of the minion that must answer at the address.
    pub minion: SmolStr,
    /// Network address of the minion.
    pub address: SmolStr,
    /// Identifier of the task.
    pub task: SmolStr,
    /// Attempt number.
    pub attempt: u32,
    /// Index of the payload.
    pub payload: usize,
    /// Time on the minion's clock at which the lease expires, in milliseconds.
    pub lease_end_ms: u64,
    /// Checkpoint to resume from; empty if there is none.
    #[serde(default, skip_serializing_if = "SmolStr::is_empty")]
    pub checkpoint: SmolStr,
    /// Permit of the advisor; empty if none is needed.
    #[serde(default, skip_serializing_if = "SmolStr::is_empty")]
    pub permit: SmolStr,
}

/// Outcome of one order of a [`StartsRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// Index of the order in the request.
    pub start: usize,
    /// Reply of the minion; `None` if the sender didn't try to send the order.
    pub reply: Option<OrderReply>,
    /// Whether no connection to the minion could be opened; the reply is [`OrderReply::NoAnswer`] then.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub not_sent: bool,
}

impl Outcome {
    /// Creates the outcome of an order.
    pub fn new(start: usize, reply: Option<OrderReply>) -> Self {
        let not_sent = reply == Some(OrderReply::NotSent);
        let reply = if not_sent {
            Some(OrderReply::NoAnswer)
        } else {
            reply
        };
        Self {
            start,
            reply,
            not_sent,
        }
    }

    /// Returns the reply of the minion; `None` if the sender didn't try to send the order.
    pub fn reply(&self) -> Option<OrderReply> {
        if self.not_sent {
            Some(OrderReply::NotSent)
        } else {
            self.reply
        }
    }
}

/// Reason for which a sender refuses a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchRefusal {
    /// The sender has no valid permission for the batch's fencing token, or the batch has expired.
    NotPermitted,
    /// The sender has too many orders in flight, or is stopping.
    Busy,
    /// An order is malformed.
    Invalid,
}

impl BatchRefusal {
    /// Returns the status of the response.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NotPermitted => StatusCode::CONFLICT,
            Self::Busy => StatusCode::SERVICE_UNAVAILABLE,
            Self::Invalid => StatusCode::BAD_REQUEST,
        }
    }

    /// Returns the reason that a status tells, for logs and metrics.
    pub(super) fn name_of(status: u16) -> &'static str {
        match StatusCode::from_u16(status) {
            Ok(StatusCode::CONFLICT) => "not permitted",
            Ok(StatusCode::SERVICE_UNAVAILABLE) => "busy",
            _ => "refused",
        }
    }
}

impl StartsRequest {
    /// Builds the request for a batch.
    pub fn new(batch: &Batch) -> Self {
        let mut payloads = Vec::new();
        let mut indexes: FxHashMap<JobId, usize> = FxHashMap::default();
        let starts = batch.starts.iter().map(|order| {
            let payload = *indexes.entry(order.task.step.job).or_insert_with(|| {
                payloads.push(order.payload.to_string());
                payloads.len() - 1
            });
            Start {
                minion: order.to.id.clone(),
                address: order.to.address.clone(),
                task: order.task.to_string().into(),
                attempt: order.attempt,
                payload,
                lease_end_ms: order.lease_end_ms,
                checkpoint: order.checkpoint.clone(),
                permit: order.permit.clone(),
            }
        });
        let starts = starts.collect();
        Self {
            fence: batch.starts.first().map_or(0, |order| order.to.fence),
            expires_clock_ms: batch.expires_clock_ms,
            payloads,
            starts,
        }
    }

    /// Returns the orders of the request; `None` if one is malformed.
    ///
    /// Their keys of minions and runs, which have a meaning at the scheduler only, are null.
    pub fn into_orders(self) -> Option<Vec<StartOrder>> {
        let payloads: Vec<Rc<str>> = self.payloads.into_iter().map(Rc::from).collect();
        let orders = self.starts.into_iter().map(|start| {
            Some(StartOrder {
                to: Recipient {
                    minion: MinionKey::default(),
                    id: start.minion,
                    address: start.address,
                    fence: self.fence,
                },
                run: RunKey::default(),
                task: start.task.parse().ok()?,
                attempt: start.attempt,
                payload: payloads.get(start.payload)?.clone(),
                lease_end_ms: start.lease_end_ms,
                checkpoint: start.checkpoint,
                permit: start.permit,
                transmission: 1,
            })
        });
        orders.collect()
    }
}
