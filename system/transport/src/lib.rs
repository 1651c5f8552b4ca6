//! Bounded, pooled TCP links that carry bincode frames between nodes.
