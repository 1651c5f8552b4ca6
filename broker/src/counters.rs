//! Counters of requests, queries, attempts and connections; logged on SIGUSR1 and at exit.

use std::cell::Cell;
use std::fmt;

macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// Counts since the start. Shared by reference without synchronization, since the program has one thread.
        #[derive(Debug, Default)]
        pub struct Counters {
            $($(#[$doc])* pub $name: Cell<u64>,)*
        }

        impl fmt::Display for Counters {
            /// Formats all counters on one line as `name=count`, in the order of their declaration.
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                let counts = [$((stringify!($name), self.$name.get()),)*];
                let mut separator = "";
                for (name, count) in counts {
                    write!(f, "{separator}{name}={count}")?;
                    separator = " ";
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
    /// HTTP requests read completely.
    requests,
    /// Requests rejected with a 4xx status before a query was submitted.
    bad_requests,
    /// Requests to the admin endpoint answered.
    admin_calls,
    /// Queries submitted to the core.
    queries,
    /// Queries rejected because the broker was at its limit on open queries.
    queries_full,
    /// Clients that disconnected before their answer.
    clients_gone,
    /// Queries answered.
    answered,
    /// Queries refused.
    refused,
    /// Queries failed.
    failed,
    /// Queries rejected at the adaptive limit on parts in flight.
    over_limit,
    /// Queries rejected because no store of a shard is considered healthy.
    shut,
    /// Queries rejected because a shard is too slow for their class.
    jammed,
    /// Queries rejected because their time-out is shorter than the usual duration of parts.
    hasty,
    /// Queries abandoned because no listed store holds their shards.
    unlisted,
    /// Queries abandoned because some of their parts can no longer be answered.
    lost,
    /// Queries abandoned because the missing parts would have been answered too late.
    late,
    /// Queries that the core had not finished at their deadline.
    overdue,
    /// Final answers that the exchange dropped because the client had disconnected or had already been answered.
    finals_dropped,
    /// Answers that could not be written completely to the client.
    unwritten,
    /// Attempts sent to stores.
    attempts,
    /// Calls written to stores, each for one attempt or several.
    calls,
    /// Attempts served.
    served,
    /// Attempts answered with an error.
    errors,
    /// Attempts that a store rejected without processing them.
    turned_away,
    /// Attempts for which no connection to the store could be opened.
    unreachable,
    /// Attempts whose connection broke.
    broken,
    /// Attempts timed out.
    timed_out,
    /// Attempts withdrawn by the core.
    withdrawn,
    /// Attempts never sent.
    void,
    /// Connections opened to stores.
    dials,
    /// Connections to stores closed because nothing was received while a part waited for its answer.
    links_silent,
    /// Frames or answers from stores that could not be used.
    bad_frames,
    /// Answers to parts that were no longer awaited.
    late_answers,
    /// Watches on discovery started.
    watches,
    /// Lists and changes received from discovery.
    lists,
    /// Calls to discovery that failed.
    list_failures,
    /// Datagrams sent to other brokers.
    peers_told,
    /// Datagrams received from other brokers.
    peers_heard,
    /// Datagrams of other brokers that were ignored because they were invalid.
    peers_unread,
}

/// Increments a counter by one; it saturates at the maximum.
pub fn count(counter: &Cell<u64>) {
    counter.set(counter.get().saturating_add(1));
}
