//! Three control nodes in this process: their HTTP exchanges, what outlives kills and lost disks, and the coordinator at work.

mod common;
mod coordination;
mod exchanges;
mod orders;
mod updates;
