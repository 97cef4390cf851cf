//! Request path: authentication, claim, team limit, fair queue, backend server and response.

mod grant;
mod head;
mod place;
mod refusal;
mod response;
mod run;
mod serve;

pub(crate) use grant::{Grant, UnitGuard};
pub(crate) use head::{Head, Identity};
pub(crate) use refusal::{Refusal, Response, body_refusal};
pub(crate) use response::{Reply, UpstreamResponse};
pub(crate) use run::{FORWARD_HEADER, PreparedRequest, run};
pub(crate) use serve::{Origin, serve};
