//! The spool against a plain map: random work, crashes at every byte, full disks, spoilt bytes.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;

use fastrand::Rng;
use gingerledge_spool::{Bounds, DirShelf, ForgetfulShelf, Level, Seq, Shelf, Spool, SpoolError};

fn bounds() -> Bounds {
    Bounds { bytes: 64 << 10, segment: 2 << 10, values: 500, early: 0.6, sparse: 0.3 }
}

type Plain = BTreeMap<Seq, (Vec<u8>, Vec<u8>)>;

fn found<S: Shelf>(spool: &mut Spool<S>) -> Plain {
    let all: Vec<Seq> = spool.notes().map(|(seq, _)| seq).collect();
    let get = |seq: Seq| {
        let stored = spool.get(seq).unwrap().unwrap();
        (seq, (stored.value, stored.note))
    };
    all.into_iter().map(get).collect()
}

/// Some work, committed or not; the plain map follows only what was.
fn work<S: Shelf>(rng: &mut Rng, spool: &mut Spool<S>, plain: &mut Plain) -> Result<(), SpoolError> {
    let mut next = plain.clone();
    for _ in 0..rng.usize(1..6) {
        let some = next.keys().nth(rng.usize(..next.len().max(1))).copied();
        match (rng.u32(..5), some) {
            (0 | 1, _) | (_, None) => {
                let size = rng.usize(..200);
                let value: Vec<u8> = std::iter::repeat_with(|| rng.u8(b'a'..b'f')).take(size).collect();
                match spool.put(value.clone(), vec![1]) {
                    Ok(seq) => drop(next.insert(seq, (value, vec![1]))),
                    Err(SpoolError::Full(..)) => {}
                    Err(other) => panic!("{other}"),
                }
            }
            (2, Some(seq)) => {
                let note = vec![rng.u8(..), rng.u8(..)];
                spool.note(seq, note.clone());
                next.entry(seq).and_modify(|(_, known)| *known = note);
            }
            (_, Some(seq)) => {
                spool.drop_value(seq);
                next.remove(&seq);
            }
        }
    }
    spool.commit()?;
    *plain = next;
    Ok(())
}

#[test]
fn it_equals_a_plain_map_through_restarts_and_stays_within_its_bounds() {
    for seed in 0..60 {
        let mut rng = Rng::with_seed(seed);
        let mut spool = Spool::open(ForgetfulShelf::default(), bounds()).unwrap();
        let mut plain = Plain::new();
        for round in 0..200 {
            work(&mut rng, &mut spool, &mut plain).unwrap();
            assert!(spool.bytes() <= bounds().bytes, "seed {seed}: {}", spool.bytes());
            if round % 20 == 19 {
                assert_eq!(found(&mut spool), plain, "seed {seed}");
                let mut shelf = spool.into_shelf();
                shelf.crash(rng.usize(..300));
                spool = Spool::open(shelf, bounds()).unwrap();
                assert_eq!(found(&mut spool), plain, "seed {seed}, after a restart");
            }
        }
        let live: usize = plain.values().map(|(value, _)| value.len()).sum();
        assert!(spool.bytes() < 12 * 1024 + 8 * live as u64, "seed {seed}: {} for {live}", spool.bytes());
    }
}

/// A disk that ends the power after so many bytes of writing.
#[derive(Clone)]
struct Mortal(ForgetfulShelf, usize);

impl Shelf for Mortal {
    fn list(&mut self) -> std::io::Result<Vec<u64>> {
        self.0.list()
    }
    fn read(&mut self, file: u64) -> std::io::Result<Vec<u8>> {
        self.0.read(file)
    }
    fn read_at(&mut self, file: u64, at: u64, length: usize) -> std::io::Result<Vec<u8>> {
        self.0.read_at(file, at, length)
    }
    fn append(&mut self, file: u64, bytes: &[u8]) -> std::io::Result<()> {
        let taken = bytes.len().min(self.1);
        self.1 -= taken;
        self.0.append(file, &bytes[..taken])?;
        if taken < bytes.len() {
            Err(std::io::ErrorKind::BrokenPipe.into())
        } else {
            Ok(())
        }
    }
    fn sync(&mut self, file: u64) -> std::io::Result<()> {
        if self.1 == 0 {
            Err(std::io::ErrorKind::BrokenPipe.into())
        } else {
            self.0.sync(file)
        }
    }
    fn truncate(&mut self, file: u64, length: u64) -> std::io::Result<()> {
        self.0.truncate(file, length)
    }
    fn remove(&mut self, file: u64) -> std::io::Result<()> {
        self.0.remove(file)
    }
}

