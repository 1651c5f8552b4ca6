//! A stand-in for discovery: the list of stores, and watches on it.

use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use gingerledge::http::{self, Kind, Stream};
use serde_json::{json, Value};

use crate::fleet::ledger::{Deed, Ledger, Who};
use crate::store::Store;

const WITHIN: Duration = Duration::from_secs(30);

/// A store on the list.
pub struct Listed {
    /// The store.
    pub store: Rc<Store>,
    /// Its zone.
    pub zone: String,
    /// Its cell.
    pub cell: usize,
    /// Its state on the list.
    pub state: Cell<&'static str>,
}

/// How one caller sees the service.
#[derive(Clone, Default)]
pub struct View {
    /// Where it is to connect for each store, in the order of the list.
    pub through: Vec<SocketAddr>,
    /// Where its calls are noted.
    pub noted: Option<(Rc<Ledger>, Who)>,
}

/// The service.
pub struct Discovery {
    /// Where it listens.
    pub address: SocketAddr,
    /// The stores, in the order of their cells.
    pub stores: RefCell<Vec<Listed>>,
    /// What changes is told so much later.
    pub late: Cell<Duration>,
    /// No call is answered but by a refusal.
    pub down: Cell<bool>,
    generation: Cell<u64>,
    watchers: RefCell<Vec<Sender<()>>>,
}

impl Discovery {
    /// Serves on loopback.
    pub fn start(executor: &Rc<LocalExecutor<'static>>) -> std::io::Result<Rc<Self>> {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
        let this = Rc::new(Self {
            address: listener.get_ref().local_addr()?,
            stores: RefCell::default(),
            late: Cell::default(),
            down: Cell::default(),
            generation: Cell::new(1),
            watchers: RefCell::default(),
        });
        this.accept(executor, listener, View::default());
        Ok(this)
    }

    /// A door of its own for one broker, which has this view.
    pub fn door(
        self: &Rc<Self>,
        executor: &Rc<LocalExecutor<'static>>,
        view: View,
    ) -> std::io::Result<SocketAddr> {
        let listener = Async::<TcpListener>::bind(([127, 0, 0, 1], 0))?;
        let address = listener.get_ref().local_addr()?;
        self.accept(executor, listener, view);
        Ok(address)
    }

    fn accept(
        self: &Rc<Self>,
        executor: &Rc<LocalExecutor<'static>>,
        listener: Async<TcpListener>,
        view: View,
    ) {
        let (serving, runs) = (self.clone(), executor.clone());
        let accept = async move {
            while let Ok((socket, _)) = listener.accept().await {
                let (this, view) = (serving.clone(), view.clone());
                runs.spawn(async move {
                    let _ = this.serve(socket, &view).await;
                })
                .detach();
            }
        };
        executor.spawn(accept).detach();
    }

    /// Puts a store on the list, in a cell of its own.
    pub fn list(&self, store: &Rc<Store>, zone: &str) {
        let cell = self.stores.borrow().len();
        self.list_in(store, zone, cell);
    }

    /// Puts a store on the list, in a cell.
    pub fn list_in(&self, store: &Rc<Store>, zone: &str, cell: usize) {
        let (store, zone, state) = (store.clone(), zone.to_owned(), Cell::new("up"));
        self.stores.borrow_mut().push(Listed { store, zone, cell, state });
        self.changed();
    }

    /// Told whenever the list changes.
    pub fn watch(&self) -> Receiver<()> {
        let (watcher, changed) = async_channel::bounded(1);
        self.watchers.borrow_mut().push(watcher);
        changed
    }

    /// Sets a store's state.
    pub fn set_state(&self, store: usize, state: &'static str) {
        if let Some(listed) = self.stores.borrow().get(store) {
            listed.state.set(state);
        }
        self.changed();
    }

    /// Tells watchers that something has changed.
    pub fn changed(&self) {
        self.generation.set(self.generation.get() + 1);
        self.watchers.borrow_mut().retain(|watcher| !watcher.is_closed());
        for watcher in self.watchers.borrow().iter() {
            let _ = watcher.try_send(());
        }
    }

    /// The list as one caller sees it.
    pub fn list_for(&self, view: &View) -> Value {
        let entry = |(n, listed): (usize, &Listed)| {
            let at = view.through.get(n).copied().unwrap_or(listed.store.address);
            json!({ "instanceId": listed.store.name, "hostPort": at.to_string(),
                "zone": listed.zone, "machineType": "small", "cell": listed.cell, "lifecycle": listed.state.get(),
                "weight": 1.0, "startedAtMs": listed.store.started_ms.get() })
        };
        let stores = self.stores.borrow();
        let all: Vec<Value> = stores.iter().enumerate().map(entry).collect();
        json!({ "generation": self.generation.get(), "reset": true, "instances": all })
    }

    fn text(&self, view: &View) -> String {
        self.list_for(view).to_string() + "\n"
    }

    async fn serve(&self, socket: Async<TcpStream>, view: &View) -> Option<()> {
        let mut stream = Stream::new(socket);
        let head = stream.head(Kind::Request, WITHIN).await.ok()?;
        let watch = head.query().contains("follow=1");
        if let Some((ledger, who)) = &view.noted {
            ledger.note(*who, Deed::Called(watch));
        }
        if self.down.get() {
            return stream.write(&http::encode_response(503, "", b"", false), WITHIN).await.ok();
        }
        if !watch {
            let bytes = http::encode_response(200, "", self.text(view).as_bytes(), false);
            return stream.write(&bytes, WITHIN).await.ok();
        }
        stream.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", WITHIN).await.ok()?;
        let changed = self.watch();
        let mut line = self.text(view);
        loop {
            let chunk = format!("{:x}\r\n{line}\r\n", line.len());
            stream.write(chunk.as_bytes(), WITHIN).await.ok()?;
            let beat = async {
                Timer::after(Duration::from_secs(2)).await;
                "\n".to_owned()
            };
            let change = async {
                let _ = changed.recv().await;
                Timer::after(self.late.get()).await;
                self.text(view)
            };
            line = futures_lite::future::or(change, beat).await;
        }
    }
}
