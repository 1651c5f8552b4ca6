//! The clock of silence in virtual time: whatever discovery does, the next call is out by the time that the settings'
//! rules leave, at every step, and nobody is called too often.
#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use fastrand::Rng;
use gingerledge::discovery::watching::{
    Action, Call, Event, Waits, Watching, AGAIN_MOST, BEAT, TOLD_AFTER, WAIT_GRACE,
};
use stoatlane::{Aggregator, Event as Happens, ListKind, Settings};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn waits(pushed: bool, grace_ms: f64) -> Waits {
    Waits::of(&Settings { subscribe: !pushed, drain_grace_ms: grace_ms, ..Settings::default() })
}

#[test]
fn where_lists_are_asked_for_every_ask_again_is_out_before_what_was_missed_counts() {
    let set = waits(false, 1000.0);
    assert!(!set.pushed && set.silence > BEAT, "a watch that stands is kept");
    let out = AGAIN_MOST + set.connect;
    assert!(set.silence + out < TOLD_AFTER, "a watch");
    for step in [set.head, set.body] {
        let counts = TOLD_AFTER.max(step + WAIT_GRACE);
        assert!(step + set.connect < counts, "a watch's call, then the list's");
        assert!(step + out < counts, "the list's call, then the module's next");
    }
}

#[test]
fn where_lists_are_pushed_an_agent_that_speaks_again_is_heard_within_half_of_a_drains_grace() {
    for grace in [0.0, 100.0, 250.0, 1000.0, 10_000.0] {
        let set = waits(true, grace);
        assert!(set.pushed && set.silence > BEAT, "a watch that stands is kept");
        assert!(set.silence + set.connect + set.head < TOLD_AFTER, "a watch");
        assert!(set.body + set.connect + set.head < TOLD_AFTER, "a list that begins and stops");
        let half = ms(grace as u64 / 2).max(ms(100));
        assert!(set.pace <= half && set.connect <= half && set.head <= half, "{grace}: {set:?}");
    }
}

/// What the arithmetic rests on, at the module itself.
#[test]
fn the_module_asks_again_within_its_first_wait_after_a_watch_that_stood() {
    for seed in 0..300 {
        let set = Settings {
            subscribe: true,
            aggregators: 300,
            ask_every_ms: 10_000.0,
            turn_ms: 5.0,
            ..Settings::default()
        };
        let mut module = Aggregator::new(seed, set, 0.0);
        let mut actions = Vec::new();
        for kind in [ListKind::Complete, ListKind::Failed] {
            module.handle(60_000.0, Happens::List { kind, entries: Vec::new() }, &mut actions);
        }
        let mut now = 60_000.0;
        while !actions.contains(&stoatlane::Action::Subscribe) {
            module.end_turn(now, &mut actions);
            now += 5.0;
            assert!(now - 60_000.0 <= AGAIN_MOST.as_secs_f64() * 1000.0 + 10.0, "seed {seed}");
        }
    }
}

/// How discovery treats what it is asked.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Mood {
    Well,
    /// Silent from this step of a call on.
    Unconnected,
    Unanswered,
    Begins,
    Silent,
    Refuses,
    Breaks,
    Busy,
}

const MOODS: [Mood; 8] = [
    Mood::Well,
    Mood::Unconnected,
    Mood::Unanswered,
    Mood::Begins,
    Mood::Silent,
    Mood::Refuses,
    Mood::Breaks,
    Mood::Busy,
];

/// The machine, discovery, and a module that asks again when it thinks fit, on one clock.
struct Play {
    rng: Rng,
    now: Instant,
    machine: Watching,
    waits: Waits,
    mood: Mood,
    /// What discovery does next with the call that is out, and when.
    next: Option<(Instant, Event)>,
    call: Option<Call>,
    /// The last that came whole of the call that is out; its beginning at first.
    heard: Instant,
    wanted: Option<Instant>,
    calls: Vec<Instant>,
    told: usize,
}

