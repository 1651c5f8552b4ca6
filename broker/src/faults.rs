//! Faults on demand, for the rig that runs several processes of the program: points in the code that fail when told to, and
//! a clock that is off. They are a feature of test builds. Without it, as the platform builds, every point is `false`
//! and the clock is the machine's; CI looks into the program for the name of `LB_FAULTS`.
//!
//! What is to fail stands in the file that `LB_FAULTS` names, a line each, and is followed while the process runs:
//!
//! ```text
//! version=3                 what is told back in the file of that name with `.taken` behind it, once it holds
//! unix_ms=-3600000          Unix time is off by so much (at the start alone)
//! rate=1.01                 the clock runs so many times as fast (at the start alone)
//! point disk.write=return   the point fails; any action of the crate `fail` will do: `50%return`, `sleep(100)`, `off`
//! ```

#[cfg(feature = "faults")]
pub use on::{point, skew, start, VARIABLE};

#[cfg(not(feature = "faults"))]
pub use off::{point, skew, start};

/// By how much a clock is off.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Skew {
    /// Milliseconds ahead of Unix time.
    pub unix_ms: f64,
    /// How many times as fast it runs.
    pub rate: f64,
}

impl Skew {
    /// A clock that is right.
    pub const NONE: Self = Self { unix_ms: 0.0, rate: 1.0 };
}

#[cfg(not(feature = "faults"))]
mod off {
    use super::Skew;

    /// Whether what happens at this point is to fail: never.
    #[inline(always)]
    pub fn point(_: &'static str) -> bool {
        false
    }

    /// By how much the clock is off: not at all.
    #[inline(always)]
    pub fn skew() -> Skew {
        Skew::NONE
    }

    /// Nothing is to be followed.
    #[inline(always)]
    pub fn start() {}
}

#[cfg(feature = "faults")]
mod on {
    use std::path::{Path, PathBuf};
    use std::sync::OnceLock;
    use std::time::Duration;

    use super::Skew;

    /// Names the file.
    pub const VARIABLE: &str = "LB_FAULTS";
    const FOLLOW: Duration = Duration::from_millis(5);

    static SKEW: OnceLock<Skew> = OnceLock::new();

    /// Whether what happens at this point is to fail. A point may also take its time, or panic.
    pub fn point(name: &'static str) -> bool {
        fail::fail_point!(name, |_| true);
        false
    }

    /// By how much the clock is off.
    pub fn skew() -> Skew {
        SKEW.get().copied().unwrap_or(Skew::NONE)
    }

    /// Takes what the file says, and follows it from then on.
    pub fn start() {
        let Some(path) = std::env::var_os(VARIABLE).map(PathBuf::from) else { return };
        let mut taken = String::new();
        follow(&path, &mut taken);
        std::thread::spawn(move || loop {
            std::thread::sleep(FOLLOW);
            follow(&path, &mut taken);
        });
    }

    /// Takes the file in if it says something else than before.
    fn follow(path: &Path, taken: &mut String) {
        let Ok(text) = std::fs::read_to_string(path) else { return };
        if text == *taken {
            return;
        }
        let (mut skew, mut version) = (Skew::NONE, "");
        for line in text.lines() {
            let words = line.split_once('#').map_or(line, |(words, _)| words).trim();
            let done = match words.split_once('=') {
                None => words.is_empty(),
                Some(("version", is)) => {
                    version = is;
                    true
                }
                Some(("unix_ms", ms)) => ms.parse().map(|ms| skew.unix_ms = ms).is_ok(),
                Some(("rate", rate)) => rate.parse().map(|rate| skew.rate = rate).is_ok(),
                Some((point, actions)) => {
                    let name = point.strip_prefix("point ").map(str::trim);
                    name.is_some_and(|name| fail::cfg(name, actions).is_ok())
                }
            };
            if !done {
                log::error!("faults: `{line}` can't be read");
            }
        }
        let _ = SKEW.set(skew);
        let told = path.with_extension("taken");
        if let Err(fault) = std::fs::write(&told, version) {
            log::error!("faults: {}: {fault}", told.display());
        }
        *taken = text;
    }
}
