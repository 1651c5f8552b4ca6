//! The clock of silence in virtual time: whatever discovery does, the next call is out by the time that the settings'
//! rules leave, at every step, and nobody is called too often.
#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use fastrand::Rng;
use gingerledge::discovery::watching::{
    Action, Call, CallTimeouts, Event, Watching, ANSWER_TIME, HEARTBEAT, MARGIN, PERIOD, UPDATE_DEADLINE,
};
use gingerledge_dispatch::Settings;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn waits(pushed: bool, grace_ms: f64) -> CallTimeouts {
    CallTimeouts::from_settings(&Settings {
        requires_subscription: !pushed,
        drain_grace_ms: grace_ms,
        ..Settings::default()
    })
}

#[test]
fn where_lists_are_requested_every_next_call_is_out_before_a_missed_change_counts() {
    for (aggregators, index) in [(1, 0), (2, 1), (100, 99), (300, 0), (300, 299), (1000, 999)] {
        let set =
            Settings { requires_subscription: true, aggregators, index: Some(index), ..Settings::default() };
        let set = CallTimeouts::from_settings(&set);
        assert!(
            !set.is_pushed && set.heartbeat_timeout > HEARTBEAT + ms(1000),
            "a watch that stands is kept"
        );
        assert_eq!(PERIOD + ANSWER_TIME + MARGIN, UPDATE_DEADLINE);
        assert!(set.pace <= PERIOD && set.call_timeout <= PERIOD && set.head <= set.call_timeout, "a call");
        assert!(set.connect + ANSWER_TIME <= set.call_timeout, "who can be reached is let finish");
        assert!(set.heartbeat_timeout + set.stagger * 3 / 20 <= PERIOD, "a watch");
        assert!(set.stagger < set.pace, "each has a place of its own");
    }
}

