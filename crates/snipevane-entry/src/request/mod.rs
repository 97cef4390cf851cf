//! A request on its way: key, claim, limit, share queue, backend server, answer.

mod grant;
mod head;
mod place;
mod refusal;
mod response;
mod run;
mod serve;

pub(crate) use grant::{Grant, UnitGuard};
pub(crate) use head::{Head, Identity};
pub(crate) use refusal::{Refusal, Response};
pub(crate) use response::{Reply, UpstreamResponse};
pub(crate) use run::{FORWARD_HEADER, PreparedRequest, run};
pub(crate) use serve::{Origin, serve};
