//! Stand-ins for the tests and the demonstration of the rollout scheduler: model stores that keep a ledger of what they ran,
//! an operator and trainers that speak to the system as the platform's do, and a fleet of the real programs on loopback.
//! Never shipped.

#![warn(unreachable_pub)]

mod call;
pub mod fault_days;
mod fleet;
mod operator;
pub mod soak;
mod store;
mod trainer;
mod transcript;

pub use call::{call, Answer, CallError};
pub use fleet::{Fleet, FleetError, Node, NodeClass};
pub use operator::{configuration, Operator, REPLACE, UPDATE};
pub use store::{Ledger, Store, StoreSettings};
pub use trainer::{Step, Trainer};
pub use transcript::Transcript;
