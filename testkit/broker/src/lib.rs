//! What the broker meets outside, written from its public descriptions: reading stores that hold real readings and lose what
//! a crash would lose, discovery, brokers as processes of their own, clients. All on loopback.

pub mod agent;
pub mod broker;
pub mod client;
pub mod data;
pub mod discovery;
pub mod fleet;
#[allow(missing_docs)]
pub mod scripted;
pub mod settings;
pub mod site;
pub mod soak;
pub mod store;
pub mod strict;
pub mod witness;
pub mod world;
