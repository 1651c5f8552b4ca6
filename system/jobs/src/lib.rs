//! The backend plane: batch jobs, their items and results, replicated by partition.
