//! [`Disk`]: the file operations that the ring requires, on one folder.

use crate::StorageError;

/// A file in the folder of a [`Disk`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DiskFile {
    /// Name of the file in the folder.
    pub name: String,
    /// Length of the file in bytes.
    pub length: u64,
}

/// A folder of files.
///
/// Data written by [`Disk::write_at`] is durable once [`Disk::sync_file`] returns; until then, a power loss may keep,
/// drop or tear each write independently. The creation or removal of a file is durable once both the file and the
/// folder ([`Disk::sync_folder`]) are synced.
pub trait Disk: Send {
    /// Lists all files of the folder, in any order.
    ///
    /// # Errors
    ///
    /// The operation fails.
    fn list(&mut self) -> Result<Vec<DiskFile>, StorageError>;

    /// Creates a file of this length that reads as zeros; sets the length of a file that exists already.
    ///
    /// # Errors
    ///
    /// The operation fails.
    fn create(&mut self, name: &str, length: u64) -> Result<(), StorageError>;

    /// Fills the buffer with the bytes at this offset.
    ///
    /// # Errors
    ///
    /// The file ends before the buffer is full, or the operation fails.
    fn read_at(&mut self, name: &str, offset: u64, buffer: &mut [u8]) -> Result<(), StorageError>;

    /// Writes all these bytes at this offset.
    ///
    /// # Errors
    ///
    /// The operation fails.
    fn write_at(&mut self, name: &str, offset: u64, bytes: &[u8]) -> Result<(), StorageError>;

    /// Makes the contents and the length of a file durable.
    ///
    /// # Errors
    ///
    /// The operation fails.
    fn sync_file(&mut self, name: &str) -> Result<(), StorageError>;

    /// Makes the creation and removal of files in the folder durable.
    ///
    /// # Errors
    ///
    /// The operation fails.
    fn sync_folder(&mut self) -> Result<(), StorageError>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// The operation fails.
    fn remove(&mut self, name: &str) -> Result<(), StorageError>;
}
