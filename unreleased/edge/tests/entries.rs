//! Entries through lost words, restarts, full disks and stores that can't say, from fixed seeds; and small cases in full.
#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, HashMap, HashSet};

use fastrand::Rng;
use gingerledge_edge::*;

fn id(device: u32, epoch: u32, number: u64) -> EntryId {
    EntryId { device: DeviceId(device), epoch, number }
}

fn bounds() -> Bounds {
    Bounds { devices: 20, open: 60, tokens: 4, again_ms: 10, again_most_ms: 200, questions: 3 }
}

/// An edge with its disk, the stores behind it and the devices before it.
struct World {
    seed: u64,
    rng: Rng,
    now: u64,
    entries: Entries,
    /// What lasts.
    disk: BTreeMap<Handle, (EntryId, Content, State)>,
    /// What was told to be kept and does not last yet.
    writing: Vec<(Handle, State)>,
    queued: Vec<Handle>,
    asks: Vec<Handle>,
    /// Attempts out, and whether each has run.
    out: Vec<(Handle, bool)>,
    runs: HashMap<EntryId, u32>,
    told: HashMap<Token, (EntryId, Verdict)>,
    tokens: HashMap<Token, EntryId>,
    next: u64,
    stores_can_say: bool,
    calm: bool,
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            seed,
            rng: Rng::with_seed(seed),
            now: 0,
            entries: Entries::new(bounds()),
            disk: BTreeMap::new(),
            writing: Vec::new(),
            queued: Vec::new(),
            asks: Vec::new(),
            out: Vec::new(),
            runs: HashMap::new(),
            told: HashMap::new(),
            tokens: HashMap::new(),
            next: 0,
            stores_can_say: true,
            calm: false,
        }
    }

    fn event(&mut self, event: Event) {
        let actions = self.entries.handle_event(self.now, event);
        self.carry_out(actions);
    }

    fn carry_out(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Keep(handle, state) => self.writing.push((handle, state)),
                Action::Forget(handle) => drop(self.disk.remove(&handle)),
                Action::Tell(token, verdict) => drop(self.told.insert(token, (self.tokens[&token], verdict))),
                Action::Queue(handle) => self.queued.push(handle),
                Action::Send(handle) => {
                    assert!(self.out.iter().all(|(out, _)| *out != handle), "seed {}: two out", self.seed);
                    self.out.push((handle, false));
                }
                Action::Ask(handle) => self.asks.push(handle),
                Action::List(..) => {}
            }
        }
    }

    fn come(&mut self, id: EntryId, content: u64) -> Token {
        self.next += 1;
        let token = Token(self.next);
        self.tokens.insert(token, id);
        self.event(Event::Came { id, content: Content(content), token });
        token
    }

    fn id_of(&self, handle: Handle) -> Option<EntryId> {
        self.entries.id(handle).map(|(id, _)| id)
    }

    fn step(&mut self) {
        self.now += self.rng.u64(1..8);
        match self.rng.u32(..12) {
            0 | 1 if !self.calm => {
                let (device, number) = (self.rng.u32(..4), self.rng.u64(..30));
                self.come(id(device, 1, number), u64::from(device) * 1000 + number);
            }
            2..=4 if !self.writing.is_empty() => {
                let (handle, state) = self.writing.remove(0);
                if !self.calm && self.rng.u32(..20) == 0 {
                    self.event(Event::NotKept(handle));
                } else if let Some((id, content)) = self.entries.id(handle) {
                    self.disk.insert(handle, (id, content, state));
                    self.event(Event::Kept(handle));
                }
            }
            5 if !self.queued.is_empty() => {
                let handle = self.queued.swap_remove(self.rng.usize(..self.queued.len()));
                self.event(Event::Turn(handle));
            }
            // An attempt that is out runs.
            6 if !self.out.is_empty() => {
                let n = self.rng.usize(..self.out.len());
                let (handle, ran) = self.out[n];
                if !ran {
                    self.out[n].1 = true;
                    let id = self.id_of(handle).unwrap();
                    *self.runs.entry(id).or_default() += 1;
                }
            }
            7 if !self.out.is_empty() => {
                let (handle, ran) = self.out.swap_remove(self.rng.usize(..self.out.len()));
                let outcome = match (ran, self.calm || self.rng.bool()) {
                    (true, true) => Outcome::Stored,
                    (true, false) => Outcome::MayHaveRun,
                    (false, true) if self.rng.u32(..30) == 0 => Outcome::Refused,
                    (false, true) => Outcome::NeverRan,
                    // Its answer is lost, and it may yet run: here it does not.
                    (false, false) => Outcome::MayHaveRun,
                };
                self.event(Event::Ended(handle, outcome));
            }
            8 if !self.asks.is_empty() => {
                let handle = self.asks.swap_remove(0);
                let ran = self.id_of(handle).is_some_and(|id| self.runs.contains_key(&id));
                let known = match (self.stores_can_say, ran) {
                    (false, _) => Known::Unknown,
                    (true, true) => Known::Ran,
                    (true, false) => Known::NeverRan,
                };
                self.event(Event::Answered(handle, known));
            }
            9 if !self.calm && self.rng.u32(..25) == 0 => self.restart(),
            10 if !self.calm && self.rng.u32(..10) == 0 => self.stores_can_say = self.rng.bool(),
            _ => self.event(Event::Tick),
        }
    }

    /// The power goes: what was being written may or may not have come to last; nobody hears of the rest.
    fn restart(&mut self) {
        for (handle, state) in std::mem::take(&mut self.writing) {
            if self.rng.bool() {
                if let Some((id, content)) = self.entries.id(handle) {
                    self.disk.insert(handle, (id, content, state));
                }
            }
        }
        self.queued.clear();
        self.asks.clear();
        // Attempts that are out end without anyone to tell; those that have not run never will.
        self.out.clear();
        self.entries = Entries::new(bounds());
        for (handle, (id, content, state)) in self.disk.clone() {
            let actions = self.entries.restore(self.now, handle, id, content, state);
            self.carry_out(actions);
        }
    }

    fn check(&self) {
        let seed = self.seed;
        assert!(self.runs.values().all(|runs| *runs == 1), "seed {seed}: ran twice: {:?}", self.runs);
        let mut fates: HashMap<EntryId, State> = HashMap::new();
        for (handle, (id, ..)) in &self.disk {
            let state = self.entries.state(*handle).unwrap();
            assert!(fates.insert(*id, state).is_none(), "seed {seed}: {id:?} is there twice");
        }
        let taken: HashSet<EntryId> =
            self.told.values().filter(|(_, verdict)| *verdict == Verdict::Taken).map(|(id, _)| *id).collect();
        for id in taken {
            match fates.get(&id) {
                Some(State::Ended(Fate::Stored)) => {
                    assert!(self.runs.contains_key(&id), "seed {seed}: {id:?}")
                }
                Some(State::Ended(Fate::Refused)) => {
                    assert!(!self.runs.contains_key(&id), "seed {seed}: {id:?}")
                }
                other => panic!("seed {seed}: {id:?} was taken and is {other:?}"),
            }
        }
        assert_eq!(self.entries.open(), 0, "seed {seed}");
    }
}

