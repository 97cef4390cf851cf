//! A request on its way: key, claim, limit, share queue, backend server, answer.

mod answer;
mod grant;
mod head;
mod place;
mod refusal;
mod run;
mod serve;

pub(crate) use answer::{Answer, Reply};
pub(crate) use grant::{Grant, UnitGuard};
pub(crate) use head::{Head, Identity};
pub(crate) use refusal::{Refusal, Response};
pub(crate) use run::{FORWARD, Work, run};
pub(crate) use serve::{Origin, serve};
