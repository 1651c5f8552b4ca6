//! The calls: carries out what [`Watching`] asks for. A call has no time of its own: when it is silent the machine
//! says, and it is dropped.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::future::{or, pending, yield_now};
use gingerledge_dispatch::ListKind;

use super::list::{Lists, LIST_MAX};
use super::watching::{Action, Call, Event};
use super::{parse, Discovery, List};
use crate::counters::count;
use crate::faults;
use crate::http::{self, Kind, Stream};

/// Longer than the machine waits for anything.
const LONG: Duration = Duration::from_secs(3600);

type Calling = Pin<Box<dyn Future<Output = String>>>;

impl Discovery {
    /// Calls discovery whenever that is due, and keeps a watch for as long as it stands.
    pub async fn run(self: Rc<Self>) {
        let mut calling: Option<(Call, Calling)> = None;
        loop {
            let moved = async {
                let _ = self.moved.1.recv().await;
                (Event::Moved, None)
            };
            let wanted = async {
                let _ = self.asks.1.recv().await;
                (Event::Wanted, None)
            };
            let ended = async {
                match calling.as_mut() {
                    Some((_, calling)) => {
                        let fault = calling.await;
                        (Event::Ended, Some(fault))
                    }
                    None => pending().await,
                }
            };
            let late = async {
                let due = self.watching.borrow().due();
                match due {
                    Some(due) => drop(Timer::at(due).await),
                    None => pending().await,
                }
                (Event::Due, None)
            };
            let (event, fault) = or(or(moved, ended), or(wanted, late)).await;
            if let (Some(fault), Some((call, _))) = (fault, calling.take_if(|_| event == Event::Ended)) {
                self.note_fault(call, &fault);
            }
            for action in self.happened(event) {
                match action {
                    Action::Leave => {
                        if let Some((call, _)) = calling.take().filter(|_| event == Event::Due) {
                            self.note_fault(call, "silent");
                        }
                    }
                    Action::Call(call) => {
                        if call == Call::Watch {
                            count(&self.counters.watches);
                        }
                        calling = Some((call, Box::pin(self.clone().call(call))));
                    }
                    Action::Failed => self.exchange.endpoints_listed(ListKind::Failed, Vec::new()),
                }
            }
        }
    }

    fn happened(&self, event: Event) -> Vec<Action> {
        self.watching.borrow_mut().handle(event, Instant::now())
    }

    fn note_fault(&self, call: Call, fault: &str) {
        if call == Call::Watch {
            count(&self.counters.list_failures);
        }
        // An agent that is silent is called several times a second.
        let level =
            if self.watching.borrow().unanswered() < 2 { log::Level::Info } else { log::Level::Debug };
        log::log!(level, "discovery: {call:?} ended: {fault}");
    }

    /// Calls; resolves with what ended it.
    async fn call(self: Rc<Self>, call: Call) -> String {
        match call {
            Call::Watch => match self.watch().await {
                Err(fault) => fault,
            },
            Call::List => match self.fetch().await {
                Ok(list) => {
                    self.hear(&list);
                    self.happened(Event::Heard);
                    "the list was given, and no watch".to_owned()
                }
                Err(fault) => fault,
            },
        }
    }

    /// Tells the core of a list that came.
    fn hear(&self, list: &List) {
        let before = self.since.get();
        self.tell(list, false);
        if self.since.get() != before {
            self.happened(Event::Told);
        }
    }

    async fn get(&self, target: &str) -> Result<(Stream, http::Head), String> {
        let address = self.address.get();
        if faults::point("discovery.call") {
            return Err("no call: a fault on demand".to_owned());
        }
        let socket = http::connect(address, LONG).await.map_err(|e| e.to_string())?;
        self.happened(Event::Connected);
        // Guards a large fleet: the list of a thousand stores, in one chunk, is longer than any other body.
        let mut stream = Stream::new(socket).up_to(LIST_MAX);
        let request = format!("GET {target} HTTP/1.1\r\nHost: {address}\r\nAccept: application/json\r\n\r\n");
        stream.write(request.as_bytes(), LONG).await.map_err(|e| e.to_string())?;
        let head = stream.head(Kind::Answer, LONG).await.map_err(|e| format!("{e:?}"))?;
        match head.status {
            200 => {
                self.happened(Event::Answered);
                Ok((stream, head))
            }
            status => Err(format!("status {status}")),
        }
    }

    async fn fetch(&self) -> Result<List, String> {
        let (mut stream, head) = self.get("/v1/endpoints").await?;
        let body = stream.body(head.framing, LONG).await.map_err(|e| format!("{e:?}"))?;
        parse(&body).map_err(|fault| fault.to_string())
    }

    /// Watches until the watch ends, which it always does with a fault.
    async fn watch(&self) -> Result<std::convert::Infallible, String> {
        let target = match self.since.get() {
            Some(version) => format!("/v1/endpoints?follow=1&since={version}"),
            None => "/v1/endpoints?follow=1".to_owned(),
        };
        let (mut stream, head) = self.get(&target).await?;
        if head.framing != http::Framing::Chunked {
            return Err("a watch that is not chunked".to_owned());
        }
        let mut lists = Lists::default();
        loop {
            let chunk = stream.chunk(LONG).await.map_err(|e| format!("{e:?}"))?;
            let chunk = chunk.ok_or("ended")?;
            lists.push(&chunk);
            let mut whole = false;
            while let Some(list) = lists.next().map_err(|fault| fault.to_string())? {
                whole = true;
                if let Some(held) = self.since.get().filter(|held| !list.reset && list.generation < *held) {
                    // Guards against changes to a list that is no longer held: they would bring back what is gone, or take
                    // out what came since. Only a whole list may be older, of a service that began anew; it is asked for next.
                    self.since.set(None);
                    self.happened(Event::Told);
                    return Err(format!("changes of generation {} to a list of {held}", list.generation));
                }
                self.hear(&list);
            }
            // Guards clients, on the same thread, against a watch that talks faster than it can be read.
            yield_now().await;
            // Guards against the beginning of a list with empty lines behind it: what began has to come whole.
            if whole || !lists.begun() {
                self.happened(Event::Heard);
            }
        }
    }
}
