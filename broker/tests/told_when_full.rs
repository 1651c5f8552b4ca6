//! While no descriptor is left, as while idle clients hold them all, discovery goes on being called, and is heard in time once one is.
//! The limit is the whole process's, so this test has one of its own.
#![allow(clippy::unwrap_used)]

use std::time::Instant;

use gingerledge::discovery::watching::UPDATE_DEADLINE;
use gingerledge_testkit::scripted::{run, until, Service};
use rustix::process::{getrlimit, setrlimit, Resource, Rlimit};

#[test]
fn a_call_that_finds_no_descriptor_is_tried_again_in_time() {
    run(3, |world| async move {
        let broker = world.broker(world.settings(), None).await;
        let before = getrlimit(Resource::Nofile);
        // What is open stays; nothing more can be opened, by either side.
        setrlimit(Resource::Nofile, Rlimit { current: Some(3), ..before }).unwrap();
        let failures = broker.counters.list_failures.get();
        world.service.set(Service::Hangs);
        until(|| broker.counters.list_failures.get() >= failures + 4).await;
        assert_eq!(world.asked.get(), 1, "no call came through");
        world.service.set(Service::Serves);
        let mut listed = world.listed.borrow()[0].clone();
        listed.state = "draining";
        world.change(0, listed);
        let lists = broker.counters.lists.get();
        setrlimit(Resource::Nofile, before).unwrap();
        let since = Instant::now();
        until(|| broker.counters.lists.get() > lists).await;
        assert!(since.elapsed() < UPDATE_DEADLINE, "{:?}", since.elapsed());
    });
}
