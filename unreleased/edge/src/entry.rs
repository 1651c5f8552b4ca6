//! What becomes of an entry: received, spooled, sent, stored, refused or in doubt. It owns every entry's state and what is
//! kept of those that have ended. It promises that a device is told yes only after its entry lasts; that an entry is sent again
//! only after an outcome, or the word of the stores, that proves that it never ran; that one in doubt is asked for and never simply
//! sent; and that a restart at any moment forgets none and sends none twice. It knows no protocol, disk or store: each
//! [`Action::Keep`] is made to last before [`Event::Kept`] says so.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::identity::{Content, EntryId, Seen, Windows};

/// Milliseconds on the host's clock.
pub type Millis = u64;

/// An entry at this edge. Never given twice in the life of a spool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Handle(pub u64);

/// Whoever waits for a word on an entry: a message of some protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub u64);

/// How an entry has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Fate {
    /// A store has it.
    Stored,
    /// A store, or an operator, said no for good.
    Refused,
}

/// Where an entry stands. What lasts is written as this.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum State {
    /// In memory; nobody has been told.
    Received,
    /// On disk; its device may have been told yes.
    Spooled,
    /// An attempt is, or may be, out.
    Sent,
    /// An attempt may have run.
    InDoubt,
    /// It has ended.
    Ended(Fate),
}

/// What a device is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// It will be delivered: the edge has it on disk.
    Taken,
    /// Its state, known from before.
    Known(State),
    /// Its number was used for other content.
    Conflict,
    /// It lies before what is remembered: whether it was taken can't be told.
    TooOld,
    /// There is no room: come back later. Nothing was taken.
    Later,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Outcome {
    /// Served.
    Stored,
    /// It never ran.
    NeverRan,
    /// The stores, or the broker's own checks, say no for good, and it never ran.
    Refused,
    /// It may have run.
    MayHaveRun,
}

/// What the stores say to the question whether an entry's key has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Known {
    /// It has.
    Ran,
    /// Every holder says that it never has, and the attempt's time is over.
    NeverRan,
    /// None can say.
    Unknown,
}

/// What an operator decides on an entry in doubt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Settled {
    /// It is stored.
    Stored,
    /// It is given up.
    Refused,
    /// It is sent again, on the operator's word that it never ran.
    SendAgain,
}

/// Something that happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// An entry came.
    Came {
        /// Which.
        id: EntryId,
        /// Its content.
        content: Content,
        /// Who waits to be told.
        token: Token,
    },
    /// What was to be kept of an entry lasts.
    Kept(Handle),
    /// It could not be made to last.
    NotKept(Handle),
    /// The scheduler lets an entry be sent.
    Turn(Handle),
    /// An attempt ended.
    Ended(Handle, Outcome),
    /// The stores have been asked.
    Answered(Handle, Known),
    /// An operator has decided.
    Settled(Handle, Settled),
    /// Time has passed.
    Tick,
}

/// Something to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Make an entry's state last; [`Event::Kept`] or [`Event::NotKept`] is owed.
    Keep(Handle, State),
    /// Forget an entry that has ended and can't be asked for any more.
    Forget(Handle),
    /// Tell whoever waits.
    Tell(Token, Verdict),
    /// It may be sent: have the scheduler give it its turn.
    Queue(Handle),
    /// Make an attempt; [`Event::Ended`] is owed.
    Send(Handle),
    /// Ask the stores whether its key has run; [`Event::Answered`] is owed.
    Ask(Handle),
    /// It is on the operators' list from now on, or (false) no longer.
    List(Handle, bool),
}

/// How much, and how patient.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Devices.
    pub devices: usize,
    /// Entries that have not ended.
    pub open: usize,
    /// Those that may wait for one entry's word.
    pub tokens: usize,
    /// The first wait after an attempt that never ran, or a question that nobody could answer; it doubles.
    pub again_ms: Millis,
    /// The longest such wait.
    pub again_most_ms: Millis,
    /// An entry in doubt is put on the operators' list after so many questions.
    pub questions: u32,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { devices: 20_000, open: 200_000, tokens: 8, again_ms: 500, again_most_ms: 60_000, questions: 8 }
    }
}

#[derive(Clone, Debug)]
struct Entry {
    id: EntryId,
    content: Content,
    state: State,
    /// What lasts of it; nothing before the first time.
    lasting: Option<State>,
    /// A change of state is being made to last.
    keeping: Option<State>,
    waiting: Vec<Token>,
    tries: u32,
    at: Millis,
    listed: bool,
}

/// The entries of an edge. See the module's description.
#[derive(Debug)]
pub struct Entries {
    bounds: Bounds,
    windows: Windows<Handle>,
    entries: BTreeMap<Handle, Entry>,
    /// When something is due for an entry.
    due: BTreeSet<(Millis, Handle)>,
    open: usize,
    next: u64,
}

