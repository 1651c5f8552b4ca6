//! The spool's machine: which segment is written, where each value lies, what is live, when a segment is compacted or let go,
//! and when there is no more room. It promises that whatever [`Spool::commit`] has returned for is found by the next
//! [`Spool::open`], that nothing else is found but what was being written then, and that its size stays within its bound.

use std::collections::BTreeMap;
use std::io;

use thiserror::Error;

use crate::frame::{self, Item, MAGIC};
use crate::shelf::Shelf;

/// A value's number, in the order in which values were put in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Seq(pub u64);

/// How much may be kept.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// All segments together, in bytes.
    pub bytes: u64,
    /// A segment is ended once it is so long.
    pub segment: u64,
    /// Values that are in.
    pub values: usize,
    /// From this share of the bytes or values on the spool says that it fills up.
    pub early: f64,
    /// A segment of whose bytes less than this share are live is compacted.
    pub sparse: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { bytes: 256 << 20, segment: 4 << 20, values: 1_000_000, early: 0.7, sparse: 0.3 }
    }
}

/// How full it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// There is room.
    Room,
    /// It fills up: whoever puts values in should be slowed.
    Filling,
    /// No more is taken.
    Full,
}

/// Why something was not done.
#[derive(Debug, Error)]
pub enum SpoolError {
    /// The bound would be passed.
    #[error("the spool is full: {0} values in {1} bytes")]
    Full(usize, u64),
    /// A group would be longer than one may be.
    #[error("a group of {0} bytes, where {max} is the most", max = frame::GROUP_MOST)]
    TooLong(usize),
    /// A segment has lost something in its midst.
    #[error("segment {file} can't be read from byte {at} on, and more follows: the disk has lost data; put the segment aside to go on without what lies behind")]
    Spoilt {
        /// Which.
        file: u64,
        /// From where on.
        at: usize,
    },
    /// No such value is in.
    #[error("no value {0} is in the spool")]
    Unknown(u64),
    /// The disk's fault. What was being committed does not count.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// A value that is in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stored {
    /// Its number.
    pub seq: Seq,
    /// What it is.
    pub value: Vec<u8>,
    /// What is known of it.
    pub note: Vec<u8>,
}

#[derive(Clone, Debug)]
struct Place {
    file: u64,
    at: u64,
    length: usize,
    /// Its own bytes, as put in.
    size: u64,
    note: Vec<u8>,
    /// The segment of its latest note: neither may go before it is written anew.
    note_file: u64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Segment {
    bytes: u64,
    /// Values whose put or latest note lies here, and the bytes of the former.
    puts: usize,
    notes: usize,
    live: u64,
}

/// The spool. See the module's description.
#[derive(Debug)]
pub struct Spool<S> {
    shelf: S,
    bounds: Bounds,
    places: BTreeMap<u64, Place>,
    segments: BTreeMap<u64, Segment>,
    next: u64,
    staged: Vec<Item>,
    staged_bytes: usize,
    staged_values: usize,
    /// A segment whose end may be torn: it is cut to its sound part before anything else is written.
    torn: Option<u64>,
}

/// What a group takes beside its items.
const OVERHEAD: u64 = 64;

impl<S: Shelf> Spool<S> {
    /// Opens what is there. A torn end is cut off; a loss in the midst is an error.
    pub fn open(shelf: S, bounds: Bounds) -> Result<Self, SpoolError> {
        let mut this = Self {
            shelf,
            bounds,
            places: BTreeMap::new(),
            segments: BTreeMap::new(),
            next: 0,
            staged: Vec::new(),
            staged_bytes: 0,
            staged_values: 0,
            torn: None,
        };
        let files = this.shelf.list()?;
        for (n, file) in files.iter().enumerate() {
            let bytes = this.shelf.read(*file)?;
            let (frames, sound) = frame::segment(&bytes).ok_or(SpoolError::Spoilt { file: *file, at: 0 })?;
            if sound < bytes.len() {
                // Only the last segment may end in what was being written.
                if n + 1 < files.len() || frame::follows(&bytes, sound) {
                    return Err(SpoolError::Spoilt { file: *file, at: sound });
                }
                this.shelf.truncate(*file, sound as u64)?;
            }
            this.segments.insert(*file, Segment { bytes: sound as u64, ..Segment::default() });
            for frame in frames {
                this.next = this.next.max(highest(&frame.items));
                this.learn(*file, frame.at as u64, frame.length, &frame.items);
            }
        }
        this.tidy()?;
        Ok(this)
    }

