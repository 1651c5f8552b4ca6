//! Who holds which block of weighers, and how that changes while queries run. Sans I/O throughout: events and the time go
//! in, what is to be done comes out; the same input gives the same output. `docs/design/blocks.md` says why it is so.

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

pub use change::{Change, Effect, Input, Kind, Millis, Patience, Reason, Step};
pub use coordinator::{Bounds, Coordinator, CopyJob, Heard, Past, RecoverError, Tag, Unmet, Wish, Work};
pub use holding::{Done, Entry, Holding, Holdings, Kept, Mode, Order, Ordered, Refusal, Verdict};
pub use log::{decode, encode, Disk, ForgetfulDisk, Log, LogError, LogRecord, OpenError, State, MAGIC};
pub use map::{
    Batch, Block, BlockMap, Cursor, MapError, Piece, Record, Replica, ReplicaState, Snapshot, REPLICAS_MOST,
};
pub use plan::{plan, BlockLoad, Goal, Plan, StoreState};
pub use types::{BlockId, ChangeId, Epoch, Extent, Span, StoreId, Term};
