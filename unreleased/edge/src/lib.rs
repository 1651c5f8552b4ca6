//! The edge for poor links, sans I/O: which entry is which ([`Windows`]), and what becomes of each ([`Entries`]),
//! CoAP as a server's machine ([`Coap`]), and readings as SenML ([`senml`]).
//! `docs/design/edge.md` says why it is so.

mod coap;
mod entry;
mod identity;
pub mod senml;

pub use coap::{
    Coap, CoapAction, CoapBounds, Exchange, Request, Response, ACK_TIMEOUT_MS, DATAGRAM_MOST,
    EXCHANGE_LIFETIME_MS, MAX_RETRANSMIT, SEPARATE_AFTER_MS,
};
pub use entry::{
    Action, Bounds, Entries, Event, Fate, Handle, Known, Outcome, Settled, State, Token, Verdict,
};
pub use identity::{Content, DeviceId, EntryId, Seen, Window, Windows, EPOCHS, WINDOW};
