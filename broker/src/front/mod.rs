//! Interfaces and code shared by all fronts, which serve clients. A front converts requests to [`crate::core::Query`]s,
//! waits for their answers at the exchange, and encodes the answers in its own protocol.

mod client;
mod connection_limit;
pub mod features;
pub mod key;
pub mod platform;
mod server;

use crate::core::FinalAnswer;
use crate::exchange::PendingQuery;
use crate::http::{self, Head};

pub use server::Server;

/// The HTTP response to a request.
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Complete header lines, each with its line end.
    pub headers: String,
    /// Body of the response.
    pub body: Vec<u8>,
}

impl Reply {
    /// Creates a plain-text response.
    pub fn text(status: u16, text: &str) -> Self {
        let headers = "Content-Type: text/plain; charset=utf-8\r\n".to_owned();
        Self { status, headers, body: format!("{text}\n").into_bytes() }
    }
}

/// The protocol of a front: how requests are handled and errors are encoded.
pub trait Service {
    /// Handles a request. If it is a query, the query has been submitted when this returns.
    fn accept(&self, head: &Head, body: Vec<u8>) -> Accepted;
    /// Returns the reply to a request that could not be read.
    fn unreadable(&self, fault: http::Fault) -> Reply;
    /// Returns the rejection of a request when too many are in progress.
    fn overloaded(&self) -> Reply;
}

/// Encodes the final answer to a query as a reply.
pub type Replier = Box<dyn FnOnce(FinalAnswer) -> Reply>;

/// Result of handling a request.
pub enum Accepted {
    /// The request was a query; the reply follows from its final answer.
    Query(PendingQuery, Replier),
    /// The reply to a request that is answered immediately.
    Reply(Reply),
}
