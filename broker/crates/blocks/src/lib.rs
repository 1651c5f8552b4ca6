//! Assignment of blocks of weighers to stores, and its changes while queries run. This crate does no I/O:
//! events and the time are inputs, the work to do is the output, and equal input gives equal output.
//! `docs/design/blocks.md` gives the reasons for the design.

mod change;
mod coordinator;
mod holding;
mod index;
mod log;
mod map;
mod plan;
mod repair;
mod types;
pub mod validate;
pub mod wire;

pub use change::{Change, ChangeKind, Effect, Input, Millis, Reason, Step, Timeouts};
pub use coordinator::{
    Bounds, ChangeRequest, Coordinator, CopyJob, EndedChange, Event, OrderPurpose, RecoverError,
    RequestError, Work,
};
pub use holding::{
    Admission, DurableState, Entry, Holding, Holdings, Mode, Order, OrderOutcome, Refusal, StampedOrder,
};
pub use log::{decode, encode, Disk, Log, LogError, LogRecord, OpenError, SimulatedDisk, State, MAGIC};
pub use map::{
    Batch, Block, BlockMap, Cursor, MapError, Piece, Record, Replica, ReplicaState, Snapshot, MAX_REPLICAS,
};
pub use plan::{plan, BlockLoad, Goal, Plan, StoreState};
pub use types::{BlockId, ChangeId, Epoch, Extent, Span, StoreId, Term};
