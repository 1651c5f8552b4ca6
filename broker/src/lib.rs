//! The broker of the Great Lakes Hive Weighing Association. It accepts queries over several protocols, lets the decision
//! module `gingerledge-dispatch` assign their parts to reading stores, and sends exactly one final answer to each query.
//! `docs/design/broker.md` describes the processing of a request.

pub mod admin;
pub mod blocks;
pub mod cli;
pub mod clock;
pub mod config;
pub mod core;
pub mod counters;
pub mod discovery;
pub mod exchange;
pub mod faults;
pub mod fleet;
pub mod front;
pub mod geojson;
pub mod handover;
pub mod http;
pub mod lifecycle;
pub mod limits;
pub mod logger;
pub mod readiness;
pub mod rotation;
pub mod routes;
pub mod service;
pub mod store;
pub mod subsystem;
