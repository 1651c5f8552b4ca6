//! A lease granted by a majority, with the holder stopping before it expires, sans I/O.
