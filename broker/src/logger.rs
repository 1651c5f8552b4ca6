//! A small logger behind the `log` crate: one line an event on standard error.

use std::io::Write;

use log::{Level, LevelFilter, Log, Metadata, Record};

use crate::clock::Clock;

struct Logger {
    name: String,
    clock: Clock,
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.level() <= Level::Info || metadata.target().starts_with("gingerledge")
    }

    fn log(&self, record: &Record) {
        if self.enabled(record.metadata()) {
            // A log that nobody reads must not stop the broker.
            let _ = writeln!(
                std::io::stderr().lock(),
                "{:.3} {} {} {}: {}",
                self.clock.now() / 1000.0,
                self.name,
                record.level(),
                record.target().trim_start_matches("gingerledge::"),
                record.args()
            );
        }
    }

    fn flush(&self) {}
}

/// Sends the program's log to standard error from `level` on. A second call changes nothing.
pub fn start(name: &str, level: LevelFilter, clock: Clock) {
    let logger = Box::new(Logger { name: name.to_owned(), clock });
    if log::set_boxed_logger(logger).is_ok() {
        log::set_max_level(level);
    }
}
