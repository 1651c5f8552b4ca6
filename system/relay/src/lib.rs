//! The relay tree that brings the registry to every node, sans I/O.
