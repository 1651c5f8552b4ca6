//! A ring of preallocated files that keeps records through losses of power.
