//! One identity for an entry: device, epoch, number, and the content's hash. It owns, for each device, the numbers seen lately
//! in its last two epochs. It promises that an entry seen before is told apart from a new one and from one with the same number
//! and other content, however it came; that for what lies before its memory it says so, and never `new`; and that its memory
//! is bounded for each device and by the number of devices.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};

/// Numbers remembered in an epoch, from the highest down.
pub const WINDOW: u64 = 256;
/// Epochs remembered for a device.
pub const EPOCHS: usize = 2;

/// A device, as the yards' list numbers it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct DeviceId(pub u32);

/// An entry's name. Epochs rise with each start of the device, numbers within an epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EntryId {
    /// Whose.
    pub device: DeviceId,
    /// After which of its starts.
    pub epoch: u32,
    /// Which of those since.
    pub number: u64,
}

/// A hash of an entry's content, from whoever read it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Content(pub u64);

/// What an entry is to one who has seen others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Seen<T> {
    /// It has not been seen.
    New,
    /// It has been seen; this is what was kept of it.
    Same(T),
    /// Its number has been seen with other content.
    Other(T),
    /// It lies before what is remembered.
    TooOld,
    /// The device is one too many.
    Crowded,
}

/// The numbers seen in an epoch.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Window<T> {
    /// Numbers up to and without this one are forgotten.
    pub floor: u64,
    seen: BTreeMap<u64, (Content, T)>,
}

impl<T> Default for Window<T> {
    fn default() -> Self {
        Self { floor: 0, seen: BTreeMap::new() }
    }
}

#[derive(Clone, Debug)]
struct Device<T> {
    /// Epochs before the first of these are forgotten.
    epochs: BTreeMap<u32, Window<T>>,
    floor: u32,
}

/// The windows of all devices. See the module's description.
#[derive(Clone, Debug)]
pub struct Windows<T> {
    devices: HashMap<DeviceId, Device<T>>,
    most: usize,
}

impl<T: Copy> Windows<T> {
    /// No device yet; so many at the most.
    pub fn new(most: usize) -> Self {
        Self { devices: HashMap::new(), most }
    }

    /// What an entry is, without noting it.
    pub fn look(&self, id: EntryId, content: Content) -> Seen<T> {
        let Some(device) = self.devices.get(&id.device) else {
            return if self.devices.len() < self.most { Seen::New } else { Seen::Crowded };
        };
        if id.epoch < device.floor {
            return Seen::TooOld;
        }
        let Some(window) = device.epochs.get(&id.epoch) else {
            // An epoch between or before those remembered, of which nothing is known.
            let newest = device.epochs.keys().next_back().copied().unwrap_or(0);
            return if id.epoch > newest || device.epochs.len() < EPOCHS { Seen::New } else { Seen::TooOld };
        };
        match window.seen.get(&id.number) {
            Some((known, kept)) if *known == content => Seen::Same(*kept),
            Some((_, kept)) => Seen::Other(*kept),
            None if id.number < window.floor => Seen::TooOld,
            None => Seen::New,
        }
    }

    /// Notes an entry that is new, or what is kept of one that is known. What falls out of the window with that is returned:
    /// its fate can't be asked for any more.
    pub fn note(&mut self, id: EntryId, content: Content, kept: T) -> Vec<(EntryId, T)> {
        let mut out = Vec::new();
        let device =
            self.devices.entry(id.device).or_insert_with(|| Device { epochs: BTreeMap::new(), floor: 0 });
        let window = device.epochs.entry(id.epoch).or_default();
        window.seen.insert(id.number, (content, kept));
        let highest = window.seen.keys().next_back().copied().unwrap_or(0);
        window.floor = window.floor.max((highest + 1).saturating_sub(WINDOW));
        while let Some(entry) = window.seen.first_entry().filter(|entry| *entry.key() < window.floor) {
            let (number, (_, kept)) = entry.remove_entry();
            out.push((EntryId { number, ..id }, kept));
        }
        while device.epochs.len() > EPOCHS {
            let Some((epoch, window)) = device.epochs.pop_first() else { break };
            device.floor = device.floor.max(epoch + 1);
            let forgotten = window.seen.into_iter();
            out.extend(
                forgotten.map(|(number, (_, kept))| (EntryId { device: id.device, epoch, number }, kept)),
            );
        }
        out
    }

    /// Takes an entry back that was noted and came to nothing: its device has not been told of it.
    pub fn unnote(&mut self, id: EntryId) {
        if let Some(window) = self.devices.get_mut(&id.device).and_then(|d| d.epochs.get_mut(&id.epoch)) {
            window.seen.remove(&id.number);
        }
    }

    /// The lowest epoch and number of a device that are not forgotten, to be kept across restarts.
    pub fn floors(&self, device: DeviceId) -> (u32, Vec<(u32, u64)>) {
        self.devices.get(&device).map_or((0, Vec::new()), |device| {
            (device.floor, device.epochs.iter().map(|(epoch, window)| (*epoch, window.floor)).collect())
        })
    }

    /// Raises a device's floors to what was kept.
    pub fn restore(&mut self, device: DeviceId, floor: u32, floors: &[(u32, u64)]) {
        let device =
            self.devices.entry(device).or_insert_with(|| Device { epochs: BTreeMap::new(), floor: 0 });
        device.floor = device.floor.max(floor);
        for (epoch, number) in floors.iter().filter(|(epoch, _)| *epoch >= device.floor) {
            let window = device.epochs.entry(*epoch).or_default();
            window.floor = window.floor.max(*number);
        }
    }

    /// How many entries are remembered, over all devices.
    pub fn len(&self) -> usize {
        self.devices.values().flat_map(|device| device.epochs.values()).map(|window| window.seen.len()).sum()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
