//! Counters of what is taken in, sent and answered; printed on SIGUSR1 and at exit.

use std::cell::Cell;
use std::fmt;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// Counts since the start. Shared by reference: the program has one thread.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: Cell<u64>,)*
        }

        impl fmt::Display for Counters {
            /// One line, `name=count` each, in the order of their declaration.
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                let all = [$((stringify!($name), self.$name.get()),)*];
                let mut gap = "";
                for (name, count) in all {
                    write!(f, "{gap}{name}={count}")?;
                    gap = " ";
                }
                Ok(())
            }
        }
    };
}

counters! {
    /// Client connections accepted.
    connections,
    /// Client connections closed because too many were open.
    connections_shed,
    /// HTTP requests read whole.
    requests,
    /// Requests answered with a 4xx before they became a query.
    bad_requests,
    /// Calls of operators answered.
    admin_calls,
    /// Queries handed to the core.
    queries,
    /// Queries turned away because the broker held as many as it may.
    queries_full,
    /// Clients that left before their answer.
    clients_gone,
    /// Queries answered.
    answered,
    /// Queries refused.
    refused,
    /// Queries failed.
    failed,
    /// Queries turned away at the learned limit on parts out.
    over_limit,
    /// Queries turned away because a shard has no store that is trusted.
    shut,
    /// Queries turned away because a shard is too slow for their class.
    jammed,
    /// Queries turned away because their client waits less than parts usually take.
    hasty,
    /// Queries given up because no store on the list holds their shards.
    unlisted,
    /// Queries given up because parts of theirs can't be had any more.
    lost,
    /// Queries given up because what was missing would have come too late.
    late,
    /// Queries that the core had not ended when their time was up.
    overdue,
    /// Final answers that the exchange dropped: the client had left, or had one.
    finals_dropped,
    /// Answers that could not be written whole to the client.
    unwritten,
    /// Attempts sent to stores.
    attempts,
    /// Calls written to stores, each for one attempt or several.
    calls,
    /// Attempts served.
    served,
    /// Attempts answered with an error.
    errors,
    /// Attempts turned away unseen.
    turned_away,
    /// Attempts without a connection.
    unreachable,
    /// Attempts whose connection broke.
    broken,
    /// Attempts timed out.
    timed_out,
    /// Attempts given up by the core.
    withdrawn,
    /// Attempts never sent.
    void,
    /// Connections opened to stores.
    dials,
    /// Connections to stores given up because nothing came while a part waited in vain.
    links_silent,
    /// Frames or answers from stores that could not be used.
    bad_frames,
    /// Answers to parts that were no longer waited for.
    late_answers,
    /// Watches on discovery begun.
    watches,
    /// Lists and changes read from discovery.
    lists,
    /// Calls to discovery that failed.
    list_failures,
    /// Datagrams sent to other brokers.
    peers_told,
    /// Datagrams that came from other brokers.
    peers_heard,
    /// Datagrams of other brokers that changed nothing, since they could not be used.
    peers_unread,
}

/// Adds one.
pub fn count(counter: &Cell<u64>) {
    counter.set(counter.get().saturating_add(1));
}
