//! Random cuts of valid messages and random garbage, from fixed seeds.

use std::fmt::Debug;

use quickcheck::{Arbitrary, Gen};

const ROUNDS: u64 = 200;

/// However a valid message is cut on its way, reading it piece by piece must give the same.
pub fn cuts<T: Debug + PartialEq>(message: &[u8], read: impl Fn(&[&[u8]]) -> T) {
    let whole = read(&[message]);
    for seed in 0..ROUNDS {
        let mut gen = Gen::from_size_and_seed(16, seed);
        let mut at: Vec<usize> = Vec::arbitrary(&mut gen);
        at.iter_mut().for_each(|at| *at %= message.len() + 1);
        at.extend([0, message.len()]);
        at.sort_unstable();
        let pieces: Vec<&[u8]> = at.windows(2).map(|pair| &message[pair[0]..pair[1]]).collect();
        assert_eq!(read(&pieces), whole, "seed {seed}, cut at {at:?}");
    }
}

/// Garbage, and a valid message cut short or with bytes changed, may be refused but never panic.
pub fn garbage(message: &[u8], read: impl Fn(&[u8])) {
    for seed in 0..ROUNDS {
        let mut gen = Gen::from_size_and_seed(64, seed);
        read(&Vec::<u8>::arbitrary(&mut gen));
        let mut bytes = message.to_vec();
        for _ in 0..1 + seed % 4 {
            let at = usize::arbitrary(&mut gen) % bytes.len().max(1);
            bytes[at] = u8::arbitrary(&mut gen);
        }
        read(&bytes);
        bytes.truncate(usize::arbitrary(&mut gen) % (message.len() + 1));
        read(&bytes);
    }
}
