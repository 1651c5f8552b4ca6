//! Set-up of backends shared by all tests: a single backend driven step by step, or a simulated cluster with clients, a coordinator
//! and faults. Settings are built by the same code, and disks are in memory. Each test uses only a part of this module.
#![allow(dead_code)]

pub mod clients;
pub mod cluster;
pub mod coordinator;
pub mod disk;
pub mod faults;
pub mod observations;
pub mod settings;
pub mod single_backend;
