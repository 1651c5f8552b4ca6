//! Draws days of faults for the users' bench from every kind of trouble that it lists, with all their variants, at any moment and more
//! than once. A day depends on its seed alone, so a day that broke a rule is drawn again by its seed.
//!
//! What is written is a day file of the bench (TOML); its words are the bench's own.

mod catalogue;

use std::fmt::{self, Display, Formatter};

pub use catalogue::{Phase, TroubleKind, CLOSINGS, KINDS};

/// How long a day's traffic lasts before its final fault, in seconds.
const TRAFFIC_S: f64 = 33.0;
/// Nothing strikes earlier, in seconds after the start of traffic: the first configuration is in force by then.
const FIRST_TROUBLE_S: f64 = 1.0;
/// The fewest and the most troubles of one day.
const TROUBLES: std::ops::RangeInclusive<usize> = 3..=14;
/// Of all days, the part that ends with a final fault.
const CLOSING_SHARE: f64 = 0.7;
/// Of all entries whose kind repeats or picks machines, the part that carries an additional word in `how`.
const MODIFIER_SHARE: f64 = 0.35;
/// Of all troubles, the part that strikes within a second of the one before: faults at the crossing of others break most.
const CROSSING_SHARE: f64 = 0.4;

/// Which kinds of trouble a day is drawn from.
#[derive(Clone, Copy, Debug, Default)]
pub struct Scope {
    /// Also those of the contract `health`: health checks may be wrong, and stores may go down and up.
    pub health: bool,
    /// Only those that strike the control plane, the backends and their state.
    pub only_state: bool,
}

impl Scope {
    fn allows(self, kind: &TroubleKind) -> bool {
        (self.health || !kind.needs_health_contract) && (kind.strikes_state || !self.only_state)
    }
}

/// Of all days, the part with a burst of changes of the configuration.
const BURST_SHARE: f64 = 0.2;
/// How many changes a burst has.
const BURST_CHANGES: std::ops::RangeInclusive<u32> = 20..=70;
/// The time between two changes of a burst, in seconds.
const BURST_GAP_S: f64 = 0.25;

/// One trouble of a day.
#[derive(Clone, Debug, PartialEq)]
pub struct Trouble {
    /// Its kind's name at the bench.
    pub kind: &'static str,
    /// Whether it is planned work.
    pub phase: Phase,
    /// When it strikes, in seconds after the start of traffic.
    pub at_s: f64,
    /// The class of machines that it strikes, where it is told.
    pub machine_class: Option<&'static str>,
    /// Variant and modifiers, parted by spaces.
    pub how: String,
    /// How many things it strikes.
    pub count: Option<u32>,
    /// Which part of the things that fit it strikes.
    pub share: Option<f64>,
    /// How strong it is, in the kind's own measure.
    pub strength: Option<f64>,
    /// How long it lasts, in seconds.
    pub lasts_s: Option<f64>,
    /// The pause between its steps, in seconds.
    pub gap_s: Option<f64>,
}

/// A day's final fault.
#[derive(Clone, Debug, PartialEq)]
pub struct Closing {
    /// Its kind's name at the bench.
    pub kind: &'static str,
    /// Its variant.
    pub how: &'static str,
    /// How long machines stay down, in seconds.
    pub down_s: f64,
}

/// A day: what strikes when, and with which luck.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultDay {
    /// The seed that it was drawn from, which is the bench's seed of the day too.
    pub seed: u64,
    /// Its troubles by time.
    pub troubles: Vec<Trouble>,
    /// Its final fault, if it has one.
    pub closing: Option<Closing>,
}

impl FaultDay {
    /// Draws the day of a seed.
    #[must_use]
    pub fn draw(seed: u64, scope: Scope) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let kinds: Vec<&TroubleKind> = KINDS.iter().filter(|kind| scope.allows(kind)).collect();
        let mut troubles: Vec<Trouble> = Vec::new();
        for _ in 0..random.usize(TROUBLES) {
            let at_s = match troubles.last() {
                Some(before) if random.f64() < CROSSING_SHARE => {
                    (before.at_s + between(&mut random, (0.0, 1.0))).min(TRAFFIC_S)
                }
                _ => between(&mut random, (FIRST_TROUBLE_S, TRAFFIC_S)),
            };
            let kind = kinds[random.usize(..kinds.len())];
            troubles.push(draw_trouble(&mut random, kind, at_s));
        }
        if random.f64() < BURST_SHARE {
            troubles.extend(draw_burst(&mut random));
        }
        troubles.sort_by(|one, other| one.at_s.total_cmp(&other.at_s));
        let closing = (random.f64() < CLOSING_SHARE).then(|| draw_closing(&mut random));
        Self { seed, troubles, closing }
    }
}

