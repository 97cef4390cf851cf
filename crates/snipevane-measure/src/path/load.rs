//! Load generator with many callers, each with one connection and one request at a time.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::{Request, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use super::new_histogram;
use crate::error::MeasureError;

/// Body of each request.
const BODY: &[u8] = b"tick 4711 of 2026-12-03 reconciled";

/// Destination of the requests.
#[derive(Clone, Debug)]
pub(super) struct Target {
    /// Addresses, assigned to the callers in round-robin order.
    pub(super) addresses: Vec<SocketAddr>,
    /// Path of the requests.
    pub(super) path: String,
    /// Key that the requests carry, if any.
    pub(super) key: Option<String>,
    /// Number of callers.
    pub(super) callers: usize,
}

/// Results of a load.
pub(super) struct Load {
    /// Time from the first request to the end.
    elapsed: Duration,
    /// Latencies of the requests that got a response with status 200, in microseconds.
    pub(super) latencies: Histogram<u64>,
    /// Number of requests that got another status or no response.
    pub(super) failed: u64,
}

impl Load {
    /// Generates load in which each caller sends the next request as soon as the last one ends.
    pub(super) async fn closed_loop(
        target: &Target,
        duration: Duration,
    ) -> Result<Self, MeasureError> {
        Self::run(target, duration, None).await
    }

    /// Generates load at a rate of all callers together, in requests per second.
    pub(super) async fn at_rate(
        target: &Target,
        per_second: f64,
        duration: Duration,
    ) -> Result<Self, MeasureError> {
        let interval = Duration::from_secs_f64(target.callers as f64 / per_second);
        Self::run(target, duration, Some(interval)).await
    }

    /// Returns the number of responses with status 200 per second.
    pub(super) fn per_second(&self) -> f64 {
        self.latencies.len() as f64 / self.elapsed.as_secs_f64()
    }

    async fn run(
        target: &Target,
        duration: Duration,
        interval: Option<Duration>,
    ) -> Result<Self, MeasureError> {
        let mut callers = Vec::new();
        for number in 0..target.callers {
            callers.push(Caller::connect(target, number).await?);
        }
        let start = Instant::now();
        let mut tasks = JoinSet::new();
        for (number, caller) in callers.into_iter().enumerate() {
            let fraction = number as f64 / target.callers as f64;
            let pacing = interval.map(|interval| Pacing {
                next: start + interval.mul_f64(fraction),
                interval,
            });
            tasks.spawn(run_caller(caller, start + duration, pacing));
        }
        let mut load = Self {
            elapsed: Duration::ZERO,
            latencies: new_histogram()?,
            failed: 0,
        };
        while let Some(result) = tasks.join_next().await {
            let (latencies, failed) = result.map_err(io::Error::other)??;
            load.latencies
                .add(&latencies)
                .map_err(MeasureError::histogram)?;
            load.failed += failed;
        }
        load.elapsed = start.elapsed();
        Ok(load)
    }
}

/// Times at which a caller sends its requests.
struct Pacing {
    next: Instant,
    interval: Duration,
}

impl Pacing {
    /// Waits until the next request is due, and returns the time from which its latency counts.
    ///
    /// If the previous request ended too late, the latency counts from the time at which the
    /// request was due. The delay of the timer doesn't count.
    async fn wait(&mut self) -> Instant {
        let due = self.next;
        self.next += self.interval;
        if due <= Instant::now() {
            return due;
        }
        tokio::time::sleep_until(due.into()).await;
        Instant::now()
    }
}

async fn run_caller(
    mut caller: Caller,
    until: Instant,
    mut pacing: Option<Pacing>,
) -> Result<(Histogram<u64>, u64), MeasureError> {
    let mut latencies = new_histogram()?;
    let mut failed = 0;
    loop {
        let started = match &mut pacing {
            Some(pacing) => pacing.wait().await,
            None => Instant::now(),
        };
        if started >= until {
            return Ok((latencies, failed));
        }
        match caller.send().await {
            Ok(StatusCode::OK) => {
                let micros = started.elapsed().as_micros();
                let micros = u64::try_from(micros).unwrap_or(u64::MAX);
                latencies.record(micros).map_err(MeasureError::histogram)?;
            }
            Ok(_) => failed += 1,
            Err(_) => {
                failed += 1;
                caller.reconnect().await?;
            }
        }
    }
}

/// A caller with one connection.
pub(super) struct Caller {
    target: Target,
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
}

impl Caller {
    async fn connect(target: &Target, number: usize) -> io::Result<Self> {
        let address = target.addresses[number % target.addresses.len()];
        Ok(Self {
            target: target.clone(),
            address,
            sender: open(address).await?,
        })
    }

    async fn reconnect(&mut self) -> io::Result<()> {
        self.sender = open(self.address).await?;
        Ok(())
    }

    async fn send(&mut self) -> io::Result<StatusCode> {
        let mut req = Request::post(&self.target.path).header(header::HOST, "site");
        if let Some(key) = &self.target.key {
            req = req.header(header::AUTHORIZATION, format!("Bearer {key}"));
        }
        let req = req.body(Full::new(Bytes::from_static(BODY)));
        let req = req.map_err(io::Error::other)?;
        self.sender.ready().await.map_err(io::Error::other)?;
        let response = self.sender.send_request(req).await;
        let response = response.map_err(io::Error::other)?;
        let status = response.status();
        let body = response.into_body().collect().await;
        body.map_err(io::Error::other)?;
        Ok(status)
    }
}

async fn open(address: SocketAddr) -> io::Result<SendRequest<Full<Bytes>>> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    tokio::spawn(async move {
        // The caller gets the error when it sends its next request.
        let _ = connection.await;
    });
    Ok(sender)
}

/// Opens connections, sends one request on each, and keeps them open.
pub(super) async fn open_connections(target: &Target, count: usize) -> io::Result<Vec<Caller>> {
    let mut callers = Vec::new();
    for number in 0..count {
        let mut caller = Caller::connect(target, number).await?;
        caller.send().await?;
        callers.push(caller);
    }
    Ok(callers)
}
