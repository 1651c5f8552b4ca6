//! One line of the log for each event: level, module, message, and the event's fields as `key=value`. The platform adds the time.

use std::fmt::Display;

use log::kv::{Error, Key, Value, VisitSource};
use log::Record;
use log4rs::encode::{Encode, Write};

/// Encodes an event as one line.
#[derive(Debug)]
pub(crate) struct LineEncoder;

impl Encode for LineEncoder {
    fn encode(&self, writer: &mut dyn Write, record: &Record<'_>) -> anyhow::Result<()> {
        let module = record.module_path().unwrap_or("???");
        write!(writer, "{} {module}: {}", record.level(), record.args())?;
        record.key_values().visit(&mut Fields { writer })?;
        writeln!(writer)?;
        Ok(())
    }
}

/// Writes the fields of an event behind its message.
struct Fields<'a> {
    writer: &'a mut dyn Write,
}

impl<'kvs> VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let mut write = |value: &dyn Display| write!(self.writer, " {key}={value}");
        Ok(write(&value)?)
    }
}
