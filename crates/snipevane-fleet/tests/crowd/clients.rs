//! Clients that misbehave at the same time.

use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::oneshot;
use tokio::task::{LocalSet, spawn_local, yield_now};
use tokio::time::{sleep, timeout};

use super::script::Script;

/// Number of times that a client connects.
const MAX_CONNECTIONS: usize = 8;

/// Time after which a client whose connection was closed connects again.
const RECONNECT_DELAY: Duration = Duration::from_millis(400);

/// Time after which the crowd leaves at the latest.
const LONGEST_STAY: Duration = Duration::from_secs(120);

/// Clients on a thread of their own, which stay until they are told to leave.
pub(crate) struct Clients {
    leave: oneshot::Sender<()>,
    thread: JoinHandle<()>,
}

impl Clients {
    /// Connects `count` clients to an address; each sends the script and stays.
    pub(crate) fn start(address: SocketAddr, count: usize, script: &Script) -> Self {
        let (leave, left) = oneshot::channel();
        let script = script.clone();
        let thread = std::thread::spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()
                .expect("a runtime");
            LocalSet::new().block_on(&runtime, async {
                for _ in 0..count {
                    spawn_local(run_client(address, script.clone()));
                }
                // The crowd also leaves if nobody tells it to.
                let _ = timeout(LONGEST_STAY, left).await;
            });
        });
        Self { leave, thread }
    }

    /// Closes all connections.
    pub(crate) fn leave(self) {
        // The thread may have ended already.
        let _ = self.leave.send(());
        self.thread.join().expect("the crowd");
    }
}

async fn run_client(address: SocketAddr, script: Script) {
    for _ in 0..MAX_CONNECTIONS {
        if let Ok(stream) = TcpStream::connect(address).await {
            let (read, write) = stream.into_split();
            let answers = spawn_local(read_answers(read, script.reads_answers));
            // The daemon may close the connection at any time.
            let _write = send(write, &script).await;
            let _ = answers.await;
        }
        sleep(RECONNECT_DELAY).await;
    }
}

/// Sends the script; returns the writing half, so that the connection stays open.
async fn send(mut write: OwnedWriteHalf, script: &Script) -> OwnedWriteHalf {
    for piece in script.bytes.chunks(script.piece_bytes) {
        if write.write_all(piece).await.is_err() {
            break;
        }
        yield_now().await;
    }
    write
}

/// Reads answers until the connection is closed; or reads none and stays.
async fn read_answers(mut read: OwnedReadHalf, reads: bool) {
    if !reads {
        return sleep(LONGEST_STAY).await;
    }
    let mut buf = [0; 4_096];
    while read.read(&mut buf).await.is_ok_and(|bytes| bytes > 0) {}
}
