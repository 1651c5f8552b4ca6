//! Chain replication under an agreed membership view, sans I/O.
