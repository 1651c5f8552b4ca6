//! Forwarding: a request goes to one store after another until one answers, as far as its route, its attempts and its time
//! permit; what every attempt's verdict is decides what may follow and what the client is told.

mod attempts;
mod body;
mod call;
pub mod events;
mod outgoing;
mod stream;

pub use attempts::{Answer, Attempts, GivenUp, Streamed, Whole};
pub use body::StreamedBody;
pub use call::{call, Call, CallAnswer};
pub use outgoing::Outgoing;
pub use stream::ResumableStream;
