//! Front end of the edge: accepts client connections, limits the resources that they use, and handles their requests.

mod budget;
mod client_stream;
mod connection_table;
mod request_body;
mod server;
mod service;

pub use budget::{RequestBudget, RequestPermit};
pub use connection_table::{ConnectionTable, ConnectionTimeouts, Phase};
pub use server::{front_limits, serve, Front, FrontLimits};