fn draw_trouble(random: &mut fastrand::Rng, kind: &TroubleKind, at_s: f64) -> Trouble {
    let variant = pick(random, kind.variants).unwrap_or_default();
    let mut words: Vec<&str> = variant.split_whitespace().collect();
    if random.f64() < MODIFIER_SHARE {
        words.extend(pick(random, kind.modifiers).unwrap_or_default().split_whitespace());
    }
    Trouble {
        kind: kind.name,
        phase: kind.phase,
        at_s,
        machine_class: pick(random, kind.machine_classes).filter(|class| !class.is_empty()),
        how: words.join(" "),
        count: kind.count.map(|(least, most)| random.u32(least..=most)),
        share: kind.share.map(|range| between(random, range)),
        strength: pick(random, kind.strengths).map(|strength| strength * between(random, (0.7, 1.3))),
        lasts_s: kind.lasts_s.map(|range| between(random, range)),
        gap_s: kind.gap_s.map(|range| between(random, range)),
    }
}

/// A change of the configuration every quarter of a second, for a while.
fn draw_burst(random: &mut fastrand::Rng) -> impl Iterator<Item = Trouble> {
    let begin = between(random, (FIRST_TROUBLE_S, TRAFFIC_S / 2.0));
    let changes = random.u32(BURST_CHANGES);
    (0..changes).map(move |change| Trouble {
        kind: "config_change",
        phase: Phase::Planned,
        at_s: (begin + f64::from(change) * BURST_GAP_S).min(TRAFFIC_S),
        machine_class: None,
        how: "idle".to_owned(),
        count: None,
        share: None,
        strength: None,
        lasts_s: None,
        gap_s: None,
    })
}

fn draw_closing(random: &mut fastrand::Rng) -> Closing {
    let (kind, hows) = CLOSINGS[random.usize(..CLOSINGS.len())];
    Closing { kind, how: pick(random, hows).unwrap_or_default(), down_s: between(random, (0.3, 2.5)) }
}

fn pick<T: Copy>(random: &mut fastrand::Rng, choices: &[T]) -> Option<T> {
    (!choices.is_empty()).then(|| choices[random.usize(..choices.len())])
}

fn between(random: &mut fastrand::Rng, (least, most): (f64, f64)) -> f64 {
    least + random.f64() * (most - least)
}

impl Display for FaultDay {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        writeln!(out, "name = \"drawn-{}\"", self.seed)?;
        writeln!(out, "slot = \"trouble\"")?;
        writeln!(out, "seed = {}", self.seed)?;
        if let Some(closing) = &self.closing {
            writeln!(
                out,
                "closing = {{ kind = \"{}\", down_s = {:.2}, how = \"{}\" }}",
                closing.kind, closing.down_s, closing.how
            )?;
        }
        for (list, phase) in [("plan", Phase::Planned), ("faults", Phase::Unplanned)] {
            writeln!(out, "{list} = [")?;
            for trouble in self.troubles.iter().filter(|trouble| trouble.phase == phase) {
                writeln!(out, "  {trouble},")?;
            }
            writeln!(out, "]")?;
        }
        Ok(())
    }
}

impl Display for Trouble {
    fn fmt(&self, out: &mut Formatter<'_>) -> fmt::Result {
        write!(out, "{{ at = {:.2}, kind = \"{}\"", self.at_s, self.kind)?;
        if let Some(class) = self.machine_class {
            write!(out, ", on = \"{class}\"")?;
        }
        if let Some(count) = self.count {
            write!(out, ", count = {count}")?;
        }
        let numbers =
            [("share", self.share), ("x", self.strength), ("for_s", self.lasts_s), ("gap_s", self.gap_s)];
        for (name, number) in numbers {
            if let Some(number) = number {
                write!(out, ", {name} = {number:.3}")?;
            }
        }
        if !self.how.is_empty() {
            write!(out, ", how = \"{}\"", self.how)?;
        }
        write!(out, " }}")
    }
}
