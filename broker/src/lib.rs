//! The broker of the Great Lakes Hive Weighing Association: a multi-protocol edge that takes queries
//! in, has the decision module `gingerledge-dispatch` place their parts on reading stores, and gives each query
//! exactly one final answer. `docs/design/broker.md` tells the life of a request.

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
