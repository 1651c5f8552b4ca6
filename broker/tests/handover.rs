//! Upgrades: the inherited listener, the other process, and the program itself with a second beside it.
#![allow(clippy::unwrap_used)]

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::Duration;

use async_channel::Receiver;
use async_io::Async;
use gingerledge::handover::{inherited_listener, OtherProcess, Presence};
use gingerledge::http::Stream;
use gingerledge_testkit::scripted::{get, put, query, read, run, Mood, World};
use serde_json::json;

/// A folder that goes with the test.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("gingerledge-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn here() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

#[test]
fn only_a_listener_at_the_right_address_is_adopted() {
    let listener = TcpListener::bind(here()).unwrap();
    let at = listener.local_addr().unwrap();
    let (descriptor, client) = (listener.as_raw_fd(), TcpStream::connect(at).unwrap());
    let adopted = inherited_listener(descriptor, at).unwrap();
    // It is a duplicate: the first may be closed.
    drop(listener);
    TcpStream::connect(at).unwrap();
    adopted.accept().unwrap();
    let refused = |fd: i32, at: SocketAddr| inherited_listener(fd, at).unwrap_err();
    assert!(refused(adopted.as_raw_fd(), ([127, 0, 0, 1], 1).into()).contains("expected 127.0.0.1:1"));
    assert!(refused(client.as_raw_fd(), at).contains("not a listening TCP socket"));
    let file = std::fs::File::open("/dev/null").unwrap();
    assert!(refused(file.as_raw_fd(), at).contains("not a socket"));
    assert!(refused(1 << 19, at).contains("not there"));
}

#[test]
fn two_processes_see_each_other_until_one_ends() {
    let folder = Folder::new("presence");
    let at: SocketAddr = ([127, 0, 0, 1], 8080).into();
    // A file that is no lock of ours, and what a kill leaves behind, stop nobody.
    std::fs::write(folder.0.join(format!("gingerledge-{at}.0")), [0xff; 100]).unwrap();
    let old = Presence::register(Some(&folder.0), at);
    assert_eq!((old.refresh(), old.process_count()), (OtherProcess::None, 1));
    let new = Presence::register(Some(&folder.0), at);
    assert_eq!((new.other(), new.process_count()), (OtherProcess::Serves, 2));
    assert_eq!((old.refresh(), old.process_count()), (OtherProcess::Serves, 2));
    old.announce_shutdown();
    assert_eq!((new.refresh(), new.process_count()), (OtherProcess::Leaves, 2));
    assert_eq!(old.refresh(), OtherProcess::Serves);
    drop(old);
    assert_eq!((new.refresh(), new.process_count()), (OtherProcess::None, 1));
    // The next upgrade finds the place that is free.
    let next = Presence::register(Some(&folder.0), at);
    assert_eq!((next.refresh(), new.refresh()), (OtherProcess::Serves, OtherProcess::Serves));
    // Without a folder it goes alone.
    assert_eq!(Presence::register(None, at).refresh(), OtherProcess::None);
    assert_eq!(Presence::register(Some(&folder.0.join("missing")), at).refresh(), OtherProcess::None);
}

/// The program, as the platform starts it.
struct Process {
    child: Child,
    log: Receiver<String>,
    door: Option<SocketAddr>,
}

impl Process {
    async fn start(world: &Rc<World>, folder: &Folder, listener: &TcpListener) -> Self {
        let listen = listener.local_addr().unwrap().to_string();
        let config = json!({ "name": "n0", "listen": listen, "discovery": world.discovery.to_string(),
            "admin_addr": "127.0.0.1:0", "settings": world.settings() });
        let path = folder.0.join("config.json");
        std::fs::write(&path, config.to_string()).unwrap();
        let mut program = Command::new(env!("CARGO_BIN_EXE_gingerledge"));
        for key in ["LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "LB_LOG", "LB_OPERATOR", "LB_ADMIN_ADDR"] {
            program.env_remove(key);
        }
        program.env("LB_CONFIG", &path).env("TMPDIR", &folder.0);
        program.env("LB_FD", listener.as_raw_fd().to_string());
        let mut child = program.stderr(Stdio::piped()).spawn().unwrap();
        let (lines, log) = async_channel::unbounded();
        let errors = BufReader::new(child.stderr.take().unwrap());
        std::thread::spawn(move || {
            for line in errors.lines().map_while(Result::ok) {
                let _ = lines.send_blocking(line);
            }
        });
        let mut this = Self { child, log, door: None };
        this.door = this.until("door at ").await.rsplit(' ').next().map(|at| at.parse().unwrap());
        this.until("lifecycle: ready").await;
        assert_eq!(get(this.door.unwrap(), "/ready", "").await.status, 200);
        this
    }

