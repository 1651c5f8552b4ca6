//! Forwarding of requests: a request is sent to one store after another until a store responds, as far as its route, its number of
//! attempts and its deadline permit. [`crate::routing`] decides about retries, and this module applies the decisions.

mod attempts;
mod body;
mod call;
pub mod event_buffer;
mod outgoing;
mod response;
mod retry_state;
mod store_selection;
mod stream;

pub use attempts::Attempts;
pub use body::StreamedBody;
pub use call::{call, Call, CallResponse};
pub use outgoing::OutgoingRequest;
pub use response::{CompleteResponse, ForwardError, ForwardedResponse, StreamedResponse};
pub use stream::ResumableStream;
