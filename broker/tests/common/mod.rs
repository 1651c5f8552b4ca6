//! Shared by the tests: random cuts and garbage, and a small world of stand-ins on loopback.
#![allow(dead_code, clippy::unwrap_used, clippy::expect_used)]

pub mod cuts;
pub mod world;
