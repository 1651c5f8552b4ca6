//! A simulated system of backends, edges and a coordinator.

pub mod coordinator;
pub mod disk;
pub mod edges;
pub mod facts;
pub mod fate;
pub mod world;
