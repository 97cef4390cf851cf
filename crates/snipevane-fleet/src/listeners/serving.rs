//! Serving of one connection.

use std::future::Future;

use super::Connection;

/// Serves one connection until the client closes it, or it is closed for another one.
///
/// `served` reads its requests and answers them; `client` ends the log line of its failure, such as
/// `of a readiness probe`.
pub(crate) async fn serve_until_closed(
    connection: &Connection,
    served: impl Future<Output = hyper::Result<()>>,
    client: &str,
) {
    let served = tokio::select! {
        biased;
        () = connection.closed() => return,
        served = served => served,
    };
    if let Err(error) = served {
        log::debug!("connection {client} failed: {error}");
    }
}
