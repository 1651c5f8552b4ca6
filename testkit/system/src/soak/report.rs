//! What a soak has found.

use std::collections::BTreeMap;
use std::fmt;
use std::path::{Path, PathBuf};

/// Violations of the rules, and counts of what happened.
#[derive(Clone, Debug)]
pub struct SoakReport {
    /// What the rules forbid, a line each.
    pub violations: Vec<String>,
    /// How often what happened.
    pub counts: BTreeMap<&'static str, u64>,
    folder: PathBuf,
}

impl SoakReport {
    pub(super) fn new(folder: &Path) -> Self {
        Self { violations: Vec::new(), counts: BTreeMap::new(), folder: folder.to_owned() }
    }

    /// The folder of logs and disks, which is left behind if there are violations.
    #[must_use]
    pub fn folder(&self) -> &Path {
        &self.folder
    }

    pub(super) fn count(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }
}

impl fmt::Display for SoakReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?}", self.counts)?;
        for violation in &self.violations {
            write!(formatter, "\n  VIOLATION {violation}")?;
        }
        if !self.violations.is_empty() {
            write!(formatter, "\n  logs and disks in {}", self.folder.display())?;
        }
        Ok(())
    }
}
