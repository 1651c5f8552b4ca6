//! [`Disk`]: the operations on one folder that the ring is built from.

use crate::StorageError;

/// A file in the folder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DiskFile {
    /// Its name in the folder.
    pub name: String,
    /// Its length in bytes.
    pub length: u64,
}

/// One folder of files.
///
/// What [`Disk::write_at`] wrote is durable once [`Disk::sync_file`] returns; until then a loss of power may keep,
/// drop or tear each write on its own. A file that was created or removed stays so once both the file and the
/// folder ([`Disk::sync_folder`]) are synced.
pub trait Disk: Send {
    /// All files of the folder, in any order.
    ///
    /// # Errors
    ///
    /// The system refuses.
    fn list(&mut self) -> Result<Vec<DiskFile>, StorageError>;

    /// Creates a file of this length that reads as zeros; one that is there already gets this length.
    ///
    /// # Errors
    ///
    /// The system refuses.
    fn create(&mut self, name: &str, length: u64) -> Result<(), StorageError>;

    /// Fills the buffer with the bytes at this offset; an error if the file ends before.
    ///
    /// # Errors
    ///
    /// The file ends before, or the system refuses.
    fn read_at(&mut self, name: &str, offset: u64, buffer: &mut [u8]) -> Result<(), StorageError>;

    /// Writes all these bytes at this offset.
    ///
    /// # Errors
    ///
    /// The system refuses.
    fn write_at(&mut self, name: &str, offset: u64, bytes: &[u8]) -> Result<(), StorageError>;

    /// Makes the contents and the length of a file durable.
    ///
    /// # Errors
    ///
    /// The system refuses.
    fn sync_file(&mut self, name: &str) -> Result<(), StorageError>;

    /// Makes the names in the folder durable.
    ///
    /// # Errors
    ///
    /// The system refuses.
    fn sync_folder(&mut self) -> Result<(), StorageError>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// The system refuses.
    fn remove(&mut self, name: &str) -> Result<(), StorageError>;
}
