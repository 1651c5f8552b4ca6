//! The control plane: configuration, sessions of stores and nodes, versions of weights, and the assignment of the partitions of
//! batch jobs to backends.
//!
//! - [`state`] is the durable state, which the control chain replicates to all control nodes;
//! - [`sessions`] tracks the stores and nodes by their heartbeats; it is not stored on disk, since heartbeats are repeated;
//! - [`coordinator`] contains the planners of the control node that holds the coordinator lease;
//! - [`node`] drives all state machines of one control node;
//! - [`http`] serves stores, trainers and the operator.
//!
//! The first three modules do no I/O. [`run`] assembles and runs a control node.

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
/// A connection of a store or of the operator that is idle for longer than this is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum time for which the ending process waits for calls in progress.
const MAX_CALL_DRAIN_TIME: Duration = Duration::from_millis(1_500);
const LISTEN_BACKLOG: u32 = 1_024;

/// An error that ends the control program.
#[derive(Debug, Snafu)]
pub enum RunError {
    /// The settings contain no listening address for stores and the operator.
    #[snafu(display("settings: listen.controlPlane: is missing"))]
    NoAddress,
    /// Listening on the address failed.
    #[snafu(display("listen.controlPlane: {source}"))]
    Listen {
        /// The I/O error.
        source: std::io::Error,
    },
    /// The node can't start.
    #[snafu(display("{source}"))]
    Start {
        /// The error of the start.
        source: node::StartError,
    },
    /// The node can't continue.
    #[snafu(display("{source}"))]
    Node {
        /// The error of the node.
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
        max_connections: usize::try_from(connections).unwrap_or(usize::MAX),
        idle_timeout: IDLE_TIMEOUT,
    };
    let handles = node::start(Arc::new(settings)).await.context(StartSnafu)?;
    let listener = listen(address).context(ListenSnafu)?;
    let (stop_server, server_stop) = watch::channel(false);
    let router = http::router(&NodeHandle::new(handles.requests));
    let server = tokio::spawn(http::serve(listener, router, server_settings, server_stop));
    let stopping = async {
        stop.await;
        // The node continues to run until the server's requests are answered.
        let _ = stop_server.send(true);
    };
    handles.node.run(handles.sources, stopping).await.context(NodeSnafu)?;
    let _ = tokio::time::timeout(MAX_CALL_DRAIN_TIME, server).await;
    Ok(())
}

fn listen(address: std::net::SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}
