//! Serves the other entry VMs: as scheduler, and as a way to the store.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use snipevane_adapter::{Method, Request};
use tokio::net::TcpListener;

use crate::caller::JobWriter;
use crate::client::CallError;
use crate::clock::Clock;
use crate::node::Node;
use crate::rows;

use super::messages::{
    ACCEPT, Heartbeat, NOT_SCHEDULING, STATE, StateAnswer, StateQuestion, Submission, WATCH, Watch,
};

/// Longest time that a call that is passed on takes: a question for changes and its answer.
const CALL_LIMIT: Duration = Duration::from_millis(7_000);

/// Largest call that is passed on, in bytes.
const MAX_CALL_BYTES: usize = 2 << 20;

/// Longest time until a watch is answered without news.
const WATCH_WAIT: Duration = Duration::from_millis(250);

type Reply = Response<Full<Bytes>>;

/// Serves the other entry VMs until the process ends.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn serve<C: Clock>(
    node: Rc<Node<C>>,
    job_writer: Rc<JobWriter<C>>,
) -> std::io::Result<()> {
    let listener = TcpListener::bind(super::own_address(&node)).await?;
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            continue;
        };
        let node = node.clone();
        let job_writer = job_writer.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request| {
                let node = node.clone();
                let job_writer = job_writer.clone();
                async move { Ok::<_, Infallible>(handle(&node, &job_writer, request).await) }
            });
            let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = served.await {
                log::debug!("a connection of another entry VM ended: {error}");
            }
        });
    }
}

async fn handle<C: Clock>(
    node: &Node<C>,
    job_writer: &Rc<JobWriter<C>>,
    request: http::Request<Incoming>,
) -> Reply {
    let method = match *request.method() {
        http::Method::GET => Method::Get,
        _ => Method::Post,
    };
    let path = request
        .uri()
        .path_and_query()
        .map_or_else(String::new, ToString::to_string);
    let body = Limited::new(request.into_body(), MAX_CALL_BYTES);
    let Ok(body) = body.collect().await else {
        return answer(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    };
    let body = body.to_bytes();
    match path.as_str() {
        WATCH => match rows::decode::<Watch>(WATCH, &body) {
            Some(watch) => to_reply(heartbeat(node, watch).await),
            None => unreadable(),
        },
        ACCEPT => match rows::decode::<Submission>(ACCEPT, &body) {
            Some(submission) => accept(node, job_writer, submission).await,
            None => unreadable(),
        },
        STATE => match rows::decode::<StateQuestion>(STATE, &body) {
            Some(question) => state(node, question),
            None => unreadable(),
        },
        _ => pass_on(node, method, path, &body).await,
    }
}

/// Waits for a newer version of this process's row; none if it doesn't schedule.
async fn heartbeat<C: Clock>(node: &Node<C>, watch: Watch) -> Option<Heartbeat> {
    let lead = node.leader()?;
    let written = lead.written_after(watch.known);
    // Without news the present version is told again.
    let _ = tokio::time::timeout(WATCH_WAIT, written).await;
    node.leader()?;
    let view = node.scheduler.borrow();
    let row = view.row.as_ref()?;
    let site = node.site.borrow();
    let age = site.confirmation_age(node.clock.now());
    Some(Heartbeat {
        version: view.version(),
        waiting: row.waiting.clone(),
        config_version: site.version(),
        config_age_ms: age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
    })
}

async fn accept<C: Clock>(
    node: &Node<C>,
    job_writer: &Rc<JobWriter<C>>,
    submission: Submission,
) -> Reply {
    if node.leader().is_none() {
        return answer(NOT_SCHEDULING, Bytes::new());
    }
    let outcome = job_writer
        .accept_locally(submission.id, &submission.spec)
        .await;
    to_reply(Some(outcome))
}

fn state<C: Clock>(node: &Node<C>, question: StateQuestion) -> Reply {
    let state = node.leader().map(|lead| StateAnswer {
        state: lead.shown_state(question.id),
    });
    to_reply(state)
}

/// Answers a message that can't be read.
fn unreadable() -> Reply {
    answer(StatusCode::BAD_REQUEST, Bytes::new())
}

fn to_reply<T: Serialize>(message: Option<T>) -> Reply {
    match message {
        Some(message) => answer(StatusCode::OK, Bytes::from(rows::encode(&message))),
        None => answer(NOT_SCHEDULING, Bytes::new()),
    }
}

/// Passes a call on to the store.
async fn pass_on<C: Clock>(node: &Node<C>, method: Method, path: String, body: &Bytes) -> Reply {
    if !node.store.is_straight() {
        return answer(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    }
    let call = Request {
        method,
        path,
        headers: Vec::new(),
        body: body.to_vec(),
    };
    match node.store.pass_on(call, CALL_LIMIT).await {
        Ok(reply) => {
            let status = StatusCode::from_u16(reply.status);
            answer(status.unwrap_or(StatusCode::BAD_GATEWAY), reply.body)
        }
        Err(CallError::NotSent) => answer(StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
        Err(CallError::NoAnswer) => answer(StatusCode::GATEWAY_TIMEOUT, Bytes::new()),
    }
}

fn answer(status: StatusCode, body: Bytes) -> Reply {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}
