//! The one place where a subsystem is plugged into the broker: what it is given to work with, and what is asked of it. The
//! operators' door, the core's driver and the end of the process know subsystems by this alone.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

use async_executor::LocalExecutor;

use crate::clock::Clock;
use crate::counters::Counters;
use crate::discovery::Discovery;
use crate::exchange::Exchange;
use crate::http::Head;
use crate::store::Stores;

/// Something that is there soon.
pub type Soon<'a, T> = Pin<Box<dyn Future<Output = T> + 'a>>;

/// What a subsystem works with.
pub struct Host {
    /// The broker's name.
    pub name: String,
    /// Its clock.
    pub clock: Clock,
    /// Where its tasks run.
    pub executor: Rc<LocalExecutor<'static>>,
    /// What it counts.
    pub counters: Rc<Counters>,
    /// Its open queries.
    pub exchange: Rc<Exchange>,
    /// Its stores.
    pub stores: Rc<Stores>,
    /// What discovery lists.
    pub discovery: Rc<Discovery>,
}

/// An answer at the operators' door.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// Its status.
    pub status: u16,
    /// The type of its body.
    pub kind: &'static str,
    /// Its body.
    pub body: Vec<u8>,
}

impl Reply {
    /// A few words.
    pub fn words(status: u16, words: &str) -> Self {
        Self { status, kind: "text/plain; charset=utf-8", body: format!("{words}\n").into_bytes() }
    }

    /// What was asked for, as JSON.
    pub fn json(value: &serde_json::Value) -> Self {
        Self { status: 200, kind: "application/json", body: value.to_string().into_bytes() }
    }

    /// What was asked for, for programs of the project alone.
    pub fn bytes(body: Vec<u8>) -> Self {
        Self { status: 200, kind: "application/octet-stream", body }
    }
}

/// A part of the broker that can be left out.
pub trait Subsystem {
    /// The first part of the paths that are its own at the operators' door.
    fn path(&self) -> &'static str;

    /// Answers a call at one of them.
    fn ask<'a>(&'a self, head: &'a Head, body: &'a [u8]) -> Soon<'a, Reply>;

    /// A store has told the core of something that is not known here.
    fn learn(&self) {}

    /// The broker is about to end: lets go of what others would wait for.
    fn stop(&self) -> Soon<'_, ()> {
        Box::pin(async {})
    }
}

/// The subsystem whose paths a target is below.
pub fn of<'a>(plugged: &'a [Rc<dyn Subsystem>], path: &str) -> Option<&'a Rc<dyn Subsystem>> {
    let first = path.strip_prefix('/')?.split('/').next()?;
    plugged.iter().find(|subsystem| subsystem.path() == first)
}
