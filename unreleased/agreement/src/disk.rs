//! A few bytes that last. [`Disk`] is all that a voter asks of a file; [`ForgetfulDisk`] loses exactly what a crash could lose.

use std::io;
use std::mem;

/// One file's bytes. What a call wrote lasts once it returns; of a call that fails or never returns, any beginning may last.
pub trait Disk {
    /// All that is there; nothing, if there is no file.
    fn load(&mut self) -> io::Result<Vec<u8>>;
    /// Adds bytes at the end.
    fn append(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Puts other bytes in the place of all: after a crash either the old or the new are there whole.
    fn replace(&mut self, bytes: &[u8]) -> io::Result<()>;
}

/// A disk in memory whose power goes at a chosen write.
#[derive(Clone, Debug, Default)]
pub struct ForgetfulDisk {
    bytes: Vec<u8>,
    /// Writes until the power goes, and how much of that write lasts.
    fate: Option<(u32, Torn)>,
    dead: bool,
    writes: u64,
}

/// What lasts of the write in which the power goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Torn {
    /// The first so many bytes (of a replacement: nothing).
    Kept(usize),
    /// The first so many bytes, and zeros in the place of the rest: the length was noted before the data.
    Zeros(usize),
    /// All, but the writer never hears of it.
    Whole,
}

impl ForgetfulDisk {
    /// One with these bytes.
    pub fn with(bytes: Vec<u8>) -> Self {
        Self { bytes, ..Self::default() }
    }

    /// The power goes in the write after so many others.
    pub fn doom(&mut self, after: u32, torn: Torn) {
        self.fate = Some((after, torn));
    }

    /// The power is back: what lasted is there.
    pub fn reborn(&self) -> Self {
        Self::with(self.bytes.clone())
    }

    /// What is there.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// How often it was written.
    pub fn writes(&self) -> u64 {
        self.writes
    }

    /// What lasts of this write, if the power goes in it.
    fn write(&mut self) -> io::Result<Option<Torn>> {
        if self.dead {
            return Err(io::ErrorKind::BrokenPipe.into());
        }
        self.writes += 1;
        match &mut self.fate {
            Some((0, torn)) => {
                self.dead = true;
                Ok(Some(*torn))
            }
            Some((left, _)) => {
                *left -= 1;
                Ok(None)
            }
            None => Ok(None),
        }
    }
}

impl Disk for ForgetfulDisk {
    fn load(&mut self) -> io::Result<Vec<u8>> {
        Ok(self.bytes.clone())
    }

    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let torn = self.write()?;
        let from = self.bytes.len();
        self.bytes.extend_from_slice(bytes);
        match torn {
            None => return Ok(()),
            Some(Torn::Kept(kept)) => self.bytes.truncate(from + kept.min(bytes.len())),
            Some(Torn::Zeros(kept)) => self.bytes[from..].iter_mut().skip(kept).for_each(|byte| *byte = 0),
            Some(Torn::Whole) => {}
        }
        Err(io::ErrorKind::BrokenPipe.into())
    }

    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        let torn = self.write()?;
        if matches!(torn, None | Some(Torn::Whole)) {
            drop(mem::replace(&mut self.bytes, bytes.to_vec()));
        }
        torn.map_or(Ok(()), |_| Err(io::ErrorKind::BrokenPipe.into()))
    }
}
