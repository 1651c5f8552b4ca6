//! The witness of a site: what its clients asked, which attempts came to its stores, what ran, and what clients were answered. It
//! writes what breaks a rule into the ledger and decides nothing else; time is an argument. It stands at the stores and
//! the clients, so it sees no attempt whose word is held up between: links that are cut are none of its business.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::time::Duration;

use fastrand::Rng;

use crate::client::{self, Got};
use crate::fleet::ledger::{Deed, Ledger, Who};
use crate::site::{Class, Repeat, Site};

/// Every time limit is so much longer on sockets.
pub const SLACK: Duration = Duration::from_millis(50);

/// A part as a call has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Its id.
    pub id: String,
    /// Its shard.
    pub shard: u32,
    /// Its list.
    pub list: BTreeMap<String, String>,
    /// The query's text.
    pub text: String,
}

impl Call {
    /// Whether it belongs to a second step.
    pub fn second(&self) -> bool {
        self.id.ends_with(".r")
    }

    /// The query's id, if the part's is made of it and the shard.
    fn query(&self) -> Option<&str> {
        let first = self.id.strip_suffix(".r").unwrap_or(&self.id);
        first.strip_suffix(&self.shard.to_string())?.strip_suffix('.')
    }

    fn part(&self) -> (u32, bool) {
        (self.shard, self.second())
    }

    /// How long the broker waits.
    pub fn patience(&self) -> Option<Duration> {
        let ms = self.list.get("d")?.parse().ok().filter(|ms| *ms > 0)?;
        Some(Duration::from_millis(ms))
    }
}

/// Reads the parts of one call; nothing where it has not the form.
pub fn calls(mut rest: &[u8]) -> Option<Vec<Call>> {
    let mut calls = Vec::new();
    while !rest.is_empty() {
        let end = rest.iter().position(|byte| *byte == b'\n')?;
        let line = std::str::from_utf8(&rest[..end]).ok()?;
        let [id, shard, list, length] = line.split(' ').collect::<Vec<_>>()[..] else { return None };
        let (text, after) = rest[end + 1..].split_at_checked(length.parse().ok()?)?;
        let pair = |pair: &str| pair.split_once('=').map(|(key, value)| (key.to_owned(), value.to_owned()));
        let list = list.split(',').map(pair).collect::<Option<_>>()?;
        let (id, text) = (id.to_owned(), String::from_utf8(text.to_vec()).ok()?);
        calls.push(Call { id, shard: shard.parse().ok()?, list, text });
        rest = after;
    }
    (!calls.is_empty()).then_some(calls)
}

/// An attempt at a part.
#[derive(Clone, Debug)]
struct Attempt {
    at: Duration,
    link: u64,
    /// Not turned away.
    may_have_run: bool,
    answered: bool,
    given_up: bool,
}

#[derive(Default)]
struct Part {
    attempts: Vec<Attempt>,
    /// What a store answered.
    value: Option<String>,
}

struct Asked {
    class: usize,
    shards: Vec<u32>,
    text: String,
    key: Option<String>,
    /// It may be asked again under its name, once it is answered: a line to be copied is.
    standing: bool,
    parts: HashMap<(u32, bool), Part>,
    /// Whether the first step was said to be whole, once a second has begun.
    first_whole: Option<bool>,
}

/// What a store is to do with a part.
#[derive(Debug, PartialEq, Eq)]
pub enum Told {
    /// It was never asked for, or has no place in the second step: `bad`, and no work.
    Bad,
    /// The attempt of this number, and the earlier ones that seem to be out still.
    Work(usize, Vec<usize>),
}

/// The witness.
pub struct Witness {
    /// Of what.
    pub site: Site,
    /// Where it writes.
    pub ledger: Rc<Ledger>,
    asked: RefCell<HashMap<String, Asked>>,
    /// By key and shard: when a keyed part ran, and what came of it. All stores share this memory.
    memory: RefCell<HashMap<(String, u32), (Duration, String)>>,
    serial: Cell<u64>,
}

