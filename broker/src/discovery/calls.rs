//! The calls: a watch for as long as it stands, and where none can be had the whole list once instead. The core
//! is told of a failure and asks again, after a wait of its own.

use std::rc::Rc;
use std::time::Duration;

use futures_lite::future::or;
use stoatlane::ListKind;

use super::list::{Lines, LIST_MAX};
use super::{parse, Discovery, List};
use crate::counters::count;
use crate::faults;
use crate::http::{self, Kind, Stream};

const CONNECT_WITHIN: Duration = Duration::from_millis(1000);
/// A call waits in turn with those of other brokers.
const HEAD_WITHIN: Duration = Duration::from_millis(2500);
/// An empty line comes every 2 s: after so long without one the watch is dead, though its connection
/// may not show it. What it would have told counts as told 6 s later.
const SILENCE: Duration = Duration::from_millis(4500);
/// What a call ends with that had to wait too long.
const BUSY: &str = "status 503";

impl Discovery {
    /// Waits until a watch is to be begun.
    async fn wanted(&self) -> bool {
        or(async { self.asks.1.recv().await.is_ok() }, self.moved()).await
    }

    async fn moved(&self) -> bool {
        self.moved.1.recv().await.is_ok()
    }

    /// Serves requests for a watch, one at a time, and begins one of its own accord where discovery has
    /// moved.
    pub async fn run(self: Rc<Self>) {
        while self.wanted().await {
            let call = async {
                self.call().await;
                false
            };
            if or(call, self.moved()).await {
                let _ = self.moved.0.try_send(());
                continue;
            }
            // What was asked for meanwhile is answered by this failure.
            let _ = self.asks.1.try_recv();
            self.exchange.listed(ListKind::Failed, Vec::new());
        }
    }

    /// Watches until the watch ends; if it told nothing, perhaps the whole list can be had.
    async fn call(&self) {
        count(&self.counters.watches);
        let before = self.since.get();
        let Err(fault) = self.watch().await;
        log::info!("discovery: watch ended: {fault}");
        count(&self.counters.list_failures);
        // A 503 says that too many call: one more call at once would only add to them. The next time it is the
        // list that is asked for, in case that watches are what it refuses.
        if fault == BUSY && !self.list_next.replace(!self.list_next.get()) {
            return;
        }
        if self.since.get() == before {
            match self.fetch().await {
                Ok(list) => self.tell(&list, false),
                Err(fault) => log::info!("discovery: list not fetched: {fault}"),
            }
        }
    }

    async fn get(&self, target: &str) -> Result<(Stream, http::Head), String> {
        let address = self.address.get();
        if faults::point("discovery.call") {
            return Err("no call: a fault on demand".to_owned());
        }
        let socket = http::connect(address, CONNECT_WITHIN).await.map_err(|e| e.to_string())?;
        // Guards a large fleet: the list of a thousand stores, in one chunk, is longer than any other body.
        let mut stream = Stream::new(socket).up_to(LIST_MAX);
        let request = format!("GET {target} HTTP/1.1\r\nHost: {address}\r\nAccept: application/json\r\n\r\n");
        stream.write(request.as_bytes(), CONNECT_WITHIN).await.map_err(|e| e.to_string())?;
        let head = stream.head(Kind::Answer, HEAD_WITHIN).await.map_err(|e| format!("{e:?}"))?;
        match head.status {
            200 => Ok((stream, head)),
            503 => Err(BUSY.to_owned()),
            status => Err(format!("status {status}")),
        }
    }

    async fn fetch(&self) -> Result<List, String> {
        let (mut stream, head) = self.get("/v1/endpoints").await?;
        let body = stream.body(head.framing, HEAD_WITHIN).await.map_err(|e| format!("{e:?}"))?;
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
        let mut lines = Lines::default();
        loop {
            let chunk = stream.chunk(SILENCE).await.map_err(|e| format!("{e:?}"))?;
            let chunk = chunk.ok_or("ended")?;
            for line in lines.push(&chunk).map_err(|fault| fault.to_string())? {
                if line.is_empty() {
                    continue;
                }
                let list = parse(&line).map_err(|fault| fault.to_string())?;
                if let Some(held) = self.since.get().filter(|held| !list.reset && list.generation < *held) {
                    // Guards against changes to a list that is no longer held: they would bring back what is gone, or take
                    // out what came since. Only a whole list may be older, of a service that began anew; it is asked for next.
                    self.since.set(None);
                    return Err(format!("changes of generation {} to a list of {held}", list.generation));
                }
                self.tell(&list, false);
            }
        }
    }
}
