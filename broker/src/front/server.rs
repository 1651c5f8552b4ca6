//! Accepts clients and serves them. A connection is accepted once there is a place for it ([`Places`]); till then it waits at
//! the listener, and those that ask nothing make room ([`Crowd`]). What a connection goes through is in [`client`](super::client).

use std::cell::Cell;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future::or;

use super::client::{Answered, Asked, Bodies, Client, Ended, Look, NoRequest, Shut};
use super::crowd::Crowd;
use super::{Accepted, Reply, Service};
use crate::config::Waits;
use crate::counters::{count, Counters};
use crate::handover::{Other, Presence};
use crate::http::Fault;
use crate::lifecycle::Lifecycle;
use crate::limits::{Clients, Place, Places};

/// After a failed accept (the system has no descriptor left, say) the next is tried so much later.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);
/// Where all places are taken, who may make room is looked for again so much later.
const LOOK_AGAIN: Duration = Duration::from_millis(5);
/// A client that sends bad requests is read again so much later, and closed after so many.
const BAD_PAUSE: Duration = Duration::from_millis(50);
const BAD_MOST: u32 = 8;

/// Serves connections from a listener until the broker leaves.
pub struct Server<S> {
    service: S,
    lifecycle: Rc<Lifecycle>,
    presence: Rc<Presence>,
    counters: Rc<Counters>,
    executor: Rc<LocalExecutor<'static>>,
    waits: Waits,
    clients: Clients,
    places: Rc<Places>,
    /// Requests that are being answered.
    open: Cell<usize>,
    bodies: Rc<Bodies>,
    crowd: Crowd,
}

/// What a connection brings next.
enum Next {
    /// A request; whether it is the last.
    Asked(Client, Asked, bool),
    /// What can't be read, or has no room: an answer is owed, the last.
    Unfit(Client, Reply),
    /// Nothing.
    Over(Shut),
    /// The client has gone.
    Gone(Ended),
}

/// Why a request is no longer waited for.
enum Stop {
    /// Nothing has come for too long, or others need the room more.
    Over,
    /// The broker is about to be empty, or to end.
    Late,
}

