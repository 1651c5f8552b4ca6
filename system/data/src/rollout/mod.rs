//! The driver of batch jobs. (Interfaces only; being written.)

pub mod front;

use std::net::SocketAddr;
use std::rc::Rc;

use gingerledge_wire::JobsMessage;

use crate::Shared;

/// What the driver keeps, inside [`Shared`].
#[derive(Default)]
pub struct State {}

/// Called once, on the `LocalSet`, when the edge starts.
pub fn start(_shared: &Rc<Shared>) {}

/// Called for each message of the batch jobs' plane.
pub fn on_message(_shared: &Rc<Shared>, _from: SocketAddr, _message: JobsMessage) {}

/// Called when messages to a peer may have been lost.
pub fn on_lost(_shared: &Rc<Shared>, _peer: SocketAddr) {}