    /// How many values are in.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// How many bytes the segments have.
    pub fn bytes(&self) -> u64 {
        self.segments.values().map(|segment| segment.bytes).sum()
    }

    /// How full it is.
    pub fn level(&self) -> Level {
        let bytes = (self.bytes() + self.staged_bytes as u64) as f64 / self.bounds.bytes.max(1) as f64;
        let values = (self.places.len() + self.staged_values) as f64 / self.bounds.values.max(1) as f64;
        match bytes.max(values) {
            share if share >= 1.0 => Level::Full,
            share if share >= self.bounds.early => Level::Filling,
            _ => Level::Room,
        }
    }

    /// Puts a value in, once [`Spool::commit`] has returned.
    pub fn put(&mut self, value: Vec<u8>, note: Vec<u8>) -> Result<Seq, SpoolError> {
        let size = value.len() + note.len() + 32;
        if size > frame::GROUP_MOST / 2 {
            return Err(SpoolError::TooLong(size));
        }
        // Room is kept for what has to be said of values that are in: a full spool must be able to empty itself.
        let kept = self.bounds.bytes / 16;
        let bytes = self.bytes() + self.staged_bytes as u64 + size as u64 + OVERHEAD + kept;
        if self.places.len() + self.staged_values >= self.bounds.values || bytes > self.bounds.bytes {
            return Err(SpoolError::Full(self.places.len(), self.bytes()));
        }
        self.next += 1;
        self.staged_bytes += size;
        self.staged_values += 1;
        self.staged.push(Item::Put { seq: self.next, value, note });
        Ok(Seq(self.next))
    }

    /// Says something of a value that is in, or was put in just now.
    pub fn note(&mut self, seq: Seq, note: Vec<u8>) {
        self.staged_bytes += note.len() + 16;
        self.staged.push(Item::Note { seq: seq.0, note });
    }

    /// Takes a value out.
    pub fn drop_value(&mut self, seq: Seq) {
        self.staged_bytes += 12;
        self.staged.push(Item::Drop { seq: seq.0 });
    }

    /// How many items wait for the next commit.
    pub fn staged(&self) -> usize {
        self.staged.len()
    }

    /// Makes all that was staged last, in one write and one sync. After an error none of it counts, and the numbers given
    /// to it are void.
    pub fn commit(&mut self) -> Result<(), SpoolError> {
        let items = std::mem::take(&mut self.staged);
        (self.staged_bytes, self.staged_values) = (0, 0);
        if items.is_empty() {
            return Ok(());
        }
        self.write(&items)?;
        self.tidy()
    }

    fn write(&mut self, items: &[Item]) -> Result<(), SpoolError> {
        let bytes = frame::encode(items);
        if bytes.len() > frame::GROUP_MOST {
            return Err(SpoolError::TooLong(bytes.len()));
        }
        let last = self.segments.last_key_value().map(|(file, segment)| (*file, segment.bytes));
        let (file, at) = match last {
            Some((file, at))
                if at + (bytes.len() as u64) <= self.bounds.segment || at <= MAGIC.len() as u64 =>
            {
                (file, at)
            }
            Some((file, _)) => (file + 1, 0),
            None => (0, 0),
        };
        if let Some(torn) = self.torn {
            // What an earlier write left behind is not the beginning of this one.
            let sound = self.segments.get(&torn).map_or(0, |segment| segment.bytes);
            self.shelf.truncate(torn, sound)?;
        }
        self.torn = Some(file);
        let at = if at == 0 {
            self.shelf.append(file, MAGIC)?;
            MAGIC.len() as u64
        } else {
            at
        };
        self.shelf.append(file, &bytes)?;
        self.shelf.sync(file)?;
        self.torn = None;
        self.segments.entry(file).or_default().bytes = at + bytes.len() as u64;
        self.learn(file, at, bytes.len(), items);
        Ok(())
    }

    fn segment(&mut self, file: u64) -> &mut Segment {
        self.segments.entry(file).or_default()
    }