impl Play {
    fn new(seed: u64, waits: Waits) -> Self {
        let now = Instant::now();
        let wanted = (!waits.pushed).then_some(now);
        let machine = Watching::new(waits, now);
        let (rng, mood) = (Rng::with_seed(seed), Mood::Well);
        Self {
            rng,
            now,
            machine,
            waits,
            mood,
            next: None,
            call: None,
            heard: now,
            wanted,
            calls: Vec::new(),
            told: 0,
        }
    }

    fn handle(&mut self, event: Event) {
        let (was, due) = (self.call, self.machine.due());
        let actions = self.machine.handle(event, self.now);
        if matches!(event, Event::Ended { .. }) {
            (self.call, self.next) = (None, None);
        }
        for action in &actions {
            match action {
                Action::Leave => (self.call, self.next) = (None, None),
                Action::Call(call) => {
                    assert!(self.call.is_none(), "one call at a time");
                    (self.call, self.heard) = (Some(*call), self.now);
                    self.calls.push(self.now);
                    self.next = self.step(Event::Connected, Mood::Unconnected);
                }
                Action::Failed => {
                    assert!(!self.waits.pushed && self.call.is_none());
                    self.wanted = Some(self.now + ms(self.rng.u64(500..=1500)));
                }
            }
        }
        if was.is_some() && self.call == was && actions.is_empty() {
            assert!(self.machine.due() >= due, "a deadline only moves on while a call is out");
        }
        // Whatever came, something is due, or the core has the next word.
        assert!(self.machine.due().is_some() || (!self.waits.pushed && self.wanted.is_some()));
    }

    /// The next that discovery does, unless this mood is silent by then.
    fn step(&mut self, event: Event, silent: Mood) -> Option<(Instant, Event)> {
        let soon = self.now + ms(self.rng.u64(1..20));
        match self.mood {
            mood if mood == silent => None,
            Mood::Refuses if event == Event::Connected => Some((soon, Event::Ended { busy: false })),
            Mood::Busy if event == Event::Answered => Some((soon, Event::Ended { busy: true })),
            Mood::Breaks if event == Event::Heard => Some((soon, Event::Ended { busy: false })),
            _ => Some((soon, event)),
        }
    }

    /// Discovery's turn; what it had under way comes as it was.
    fn play(&mut self, event: Event) {
        match event {
            Event::Connected => {
                self.heard = self.now;
                self.handle(event);
                self.next = self.step(Event::Answered, Mood::Unanswered);
            }
            Event::Answered => {
                self.heard = self.now;
                self.handle(event);
                self.next = self.step(Event::Heard, Mood::Begins);
            }
            Event::Heard if self.call == Some(Call::List) => {
                self.told += 1;
                self.handle(Event::Told);
                self.handle(Event::Ended { busy: false });
            }
            Event::Heard => {
                self.heard = self.now;
                if self.rng.bool() {
                    self.told += 1;
                    self.handle(Event::Told);
                }
                self.handle(event);
                let silent = matches!(self.mood, Mood::Silent | Mood::Unanswered | Mood::Unconnected);
                self.next = (!silent).then(|| (self.now + ms(self.rng.u64(1..=2000)), Event::Heard));
            }
            _ => self.handle(event),
        }
    }

    /// Until the next thing happens, or `until`.
    fn pass(&mut self, until: Instant) -> bool {
        let at = [self.next.map(|next| next.0), self.machine.due(), self.wanted];
        let at = at.into_iter().flatten().min().filter(|at| *at <= until);
        self.now = at.unwrap_or(until).max(self.now);
        if at.is_none() {
            return false;
        }
        if let Some((_, event)) = self.next.take_if(|next| next.0 <= self.now) {
            self.play(event);
        } else if self.wanted.take_if(|at| *at <= self.now).is_some() {
            self.handle(Event::Wanted);
        } else {
            let (calls, was, heard) = (self.calls.len(), self.call, self.heard);
            self.handle(Event::Due);
            if was.is_some() {
                assert!(self.call.is_none() || self.calls.len() > calls, "what is silent is left");
                // Where it is asked again after a wait, that and the next connection come on top.
                let later = if self.calls.len() > calls { ms(0) } else { AGAIN_MOST + self.waits.connect };
                let counts = TOLD_AFTER.max(self.waits.head + WAIT_GRACE);
                assert!(self.now + later < heard + counts, "in time");
            }
        }
        true
    }
}

