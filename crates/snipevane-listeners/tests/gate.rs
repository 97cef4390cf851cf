//! Room at a gate: who has waited longest without an end makes it.

#![allow(clippy::expect_used, reason = "a failed step of a test ends it")]

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::Ipv4Addr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Body as HttpBody, Frame, SizeHint};
use snipevane_listeners::{BodyError, Connection, Gate, Incident, Limits, Observer};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

const MAX_HEAD_BYTES: usize = 16 << 10;
const MAX_BODY_BYTES: usize = 1_000;

#[derive(Clone, Default)]
struct Incidents(Rc<RefCell<Vec<&'static str>>>);

impl Observer for Incidents {
    fn record(&self, _: &'static str, incident: &Incident) {
        self.0.borrow_mut().push(incident.name());
    }
}

/// Body whose parts arrive at once, and whose end never does if `ends` is false.
struct Parts {
    parts: VecDeque<Bytes>,
    declared: Option<u64>,
    ends: bool,
}

impl Parts {
    fn new(bytes: usize, part_bytes: usize, ends: bool) -> Self {
        let parts = vec![0; bytes];
        let parts = parts.chunks(part_bytes).map(Bytes::copy_from_slice);
        Self {
            parts: parts.collect(),
            declared: None,
            ends,
        }
    }

    fn declaring(self, bytes: usize) -> Self {
        let declared = Some(bytes as u64);
        Self { declared, ..self }
    }
}

impl HttpBody for Parts {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        match self.parts.pop_front() {
            Some(part) => Poll::Ready(Some(Ok(Frame::data(part)))),
            None if self.ends => Poll::Ready(None),
            None => Poll::Pending,
        }
    }

    fn size_hint(&self) -> SizeHint {
        self.declared
            .map_or_else(SizeHint::default, SizeHint::with_exact)
    }
}

struct Door {
    gate: Arc<Gate<Incidents>>,
    listener: TcpListener,
    incidents: Incidents,
    clients: Vec<TcpStream>,
}

impl Door {
    fn new(max_connections: usize) -> Self {
        let incidents = Incidents::default();
        let limits = Limits {
            max_connections,
            body_bytes: 2 * MAX_BODY_BYTES,
            body_time: Duration::from_secs(1),
            ..Limits::default()
        };
        let gate = Gate::new("door", limits, incidents.clone());
        let listener = gate.bind((Ipv4Addr::LOCALHOST, 0).into());
        Self {
            gate,
            listener: listener.expect("a free port"),
            incidents,
            clients: Vec::new(),
        }
    }

    async fn enter(&mut self) -> Arc<Connection<Incidents>> {
        let address = self.listener.local_addr().expect("an address");
        self.clients
            .push(TcpStream::connect(address).await.expect("a connection"));
        self.gate.accept(&self.listener, || MAX_HEAD_BYTES).await.1
    }

    fn incidents(&self) -> Vec<&'static str> {
        self.incidents.0.borrow().clone()
    }
}

async fn is_closed(connection: &Connection<Incidents>) -> bool {
    timeout(Duration::ZERO, connection.closed()).await.is_ok()
}

/// Reads a body until it takes no more parts; returns the error, if there is one by then.
async fn begin_body(
    connection: &Arc<Connection<Incidents>>,
    body: Parts,
) -> (
    tokio::task::JoinHandle<Option<BodyError>>,
    Arc<Connection<Incidents>>,
) {
    connection.on_request();
    let reader = connection.clone();
    let read = tokio::task::spawn_local(async move {
        let read = reader.read_body(body, MAX_BODY_BYTES);
        tokio::select! {
            biased;
            () = reader.closed() => None,
            read = read => read.err(),
        }
    });
    tokio::task::yield_now().await;
    (read, connection.clone())
}

async fn local(test: impl Future<Output = ()>) {
    tokio::task::LocalSet::new().run_until(test).await;
}

#[tokio::test]
async fn a_full_gate_closes_the_connection_that_has_waited_longest() {
    let mut door = Door::new(2);
    let (first, second) = (door.enter().await, door.enter().await);
    // The first one's answer is newer than the second one's arrival.
    first.on_request();
    first.on_response();
    let _third = door.enter().await;
    assert!(!is_closed(&first).await);
    assert!(is_closed(&second).await);
    assert_eq!(door.incidents(), ["connection_displaced"]);
}

