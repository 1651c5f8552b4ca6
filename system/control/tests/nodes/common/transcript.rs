//! The transcript of whole exchanges, compared with an approved one in `tests/transcripts`. `APPROVE_TRANSCRIPTS=1` writes it.

use std::cell::RefCell;
use std::path::PathBuf;

/// Headers whose values differ from run to run.
const VARYING: [&str; 1] = ["date"];

/// Everything that was said, in order.
#[derive(Default)]
pub struct Transcript {
    text: RefCell<String>,
}

impl Transcript {
    pub fn note(&self, heading: &str, message: &str) {
        let mut text = self.text.borrow_mut();
        text.push_str(&format!("== {heading}\n"));
        for line in message.split_inclusive('\n') {
            text.push_str(&steady(line.trim_end_matches(['\r', '\n'])));
            text.push('\n');
        }
        text.push('\n');
    }

    /// Compares it with the approved one of that name.
    pub fn check(&self, name: &str) {
        let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/transcripts");
        let path = folder.join(format!("{name}.txt"));
        let text = self.text.borrow();
        if std::env::var_os("APPROVE_TRANSCRIPTS").is_some() {
            std::fs::write(&path, text.as_str()).expect("transcript written");
            return;
        }
        let approved = std::fs::read_to_string(&path).unwrap_or_default();
        assert_eq!(text.as_str(), approved, "{}: not as approved", path.display());
    }
}

fn steady(line: &str) -> String {
    match line.split_once(':') {
        Some((name, _)) if VARYING.contains(&name) => format!("{name}: (varies)"),
        _ => line.to_owned(),
    }
}
