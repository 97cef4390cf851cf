//! Communication with other entry VMs: heartbeats, forwarded requests, and the table of peers.

mod client;
mod config;
mod counted_io;
mod listener;
mod rpc;
mod table;

pub(crate) use client::PeerClient;
pub(crate) use config::received_text;
pub(crate) use counted_io::PeerBytes;
pub(crate) use listener::{max_head_bytes, serve_connection};
pub(crate) use rpc::free_count;
pub(crate) use table::{Peer, Peers, RequestNeeds};
