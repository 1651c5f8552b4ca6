//! The control plane: configuration, sessions, weight versions, partitions of batch jobs.
