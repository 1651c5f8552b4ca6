//! A drawn deployment as plain data: settings, stores, what is asked of it and what goes wrong, all with their times. It
//! can be printed, replayed and made smaller. Times are milliseconds from the day's start.

use gingerledge_dispatch::Settings;

/// One deployment and one short day of it.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Decides whatever is not written here: service times, fates of attempts, delays.
    pub seed: u64,
    /// The clock at the day's start.
    pub base: f64,
    /// What every broker is told.
    pub settings: Settings,
    /// Whether brokers are told their own number.
    pub indexed: bool,
    /// Whether turns keep the shortest gap, as in batches, or follow at once on what happens.
    pub batches: bool,
    /// The zone of each broker.
    pub brokers: Vec<u32>,
    /// The stores at the start.
    pub stores: Vec<Store>,
    /// What all stores have in common.
    pub kind: Kind,
    /// How brokers learn of stores.
    pub telling: Telling,
    /// The queries, by time.
    pub asks: Vec<Asked>,
    /// What goes wrong, by time.
    pub faults: Vec<(f64, Fault)>,
}

/// A store at the start.
#[derive(Clone, Debug)]
pub struct Store {
    pub cell: u32,
    pub zone: u32,
    /// How long before the day it started; none for long ago.
    pub age: Option<f64>,
}

/// How stores and the network between behave. Shares are of attempts.
#[derive(Clone, Debug, Default)]
pub struct Kind {
    pub cores: usize,
    pub queue: usize,
    /// The spread of work from one attempt to the next.
    pub noise: f64,
    /// Errors; broken connections; answers that are lost; connections that do not come about.
    pub error: f64,
    pub broken: f64,
    pub lost: f64,
    pub unreached: f64,
    /// Whether what is given up is dropped from the queue.
    pub drops: bool,
    /// One way, within a zone and between zones, and its spread.
    pub same_ms: f64,
    pub cross_ms: f64,
    pub jitter: f64,
    pub dial_ms: f64,
    /// Figures in a load report, and the share of reports that are garbage.
    pub figures: usize,
    pub garbage: f64,
}

/// How long news takes from discovery to a broker, and how often a call for the list fails.
#[derive(Clone, Debug, Default)]
pub struct Telling {
    pub least_ms: f64,
    pub spread_ms: f64,
    pub call_fails: f64,
}

/// A query.
#[derive(Clone, Debug)]
pub struct Asked {
    pub at: f64,
    pub broker: usize,
    pub class: usize,
    pub tenant: Option<usize>,
    /// When its client stops waiting, and when it leaves before that.
    pub deadline: f64,
    pub leaves: Option<f64>,
    pub repeated: bool,
    /// Shard, weight, work, and the guess at it.
    pub parts: Vec<(u32, f64, f64, Option<f64>)>,
}

/// Something that goes wrong, or is done by operators.
#[derive(Clone, Debug)]
pub enum Fault {
    /// A process dies, or its machine falls silent; it comes back cold, under its number or another.
    Crash { store: usize, silent: bool, back_ms: f64, same: bool, told_ms: f64 },
    /// A store drains, ends, and another takes its place.
    Release { store: usize, lead_ms: f64, ends_ms: f64, next_ms: f64 },
    /// It is said to drain, or to be gone, and is back on the list later, as it was.
    Alarm { store: usize, gone: bool, back_ms: f64 },
    /// It does nothing for a while.
    Hang { store: usize, ms: f64 },
    /// It is so many times slower for a while.
    Slow { store: usize, times: f64, ms: f64 },
    /// Discovery is down: no news, calls fail, and subscriptions break or fall silent.
    Deaf { ms: f64, breaks: bool },
    /// A broker is told the whole list again.
    Relist { broker: usize },
    /// A broker is killed and starts anew with an older list.
    Kill { broker: usize, back_ms: f64 },
    /// Two processes of a broker serve for a while.
    Shared { broker: usize, ms: f64 },
}

/// A number from 0 up to 1 that depends on the seed and these alone.
pub fn roll(seed: u64, of: &[u64]) -> f64 {
    let mix = |x: u64, y: &u64| {
        let mut z = (x ^ y.wrapping_mul(0xA24B_AED4_963E_E407)).wrapping_add(0x9E37_79B9_7F4A_7C15);
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        z ^ (z >> 31)
    };
    (of.iter().fold(mix(seed, &1), mix) >> 11) as f64 / (1u64 << 53) as f64
}