    /// Notes what a group says.
    fn learn(&mut self, file: u64, at: u64, length: usize, items: &[Item]) {
        for item in items {
            match item {
                Item::Put { seq, value, note } => {
                    // A value that is written anew leaves its old segment.
                    self.forget(*seq);
                    let size = (value.len() + note.len()) as u64;
                    let place = Place { file, at, length, size, note: note.clone(), note_file: file };
                    self.places.insert(*seq, place);
                    let segment = self.segment(file);
                    (segment.puts, segment.notes, segment.live) =
                        (segment.puts + 1, segment.notes + 1, segment.live + size);
                }
                Item::Note { seq, note } => {
                    let Some(place) = self.places.get_mut(seq) else { continue };
                    let before = std::mem::replace(&mut place.note_file, file);
                    place.note.clone_from(note);
                    let segment = self.segment(before);
                    segment.notes = segment.notes.saturating_sub(1);
                    self.segment(file).notes += 1;
                }
                Item::Drop { seq } => self.forget(*seq),
            }
        }
    }

    fn forget(&mut self, seq: u64) {
        let Some(place) = self.places.remove(&seq) else { return };
        let segment = self.segment(place.file);
        segment.puts = segment.puts.saturating_sub(1);
        segment.live = segment.live.saturating_sub(place.size);
        let segment = self.segment(place.note_file);
        segment.notes = segment.notes.saturating_sub(1);
    }

    /// Lets the oldest segments go that hold nothing more, and writes anew what is left in one that is sparse. Only the
    /// oldest may go: a later one may hold the drop of a value in an earlier one.
    fn tidy(&mut self) -> Result<(), SpoolError> {
        loop {
            let Some((file, segment)) = self.segments.first_key_value().map(|(file, s)| (*file, *s)) else {
                return Ok(());
            };
            if self.segments.len() == 1 {
                return Ok(());
            }
            if segment.puts == 0 && segment.notes == 0 {
                self.shelf.remove(file)?;
                self.segments.remove(&file);
                continue;
            }
            let crowded = self.bytes() > (self.bounds.bytes as f64 * self.bounds.early) as u64;
            let sparse = (segment.live as f64) < segment.bytes as f64 * self.bounds.sparse;
            if !(sparse || crowded && segment.live * 2 < segment.bytes) {
                return Ok(());
            }
            self.compact(file)?;
        }
    }

    /// Writes all that is live in a segment anew, at the end.
    fn compact(&mut self, file: u64) -> Result<(), SpoolError> {
        let here = |place: &&Place| place.file == file || place.note_file == file;
        let live: Vec<u64> = self.places.iter().filter(|(_, p)| here(p)).map(|(seq, _)| *seq).collect();
        let (mut items, mut size) = (Vec::new(), 0);
        for seq in live {
            let Some(stored) = self.get(Seq(seq))? else { continue };
            size += stored.value.len() + stored.note.len() + 32;
            items.push(Item::Put { seq, value: stored.value, note: stored.note });
            if size > frame::GROUP_MOST / 4 {
                self.write(&items)?;
                (items, size) = (Vec::new(), 0);
            }
        }
        if !items.is_empty() {
            self.write(&items)?;
        }
        Ok(())
    }

    /// The numbers of the values that are in, in order, with what is known of each.
    pub fn notes(&self) -> impl Iterator<Item = (Seq, &[u8])> {
        self.places.iter().map(|(seq, place)| (Seq(*seq), place.note.as_slice()))
    }

    /// A value that is in, read from its segment.
    pub fn get(&mut self, seq: Seq) -> Result<Option<Stored>, SpoolError> {
        let Some(place) = self.places.get(&seq.0).cloned() else { return Ok(None) };
        let bytes = self.shelf.read_at(place.file, place.at, place.length)?;
        let spoilt = SpoolError::Spoilt { file: place.file, at: place.at as usize };
        let frame = frame::decode(&bytes, 0).ok_or(spoilt)?;
        let value = frame.items.into_iter().find_map(|item| match item {
            Item::Put { seq: of, value, .. } if of == seq.0 => Some(value),
            _ => None,
        });
        let value = value.ok_or(SpoolError::Unknown(seq.0))?;
        Ok(Some(Stored { seq, value, note: place.note }))
    }

    /// Its files back.
    pub fn into_shelf(self) -> S {
        self.shelf
    }
}

fn highest(items: &[Item]) -> u64 {
    let seq = |item: &Item| match item {
        Item::Put { seq, .. } | Item::Note { seq, .. } | Item::Drop { seq } => *seq,
    };
    items.iter().map(seq).max().unwrap_or(0)
}
