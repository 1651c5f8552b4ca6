//! The client side: what all fronts share. A front reads requests, makes [`crate::core::Query`]s of
//! them, waits for their answers at the exchange and writes those in its own form.

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

/// An answer, or what ends the connection instead of one.
pub struct Reply {
    /// The status.
    pub status: u16,
    /// Whole header lines.
    pub headers: String,
    /// The body.
    pub body: Vec<u8>,
}

impl Reply {
    /// A short text.
    pub fn text(status: u16, text: &str) -> Self {
        let headers = "Content-Type: text/plain; charset=utf-8\r\n".to_owned();
        Self { status, headers, body: format!("{text}\n").into_bytes() }
    }
}

/// What a front does with a request.
pub trait Service {
    /// Reads a request; a query that it asks for is taken in before this returns.
    fn accept(&self, head: &Head, body: Vec<u8>) -> Accepted;
    /// The reply to a request that could not be read.
    fn unreadable(&self, fault: http::Fault) -> Reply;
    /// The rejection of a request when too many are in progress.
    fn overloaded(&self) -> Reply;
}

/// Makes the reply of a query's final answer.
pub type Replier = Box<dyn FnOnce(FinalAnswer) -> Reply>;

/// What became of a request.
pub enum Accepted {
    /// It was a query, and an answer is owed.
    Query(PendingQuery, Replier),
    /// It is answered at once.
    Reply(Reply),
}
