//! Starts the edge program.

fn main() {}
