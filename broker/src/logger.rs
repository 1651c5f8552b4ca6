//! Implementation of the `log` facade that writes to standard error. Each event is one line: as text followed by its fields
//! as `key=value`, or as a JSON object for programs.

use std::fmt::Write as _;
use std::io::Write;

use log::kv::{Error, Key, Value, VisitSource};
use log::{Level, LevelFilter, Log, Metadata, Record};
use serde_json::Map;

use crate::clock::Clock;

struct Logger {
    name: String,
    clock: Clock,
    as_json: bool,
}

/// Collects the fields of an event as text.
struct TextFields(String);

impl<'a> VisitSource<'a> for TextFields {
    fn visit_pair(&mut self, key: Key<'a>, value: Value<'a>) -> Result<(), Error> {
        // Writing to a string cannot fail.
        let _ = write!(self.0, " {key}={value}");
        Ok(())
    }
}

/// Collects the fields of an event as JSON.
struct JsonFields(Map<String, serde_json::Value>);

impl<'a> VisitSource<'a> for JsonFields {
    fn visit_pair(&mut self, key: Key<'a>, value: Value<'a>) -> Result<(), Error> {
        let value = serde_json::to_value(&value).unwrap_or_else(|_| value.to_string().into());
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.level() <= Level::Info || metadata.target().starts_with("gingerledge")
    }

    fn log(&self, record: &Record) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let target = record.target().trim_start_matches("gingerledge::");
        let line = match self.as_json {
            true => self.json_object(record, target),
            false => {
                let mut fields = TextFields(String::new());
                let _ = record.key_values().visit(&mut fields);
                let (seconds, name, level) = (self.clock.now() / 1000.0, &self.name, record.level());
                format!("{seconds:.3} {name} {level} {target}: {}{}", record.args(), fields.0)
            }
        };
        // A closed standard error must not stop the broker.
        let _ = writeln!(std::io::stderr().lock(), "{line}");
    }

    fn flush(&self) {}
}

impl Logger {
    fn json_object(&self, record: &Record, target: &str) -> String {
        let mut fields = JsonFields(Map::new());
        let _ = record.key_values().visit(&mut fields);
        let mut object = fields.0;
        object.insert("at".to_owned(), (self.clock.now() / 1000.0).into());
        object.insert("broker".to_owned(), self.name.as_str().into());
        object.insert("level".to_owned(), record.level().as_str().into());
        object.insert("target".to_owned(), target.into());
        object.insert("message".to_owned(), record.args().to_string().into());
        serde_json::Value::Object(object).to_string()
    }
}

/// Installs a logger that writes events of `level` and more severe ones as text. A second call has no effect.
pub fn start(name: &str, level: LevelFilter, clock: Clock) {
    start_as(name, level, false, clock);
}

/// Installs a logger like [`start`], which writes JSON lines if `as_json` is true.
pub fn start_as(name: &str, level: LevelFilter, as_json: bool, clock: Clock) {
    let logger = Box::new(Logger { name: name.to_owned(), clock, as_json });
    if log::set_boxed_logger(logger).is_ok() {
        log::set_max_level(level);
    }
}
