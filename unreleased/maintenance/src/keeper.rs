//! Plays bookings: asks for a window's beginning when it is due, again while the record refuses it, and for its end once its time is
//! over and its stores stand listed. Owns only when it last asked and what it last told; whoever takes over goes on from the record
//! alone. It promises nothing of cover: that is the record's, which checks each beginning anew and calls windows back by itself.

use std::collections::BTreeMap;

use gingerledge_common::{Answer, BookingId, Command, Plan, Record, Refusal, SiteFact, StateFact};
use gingerledge_coverage::{Proposal, Requirements, Zone, ZoneLoad};

/// What plays are bound by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The same is asked again no sooner: what was proposed may be on its way.
    pub ask_ms: u64,
    /// An end that would overfill a zone waits for other windows' ends, and no longer than this.
    pub hold_ms: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self { ask_ms: 30_000, hold_ms: 3_600_000 }
    }
}

/// What operators are told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A window that is due may not begin now.
    PutOff {
        /// Which.
        id: BookingId,
        /// What would be short, and by whom.
        why: Refusal,
    },
    /// A window's time passed before it could begin: it is called off.
    Passed {
        /// Which.
        id: BookingId,
    },
    /// A window's time is over, and stores of it are not yet warm.
    Late {
        /// Which.
        id: BookingId,
        /// These are not.
        cold: Vec<String>,
    },
    /// A window's stores are warm, and with them back and others still away a zone would have no room for what falls on it.
    Held {
        /// Which.
        id: BookingId,
        /// The zone.
        zone: String,
    },
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Put this before the record.
    Propose(Command),
    /// Tell operators.
    Say(Event),
}

/// Who a called off window is by.
const BY: &str = "its time passed";

#[derive(Debug, Default)]
struct Asked {
    /// When, and whether the window had begun by then.
    last: Option<(u64, bool)>,
    told: Option<Event>,
}

/// Plays all bookings of the record.
#[derive(Debug, Default)]
pub struct Keeper {
    settings: Settings,
    /// No more than the record holds bookings.
    asked: BTreeMap<BookingId, Asked>,
}

impl Keeper {
    /// One that has asked for nothing yet.
    pub fn new(settings: Settings) -> Self {
        Self { settings, asked: BTreeMap::new() }
    }

    /// What is due. Only who `decides` asks for anything; who does not forgets what it had asked.
    pub fn tick(&mut self, now_unix_ms: u64, record: &Record, decides: bool) -> Vec<Action> {
        if !decides {
            self.asked.clear();
            return Vec::new();
        }
        let bookings: BTreeMap<BookingId, (&Plan, bool)> =
            record.bookings().map(|(id, plan, begun)| (id, (plan, begun))).collect();
        self.asked.retain(|id, _| bookings.contains_key(id));
        let mut actions = Vec::new();
        for (id, (plan, begun)) in bookings {
            let (command, event) = due(&self.settings, now_unix_ms, record, id, plan, begun);
            let asked = self.asked.entry(id).or_default();
            if event.is_some() && event != asked.told {
                actions.extend(event.clone().map(Action::Say));
            }
            asked.told = event;
            // A clock that was set back asks at once rather than after as long again.
            let waits =
                |(at, was): (u64, bool)| was == begun && now_unix_ms.abs_diff(at) < self.settings.ask_ms;
            if let Some(command) = command.filter(|_| !asked.last.is_some_and(waits)) {
                asked.last = Some((now_unix_ms, begun));
                actions.push(Action::Propose(command));
            }
        }
        actions
    }
}

/// What a booking asks for now, and what there is to tell of it.
fn due(
    settings: &Settings,
    now: u64,
    record: &Record,
    id: BookingId,
    plan: &Plan,
    begun: bool,
) -> (Option<Command>, Option<Event>) {
    let over = now >= plan.end_unix_ms();
    if begun {
        let cold = if over { not_listed(record, plan) } else { Vec::new() };
        if !over || !cold.is_empty() {
            return (None, over.then_some(Event::Late { id, cold }));
        }
        let held = now < plan.end_unix_ms().saturating_add(settings.hold_ms);
        return match overfilled(record, id).filter(|_| held) {
            Some(zone) => (None, Some(Event::Held { id, zone })),
            None => (Some(Command::End { id }), None),
        };
    }
    if over {
        // Others were booked against its own time: later it may meet what nobody checked.
        return (Some(Command::Cancel { id, by: BY.to_owned() }), Some(Event::Passed { id }));
    }
    if now < plan.from_unix_ms {
        return (None, None);
    }
    let begin = Command::Begin { at: record.version(), id };
    match record.would(&begin) {
        Answer::Refused { why, .. } => (None, Some(Event::PutOff { id, why })),
        _ => (Some(begin), None),
    }
}

/// Stores of a window that facts don't say to be listed and warm.
fn not_listed(record: &Record, plan: &Plan) -> Vec<String> {
    let listed = |name: &String| record.site(name).is_some_and(|(fact, _)| fact.state == StateFact::Listed);
    plan.stores.iter().filter(|name| !listed(name)).cloned().collect()
}

/// A zone that a window's end would leave with less room than falls on it, other windows being in force: what the store draws anew
/// may come from a zone that has room onto one that has none, for as long as the others are away.
fn overfilled(record: &Record, id: BookingId) -> Option<String> {
    let others = || record.bookings().filter(|(other, _, begun)| *begun && *other != id);
    others().next()?;
    let least = others().fold(record.least(), |least, (_, plan, _)| least.stricter(plan.least));
    let headroom = f64::from(least.headroom_permille.min(1000)) / 1000.0;
    let least = Requirements { holders: least.holders, zones: least.zones, headroom };
    let mut after = Record::restore(&record.snapshot())?;
    after.apply(record.version().0 + 1, &Command::End { id });
    let before = record.coverage().zone_loads(&Proposal::default(), &least);
    let rooms = after.coverage().zone_loads(&Proposal::default(), &least);
    let grows = |zone: &Zone, room: &ZoneLoad| {
        !room.is_within_limit() && before.get(zone).is_none_or(ZoneLoad::is_within_limit)
    };
    let (full, _) = rooms.iter().find(|(zone, room)| grows(zone, room))?;
    let zone_of = |fact: &SiteFact| record.coverage().site(record.number(&fact.store)?).map(|site| site.zone);
    record.sites().find(|fact| zone_of(fact) == Some(*full)).map(|fact| fact.zone.clone())
}