impl Witness {
    /// Of a site, before anything was asked.
    pub fn new(site: Site, ledger: &Rc<Ledger>) -> Rc<Self> {
        let (asked, memory, serial) = Default::default();
        Rc::new(Self { site, ledger: ledger.clone(), asked, memory, serial })
    }

    /// Notes a query of a class for the shards from one on; returns its text. It is asked under one name once, unless standing.
    pub fn ask(&self, name: &str, class: usize, first: u32, key: Option<&str>, standing: bool) -> Vec<u8> {
        let (site, of) = (&self.site, &self.site.class[class]);
        let shards: Vec<u32> =
            (0..of.parts as u32).map(|k| (first + k) % site.stores.shards as u32).collect();
        let key = (of.repeat == Repeat::Keyed).then(|| key.unwrap_or(name).to_owned());
        let text = format!("select {}", name);
        let parts: Vec<_> = shards.iter().map(|shard| (*shard, None)).collect();
        let header = key.as_ref().map(|key| format!("Idempotency-Key: {key}\r\n")).unwrap_or_default();
        let club = site.club.first().map(|club| format!("X-Tenant-Id: {}\r\n", club.name));
        let headers = header + &club.unwrap_or_default();
        let bytes = client::request(name, &of.name, of.deadline_ms as u64, &headers, &parts, &text);
        let (parts, first_whole) = Default::default();
        let asked = Asked { class, shards, text, key, standing, parts, first_whole };
        self.asked.borrow_mut().insert(name.to_owned(), asked);
        bytes
    }

    /// A query of any class for any shards.
    pub fn draw(&self, rng: &mut Rng, name: &str) -> Vec<u8> {
        let class = rng.usize(..self.site.class.len());
        self.ask(name, class, rng.u32(..self.site.stores.shards as u32), None, false)
    }

    /// A number that no other of this witness's has.
    pub fn number(&self) -> u64 {
        self.serial.replace(self.serial.get() + 1)
    }

    fn class(&self, asked: &Asked) -> &Class {
        &self.site.class[asked.class]
    }

    /// Notes a breach.
    pub fn breach(&self, by: Who, what: String) {
        self.ledger.note(by, Deed::Breach(what));
    }

    /// A part has come whole to a store, on one of its links.
    pub fn arrive(&self, by: Who, store: usize, link: u64, call: &Call, now: Duration) -> Told {
        let breach = |what: &str| self.breach(by, format!("part {} at store {store}: {what}", call.id));
        let mut all = self.asked.borrow_mut();
        let asked = call.query().and_then(|query| all.get_mut(query));
        let asked = asked.filter(|asked| asked.shards.contains(&call.shard) && asked.text == call.text);
        let Some(asked) = asked else {
            breach("no client asked for it in this form");
            return Told::Bad;
        };
        let class = &self.site.class[asked.class];
        if call.list.get("k") != asked.key.as_ref() {
            breach(&format!("its key is {:?}, the client's {:?}", call.list.get("k"), asked.key));
        }
        let known = |field: &String| match field.as_str() {
            "d" | "k" => true,
            "from" | "whole" => call.second(),
            _ => false,
        };
        if call.patience().is_none() || !call.list.keys().all(known) {
            breach("its list is not as the protocol has it");
        }
        if !self.site.holds(store, call.shard) {
            breach("the store does not hold its shard");
        }
        if call.second() {
            match self.chosen(asked, class, call) {
                Ok((true, whole)) => asked.first_whole = Some(whole),
                Ok((false, _)) => return Told::Bad,
                Err(what) => breach(&what),
            }
        }
        let part = asked.parts.entry(call.part()).or_default();
        if asked.standing && part.attempts.iter().all(|attempt| attempt.answered || attempt.given_up) {
            part.attempts.clear();
        }
        if part.attempts.len() >= self.site.rules.attempts {
            breach(&format!("attempt {}, more than allowed", part.attempts.len() + 1));
        }
        // The class's window counts from the first attempt that may have run.
        if let Some(first) = part.attempts.iter().find(|attempt| attempt.may_have_run) {
            let memory = Duration::from_secs_f64(class.memory_ms / 1000.0);
            match class.repeat {
                Repeat::Unsafe => breach("sent again though it may have run"),
                Repeat::Keyed if now - first.at > memory + SLACK => breach("sent again after its window"),
                Repeat::Keyed | Repeat::Safe => {}
            }
        }
        let open = |(_, attempt): &(usize, &Attempt)| !attempt.answered && !attempt.given_up;
        let out = part.attempts.iter().enumerate().filter(open).map(|(n, _)| n).collect();
        let (may_have_run, answered, given_up) = (true, false, false);
        part.attempts.push(Attempt { at: now, link, may_have_run, answered, given_up });
        Told::Work(part.attempts.len() - 1, out)
    }

