//! The agent beside a broker to which the list is pushed: it answers at once with what it has been sent, whole or as a watch of
//! changes, and is silent while discovery is down: no answers, no lines, though connections stay open.

use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use event_listener::Event;
use futures_lite::future::or;
use gingerledge::http::{self, Kind, Stream};
use serde_json::{json, Value};

use crate::discovery::{Discovery, View};
use crate::fleet::ledger::Deed;

const WITHIN: Duration = Duration::from_secs(30);
const BEAT: Duration = Duration::from_secs(2);
/// How often it looks whether discovery is back.
const AGAIN: Duration = Duration::from_millis(5);

/// The agent.
pub struct Agent {
    /// Where it listens.
    pub address: SocketAddr,
    discovery: Rc<Discovery>,
    view: View,
    /// What it has been sent: the version, and the entries by their places.
    sent: RefCell<Value>,
    news: Event,
    /// Times that the list was sent anew.
    pub pushes: Cell<u64>,
}

impl Agent {
    /// Starts it, with the list as it is, for a broker with this view of the stores.
    pub fn start(
        executor: &Rc<LocalExecutor<'static>>,
        discovery: &Rc<Discovery>,
        view: View,
    ) -> std::io::Result<Rc<Self>> {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
        let (address, discovery) = (listener.get_ref().local_addr()?, discovery.clone());
        let (sent, changes) = (RefCell::new(discovery.list_for(&view)), discovery.watch());
        let (news, pushes) = Default::default();
        let agent = Rc::new(Self { address, discovery, view, sent, news, pushes });
        let (this, runs) = (agent.clone(), executor.clone());
        let pushed = async move {
            while changes.recv().await.is_ok() {
                Timer::after(this.discovery.late.get()).await;
                this.up().await;
                *this.sent.borrow_mut() = this.discovery.list_for(&this.view);
                this.pushes.set(this.pushes.get() + 1);
                this.news.notify(usize::MAX);
            }
        };
        let serving = agent.clone();
        let accept = async move {
            while let Ok((socket, _)) = listener.accept().await {
                let this = serving.clone();
                runs.spawn(async move {
                    let _ = this.serve(socket).await;
                })
                .detach();
            }
        };
        executor.spawn(pushed).detach();
        executor.spawn(accept).detach();
        Ok(agent)
    }

    /// Waits while discovery is down.
    async fn up(&self) {
        while self.discovery.down.get() {
            Timer::after(AGAIN).await;
        }
    }

    async fn serve(&self, socket: Async<TcpStream>) -> Option<()> {
        let mut stream = Stream::new(socket);
        let head = stream.head(Kind::Request, WITHIN).await.ok()?;
        let watch = head.query().contains("follow=1");
        if let Some((ledger, who)) = &self.view.noted {
            ledger.note(*who, Deed::Called(watch));
        }
        self.up().await;
        let mut told = self.sent.borrow().clone();
        if !watch {
            return stream
                .write(&http::encode_response(200, "", whole(&told).as_bytes(), false), WITHIN)
                .await
                .ok();
        }
        stream.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", WITHIN).await.ok()?;
        let mut line = whole(&told);
        loop {
            stream.write(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes(), WITHIN).await.ok()?;
            let beat = async {
                Timer::after(BEAT).await;
            };
            let news = self.news.listen();
            if *self.sent.borrow() == told {
                or(news, beat).await;
            }
            self.up().await;
            let now = self.sent.borrow().clone();
            line = if now == told { "\n".to_owned() } else { changes(&told, &now) };
            told = now;
        }
    }
}

/// A list without what is removed.
fn whole(list: &Value) -> String {
    let mut list = list.clone();
    if let Some(entries) = list["instances"].as_array_mut() {
        entries.retain(|entry| entry["lifecycle"] != "removed");
    }
    list.to_string() + "\n"
}

/// What has changed since the list was told.
fn changes(told: &Value, now: &Value) -> String {
    let changed = |(n, entry): (usize, &Value)| (told["instances"][n] != *entry).then(|| entry.clone());
    let changed: Vec<Value> =
        now["instances"].as_array().into_iter().flatten().enumerate().filter_map(changed).collect();
    json!({ "generation": now["generation"], "reset": false, "instances": changed }).to_string() + "\n"
}
