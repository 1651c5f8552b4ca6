//! Starts the control program.

fn main() {}
