//! The front: takes connections from clients, bounds what they may use, and answers their requests.

mod budget;
mod connection;
mod connections;
mod listener;
mod reading;
mod service;

pub use budget::{Budget, Room};
pub use connections::{Connections, Phase, Times};
pub use listener::{bounds, serve, Bounds, Front};
