//! The program itself: exit codes, messages, signals.
#![allow(clippy::unwrap_used)]

use std::io::{BufRead, BufReader, Read, Write};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use gingerledge_testkit::scripted::{listener, run};
use serde_json::{json, Value};

/// A configuration file that goes with the test.
struct File(PathBuf);

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

fn start(config: &Value, name: &str) -> (Child, File) {
    let path = std::env::temp_dir().join(format!("gingerledge-test-{}-{name}.json", std::process::id()));
    std::fs::write(&path, config.to_string()).unwrap();
    let mut program = Command::new(env!("CARGO_BIN_EXE_gingerledge"));
    for key in
        ["LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "LB_LOG", "LB_OPERATOR", "LB_ADMIN_ADDR", "LB_FD", "TMPDIR"]
    {
        program.env_remove(key);
    }
    let child = program.env("LB_CONFIG", &path).stderr(Stdio::piped()).spawn().unwrap();
    (child, File(path))
}

fn signal(child: &Child, name: &str) {
    let killed = Command::new("kill").args([name, &child.id().to_string()]).status().unwrap();
    assert!(killed.success());
}

#[test]
fn bad_configuration_ends_it_with_a_message_that_names_the_key() {
    run(2, |world| async move {
        let mut config = json!({ "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9",
            "settings": world.settings() });
        config["settings"]["categories"][0]["aim_ms"] = json!("soon");
        let (child, _file) = start(&config, "bad");
        let output = child.wait_with_output().unwrap();
        assert_eq!(output.status.code(), Some(1));
        let said = String::from_utf8(output.stderr).unwrap();
        assert!(said.contains("settings.categories.0.aim_ms: expected a number"), "{said}");
        let taken = listener();
        config["settings"] = world.settings();
        config["listen"] = json!(taken.1.to_string());
        let (child, _file) = start(&config, "taken");
        let output = child.wait_with_output().unwrap();
        assert_eq!(output.status.code(), Some(1));
        assert!(String::from_utf8(output.stderr).unwrap().contains("LB_LISTEN: can't listen"));
    });
}

/// As many connections as it takes, each in the midst of as long a body as may be.
#[test]
fn half_sent_bodies_on_every_connection_stay_within_its_memory() {
    run(2, |world| async move {
        let config = json!({ "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9",
            "limits": { "memory_mb": 32, "sockets": 1024 }, "settings": world.settings() });
        let (mut child, _file) = start(&config, "memory");
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let mut line = String::new();
        log.read_line(&mut line).unwrap();
        let at = line.trim().rsplit(' ').next().unwrap().to_owned();
        let mut text = b"POST /yard-compare HTTP/1.1\r\nContent-Length: 65536\r\n\r\n".to_vec();
        text.extend(vec![b'x'; 65_000]);
        let mut clients = Vec::new();
        for _ in 0..500 {
            let mut client = std::net::TcpStream::connect(&at).unwrap();
            client.set_read_timeout(Some(std::time::Duration::from_secs(20))).unwrap();
            client.set_write_timeout(Some(std::time::Duration::from_secs(20))).unwrap();
            // Some are turned away in the midst of it.
            let _ = client.write_all(&text);
            clients.push(client);
        }
        // Each is told, be it that there is no room (503) or that the rest did not come (408), or closed.
        let mut told = [0, 0];
        for client in &mut clients {
            let mut answer = Vec::new();
            let _ = client.read_to_end(&mut answer);
            told[0] += usize::from(answer.starts_with(b"HTTP/1.1 503 "));
            told[1] += usize::from(answer.starts_with(b"HTTP/1.1 408 "));
        }
        assert!(told[0] > 0 && told[1] > 0, "{told:?}");
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        let kib: u64 = line.trim().trim_end_matches(" kB").parse().unwrap();
        assert!(kib < 24 * 1024, "{kib} KiB");
        drop(clients);
        signal(&child, "-TERM");
        assert_eq!(child.wait().unwrap().code(), Some(0));
    });
}

/// Reads a log up to a line with these words.
fn read_until(log: &mut impl BufRead, words: &str) {
    let mut line = String::new();
    while !line.contains(words) {
        line.clear();
        assert!(log.read_line(&mut line).unwrap() > 0, "the log ended before `{words}`");
    }
}

#[test]
fn it_counts_on_request_and_exits_with_0_when_told_to_stop() {
    run(2, |world| async move {
        let config = json!({ "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9",
            "settings": world.settings() });
        let (mut child, _file) = start(&config, "good");
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let mut until = |words: &str| read_until(&mut log, words);
        until("serving on 127.0.0.1:");
        signal(&child, "-USR1");
        until("counters: connections=0 ");
        signal(&child, "-TERM");
        until("stopping: 0 queries open");
        until("counters: ");
        let mut rest = String::new();
        log.read_to_string(&mut rest).unwrap();
        assert_eq!(child.wait().unwrap().code(), Some(0));
    });
}

/// Unhandled, the signal ends a process at once.
#[test]
fn it_follows_a_new_configuration_and_keeps_the_old_where_that_is_no_use() {
    run(2, |world| async move {
        let mut config = json!({ "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9",
            "settings": world.settings() });
        let (mut child, file) = start(&config, "again");
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let mut until = |words: &str| read_until(&mut log, words);
        until("serving on 127.0.0.1:");
        config["settings"]["limits"]["max_open"] = json!("many");
        std::fs::write(&file.0, config.to_string()).unwrap();
        signal(&child, "-HUP");
        until("settings.limits.max_open: expected 2 to");
        std::fs::write(&file.0, "{\"discovery").unwrap();
        signal(&child, "-HUP");
        until("LB_CONFIG: not JSON");
        config["settings"] = world.settings();
        config["discovery"] = json!("127.0.0.1:7");
        std::fs::write(&file.0, config.to_string()).unwrap();
        signal(&child, "-HUP");
        until("discovery address changed address=127.0.0.1:7");
        signal(&child, "-TERM");
        until("counters: ");
        assert_eq!(child.wait().unwrap().code(), Some(0));
    });
}