    /// Whether a part of a second step is one of those with the highest scores, and whether the first was whole.
    fn chosen(&self, asked: &Asked, class: &Class, call: &Call) -> Result<(bool, bool), String> {
        let from = call.list.get("from").and_then(|from| from.split('+').map(|s| s.parse().ok()).collect());
        let whole = match call.list.get("whole").map(String::as_str) {
            Some("1") => true,
            Some("0") => false,
            _ => return Err("no word on whether the first step is whole".to_owned()),
        };
        let Some(mut from): Option<Vec<u32>> = from else { return Err("no shards that were in".to_owned()) };
        let unread = |shard: &u32| asked.parts.get(&(*shard, false)).is_none_or(|part| part.value.is_none());
        if class.follow_up == 0 || from.iter().any(unread) {
            return Err(format!("{from:?} are named as in, and some are not"));
        }
        self.honest(asked, from.len(), whole)?;
        from.sort_by_key(|shard| (std::cmp::Reverse(score(*shard)), *shard));
        from.truncate(class.follow_up);
        Ok((from.contains(&call.shard), whole))
    }

    /// The rule on answers that are not whole, where so many parts of equal weight are in.
    fn honest(&self, asked: &Asked, count: usize, whole: bool) -> Result<(), String> {
        let (class, share) = (self.class(asked), count as f64 / asked.shards.len() as f64);
        if share < class.floor - 1e-9 || whole && share < class.need - 1e-9 {
            return Err(format!("share {share:.2} of the parts, marked whole: {whole}"));
        }
        Ok(())
    }

    fn attempt(&self, call: &Call, n: usize, act: impl FnOnce(&mut Attempt)) {
        let mut asked = self.asked.borrow_mut();
        let part = call.query().and_then(|query| asked.get_mut(query)?.parts.get_mut(&call.part()));
        if let Some(attempt) = part.and_then(|part| part.attempts.get_mut(n)) {
            act(attempt);
        }
    }

    /// An attempt was turned away.
    pub fn turned_away(&self, call: &Call, n: usize) {
        self.attempt(call, n, |attempt| (attempt.may_have_run, attempt.answered) = (false, true));
    }

    /// An attempt is being answered.
    pub fn answered(&self, call: &Call, n: usize) {
        self.attempt(call, n, |attempt| attempt.answered = true);
    }

    /// Whether an attempt was given up.
    pub fn is_given_up(&self, call: &Call, n: usize) -> bool {
        let mut is = false;
        self.attempt(call, n, |attempt| is = attempt.given_up);
        is
    }

    /// The work of a part.
    pub fn work_ms(&self, call: &Call) -> f64 {
        let asked = self.asked.borrow();
        call.query().and_then(|query| asked.get(query)).map_or(0.0, |asked| self.class(asked).work_ms)
    }