#[test]
fn in_any_order_of_moods_every_silence_is_noticed_in_time_and_calls_stay_few() {
    for (seed, pushed) in (0..200).flat_map(|seed| [(seed, false), (seed, true)]) {
        let mut play = Play::new(seed, waits(pushed, 250.0));
        for _ in 0..40 {
            play.mood = MOODS[play.rng.usize(..MOODS.len())];
            if play.rng.u8(..10) == 0 {
                play.handle(Event::Moved);
            }
            let until = play.now + ms(play.rng.u64(1..15_000));
            while play.pass(until) {}
        }
        // Not more than a watch and a list at a pace, and those that a move adds.
        let (pace, calls) = (play.waits.pace, &play.calls);
        let few = if pushed { pace } else { ms(500) };
        let crowd = calls.windows(5).filter(|calls| calls[4] - calls[0] < few).count();
        assert!(crowd <= 5, "seed {seed}, pushed {pushed}: {crowd} crowds");
        // Once it is well again it is heard.
        (play.mood, play.told) = (Mood::Well, 0);
        let until = play.now + ms(20_000);
        while play.told == 0 && play.pass(until) {}
        assert!(play.told > 0, "seed {seed}, pushed {pushed}");
    }
}

#[test]
fn an_agent_silent_for_long_is_called_all_the_time_and_heard_at_once() {
    for (seed, mood) in
        (0..50).flat_map(|seed| [Mood::Unconnected, Mood::Unanswered, Mood::Refuses].map(|m| (seed, m)))
    {
        let mut play = Play::new(seed, waits(true, 250.0));
        assert_eq!(play.machine.due(), Some(play.now), "from the first moment");
        let well = play.now + ms(play.rng.u64(10..3000));
        while play.pass(well) {}
        play.mood = mood;
        // By then the silence of the watch that stood is noticed, too.
        let back = play.now + ms(play.rng.u64(5000..14_000));
        while play.pass(back) {}
        (play.mood, play.told) = (Mood::Well, 0);
        let answered = play.now + ms(250 + 50);
        while play.next.is_none_or(|next| next.1 != Event::Heard) && play.pass(answered) {}
        assert!(play.now < answered, "seed {seed}, {mood:?}: heard within a drain's grace");
    }
}

#[test]
fn an_agent_that_is_slow_after_all_is_let_finish() {
    let set = waits(true, 250.0);
    let (mut now, mut calls) = (Instant::now(), 0);
    let mut machine = Watching::new(set, now);
    machine.handle(Event::Due, now);
    loop {
        machine.handle(Event::Connected, now);
        let answer = now + ms(400);
        if machine.due().unwrap() > answer {
            break;
        }
        now = machine.due().unwrap();
        while !machine.handle(Event::Due, now).iter().any(|action| matches!(action, Action::Call(_))) {
            now = machine.due().unwrap();
        }
        calls += 1;
        assert!(calls < 1000, "it waits longer in the end");
    }
}

#[test]
fn where_too_many_call_only_every_second_refusal_is_followed_by_another_call() {
    let set = waits(false, 1000.0);
    let now = Instant::now();
    let mut machine = Watching::new(set, now);
    let mut lists = 0;
    for _ in 0..6 {
        assert_eq!(machine.handle(Event::Wanted, now), [Action::Call(Call::Watch)]);
        machine.handle(Event::Connected, now);
        let mut actions = machine.handle(Event::Ended { busy: true }, now);
        if actions == [Action::Call(Call::List)] {
            lists += 1;
            actions = machine.handle(Event::Ended { busy: true }, now);
        }
        assert_eq!(actions, [Action::Failed]);
    }
    assert_eq!(lists, 3);
}
