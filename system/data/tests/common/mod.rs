//! What the simulated clusters of the edge's and of the batch jobs' tests share.
#![allow(dead_code)]

pub mod http;
pub mod runtime;