#[test]
fn where_lists_are_pushed_a_recovered_agent_is_called_within_half_of_a_drain_grace() {
    for grace in [0.0, 100.0, 250.0, 1000.0, 10_000.0] {
        let set = waits(true, grace);
        assert!(set.is_pushed && set.heartbeat_timeout > HEARTBEAT, "a watch that stands is kept");
        assert!(set.heartbeat_timeout + set.connect + set.head < UPDATE_DEADLINE, "a watch");
        assert!(set.body + set.connect + set.head < UPDATE_DEADLINE, "a list that begins and stops");
        let half = ms(grace as u64 / 2).max(ms(100));
        assert!(set.pace <= half && set.connect <= half && set.head <= half, "{grace}: {set:?}");
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
    waits: CallTimeouts,
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
    fn new(seed: u64, waits: CallTimeouts) -> Self {
        let now = Instant::now();
        let wanted = (!waits.is_pushed).then_some(now);
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
        if matches!(event, Event::CallEnded) {
            (self.call, self.next) = (None, None);
        }
        for action in &actions {
            match action {
                Action::DropCall => (self.call, self.next) = (None, None),
                Action::Call(call) => {
                    assert!(self.call.is_none(), "one call at a time");
                    (self.call, self.heard) = (Some(*call), self.now);
                    self.calls.push(self.now);
                    self.next = self.step(Event::Connected, Mood::Unconnected);
                }
                Action::ReportFailure => {
                    assert!(!self.waits.is_pushed && self.call.is_none());
                    self.wanted = Some(self.now + ms(self.rng.u64(500..=1500)));
                }
            }
        }
        if was.is_some() && self.call == was && actions.is_empty() {
            assert!(self.machine.due() >= due, "a deadline only moves on while a call is out");
        }
        // Whatever came, something is due; the core has but the first word.
        assert!(self.machine.due().is_some() || (self.calls.is_empty() && self.wanted.is_some()));
    }

    /// The next that discovery does, unless this mood is silent by then.
    fn step(&mut self, event: Event, silent: Mood) -> Option<(Instant, Event)> {
        let soon = self.now + ms(self.rng.u64(1..20));
        match self.mood {
            mood if mood == silent => None,
            Mood::Refuses if event == Event::Connected => Some((soon, Event::CallEnded)),
            Mood::Busy if event == Event::HeadReceived => Some((soon, Event::CallEnded)),
            Mood::Breaks if event == Event::CompleteReceived => Some((soon, Event::CallEnded)),
            _ => Some((soon, event)),
        }
    }

    /// Discovery's turn; what it had under way comes as it was.
    fn play(&mut self, event: Event) {
        match event {
            Event::Connected => {
                self.heard = self.now;
                self.handle(event);
                self.next = self.step(Event::HeadReceived, Mood::Unanswered);
            }
            Event::HeadReceived => {
                self.heard = self.now;
                self.handle(event);
                self.next = self.step(Event::CompleteReceived, Mood::Begins);
            }
            Event::CompleteReceived if self.call == Some(Call::List) => {
                self.told += 1;
                self.handle(Event::NewerListReceived);
                self.handle(Event::CallEnded);
            }
            Event::CompleteReceived => {
                self.heard = self.now;
                if self.rng.bool() {
                    self.told += 1;
                    self.handle(Event::NewerListReceived);
                }
                self.handle(event);
                let silent = matches!(self.mood, Mood::Silent | Mood::Unanswered | Mood::Unconnected);
                self.next =
                    (!silent).then(|| (self.now + ms(self.rng.u64(1..=2000)), Event::CompleteReceived));
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
            self.handle(Event::WatchRequested);
        } else {
            let (calls, was, heard) = (self.calls.len(), self.call, self.heard);
            self.handle(Event::TimeoutElapsed);
            if was.is_some() {
                assert!(self.call.is_none() || self.calls.len() > calls, "what is silent is left");
                // Where it is asked again after a wait, that comes on top; nobody else is waited for.
                let next = if self.calls.len() > calls { self.now } else { self.machine.due().unwrap() };
                assert!(next + ANSWER_TIME + MARGIN <= heard + UPDATE_DEADLINE, "in time");
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
                play.handle(Event::AddressChanged);
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
fn an_unresponsive_agent_is_called_continually_and_received_immediately() {
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
        while play.next.is_none_or(|next| next.1 != Event::CompleteReceived) && play.pass(answered) {}
        assert!(play.now < answered, "seed {seed}, {mood:?}: heard within a drain's grace");
    }
}

/// What the new agent has counts 4 s after SIGHUP, whatever the old one did, and whatever its own first calls met.
#[test]
fn an_agent_at_another_address_is_received_in_time_after_any_chain_of_failures() {
    for seed in 0..300 {
        let mut play = Play::new(seed, waits(true, 250.0));
        // So long that calls are let wait longer.
        for _ in 0..12 {
            play.mood = MOODS[play.rng.usize(..MOODS.len())];
            let until = play.now + ms(play.rng.u64(1..20_000));
            while play.pass(until) {}
        }
        play.mood = MOODS[play.rng.usize(..MOODS.len())];
        play.handle(Event::AddressChanged);
        assert!(play.call.is_some() && play.calls.last() == Some(&play.now), "called at once");
        let moved = play.now;
        let reachable = moved + ms(play.rng.u64(0..1000));
        while play.pass(reachable) {}
        (play.mood, play.told) = (Mood::Well, 0);
        // What is out may be a watch that stood before discovery failed, or a call that hangs at any step.
        let counts = moved + ms(4000) - MARGIN;
        while play.told == 0
            && play.next.is_none_or(|next| next.1 != Event::CompleteReceived)
            && play.pass(counts)
        {}
        assert!(play.now < counts, "seed {seed}: {:?} after SIGHUP", play.now - moved);
    }
}

/// An agent that was silent for long is let take longer; one at another address is not held to that.
#[test]
fn at_another_address_calls_are_given_up_as_soon_as_at_first() {
    let mut play = Play::new(1, waits(true, 250.0));
    play.mood = Mood::Unanswered;
    let long = play.now + ms(300_000);
    while play.pass(long) {}
    assert!(play.machine.unanswered() > 128);
    play.handle(Event::AddressChanged);
    let moved = play.now;
    let calls = play.calls.len();
    while play.calls.len() < calls + 3 && play.pass(moved + ms(10_000)) {}
    assert!(play.now < moved + ms(1000), "{:?}", play.now - moved);
}

#[test]
fn an_agent_that_is_slow_after_all_is_let_finish() {
    let set = waits(true, 250.0);
    let (mut now, mut calls) = (Instant::now(), 0);
    let mut machine = Watching::new(set, now);
    machine.handle(Event::TimeoutElapsed, now);
    loop {
        machine.handle(Event::Connected, now);
        let answer = now + ms(400);
        if machine.due().unwrap() > answer {
            break;
        }
        now = machine.due().unwrap();
        while !machine
            .handle(Event::TimeoutElapsed, now)
            .iter()
            .any(|action| matches!(action, Action::Call(_)))
        {
            now = machine.due().unwrap();
        }
        calls += 1;
        assert!(calls < 1000, "it waits longer in the end");
    }
}

#[test]
fn where_too_many_call_no_refusal_is_followed_by_another_call_at_once() {
    for place in [0, 1, 299] {
        let set = Settings {
            requires_subscription: true,
            aggregators: 300,
            index: Some(place),
            ..Settings::default()
        };
        let mut now = Instant::now();
        let mut machine = Watching::new(CallTimeouts::from_settings(&set), now);
        assert_eq!(machine.handle(Event::WatchRequested, now), [Action::Call(Call::Watch)]);
        for call in 1..40 {
            let began = now;
            machine.handle(Event::Connected, now);
            assert_eq!(machine.handle(Event::CallEnded, now), [Action::ReportFailure]);
            assert_eq!(machine.handle(Event::WatchRequested, now), [], "the core does not hurry it");
            now = machine.due().unwrap();
            assert!(now >= began + ms(250) && now <= began + PERIOD, "{call}");
            assert!(call <= 4 || now == began + PERIOD, "{call}");
            // In case that watches are what can't be had, every second call is for the list.
            let next = if call % 2 == 1 { Call::List } else { Call::Watch };
            assert_eq!(machine.handle(Event::TimeoutElapsed, now), [Action::Call(next)]);
        }
    }
}

/// Lists are given and watches fail, whether at once or after a long wait.
#[test]
fn where_watches_fail_lists_are_requested_within_a_period_of_each_other() {
    for silent in [false, true] {
        let mut now = Instant::now();
        let mut machine = Watching::new(waits(false, 1000.0), now);
        machine.handle(Event::WatchRequested, now);
        let (mut call, mut lists) = (Call::Watch, Vec::new());
        for _ in 0..60 {
            machine.handle(Event::Connected, now);
            if call == Call::List {
                lists.push(now);
                now += ms(10);
                for event in
                    [Event::HeadReceived, Event::NewerListReceived, Event::CompleteReceived, Event::CallEnded]
                {
                    machine.handle(event, now);
                }
            } else if !silent {
                machine.handle(Event::CallEnded, now);
            }
            let mut out = None;
            while out.is_none() {
                now = machine.due().unwrap();
                out =
                    machine.handle(Event::TimeoutElapsed, now).into_iter().find_map(|action| match action {
                        Action::Call(call) => Some(call),
                        _ => None,
                    });
            }
            call = out.unwrap();
        }
        assert!(lists.len() >= 25);
        assert!(lists.windows(2).all(|two| two[1] <= two[0] + PERIOD), "silent {silent}");
    }
}
