//! The driver of the state machine [`Watching`](super::watching::Watching): makes its calls to the discovery service. All
//! time-outs are decided by the state machine; a call that timed out is dropped.

use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::future::{or, pending, yield_now};
use gingerledge_dispatch::ListKind;

use super::list::{ListParser, LIST_MAX};
use super::watching::{Action, Call, Event};
use super::{parse, Discovery, List};
use crate::counters::count;
use crate::faults;
use crate::http::{self, Kind, Stream};

/// Time-out for I/O, longer than any of the state machine's time-outs, which end the call earlier.
const UNBOUNDED: Duration = Duration::from_secs(3600);

/// A call in progress; resolves with the reason for its end.
type CallFuture = Pin<Box<dyn Future<Output = String>>>;

impl Discovery {
    /// Calls the discovery service whenever the state machine requests it, for as long as the process runs.
    pub async fn run(self: Rc<Self>) {
        let mut current: Option<(Call, CallFuture)> = None;
        loop {
            let address_changed = async {
                let _ = self.address_changes.1.recv().await;
                (Event::AddressChanged, None)
            };
            let watch_requested = async {
                let _ = self.watch_requests.1.recv().await;
                (Event::WatchRequested, None)
            };
            let call_ended = async {
                match current.as_mut() {
                    Some((_, call)) => {
                        let fault = call.await;
                        (Event::CallEnded, Some(fault))
                    }
                    None => pending().await,
                }
            };
            let timeout = async {
                let due = self.watching.borrow().due();
                match due {
                    Some(due) => drop(Timer::at(due).await),
                    None => pending().await,
                }
                (Event::TimeoutElapsed, None)
            };
            let (event, fault) = or(or(address_changed, call_ended), or(watch_requested, timeout)).await;
            if let (Some(fault), Some((call, _))) = (fault, current.take_if(|_| event == Event::CallEnded)) {
                self.log_fault(call, &fault);
            }
            for action in self.on_event(event) {
                match action {
                    Action::DropCall => {
                        if let Some((call, _)) = current.take().filter(|_| event == Event::TimeoutElapsed) {
                            self.log_fault(call, "silent");
                        }
                    }
                    Action::Call(call) => {
                        if call == Call::Watch {
                            count(&self.counters.watches);
                        }
                        current = Some((call, Box::pin(self.clone().call(call))));
                    }
                    Action::ReportFailure => self.exchange.endpoints_listed(ListKind::Failed, Vec::new()),
                }
            }
        }
    }

    /// Passes an event to the state machine.
    fn on_event(&self, event: Event) -> Vec<Action> {
        self.watching.borrow_mut().handle(event, Instant::now())
    }

    fn log_fault(&self, call: Call, fault: &str) {
        if call == Call::Watch {
            count(&self.counters.list_failures);
        }
        // An unresponsive agent is called several times a second.
        let level =
            if self.watching.borrow().unanswered() < 2 { log::Level::Info } else { log::Level::Debug };
        log::log!(level, call:?, fault; "discovery call ended");
    }

    /// Makes a call; resolves with the reason for the call's end.
    async fn call(self: Rc<Self>, call: Call) -> String {
        match call {
            Call::Watch => match self.watch().await {
                Err(fault) => fault,
            },
            Call::List => match self.fetch().await {
                Ok(list) => {
                    self.on_list(&list);
                    self.on_event(Event::CompleteReceived);
                    "the list was given, and no watch".to_owned()
                }
                Err(fault) => fault,
            },
        }
    }

    /// Applies a received list, and reports to the state machine if it was newer.
    fn on_list(&self, list: &List) {
        let before = self.generation.get();
        self.apply(list, false);
        if self.generation.get() != before {
            self.on_event(Event::NewerListReceived);
        }
    }

    /// Sends a request to the discovery service and reads the head of a successful response.
    async fn get(&self, target: &str) -> Result<(Stream, http::Head), String> {
        let address = self.address.get();
        if faults::point("discovery.call") {
            return Err("no call: a fault on demand".to_owned());
        }
        let socket = http::connect(address, UNBOUNDED).await.map_err(|e| e.to_string())?;
        self.on_event(Event::Connected);
        // The list of a large fleet, a thousand stores in one chunk, is longer than any other body.
        let mut stream = Stream::new(socket).up_to(LIST_MAX);
        let request = format!("GET {target} HTTP/1.1\r\nHost: {address}\r\nAccept: application/json\r\n\r\n");
        stream.write(request.as_bytes(), UNBOUNDED).await.map_err(|e| e.to_string())?;
        let head = stream.head(Kind::Response, UNBOUNDED).await.map_err(|e| format!("{e:?}"))?;
        match head.status {
            200 => {
                self.on_event(Event::HeadReceived);
                Ok((stream, head))
            }
            status => Err(format!("status {status}")),
        }
    }

    /// Requests the complete list once.
    async fn fetch(&self) -> Result<List, String> {
        let (mut stream, head) = self.get("/v1/endpoints").await?;
        let body = stream.body(head.framing, UNBOUNDED).await.map_err(|e| format!("{e:?}"))?;
        parse(&body).map_err(|fault| fault.to_string())
    }

    /// Reads a watch until it ends, which is always an error.
    async fn watch(&self) -> Result<std::convert::Infallible, String> {
        let target = match self.generation.get() {
            Some(version) => format!("/v1/endpoints?follow=1&since={version}"),
            None => "/v1/endpoints?follow=1".to_owned(),
        };
        let (mut stream, head) = self.get(&target).await?;
        if head.framing != http::Framing::Chunked {
            return Err("a watch that is not chunked".to_owned());
        }
        let mut lists = ListParser::default();
        loop {
            let chunk = stream.chunk(UNBOUNDED).await.map_err(|e| format!("{e:?}"))?;
            let chunk = chunk.ok_or("ended")?;
            lists.push(&chunk);
            let mut complete = false;
            while let Some(list) = lists.next_list().map_err(|fault| fault.to_string())? {
                complete = true;
                if let Some(current) =
                    self.generation.get().filter(|current| !list.reset && list.generation < *current)
                {
                    // Changes to an older list would restore removed stores or remove newer ones. Only a complete list may
                    // be older, as from a restarted service, so the complete list is requested next.
                    self.generation.set(None);
                    self.on_event(Event::NewerListReceived);
                    return Err(format!("changes of generation {} to a list of {current}", list.generation));
                }
                self.on_list(&list);
            }
            // Lets other tasks of this thread run, even if the service sends faster than the watch can be read.
            yield_now().await;
            // White space inside an incomplete list does not count as a heartbeat: the list must be completed first.
            if complete || !lists.has_partial_list() {
                self.on_event(Event::CompleteReceived);
            }
        }
    }
}
