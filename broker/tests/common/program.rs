//! The program itself beside a scripted world: started with a configuration, its log followed, its descriptors counted.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

use async_channel::Receiver;
use serde_json::Value;

/// A process of the broker; killed when dropped, and its files with it.
pub struct Program {
    pub child: Child,
    log: Receiver<String>,
    files: Vec<PathBuf>,
}

impl Program {
    /// Starts one under a name of the test's own, that may hold so many descriptors.
    pub fn start(
        name: &str,
        config: &Value,
        operator: Option<&str>,
        env: &[(&str, &str)],
        most: usize,
    ) -> Self {
        let file = |kind: &str, text: &str| {
            let name = format!("gingerledge-test-{}-{name}.{kind}", std::process::id());
            let path = std::env::temp_dir().join(name);
            std::fs::write(&path, text).unwrap();
            path
        };
        let mut files = vec![file("json", &config.to_string())];
        let mut program = Command::new("sh");
        let program = program.args(["-c", &format!("ulimit -n {most}; exec \"$0\"")]);
        program.arg(env!("CARGO_BIN_EXE_gingerledge"));
        for key in ["LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "LB_LOG", "LB_ADMIN_ADDR", "LB_FD", "TMPDIR"] {
            program.env_remove(key);
        }
        program.env_remove("LB_OPERATOR").env("LB_CONFIG", &files[0]).envs(env.iter().copied());
        if let Some(operator) = operator {
            files.push(file("toml", operator));
            program.env("LB_OPERATOR", &files[1]);
        }
        let mut child = program.stderr(Stdio::piped()).spawn().unwrap();
        let (lines, log) = async_channel::unbounded();
        let errors = BufReader::new(child.stderr.take().unwrap());
        std::thread::spawn(move || {
            for line in errors.lines().map_while(Result::ok) {
                let _ = lines.send_blocking(line);
            }
        });
        Self { child, log, files }
    }

    /// The next line of the log with these words.
    pub async fn until(&self, words: &str) -> String {
        let mut before = Vec::new();
        loop {
            let Ok(line) = self.log.recv().await else { panic!("no `{words}` in the log: {before:#?}") };
            if line.contains(words) {
                return line;
            }
            before.push(line);
        }
    }

    /// The address at the end of the next line with these words.
    pub async fn address(&self, words: &str) -> SocketAddr {
        self.until(words).await.trim().rsplit(' ').next().unwrap().parse().unwrap()
    }

    pub fn signal(&self, name: &str) {
        assert!(Command::new("kill").args([name, &self.child.id().to_string()]).status().unwrap().success());
    }

    /// How many descriptors it holds.
    pub fn descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).map_or(0, Iterator::count)
    }

    /// The most memory that it has held, in KiB.
    pub fn memory_kib(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:")).unwrap();
        line.trim().trim_end_matches(" kB").parse().unwrap()
    }

    /// Whether it still runs.
    pub fn runs(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        for file in &self.files {
            let _ = std::fs::remove_file(file);
        }
    }
}
