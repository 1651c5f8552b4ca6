//! Every byte of a log: cut off anywhere it is read up to its last whole record, and a changed byte is refused. The real file too.
#![allow(clippy::unwrap_used, clippy::expect_used)]

mod world;

use gingerledge_agreement::{Disk, FileDisk, ForgetfulDisk, Machine, OpenError, Voter, VoterId};
use world::{bounds, Diary, World};

const VOTERS: [VoterId; 3] = [VoterId(1), VoterId(2), VoterId(3)];

fn open(bytes: &[u8]) -> Result<Voter<ForgetfulDisk, Diary>, OpenError> {
    Voter::open(VOTERS[0], &VOTERS, ForgetfulDisk::with(bytes.to_vec()), Diary::default(), bounds(), 7, 0.0)
}

/// The log of a voter with a snapshot and entries behind it, and the world it is from.
fn a_log() -> (World, Vec<u8>) {
    let mut world = World::new(3, 11, bounds());
    world.until(3_000.0, |world| world.leader().is_some());
    for _ in 0..16 {
        let leader = world.leader().unwrap();
        world.propose(leader);
        world.run(100.0);
    }
    let bytes = world.node(0).unwrap().disk().bytes().to_vec();
    assert!(world.done.len() > 12 && bytes.len() > 400, "{} done, {} bytes", world.done.len(), bytes.len());
    (world, bytes)
}

/// What a voter that was opened believes is what stood there.
fn sound(world: &World, voter: &Voter<ForgetfulDisk, Diary>) {
    for (index, command) in &voter.machine().seen {
        assert_eq!(world.ledger.get(index), Some(command));
    }
    assert_eq!(voter.machine().seen.len(), world.ledger.range(..=voter.applied()).count());
}

#[test]
fn a_log_cut_anywhere_is_read_to_its_last_whole_record_or_refused() {
    let (world, bytes) = a_log();
    let (mut opened, mut whole) = (0, 0);
    for cut in 0..=bytes.len() {
        for zeros in [0, 4, 40] {
            let mut left = bytes[..cut].to_vec();
            left.resize(cut + zeros, 0);
            // With nothing left it is a voter without its disk.
            if let Ok(voter) = open(&left) {
                assert_eq!(voter.votes(), !left.is_empty());
                sound(&world, &voter);
                let kept = voter.disk().bytes();
                let again = open(kept).expect("what was repaired stays");
                assert_eq!((again.applied(), again.disk().bytes()), (voter.applied(), kept));
                opened += 1;
                whole += usize::from(kept.len() == bytes.len());
            }
        }
    }
    assert!(opened > 100 && whole >= 3, "{opened} opened, {whole} whole");
}

#[test]
fn a_changed_byte_is_never_read_and_never_taken_for_a_cut() {
    let (world, bytes) = a_log();
    let applied = open(&bytes).unwrap().applied();
    for at in 0..bytes.len() {
        for change in [0x01, 0x80, 0xff, bytes[at]] {
            let mut changed = bytes.clone();
            changed[at] ^= change;
            match open(&changed) {
                Err(OpenError::Log(_)) => {}
                Err(other) => panic!("byte {at}: {other}"),
                // An end mark says nothing of the record before it, and a zero may have been one.
                Ok(voter) => {
                    sound(&world, &voter);
                    assert_eq!(voter.applied(), applied);
                    assert_eq!(voter.disk().bytes().len(), bytes.len(), "byte {at}: a record was forgotten");
                }
            }
        }
    }
}

#[test]
fn a_file_lasts_and_has_one_user() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("agreement.log");
    let mut disk = FileDisk::open(&path).unwrap();
    assert_eq!(disk.load().unwrap(), b"");
    disk.append(b"one").unwrap();
    disk.replace(b"two").unwrap();
    disk.append(b", three").unwrap();
    assert!(FileDisk::open(&path).is_err(), "a second user");
    drop(disk);
    assert_eq!(FileDisk::open(&path).unwrap().load().unwrap(), b"two, three");
    // And a voter on it is the same voter again.
    drop(std::fs::remove_file(&path));
    let at = |seed| {
        let disk = FileDisk::open(&path).unwrap();
        Voter::open(VOTERS[0], &VOTERS, disk, Diary::default(), bounds(), seed, 0.0)
    };
    let mut first = at(1).unwrap();
    let due = first.due();
    let asks = first.handle(due, gingerledge_agreement::Event::Tick).unwrap();
    drop(first);
    assert_eq!(
        at(2).unwrap().handle(due, gingerledge_agreement::Event::Tick).unwrap(),
        asks,
        "another incarnation"
    );
}

#[test]
fn what_cannot_be_worked_with_is_refused_with_its_name() {
    let open = |id, voters: &[u64], bytes: &[u8]| {
        let voters: Vec<VoterId> = voters.iter().copied().map(VoterId).collect();
        Voter::open(
            VoterId(id),
            &voters,
            ForgetfulDisk::with(bytes.to_vec()),
            Diary::default(),
            bounds(),
            7,
            0.0,
        )
        .map(drop)
        .map_err(|error| error.to_string())
    };
    let (_, bytes) = a_log();
    for (id, voters) in
        [(1, vec![1, 2]), (1, vec![1, 2, 2]), (4, vec![1, 2, 3]), (1, vec![0, 1, 2]), (1, vec![1, 2, 3, 4])]
    {
        assert!(open(id, &voters, b"").unwrap_err().contains("3, 5 or 7"), "{voters:?}");
    }
    assert!(open(2, &[1, 2, 3], &bytes).unwrap_err().contains("of voter 1"));
    assert!(open(1, &[1, 2, 3, 4, 5], &bytes).unwrap_err().contains("changes of voters"));
    assert!(open(1, &[1, 2, 3], b"something else").unwrap_err().contains("no agreement log"));
    assert_eq!(Diary::default().snapshot(), [0]);
}