#[tokio::test]
async fn a_connection_whose_request_is_handled_stays() {
    let mut door = Door::new(2);
    let (first, second) = (door.enter().await, door.enter().await);
    first.on_request();
    let third = door.enter().await;
    assert!(!is_closed(&first).await);
    assert!(is_closed(&second).await);
    third.on_request();
    // The one after it finds no room, and the next one does, as a place is free by then.
    let address = door.listener.local_addr().expect("an address");
    let refused = TcpStream::connect(address).await.expect("a connection");
    let waits = timeout(Duration::from_millis(100), door.enter()).await;
    assert!(waits.is_err());
    drop((first, refused));
    let _fourth = door.enter().await;
    assert!(!is_closed(&third).await);
    assert!(door.incidents().contains(&"connection_refused"));
}

#[tokio::test]
async fn bodies_without_an_end_make_room_for_a_new_one() {
    local(async {
        let mut door = Door::new(8);
        let mut waiting = Vec::new();
        for _ in 0..2 {
            let connection = door.enter().await;
            let body = Parts::new(MAX_BODY_BYTES - 1, 10, false).declaring(MAX_BODY_BYTES);
            waiting.push(begin_body(&connection, body).await);
        }
        let last = door.enter().await;
        last.on_request();
        let body = last
            .read_body(Parts::new(500, 1, true), MAX_BODY_BYTES)
            .await;
        assert_eq!(body.expect("a body").len(), 500);
        let (second, first) = (waiting.pop().expect("two"), waiting.pop().expect("two"));
        assert_eq!(first.0.await.expect("its end"), None, "closed");
        assert_eq!(second.0.await.expect("its end"), Some(BodyError::Late));
        assert_eq!(door.incidents(), ["body_displaced", "body_late"]);
    })
    .await;
}

#[tokio::test]
async fn the_body_that_has_waited_longest_is_refused_if_it_needs_more() {
    local(async {
        let mut door = Door::new(8);
        let oldest = door.enter().await;
        let (sender, receiver) = tokio::sync::oneshot::channel::<()>();
        oldest.on_request();
        let reader = oldest.clone();
        let read = tokio::task::spawn_local(async move {
            let first = Parts::new(10, 10, true);
            let body = Late { first, receiver };
            reader.read_body(body, 2 * MAX_BODY_BYTES).await.err()
        });
        tokio::task::yield_now().await;
        let newer = door.enter().await;
        let body = Parts::new(10, 10, false).declaring(MAX_BODY_BYTES);
        let newer = begin_body(&newer, body).await;
        sender.send(()).expect("a receiver");
        assert_eq!(read.await.expect("its end"), Some(BodyError::NoRoom));
        assert_eq!(newer.0.await.expect("its end"), Some(BodyError::Late));
    })
    .await;
}

/// Body whose second part, of many bytes, arrives on demand.
struct Late {
    first: Parts,
    receiver: tokio::sync::oneshot::Receiver<()>,
}

impl HttpBody for Late {
    type Data = Bytes;
    type Error = std::convert::Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        if let Some(part) = self.first.parts.pop_front() {
            return Poll::Ready(Some(Ok(Frame::data(part))));
        }
        Pin::new(&mut self.receiver).poll(cx).map(|_| {
            Some(Ok(Frame::data(Bytes::from(vec![
                0;
                2 * MAX_BODY_BYTES - 10
            ]))))
        })
    }
}

#[tokio::test]
async fn a_body_alone_may_be_larger_than_the_memory_for_all() {
    let mut door = Door::new(2);
    let only = door.enter().await;
    only.on_request();
    let bytes = 3 * MAX_BODY_BYTES;
    let body = only.read_body(Parts::new(bytes, 100, true).declaring(bytes), bytes);
    assert_eq!(body.await.expect("a body").len(), bytes);
}

#[tokio::test]
async fn a_body_over_the_limit_is_refused() {
    let mut door = Door::new(2);
    let only = door.enter().await;
    only.on_request();
    let chunked = Parts::new(MAX_BODY_BYTES + 1, 100, true);
    let read = only.read_body(chunked, MAX_BODY_BYTES).await;
    assert_eq!(read.err(), Some(BodyError::TooLarge));
    let declared = Parts::new(1, 1, true).declaring(MAX_BODY_BYTES + 1);
    let read = only.read_body(declared, MAX_BODY_BYTES).await;
    assert_eq!(read.err(), Some(BodyError::TooLarge));
}
