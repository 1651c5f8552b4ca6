//! Fault injection for tests that run several processes of the program: fail points in the code, and a clock with an offset
//! and a drift. It is a cargo feature of test builds. Without the feature, as in builds of the platform, every fail point is
//! `false` and the clock is that of the machine; CI checks that release binaries do not contain the name `LB_FAULTS`.
//!
//! The faults are read from the file that `LB_FAULTS` names, one per line, and the file is polled while the process runs:
//!
//! ```text
//! version=3                 written to the file with the extension `.taken` once the faults are applied
//! unix_ms=-3600000          offset of Unix time in milliseconds (read only at the start)
//! rate=1.01                 factor on the speed of the clock (read only at the start)
//! point disk.write=return   a fail point and its action in the syntax of the crate `fail`: `50%return`, `sleep(100)`, `off`
//! ```

#[cfg(feature = "faults")]
pub use enabled::{point, skew, start, VARIABLE};

#[cfg(not(feature = "faults"))]
pub use disabled::{point, skew, start};

/// Injected error of the clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Skew {
    /// Offset from Unix time, in milliseconds.
    pub unix_ms: f64,
    /// Factor on the speed of the clock.
    pub rate: f64,
}

impl Skew {
    /// A clock without error.
    pub const NONE: Self = Self { unix_ms: 0.0, rate: 1.0 };
}

#[cfg(not(feature = "faults"))]
mod disabled {
    use super::Skew;

    /// Whether this fail point is active: never in this build.
    #[inline(always)]
    pub fn point(_: &'static str) -> bool {
        false
    }

    /// Returns the injected error of the clock: none in this build.
    #[inline(always)]
    pub fn skew() -> Skew {
        Skew::NONE
    }

    /// Does nothing: this build has no fault injection.
    #[inline(always)]
    pub fn start() {}
}

#[cfg(feature = "faults")]
mod enabled {
    use std::path::{Path, PathBuf};
    use std::sync::OnceLock;
    use std::time::Duration;

    use super::Skew;

    /// Environment variable with the path of the file of faults.
    pub const VARIABLE: &str = "LB_FAULTS";
    const POLL_INTERVAL: Duration = Duration::from_millis(5);

    static SKEW: OnceLock<Skew> = OnceLock::new();

    /// Whether this fail point is active. Depending on its action, the call may also sleep or panic.
    pub fn point(name: &'static str) -> bool {
        fail::fail_point!(name, |_| true);
        false
    }

    /// Returns the injected error of the clock.
    pub fn skew() -> Skew {
        SKEW.get().copied().unwrap_or(Skew::NONE)
    }

    /// Applies the file of faults and starts to poll it for changes.
    pub fn start() {
        let Some(path) = std::env::var_os(VARIABLE).map(PathBuf::from) else { return };
        let mut applied_text = String::new();
        apply_if_changed(&path, &mut applied_text);
        std::thread::spawn(move || loop {
            std::thread::sleep(POLL_INTERVAL);
            apply_if_changed(&path, &mut applied_text);
        });
    }

    /// Applies the file if its contents have changed since the last call.
    fn apply_if_changed(path: &Path, applied_text: &mut String) {
        let Ok(text) = std::fs::read_to_string(path) else { return };
        if text == *applied_text {
            return;
        }
        let (mut skew, mut version) = (Skew::NONE, "");
        for line in text.lines() {
            let setting = line.split_once('#').map_or(line, |(setting, _)| setting).trim();
            let is_valid = match setting.split_once('=') {
                None => setting.is_empty(),
                Some(("version", value)) => {
                    version = value;
                    true
                }
                Some(("unix_ms", ms)) => ms.parse().map(|ms| skew.unix_ms = ms).is_ok(),
                Some(("rate", rate)) => rate.parse().map(|rate| skew.rate = rate).is_ok(),
                Some((point, actions)) => {
                    let name = point.strip_prefix("point ").map(str::trim);
                    name.is_some_and(|name| fail::cfg(name, actions).is_ok())
                }
            };
            if !is_valid {
                log::error!("faults: `{line}` can't be read");
            }
        }
        let _ = SKEW.set(skew);
        let acknowledgement = path.with_extension("taken");
        if let Err(fault) = std::fs::write(&acknowledgement, version) {
            log::error!("faults: {}: {fault}", acknowledgement.display());
        }
        *applied_text = text;
    }
}
