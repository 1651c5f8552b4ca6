//! Starts the backend program.

fn main() {}
