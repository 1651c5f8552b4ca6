//! Long runs against the program under faults, each ending with one line of figures.

pub mod moves;
