//! The internal messages of the rollout scheduler and the records that they carry.
