//! The transcript of whole exchanges, compared with an approved one. `APPROVE_TRANSCRIPTS=1` writes it.

use std::cell::RefCell;
use std::path::Path;
use std::rc::Rc;

/// Everything that was said, in order. Clones write to the same transcript.
#[derive(Clone, Debug)]
pub struct Transcript {
    text: Rc<RefCell<String>>,
    package: &'static Path,
    /// A header whose value differs from run to run, and what stands for the value.
    varying: (&'static str, &'static str),
}

impl Transcript {
    /// An empty transcript of tests in the folder of a package, in which the value of one header is replaced.
    #[must_use]
    pub fn new(package: &'static str, header: &'static str, replacement: &'static str) -> Self {
        Self { text: Rc::default(), package: Path::new(package), varying: (header, replacement) }
    }

    /// Adds one message.
    pub fn note(&self, heading: &str, message: &str) {
        let mut text = self.text.borrow_mut();
        text.push_str(&format!("== {heading}\n"));
        for line in message.split_inclusive('\n') {
            text.push_str(&self.steady(line.trim_end_matches(['\r', '\n'])));
            text.push('\n');
        }
        text.push('\n');
    }

    fn steady(&self, line: &str) -> String {
        let (header, replacement) = self.varying;
        match line.split_once(':') {
            Some((name, _)) if name == header => format!("{name}: {replacement}"),
            _ => line.to_owned(),
        }
    }

    /// Compares it with the approved one of that name in `tests/transcripts` of the package.
    ///
    /// # Panics
    ///
    /// If they differ, or the approved one can't be written.
    pub fn check(&self, name: &str) {
        let path = self.package.join("tests/transcripts").join(format!("{name}.txt"));
        let text = self.text.borrow();
        if std::env::var_os("APPROVE_TRANSCRIPTS").is_some() {
            std::fs::write(&path, text.as_str()).expect("transcript written");
            return;
        }
        let approved = std::fs::read_to_string(&path).unwrap_or_default();
        assert_eq!(text.as_str(), approved, "{}: not as approved", path.display());
    }
}
