//! `snipevane status --metrics`: a table of all entry VMs, from the metrics that they serve.

mod samples;
mod table;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

use crate::CliError;
use crate::output::print_json;

pub use samples::Samples;
pub use table::{NodeRow, render_nodes};

/// Longest time that a process takes to answer.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Shows what the processes at these addresses say of themselves.
pub(crate) async fn run(addresses: &[SocketAddr], json: bool) -> Result<(), CliError> {
    let mut rows = Vec::new();
    for &address in addresses {
        let samples = fetch(address).await.map(|text| Samples::parse(&text));
        rows.push(NodeRow::new(address, samples.as_ref().ok()));
    }
    if rows.iter().all(|row| !row.reached) {
        let addresses: Vec<String> = addresses.iter().map(ToString::to_string).collect();
        return Err(CliError::Unreachable(addresses.join(", ")));
    }
    if json {
        return print_json(&rows);
    }
    print!("{}", render_nodes(&rows));
    Ok(())
}

/// Reads the metrics of a process.
async fn fetch(address: SocketAddr) -> Result<String, CliError> {
    let client: Client<_, Empty<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let uri = format!("http://{address}/metrics");
    let uri = uri
        .parse()
        .map_err(|_| CliError::Usage(format!("{address} is no address")))?;
    let unreachable = |reason: String| CliError::Unreachable(format!("{address}: {reason}"));
    let exchange = async {
        let response = client.get(uri).await.map_err(|error| error.to_string())?;
        let body = response.into_body().collect().await;
        body.map_err(|error| error.to_string())
    };
    let body = tokio::time::timeout(TIMEOUT, exchange)
        .await
        .map_err(|_| unreachable("no answer in time".to_owned()))?
        .map_err(unreachable)?;
    Ok(String::from_utf8_lossy(&body.to_bytes()).into_owned())
}
