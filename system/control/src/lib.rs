//! The control plane: configuration, sessions of stores and nodes, versions of weights, and the map of the partitions of batch jobs.
//!
//! - [`state`] is the durable state, which the control chain replicates to all control nodes;
//! - [`sessions`] follows the stores and nodes by their heartbeats; it needs no disk, since heartbeats come again;
//! - [`coordinator`] has the planners of the one control node that holds the coordinator lease;
//! - [`node`] drives all machines of one control node;
//! - [`http`] serves stores, trainers and the operator.
//!
//! The first three do no I/O. [`run`] assembles the whole.

#![warn(unreachable_pub)]

pub mod coordinator;
pub mod http;
pub mod node;
pub mod sessions;
pub mod state;

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use gingerledge_protocol::Settings;
use snafu::{OptionExt, ResultExt, Snafu};
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::watch;

use http::{NodeHandle, ServerSettings};

/// File descriptors that HTTP connections leave to the internal network and to files.
const RESERVED_DESCRIPTORS: u64 = 800;
const MIN_CONNECTIONS: u64 = 64;
const MAX_CONNECTIONS: u64 = 8_192;
/// A connection of a store or the operator that is idle for longer is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Calls in progress are waited for at most this long when the process ends.
const MAX_CALL_DRAIN: Duration = Duration::from_millis(1_500);
const LISTEN_BACKLOG: u32 = 1_024;

/// Why the control program ends.
#[derive(Debug, Snafu)]
pub enum RunError {
    /// The settings name no address for stores and the operator.
    #[snafu(display("settings: listen.controlPlane: is missing"))]
    NoAddress,
    /// The address can't be listened on.
    #[snafu(display("listen.controlPlane: {source}"))]
    Listen {
        /// Why.
        source: std::io::Error,
    },
    /// The node does not start.
    #[snafu(display("{source}"))]
    Start {
        /// Why.
        source: node::StartError,
    },
    /// The node can't continue.
    #[snafu(display("{source}"))]
    Node {
        /// Why.
        source: node::NodeError,
    },
}

/// Runs a control node until `stop` resolves.
///
/// # Errors
///
/// The settings lack an address, the node can't start, or it can't continue.
pub async fn run(settings: Settings, stop: impl Future<Output = ()>) -> Result<(), RunError> {
    let address = settings.listen.control_plane.context(NoAddressSnafu)?;
    let connections = settings.limits.file_descriptors.saturating_sub(RESERVED_DESCRIPTORS) / 2;
    let connections = connections.clamp(MIN_CONNECTIONS, MAX_CONNECTIONS);
    let server_settings = ServerSettings {
        connections: usize::try_from(connections).unwrap_or(usize::MAX),
        idle: IDLE_TIMEOUT,
    };
    let handles = node::start(Arc::new(settings)).await.context(StartSnafu)?;
    let listener = listen(address).context(ListenSnafu)?;
    let (stop_server, server_stop) = watch::channel(false);
    let router = http::router(&NodeHandle::new(handles.requests));
    let server = tokio::spawn(http::serve(listener, router, server_settings, server_stop));
    let stopping = async {
        stop.await;
        // The node runs on until the server's requests are answered.
        let _ = stop_server.send(true);
    };
    handles.node.run(handles.sources, stopping).await.context(NodeSnafu)?;
    let _ = tokio::time::timeout(MAX_CALL_DRAIN, server).await;
    Ok(())
}

fn listen(address: std::net::SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}
