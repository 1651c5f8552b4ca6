//! The data plane: routing, forwarding, streams, and the driver of a batch job.
