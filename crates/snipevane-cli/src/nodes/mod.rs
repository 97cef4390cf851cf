//! The `snipevane status --metrics` command: shows a table of entry VMs from their metrics
//! endpoints.

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

/// Time limit for a metrics request.
const TIMEOUT: Duration = Duration::from_secs(3);

/// Reads the metrics at each address and prints a row for each.
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

/// Fetches the metrics of a process as text.
async fn fetch(address: SocketAddr) -> Result<String, CliError> {
    let client: Client<_, Empty<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let uri = format!("http://{address}/metrics");
    let uri = uri
        .parse()
        .map_err(|_| CliError::Usage(format!("{address} isn't a valid address")))?;
    let unreachable = |reason: String| CliError::Unreachable(format!("{address}: {reason}"));
    let exchange = async {
        let response = client.get(uri).await.map_err(|error| error.to_string())?;
        let body = response.into_body().collect().await;
        body.map_err(|error| error.to_string())
    };
    let body = tokio::time::timeout(TIMEOUT, exchange)
        .await
        .map_err(|_| unreachable("no response in time".to_owned()))?
        .map_err(unreachable)?;
    Ok(String::from_utf8_lossy(&body.to_bytes()).into_owned())
}