    /// A broker gave up a part on one of a store's links, or the whole link.
    pub fn given_up(&self, link: u64, id: Option<&str>) {
        for (name, asked) in self.asked.borrow_mut().iter_mut() {
            for ((shard, second), part) in &mut asked.parts {
                let own = || format!("{name}.{shard}{}", if *second { ".r" } else { "" });
                if id.is_none_or(|id| id == own()) {
                    let here = part.attempts.iter_mut().filter(|attempt| attempt.link == link);
                    here.for_each(|attempt| attempt.given_up = true);
                }
            }
        }
    }

    /// Some time after a further attempt came: of the earlier ones that seemed to be out, none may be yet. Those that were
    /// given up were told of on another connection, and that word may have come last.
    pub fn second_copy(&self, by: Who, call: &Call, out: &[usize]) {
        let mut twice = false;
        for n in out {
            self.attempt(call, *n, |attempt| twice |= !attempt.given_up);
        }
        if twice {
            self.breach(by, format!("part {}: a second copy while one is out", call.id));
        }
    }

    /// What a keyed part that ran within memory was answered then.
    pub fn remembered(&self, call: &Call, now: Duration) -> Option<String> {
        let key = (call.list.get("k")?.clone(), call.shard);
        let memory = self.memory.borrow();
        let (ran, value) = memory.get(&key)?;
        let asked = self.asked.borrow();
        let memory_ms = self.class(asked.get(call.query()?)?).memory_ms;
        (now - *ran <= Duration::from_secs_f64(memory_ms / 1000.0)).then(|| value.clone())
    }

    /// A part runs; what comes of it.
    pub fn run(&self, by: Who, store: usize, call: &Call, now: Duration) -> String {
        self.ledger.note(by, Deed::Ran(store, call.id.clone()));
        let Some(key) = call.list.get("k") else { return value(&call.text, call.shard, call.second()) };
        let noted = format!("noted as {}", self.number());
        self.memory.borrow_mut().insert((key.clone(), call.shard), (now, noted.clone()));
        noted
    }

    /// Notes what a store makes of a part.
    pub fn gives(&self, call: &Call, value: &str) {
        let mut asked = self.asked.borrow_mut();
        let part = call.query().and_then(|query| asked.get_mut(query)?.parts.get_mut(&call.part()));
        if let Some(part) = part {
            part.value = Some(value.to_owned());
        }
    }

    /// A client has its answer: one that serves holds what stores made, from enough parts, and is whole if it says so. Gives
    /// whether it is.
    pub fn judge(&self, by: Who, name: &str, got: &Got) -> Option<bool> {
        let asked = self.asked.borrow();
        let asked = asked.get(name).filter(|_| got.status == 200)?;
        let (json, second) = (got.json(), self.class(asked).follow_up > 0);
        let (answers, whole) = (json["answers"].as_array(), json["total"].as_bool().unwrap_or_default());
        let made = |answer: &serde_json::Value| {
            let shard = answer["range"].as_u64()? as u32;
            let value = asked.parts.get(&(shard, second))?.value.as_ref();
            value.filter(|value| answer["blob"].as_str() == Some(value)).map(|_| shard)
        };
        let count = answers.map_or(0, |answers| answers.len());
        let shards: Option<BTreeSet<u32>> = answers.and_then(|answers| answers.iter().map(made).collect());
        let fault = match shards {
            None => Err("no store made this".to_owned()),
            Some(shards) if shards.len() < count => Err("a shard stands twice".to_owned()),
            Some(_) if second && whole && asked.first_whole != Some(true) => {
                Err("marked whole, and its first step was not".to_owned())
            }
            Some(_) if second => Ok(()),
            Some(_) => self.honest(asked, count, whole),
        };
        if let Err(what) = fault {
            self.breach(by, format!("the answer to {name}: {what}: {}", got.text()));
        }
        Some(whole)
    }
}

/// A shard's score, which decides where a second step goes.
pub fn score(shard: u32) -> u32 {
    1000 + shard.wrapping_mul(61) % 97
}

/// What a part that is safe to repeat gives.
pub fn value(text: &str, shard: u32, second: bool) -> String {
    format!("{text} of {shard}{}", if second { " in full" } else { "" })
}
