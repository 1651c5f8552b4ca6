//! Reads batches of lines, passes their events to the instances, and writes a reply to each batch.

use std::collections::{BTreeMap, HashMap};
use std::io::{self, BufRead, Write};

use gingerledge_dispatch::{Action, Millis};

use crate::actions::write_action;
use crate::error::{HostError, LineError};
use crate::events::{EventLine, ListRow, Lists};
use crate::fields::Fields;
use crate::instance::Instance;

/// A batch of lines: those between a `CLOCK` and an `EOF_BATCH` line.
#[derive(Clone, Copy, Debug)]
struct Batch {
    now: Millis,
    number: u64,
}

/// A list of servers of which not all rows have been read yet.
struct PendingList {
    slot: u32,
    expected_rows: usize,
    rows: Vec<ListRow>,
}

/// The effect of a line beyond changes of the host's state.
enum LineEffect {
    None,
    BatchEnded(Batch),
}

/// Hosts instances and writes their actions to a `W`.
pub struct Host<W> {
    output: W,
    instances: BTreeMap<String, Instance>,
    lists: Lists,
    batch: Option<Batch>,
    /// The name of the instance to which the events of the following lines belong.
    selected: Option<String>,
    pending_list: Option<PendingList>,
    /// The names of the instances that had an event in this batch, in the order of their first events.
    active: Vec<String>,
    actions: BTreeMap<String, Vec<Action>>,
}

impl<W: Write> Host<W> {
    /// Creates a host without instances that writes its replies to `output`.
    pub fn new(output: W) -> Self {
        Self {
            output,
            instances: BTreeMap::new(),
            lists: HashMap::new(),
            batch: None,
            selected: None,
            pending_list: None,
            active: Vec::new(),
            actions: BTreeMap::new(),
        }
    }

    /// Handles batches until the input ends.
    pub fn run(&mut self, mut input: impl BufRead) -> Result<(), HostError> {
        let mut buffer = String::new();
        for line in 1.. {
            buffer.clear();
            let read = input.read_line(&mut buffer).map_err(|source| HostError::Read { line, source })?;
            if read == 0 {
                return self.finish(line);
            }
            let text = buffer.trim_end_matches(['\n', '\r']);
            if text.is_empty() {
                continue;
            }
            let (kind, rest) = text.split_once(' ').unwrap_or((text, ""));
            let effect = self.handle_line(kind, rest).map_err(|source| HostError::Line {
                line,
                kind: kind.to_owned(),
                source,
            })?;
            if let LineEffect::BatchEnded(batch) = effect {
                self.reply(batch).map_err(|source| HostError::Write { source })?;
            }
        }
        Ok(())
    }

    /// Handles the end of the input before `line`, which is an error within a batch.
    fn finish(&self, line: u64) -> Result<(), HostError> {
        if self.batch.is_some() {
            return Err(HostError::Truncated { line });
        }
        Ok(())
    }

    fn handle_line(&mut self, kind: &str, rest: &str) -> Result<LineEffect, LineError> {
        let mut fields = Fields::new(rest);
        if kind == "CLOCK" {
            self.begin_batch(&mut fields)?;
            return Ok(LineEffect::None);
        }
        let Some(batch) = self.batch else {
            return Err(LineError::OutOfOrder { expected: "expected CLOCK before it" });
        };
        if let Some(list) = self.pending_list.take() {
            self.continue_list(list, kind, &mut fields)?;
            return Ok(LineEffect::None);
        }
        match kind {
            "EOF_BATCH" => {
                self.batch = None;
                return Ok(LineEffect::BatchEnded(batch));
            }
            "SELECT" => self.selected = Some(fields.text("router")?.to_owned()),
            "SNAPSHOT_ROWS" => self.begin_list(&mut fields)?,
            _ => self.handle_instance_line(batch.now, kind, rest, &mut fields)?,
        }
        Ok(LineEffect::None)
    }

    fn begin_batch(&mut self, fields: &mut Fields<'_>) -> Result<(), LineError> {
        if self.batch.is_some() {
            return Err(LineError::OutOfOrder { expected: "expected EOF_BATCH first" });
        }
        let now = fields.number("clock")?;
        let number = fields.integer("batch")?;
        self.batch = Some(Batch { now, number });
        self.selected = None;
        Ok(())
    }

    fn begin_list(&mut self, fields: &mut Fields<'_>) -> Result<(), LineError> {
        let slot = fields.integer("slot")?;
        let expected_rows = fields.integer("entries")?;
        self.store_list(PendingList { slot, expected_rows, rows: Vec::new() });
        Ok(())
    }

    fn continue_list(
        &mut self,
        mut list: PendingList,
        kind: &str,
        fields: &mut Fields<'_>,
    ) -> Result<(), LineError> {
        if kind != "NODE" {
            let found = list.rows.len();
            return Err(LineError::IncompleteList { expected: list.expected_rows, found });
        }
        list.rows.push(ListRow::read(fields)?);
        self.store_list(list);
        Ok(())
    }

    /// Stores a list: as complete if it has all its rows, otherwise as pending.
    fn store_list(&mut self, list: PendingList) {
        if list.rows.len() == list.expected_rows {
            self.lists.insert(list.slot, list.rows);
        } else {
            self.pending_list = Some(list);
        }
    }

    /// Handles a line that belongs to the selected instance.
    fn handle_instance_line(
        &mut self,
        now: Millis,
        kind: &str,
        rest: &str,
        fields: &mut Fields<'_>,
    ) -> Result<(), LineError> {
        let out_of_order = LineError::OutOfOrder { expected: "expected SELECT first" };
        let name = self.selected.clone().ok_or(out_of_order)?;
        match kind {
            "START" => {
                let instance = Instance::start(now, rest)?;
                self.instances.insert(name.clone(), instance);
                self.mark_active(&name);
            }
            "DETACH" => self.detach(&name),
            "ACCEPTED" | "MAIL" => {}
            other => match EventLine::from_first_word(other) {
                Some(line) => self.handle_event(now, &name, line, fields)?,
                None => eprintln!("simulator-adapter: skipped unknown event {other}"),
            },
        }
        Ok(())
    }

    fn handle_event(
        &mut self,
        now: Millis,
        name: &str,
        line: EventLine,
        fields: &mut Fields<'_>,
    ) -> Result<(), LineError> {
        let Some(instance) = self.instances.get_mut(name) else {
            return Err(LineError::UnknownRouter { router: name.to_owned() });
        };
        let event = line.read(instance, &self.lists, fields)?;
        let actions = self.actions.entry(name.to_owned()).or_default();
        instance.aggregator.handle(now, event, actions);
        self.mark_active(name);
        Ok(())
    }

    fn detach(&mut self, name: &str) {
        self.instances.remove(name);
        self.actions.remove(name);
        self.active.retain(|active| active != name);
    }

    fn mark_active(&mut self, name: &str) {
        if !self.active.iter().any(|active| active == name) {
            self.active.push(name.to_owned());
        }
    }

    /// Ends the turn of each active instance and writes its actions.
    fn reply(&mut self, batch: Batch) -> io::Result<()> {
        for name in std::mem::take(&mut self.active) {
            let mut actions = self.actions.remove(&name).unwrap_or_default();
            let Some(instance) = self.instances.get_mut(&name) else { continue };
            instance.aggregator.end_turn(batch.now, &mut actions);
            if actions.is_empty() {
                continue;
            }
            writeln!(self.output, "SOURCE {name}")?;
            for action in &actions {
                write_action(&mut self.output, instance, action)?;
            }
        }
        writeln!(self.output, "DONE {}", batch.number)?;
        self.output.flush()
    }
}
