//! The routes of the event loop: which component processes an event, and which one its outputs go to. No route keeps state or decides
//! anything that a component could decide.

mod chain_actions;
mod messages;
mod requests;