#[test]
fn what_was_taken_is_stored_once_or_refused_through_losses_and_restarts() {
    let seeds: u64 = std::env::var("SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(400);
    let (mut stored, mut doubts) = (0, 0);
    for seed in 0..seeds {
        let mut world = World::new(seed);
        for _ in 0..1500 {
            world.step();
            doubts += usize::from(!world.asks.is_empty());
        }
        (world.calm, world.stores_can_say) = (true, true);
        for _ in 0..6000 {
            world.step();
        }
        world.check();
        stored += world.runs.len();
    }
    assert!(stored > 30 * seeds as usize && doubts > seeds as usize, "{stored} stored, {doubts} doubts");
}

#[test]
fn an_entry_in_doubt_is_never_simply_sent_and_goes_to_the_operators() {
    let mut world = World::new(1);
    world.come(id(1, 1, 1), 7);
    let handle = world.entries.handle(id(1, 1, 1), Content(7)).unwrap();
    let kept = |world: &mut World| {
        for (handle, _) in std::mem::take(&mut world.writing) {
            world.event(Event::Kept(handle));
        }
    };
    kept(&mut world);
    world.event(Event::Turn(handle));
    assert!(world.out.is_empty(), "an attempt before it is written down");
    kept(&mut world);
    assert_eq!(world.out, [(handle, false)]);
    world.event(Event::Ended(handle, Outcome::MayHaveRun));
    kept(&mut world);
    for round in 0..6 {
        assert_eq!(world.asks.pop(), Some(handle), "round {round}");
        world.event(Event::Answered(handle, Known::Unknown));
        world.event(Event::Turn(handle));
        assert_eq!(world.out.len(), 1, "it was sent again in doubt");
        assert_eq!(world.entries.listed().count(), usize::from(round >= 2));
        world.now = world.entries.due().unwrap();
        world.event(Event::Tick);
    }
    world.event(Event::Settled(handle, Settled::Stored));
    kept(&mut world);
    assert_eq!(world.entries.state(handle), Some(State::Ended(Fate::Stored)));
    assert_eq!(world.entries.listed().count(), 0);
    // A later word changes nothing.
    world.event(Event::Answered(handle, Known::NeverRan));
    world.event(Event::Settled(handle, Settled::SendAgain));
    assert!(world.writing.is_empty());
}

#[test]
fn a_device_is_told_what_is_so() {
    let mut world = World::new(1);
    let first = world.come(id(1, 1, 5), 7);
    let again = world.come(id(1, 1, 5), 7);
    let other = world.come(id(1, 1, 5), 8);
    assert_eq!(world.told.get(&other), Some(&(id(1, 1, 5), Verdict::Conflict)));
    assert!(!world.told.contains_key(&first) && !world.told.contains_key(&again), "told before it lasts");
    let (handle, _) = world.writing.remove(0);
    world.event(Event::Kept(handle));
    assert_eq!((world.told[&first].1, world.told[&again].1), (Verdict::Taken, Verdict::Taken));
    let known = world.come(id(1, 1, 5), 7);
    assert_eq!(world.told[&known].1, Verdict::Known(State::Spooled));
    // After the device's restart the same number is another entry.
    let restarted = world.come(id(1, 2, 5), 7);
    let (handle, _) = world.writing.remove(0);
    world.event(Event::NotKept(handle));
    assert_eq!(world.told[&restarted].1, Verdict::Later);
    // Nothing was taken, so it may come again.
    let once_more = world.come(id(1, 2, 5), 7);
    assert!(!world.told.contains_key(&once_more) && world.writing.len() == 1);
}

#[test]
fn the_window_is_bounded_and_honest_about_what_lies_before_it() {
    let mut windows: Windows<u32> = Windows::new(3);
    let content = Content(1);
    for number in 0..1000 {
        let out = windows.note(id(1, 5, number), content, number as u32);
        assert_eq!(out.len(), usize::from(number >= WINDOW));
    }
    assert_eq!(windows.len(), WINDOW as usize);
    assert_eq!(windows.look(id(1, 5, 999), content), Seen::Same(999));
    assert_eq!(windows.look(id(1, 5, 999), Content(2)), Seen::Other(999));
    assert_eq!(windows.look(id(1, 5, 1000 - WINDOW - 1), content), Seen::TooOld);
    assert_eq!(windows.look(id(1, 5, 1000), content), Seen::New);
    // Epochs: two are remembered; one before them is too old, whether it was ever seen or not.
    windows.note(id(1, 7, 0), content, 1);
    let out = windows.note(id(1, 9, 0), content, 2);
    assert_eq!(out.len(), WINDOW as usize, "the oldest epoch's numbers");
    for epoch in [0, 5, 6, 8] {
        assert_eq!(windows.look(id(1, epoch, 3), content), Seen::TooOld, "epoch {epoch}");
    }
    assert_eq!(windows.look(id(1, 10, 3), content), Seen::New);
    // What was kept of the floors is as good after a restart.
    let (floor, floors) = windows.floors(DeviceId(1));
    let mut after: Windows<u32> = Windows::new(3);
    after.restore(DeviceId(1), floor, &floors);
    assert_eq!(after.look(id(1, 5, 999), content), Seen::TooOld);
    // Devices are bounded.
    windows.note(id(2, 1, 0), content, 1);
    windows.note(id(3, 1, 0), content, 1);
    assert_eq!(windows.look(id(4, 1, 0), content), Seen::Crowded);
}

#[test]
fn there_is_a_bound_on_what_is_open() {
    let mut world = World::new(1);
    for number in 0..60 {
        world.come(id(1, 1, number), number);
    }
    let more = world.come(id(2, 1, 0), 0);
    assert_eq!(world.told[&more].1, Verdict::Later);
    assert_eq!(world.entries.open(), 60);
}