impl Entries {
    /// None yet.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            windows: Windows::new(bounds.devices),
            bounds,
            entries: BTreeMap::new(),
            due: BTreeSet::new(),
            open: 0,
            next: 0,
        }
    }

    /// Takes up what lasts, after a restart. An attempt that was out then may have run.
    pub fn restore(
        &mut self,
        now: Millis,
        handle: Handle,
        id: EntryId,
        content: Content,
        lasting: State,
    ) -> Vec<Action> {
        self.next = self.next.max(handle.0);
        let state = if lasting == State::Sent { State::InDoubt } else { lasting };
        let mut actions = Vec::new();
        let entry = Entry {
            id,
            content,
            state,
            lasting: Some(lasting),
            keeping: None,
            waiting: Vec::new(),
            tries: 0,
            at: now,
            listed: false,
        };
        self.entries.insert(handle, entry);
        for (_, gone) in self.windows.note(id, content, handle) {
            self.outlived(gone, &mut actions);
        }
        match state {
            State::Ended(_) => return actions,
            State::Spooled => actions.push(Action::Queue(handle)),
            _ => self.keep(handle, State::InDoubt, &mut actions),
        }
        self.open += 1;
        actions
    }

    /// An entry's state.
    pub fn state(&self, handle: Handle) -> Option<State> {
        self.entries.get(&handle).map(|entry| entry.state)
    }

    /// Which entry a handle is.
    pub fn id(&self, handle: Handle) -> Option<(EntryId, Content)> {
        self.entries.get(&handle).map(|entry| (entry.id, entry.content))
    }

    /// The handle of an entry that is remembered.
    pub fn handle(&self, id: EntryId, content: Content) -> Option<Handle> {
        match self.windows.look(id, content) {
            Seen::Same(handle) => Some(handle),
            _ => None,
        }
    }

    /// Entries on the operators' list.
    pub fn listed(&self) -> impl Iterator<Item = Handle> + '_ {
        self.entries.iter().filter(|(_, entry)| entry.listed).map(|(handle, _)| *handle)
    }

    /// How many have not ended.
    pub fn open(&self) -> usize {
        self.open
    }

    /// The windows, whose floors are to be kept too.
    pub fn windows(&mut self) -> &mut Windows<Handle> {
        &mut self.windows
    }

    /// When [`Event::Tick`] is due, if nothing happens before.
    pub fn due(&self) -> Option<Millis> {
        self.due.first().map(|(at, _)| *at)
    }

    /// Takes what happened; says what is to be done, in order.
    pub fn handle_event(&mut self, now: Millis, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Came { id, content, token } => self.came(now, id, content, token, &mut actions),
            Event::Kept(handle) => self.kept(now, handle, &mut actions),
            Event::NotKept(handle) => self.not_kept(now, handle, &mut actions),
            Event::Turn(handle) => {
                if self.is(handle, State::Spooled) {
                    // Written down before it is made: a restart must know that it may have run.
                    self.keep(handle, State::Sent, &mut actions);
                }
            }
            Event::Ended(handle, outcome) if self.is(handle, State::Sent) => {
                let state = match outcome {
                    Outcome::Stored => State::Ended(Fate::Stored),
                    Outcome::Refused => State::Ended(Fate::Refused),
                    Outcome::NeverRan => State::Spooled,
                    Outcome::MayHaveRun => State::InDoubt,
                };
                self.keep(handle, state, &mut actions);
            }
            Event::Answered(handle, known) if self.is(handle, State::InDoubt) => match known {
                Known::Ran => self.keep(handle, State::Ended(Fate::Stored), &mut actions),
                Known::NeverRan => self.keep(handle, State::Spooled, &mut actions),
                Known::Unknown => self.ask_later(now, handle, &mut actions),
            },
            Event::Settled(handle, settled) if self.is(handle, State::InDoubt) => {
                let state = match settled {
                    Settled::Stored => State::Ended(Fate::Stored),
                    Settled::Refused => State::Ended(Fate::Refused),
                    Settled::SendAgain => State::Spooled,
                };
                self.keep(handle, state, &mut actions);
            }
            Event::Ended(..) | Event::Answered(..) | Event::Settled(..) => {}
            Event::Tick => {
                while let Some((at, handle)) = self.due.first().copied().filter(|(at, _)| *at <= now) {
                    self.due.remove(&(at, handle));
                    match self.entries.get(&handle) {
                        Some(entry) if entry.keeping.is_some() => {
                            // What could not be made to last is tried again.
                            let state = entry.keeping.unwrap_or(entry.state);
                            actions.push(Action::Keep(handle, state));
                        }
                        Some(entry) if entry.state == State::Spooled => actions.push(Action::Queue(handle)),
                        Some(entry) if entry.state == State::InDoubt => actions.push(Action::Ask(handle)),
                        _ => {}
                    }
                }
            }
        }
        actions
    }

    /// Whether an entry is in a state, and no change of it is being made to last.
    fn is(&self, handle: Handle, state: State) -> bool {
        self.entries.get(&handle).is_some_and(|entry| entry.state == state && entry.keeping.is_none())
    }

    fn came(&mut self, now: Millis, id: EntryId, content: Content, token: Token, actions: &mut Vec<Action>) {
        match self.windows.look(id, content) {
            Seen::New if self.open >= self.bounds.open => actions.push(Action::Tell(token, Verdict::Later)),
            Seen::New => {
                self.next += 1;
                let handle = Handle(self.next);
                let entry = Entry {
                    id,
                    content,
                    state: State::Received,
                    lasting: None,
                    keeping: None,
                    waiting: vec![token],
                    tries: 0,
                    at: now,
                    listed: false,
                };
                self.entries.insert(handle, entry);
                self.open += 1;
                for (_, gone) in self.windows.note(id, content, handle) {
                    self.outlived(gone, actions);
                }
                self.keep(handle, State::Spooled, actions);
            }
            Seen::Same(handle) => {
                let Some(entry) = self.entries.get_mut(&handle) else { return };
                match entry.lasting {
                    // It does not last yet: whoever asks waits for that with the first.
                    None if entry.waiting.len() < self.bounds.tokens => entry.waiting.push(token),
                    None => actions.push(Action::Tell(token, Verdict::Later)),
                    Some(_) => actions.push(Action::Tell(token, Verdict::Known(entry.state))),
                }
            }
            Seen::Other(_) => actions.push(Action::Tell(token, Verdict::Conflict)),
            Seen::TooOld => actions.push(Action::Tell(token, Verdict::TooOld)),
            Seen::Crowded => actions.push(Action::Tell(token, Verdict::Later)),
        }
    }

    fn keep(&mut self, handle: Handle, state: State, actions: &mut Vec<Action>) {
        if let Some(entry) = self.entries.get_mut(&handle) {
            entry.keeping = Some(state);
            actions.push(Action::Keep(handle, state));
        }
    }

    fn kept(&mut self, now: Millis, handle: Handle, actions: &mut Vec<Action>) {
        let bounds = self.bounds;
        let Some(entry) = self.entries.get_mut(&handle) else { return };
        let Some(state) = entry.keeping.take() else { return };
        let before = std::mem::replace(&mut entry.state, state);
        entry.lasting = Some(state);
        for token in std::mem::take(&mut entry.waiting) {
            actions.push(Action::Tell(token, Verdict::Taken));
        }
        if entry.listed && state != State::InDoubt {
            entry.listed = false;
            actions.push(Action::List(handle, false));
        }
        match (before, state) {
            (_, State::Sent) => actions.push(Action::Send(handle)),
            // It came back without having run: it waits, longer each time.
            (State::Sent, State::Spooled) => {
                entry.tries += 1;
                entry.at = now + wait(&bounds, entry.tries);
                self.due.insert((entry.at, handle));
            }
            (_, State::Spooled) => actions.push(Action::Queue(handle)),
            (_, State::InDoubt) => {
                entry.tries = 0;
                actions.push(Action::Ask(handle));
            }
            (_, State::Ended(_)) => {
                self.open -= 1;
                // Its number has left the window meanwhile: nobody can ask for it.
                let (id, content) = (entry.id, entry.content);
                if self.windows.look(id, content) != Seen::Same(handle) {
                    self.entries.remove(&handle);
                    actions.push(Action::Forget(handle));
                }
            }
            (_, State::Received) => {}
        }
    }

    /// Before anything lasts the entry is given up, and its device told to come back. Later the same is tried again.
    fn not_kept(&mut self, now: Millis, handle: Handle, actions: &mut Vec<Action>) {
        let bounds = self.bounds;
        let Some(entry) = self.entries.get_mut(&handle) else { return };
        if entry.lasting.is_some() {
            entry.tries += 1;
            entry.at = now + wait(&bounds, entry.tries);
            self.due.insert((entry.at, handle));
            return;
        }
        let (id, content) = (entry.id, entry.content);
        for token in std::mem::take(&mut entry.waiting) {
            actions.push(Action::Tell(token, Verdict::Later));
        }
        self.entries.remove(&handle);
        self.open -= 1;
        if self.windows.look(id, content) == Seen::Same(handle) {
            self.windows.unnote(id);
        }
    }

    fn ask_later(&mut self, now: Millis, handle: Handle, actions: &mut Vec<Action>) {
        let bounds = self.bounds;
        let Some(entry) = self.entries.get_mut(&handle) else { return };
        entry.tries += 1;
        if entry.tries >= bounds.questions && !entry.listed {
            entry.listed = true;
            actions.push(Action::List(handle, true));
        }
        entry.at = now + wait(&bounds, entry.tries);
        self.due.insert((entry.at, handle));
    }

    /// An entry has left its device's window. One that has ended is forgotten; another is seen to its end.
    fn outlived(&mut self, handle: Handle, actions: &mut Vec<Action>) {
        let ended = |entry: &Entry| matches!(entry.state, State::Ended(_)) && entry.keeping.is_none();
        if self.entries.get(&handle).is_some_and(ended) {
            self.entries.remove(&handle);
            actions.push(Action::Forget(handle));
        }
    }
}

fn wait(bounds: &Bounds, tries: u32) -> Millis {
    (bounds.again_ms << tries.saturating_sub(1).min(16)).min(bounds.again_most_ms)
}
