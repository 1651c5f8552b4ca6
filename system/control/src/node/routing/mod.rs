//! The routes of the event loop: they pass each event to the component that processes it, and its outputs to other components. A
//! route keeps no state and makes no decision that a component could make.

mod chain_actions;
mod messages;
mod requests;
