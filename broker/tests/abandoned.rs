//! Clients that leave before their answer: what is out for them is stopped, and no store is thought the worse of it.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use async_io::Async;
use gingerledge::http::Stream;
use gingerledge_testkit::scripted::{exchange, query, run, until, Mood};
use serde_json::json;

#[test]
fn what_is_out_for_a_client_that_left_is_given_up_and_its_store_and_connection_stay_trusted() {
    for allowed in [true, false] {
        run(1, |world| async move {
            let mut settings = world.settings();
            settings["limits"]["may_cancel"] = json!(allowed);
            let broker = world.broker(settings, None).await;
            let served =
                exchange(broker.platform, &query("q0", "yard-compare", 2000, &[0], "x")).await.unwrap();
            assert_eq!(served.status, 200);
            world.mood.borrow_mut()[0] = Mood::Silent;
            for n in 1..6 {
                let socket = Async::<std::net::TcpStream>::connect(broker.platform).await.unwrap();
                let mut client = Stream::new(socket);
                let text = query(&format!("q{n}"), "yard-compare", 2000, &[0], "x");
                client.write(&text, Duration::from_secs(5)).await.unwrap();
                until(|| world.sent.borrow().len() == n + 1).await;
                drop(client);
                until(|| broker.counters.clients_gone.get() == n as u64).await;
            }
            world.mood.borrow_mut()[0] = Mood::Serves;
            if allowed {
                until(|| broker.counters.withdrawn.get() == 5).await;
                assert_eq!(*world.given_up.borrow(), ["q1.0", "q2.0", "q3.0", "q4.0", "q5.0"]);
            }
            let text = query("q9", "yard-compare", 2000, &[0], "x");
            assert_eq!(exchange(broker.platform, &text).await.unwrap().status, 200);
            assert_eq!((broker.counters.dials.get(), broker.counters.links_silent.get()), (1, 0));
            assert_eq!(broker.counters.withdrawn.get(), if allowed { 5 } else { 0 });
        });
    }
}