#[test]
fn killed_at_any_byte_it_finds_all_that_was_committed_and_nothing_in_part() {
    let small = Bounds { segment: 300, ..bounds() };
    for seed in 0..4 {
        for power in (0..4000).step_by(7) {
            let mut rng = Rng::with_seed(seed);
            let mut plain = Plain::new();
            let Ok(mut spool) = Spool::open(Mortal(ForgetfulShelf::default(), power), small) else {
                continue;
            };
            let mut last = plain.clone();
            let died = (0..40).any(|_| {
                last.clone_from(&plain);
                work(&mut rng, &mut spool, &mut plain).is_err()
            });
            let mut shelf = spool.into_shelf().0;
            for kept in [0, 1, 40, 100_000] {
                let mut shelf = shelf.clone();
                shelf.crash(kept);
                let mut spool =
                    Spool::open(shelf, small).unwrap_or_else(|e| panic!("seed {seed}, {power}, {kept}: {e}"));
                let got = found(&mut spool);
                // The group that was being written is there whole or not at all. What it says is not known here, so it is
                // told by a second life, played with the power left on.
                if got != plain {
                    let mut rng = Rng::with_seed(seed);
                    let (mut other, mut whole) =
                        (Spool::open(ForgetfulShelf::default(), small).unwrap(), Plain::new());
                    let lives = (0..41).any(|_| {
                        work(&mut rng, &mut other, &mut whole).unwrap();
                        whole == got
                    });
                    assert!(died && lives, "seed {seed}, {power}, {kept}");
                }
                spool.put(vec![9; 30], vec![]).unwrap();
                spool.commit().unwrap();
            }
            shelf.crash(0);
        }
    }
}

#[test]
fn a_full_disk_is_said_early_refuses_and_empties_itself() {
    let mut spool = Spool::open(ForgetfulShelf::default(), bounds()).unwrap();
    let mut rng = Rng::with_seed(5);
    let (mut all, mut levels) = (Vec::new(), vec![spool.level()]);
    loop {
        let value: Vec<u8> = std::iter::repeat_with(|| rng.u8(..)).take(400).collect();
        match spool.put(value, vec![]) {
            Ok(seq) => all.push(seq),
            Err(SpoolError::Full(values, bytes)) => {
                assert_eq!((values, bytes), (spool.len(), spool.bytes()));
                break;
            }
            Err(other) => panic!("{other}"),
        }
        spool.commit().unwrap();
        if levels.last() != Some(&spool.level()) {
            levels.push(spool.level());
        }
    }
    assert_eq!(levels, [Level::Room, Level::Filling]);
    assert!(all.len() > 100);
    // It never needs more room to say that values are out.
    for seq in all {
        spool.drop_value(seq);
        spool.commit().unwrap();
        assert!(spool.bytes() <= bounds().bytes);
    }
    assert!(spool.is_empty() && spool.bytes() < 4096, "{}", spool.bytes());
    // The disk itself full: what was staged does not count, what was there stays, and later there is room again.
    let mut shelf = spool.into_shelf();
    shelf.most = Some(shelf.size() + 10);
    let mut spool = Spool::open(shelf, bounds()).unwrap();
    let lost = spool.put(vec![1; 100], vec![]).unwrap();
    assert!(matches!(spool.commit(), Err(SpoolError::Io(_))));
    assert_eq!(spool.get(lost).unwrap(), None);
    let mut shelf = spool.into_shelf();
    shelf.most = None;
    let mut spool = Spool::open(shelf, bounds()).unwrap();
    let seq = spool.put(vec![2; 100], vec![3]).unwrap();
    spool.commit().unwrap();
    assert_eq!(spool.get(seq).unwrap().unwrap().note, [3]);
}

#[test]
fn spoilt_bytes_are_refused_or_end_the_last_group_and_are_never_read() {
    let mut spool = Spool::open(ForgetfulShelf::default(), Bounds { segment: 400, ..bounds() }).unwrap();
    let (mut values, mut rng) = (Vec::new(), Rng::with_seed(9));
    for n in 0..12u8 {
        let value: Vec<u8> = std::iter::repeat_with(|| rng.u8(..)).take(60 + n as usize).collect();
        spool.put(value.clone(), vec![n]).unwrap();
        spool.commit().unwrap();
        values.push(value);
    }
    let shelf = spool.into_shelf();
    let files = shelf.clone().list().unwrap();
    assert!(files.len() > 1);
    for file in &files {
        let length = shelf.clone().read(*file).unwrap().len();
        for at in 0..length {
            let mut spoilt = shelf.clone();
            spoilt.bytes_mut(*file).unwrap()[at] ^= 0x41;
            match Spool::open(spoilt, bounds()) {
                Err(SpoolError::Spoilt { file: named, .. }) => assert_eq!(named, *file),
                Err(other) => panic!("{other}"),
                Ok(mut spool) => {
                    assert_eq!(Some(file), files.last(), "byte {at} of {file}");
                    let got: Vec<Vec<u8>> = found(&mut spool).into_values().map(|(value, _)| value).collect();
                    assert_eq!(got, values[..values.len() - 1], "byte {at}");
                }
            }
        }
    }
}

#[test]
fn in_a_folder_it_is_the_same() {
    let dir = tempfile::tempdir().unwrap();
    let mut plain = Plain::new();
    let mut rng = Rng::with_seed(3);
    for _ in 0..5 {
        let mut spool = Spool::open(DirShelf::open(dir.path()).unwrap(), bounds()).unwrap();
        assert_eq!(found(&mut spool), plain);
        for _ in 0..20 {
            work(&mut rng, &mut spool, &mut plain).unwrap();
        }
    }
    assert!(std::fs::read_dir(dir.path()).unwrap().count() >= 1);
}