impl<S: Service + 'static> Server<S> {
    /// A server for a front with so many clients, and `bodies` bytes of long bodies.
    pub fn new(
        service: S,
        (lifecycle, presence): (&Rc<Lifecycle>, &Rc<Presence>),
        counters: &Rc<Counters>,
        executor: &Rc<LocalExecutor<'static>>,
        waits: Waits,
        clients: Clients,
        bodies: usize,
    ) -> Rc<Self> {
        Rc::new(Self {
            service,
            lifecycle: lifecycle.clone(),
            presence: presence.clone(),
            counters: counters.clone(),
            executor: executor.clone(),
            waits,
            clients,
            places: Places::new(clients.all()),
            open: Cell::new(0),
            bodies: Bodies::new(bodies, presence),
            crowd: Crowd::default(),
        })
    }

    /// Accepts and serves. Where the listener is this process's own, what waits there when the broker leaves is
    /// taken too: it would be turned back when the listener closes.
    pub async fn run(self: Rc<Self>, listener: Async<TcpListener>, own: bool) {
        // Whoever waits where another process serves as well is left to it until this one can.
        if self.presence.other() != Other::None {
            self.lifecycle.able().await;
        }
        loop {
            let place = async { Some(self.place().await) };
            let leaves = async {
                match own {
                    true => self.lifecycle.late().await,
                    false => self.lifecycle.accepting_over().await,
                }
                None
            };
            let Some(place) = or(leaves, place).await else { return };
            let accept = async { Some(listener.accept().await) };
            let closed = async {
                self.lifecycle.accepting_over().await;
                None
            };
            let taken = match or(closed, accept).await {
                None if own => {
                    listener.get_ref().accept().ok().map(|(socket, at)| Async::new(socket).map(|s| (s, at)))
                }
                taken => taken,
            };
            match taken {
                None => return,
                Some(Ok((socket, _))) => self.clone().begin(socket, place),
                Some(Err(e)) => {
                    log::warn!("accept: {e}");
                    // Others hold more than the limits say: who asks nothing goes first here too.
                    self.crowd.make_room();
                    Timer::after(ACCEPT_AGAIN).await;
                }
            }
        }
    }

    /// Waits for a place. Those that are too many make room as soon as they may: in a crowd that comes in one go nobody
    /// has waited long enough yet. Those that linger go on doing so for a moment.
    async fn place(&self) -> Place {
        loop {
            if let Some(place) = self.places.take() {
                return place;
            }
            self.crowd.hurry();
            let over = self.places.taken().saturating_sub(self.clients.most + self.crowd.ends());
            for _ in 0..over {
                self.crowd.make_room();
            }
            let later = async {
                Timer::after(LOOK_AGAIN).await;
            };
            or(self.places.freed(), later).await;
        }
    }

    fn begin(self: Rc<Self>, socket: Async<std::net::TcpStream>, place: Place) {
        count(&self.counters.connections);
        if self.places.taken() > self.clients.most {
            self.crowd.make_room();
        }
        let (this, connection) = (self.clone(), self.lifecycle.connection());
        let task = async move {
            let Ended { .. } = this.serve(Client::new(socket)).await;
            drop((place, connection));
        };
        self.executor.spawn(task).detach();
    }

    /// Reads the next request of a connection; of one that was accepted just now, the first.
    async fn next(&self, mut client: Client, accepted: Option<Instant>) -> Next {
        if self.lifecycle.too_late() {
            return Next::Over(client.too_late());
        }
        let stands = accepted.map_or_else(|| self.crowd.kept(), |_| self.crowd.fresh());
        let first_by = accepted.map(|at| at + self.waits.read);
        if !client.begun() {
            let within = first_by.map_or(self.waits.idle, |by| by.saturating_duration_since(Instant::now()));
            let first = async { client.first(within).await.map_err(Some) };
            let over = async {
                or(stands.wanted(), self.lifecycle.idle_over(accepted)).await;
                Err(None)
            };
            match or(first, over).await {
                Ok(()) => {}
                Err(Some(NoRequest::Gone)) => return Next::Gone(client.gone()),
                Err(_) => return self.stopped(client, Stop::Over).await,
            }
        }
        // One that has been of use is let finish a request that has begun.
        let stands = accepted.is_some().then_some(stands);
        let by = first_by.unwrap_or_else(|| Instant::now() + self.waits.read);
        let request = async { Ok(client.request(&self.bodies, by).await) };
        let crowded = async {
            match &stands {
                Some(stands) => stands.wanted().await,
                None => futures_lite::future::pending().await,
            }
            Err(Stop::Over)
        };
        let late = async {
            self.lifecycle.reading_over(accepted).await;
            Err(Stop::Late)
        };
        match or(request, or(crowded, late)).await {
            Ok(request) => self.came(client, request, false),
            Err(stop) => self.stopped(client, stop).await,
        }
    }

    /// Looks once more at a connection on which no request is waited for any longer.
    async fn stopped(&self, mut client: Client, stop: Stop) -> Next {
        if self.lifecycle.too_late() {
            return Next::Over(client.too_late());
        }
        match stop {
            Stop::Over => match client.look(&self.bodies).await {
                Look::Asked(client, asked) => self.came(client, Ok(asked), true),
                Look::Unfit(client, unfit) => self.came(client, Err(unfit), true),
                Look::Nothing(shut) => Next::Over(shut),
                Look::Gone(ended) => Next::Gone(ended),
            },
            // Part of a request has come: its client is told that the rest is not waited for.
            Stop::Late => {
                let request = client.request(&self.bodies, Instant::now()).await;
                self.came(client, request, true)
            }
        }
    }

    fn came(&self, client: Client, request: Result<Asked, NoRequest>, last: bool) -> Next {
        let fault = match request {
            Ok(_) if self.open.get() >= self.clients.most => NoRequest::NoRoom,
            Ok(asked) => {
                count(&self.counters.requests);
                return Next::Asked(client, asked, last);
            }
            Err(fault) => fault,
        };
        let unreadable = |fault| {
            count(&self.counters.bad_requests);
            self.service.unreadable(fault)
        };
        match fault {
            NoRequest::Gone => Next::Gone(client.gone()),
            NoRequest::NoRoom => {
                count(&self.counters.connections_shed);
                Next::Unfit(client, self.service.shed())
            }
            NoRequest::Stalled => Next::Unfit(client, unreadable(Fault::Stalled)),
            NoRequest::Fault(fault) => Next::Unfit(client, unreadable(fault)),
        }
    }

    async fn serve(&self, mut client: Client) -> Ended {
        let (mut accepted, mut bad) = (Some(Instant::now()), 0);
        loop {
            let (mut asking, reply, keep_alive) = match self.next(client, accepted.take()).await {
                Next::Asked(client, asked, last) => match self.answer(client, asked).await {
                    Ok((client, reply, keep_alive)) => (client, reply, keep_alive && !last),
                    Err(ended) => return ended,
                },
                Next::Unfit(client, reply) => (client, reply, false),
                Next::Over(shut) => return self.linger(shut).await,
                Next::Gone(ended) => return ended,
            };
            // Guards against a client that sends the same again the moment it is turned away: it would
            // have the thread to itself.
            let unfit = (400..500).contains(&reply.status) && reply.status != 429;
            bad += u32::from(unfit);
            let keep_alive = keep_alive && !self.lifecycle.closing() && bad < BAD_MOST;
            asking = match asking.answer(&reply, keep_alive, self.waits.write).await {
                Answered::Kept(client) => client,
                Answered::Last(shut) => return self.linger(shut).await,
                Answered::Unwritten(ended) => {
                    count(&self.counters.unwritten);
                    return ended;
                }
            };
            if unfit {
                Timer::after(BAD_PAUSE).await;
            }
            client = asking;
        }
    }

    async fn linger(&self, shut: Shut) -> Ended {
        let stands = self.crowd.ending();
        shut.linger(stands.wanted()).await
    }

    /// Waits for a request's answer, unless its client goes first: dropping the ticket tells the core. Also tells whether the
    /// connection may carry another.
    async fn answer(&self, mut client: Client, asked: Asked) -> Result<(Client, Reply, bool), Ended> {
        let Asked { head, body, .. } = asked;
        let (ticket, replier) = match self.service.accept(&head, body) {
            Accepted::Reply(reply) => {
                if (400..500).contains(&reply.status) && reply.status != 429 {
                    count(&self.counters.bad_requests);
                }
                return Ok((client, reply, head.keep_alive));
            }
            Accepted::Query(ticket, replier) => (ticket, replier),
        };
        self.open.set(self.open.get() + 1);
        let answer = async { Some(ticket.answer().await) };
        let left = async {
            client.left().await;
            None
        };
        let answer = or(answer, left).await;
        self.open.set(self.open.get() - 1);
        drop(ticket);
        match answer {
            Some(answer) => Ok((client, replier(answer), head.keep_alive)),
            None => Err(client.gone()),
        }
    }
}
