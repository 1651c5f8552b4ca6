//! Calls to stores about blocks: a frame and its answer, one at a time on a connection of their own, apart from those of
//! queries. Orders to a store go in the order in which they were given.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::future::or;
use futures_lite::AsyncReadExt;

use crate::http;
use crate::store::frame::{self, split};

/// A store answers within this time, or counts as silent.
const ANSWER_WITHIN: Duration = Duration::from_millis(1500);
const CONNECT_WITHIN: Duration = Duration::from_millis(500);

/// What a connection is for: orders follow each other, copies go beside them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Lane {
    /// Orders.
    Orders,
    /// Copies.
    Copies,
}

/// Held while a call of its lane is under way.
type Turn = Rc<async_lock::Mutex<()>>;

/// Connections that are kept, at most one for each store and lane.
#[derive(Debug, Default)]
pub struct Calls {
    idle: RefCell<HashMap<(SocketAddr, Lane), Async<TcpStream>>>,
    turns: RefCell<HashMap<(SocketAddr, Lane), Turn>>,
}

impl Calls {
    /// None yet.
    pub fn new() -> Rc<Self> {
        Rc::default()
    }

    /// Makes a call; nothing if the store was silent or said something else.
    pub async fn call(
        &self,
        at: SocketAddr,
        lane: Lane,
        letter: u8,
        rest: &[u8],
        answer: u8,
    ) -> Option<Vec<u8>> {
        let turn = match lane {
            Lane::Orders => Some(self.turns.borrow_mut().entry((at, lane)).or_default().clone()),
            Lane::Copies => None,
        };
        let _turn = match &turn {
            Some(turn) => Some(turn.lock().await),
            None => None,
        };
        let kept = self.idle.borrow_mut().remove(&(at, lane));
        let late = async {
            Timer::after(ANSWER_WITHIN).await;
            None
        };
        let bytes = frame::frame(letter, rest);
        let on = |socket: Async<TcpStream>| {
            let bytes = &bytes;
            async move {
                let _ = socket.get_ref().set_nodelay(true);
                let got = exchange(&socket, bytes, answer, ANSWER_WITHIN).await?;
                Some((socket, got))
            }
        };
        let ask = async {
            // A kept connection may have been closed meanwhile; every call may be repeated.
            if let Some(socket) = kept {
                if let Some(done) = on(socket).await {
                    return Some(done);
                }
            }
            on(http::connect(at, CONNECT_WITHIN).await.ok()?).await
        };
        let (socket, got) = or(ask, late).await?;
        self.idle.borrow_mut().insert((at, lane), socket);
        Some(got)
    }

    /// Lets go of connections to stores that are not among these.
    pub fn keep(&self, addresses: &[SocketAddr]) {
        self.idle.borrow_mut().retain(|(at, _), _| addresses.contains(at));
        self.turns.borrow_mut().retain(|(at, _), _| addresses.contains(at));
    }
}

/// Writes a frame and reads its answer; nothing if it is not of this letter, or more comes behind it.
pub async fn exchange(
    mut socket: &Async<TcpStream>,
    frame: &[u8],
    answer: u8,
    write_within: Duration,
) -> Option<Vec<u8>> {
    http::write_all(socket, frame, write_within).await.ok()?;
    let (mut buffer, mut piece) = (Vec::new(), [0; 16 * 1024]);
    loop {
        if let Some((letter, rest, length)) = split(&buffer).ok()? {
            return (letter == answer && length == buffer.len()).then(|| rest.to_vec());
        }
        let n = socket.read(&mut piece).await.ok().filter(|n| *n > 0)?;
        buffer.extend_from_slice(&piece[..n]);
    }
}
