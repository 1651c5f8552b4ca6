//! The one way in which tests set up backends: a single one driven step by step, or a simulated cluster with clients, a coordinator
//! and faults. All have the same settings and disks in memory. Each test uses a part of this.
#![allow(dead_code)]

pub mod clients;
pub mod cluster;
pub mod coordinator;
pub mod disk;
pub mod faults;
pub mod observations;
pub mod settings;
pub mod single_backend;