    async fn until(&self, words: &str) -> String {
        loop {
            let line = self.log.recv().await.unwrap();
            if line.contains(words) {
                return line;
            }
        }
    }

    fn signal(&self, name: &str) {
        assert!(Command::new("kill").args([name, &self.child.id().to_string()]).status().unwrap().success());
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A listener that programs started from here inherit.
fn shared() -> TcpListener {
    let listener = TcpListener::bind(here()).unwrap();
    rustix::io::fcntl_setfd(&listener, rustix::io::FdFlags::empty()).unwrap();
    listener
}

#[test]
fn an_upgrade_turns_nobody_back_and_finishes_what_was_taken() {
    run(3, |world| async move {
        let (folder, listener, within) = (Folder::new("upgrade"), shared(), Duration::from_secs(10));
        let at = listener.local_addr().unwrap();
        let mut old = Process::start(&world, &folder, &listener).await;
        let connect = || async { Stream::new(Async::<TcpStream>::connect(at).await.unwrap()) };
        let (mut taken, mut kept) = (connect().await, connect().await);
        kept.write(&query("kept0", "yard-compare", 2000, &[1], "x"), within).await.unwrap();
        assert!(read(&mut kept).await.unwrap().head.keep_alive);
        *world.mood.borrow_mut() = vec![Mood::Slow(900); 3];
        taken.write(&query("taken", "yard-compare", 2500, &[0], "x"), within).await.unwrap();
        gingerledge_testkit::scripted::until(|| world.sent.borrow().iter().any(|sent| sent.id == "taken.0"))
            .await;
        *world.mood.borrow_mut() = vec![Mood::Serves; 3];
        let new = Process::start(&world, &folder, &listener).await;
        old.until("another process of this broker: Serves").await;
        old.signal("-TERM");
        old.until("leaving to a successor").await;
        // Its connections are heard and answered, and told that they end; new ones are the new process's.
        kept.write(&query("kept1", "yard-compare", 2000, &[1], "x"), within).await.unwrap();
        let got = read(&mut kept).await.unwrap();
        assert_eq!((got.status, got.head.keep_alive), (200, false));
        for n in 0..20 {
            let text = query(&format!("q{n}"), "yard-compare", 2000, &[n % 3], "x");
            let mut stream = connect().await;
            stream.write(&text, within).await.unwrap();
            let got = read(&mut stream).await.unwrap();
            assert_eq!((got.status, got.head.keep_alive), (200, true), "{n}");
        }
        let got = read(&mut taken).await.unwrap();
        assert_eq!((got.status, got.head.keep_alive), (200, false));
        old.until("counters: ").await;
        assert_eq!(old.child.wait().unwrap().code(), Some(0));
        new.until("another process of this broker: None").await;
        assert_eq!(put(new.door, "/drain", "").await, 200);
    });
}

#[test]
fn a_descriptor_that_is_no_use_ends_the_start_with_its_key() {
    run(2, |world| async move {
        let folder = Folder::new("fd");
        let path = folder.0.join("config.json");
        let config = json!({ "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9",
            "settings": world.settings() });
        std::fs::write(&path, config.to_string()).unwrap();
        for (fd, said) in
            [("five", "LB_FD: expected a descriptor"), ("977", "LB_FD: descriptor 977: not there")]
        {
            let mut program = Command::new(env!("CARGO_BIN_EXE_gingerledge"));
            program.env("LB_CONFIG", &path).env("LB_FD", fd);
            let output = program.output().unwrap();
            assert_eq!(output.status.code(), Some(1));
            assert!(String::from_utf8_lossy(&output.stderr).contains(said), "{output:?}");
        }
    });
}
