//! The line protocol: parsing of batches, one aggregator for each instance, writing of replies.

use std::collections::{BTreeMap, HashMap};
use std::io::{BufRead, Write};

use gingerledge_dispatch::{
    Action, Aggregator, Entry, Event, ListKind, Millis, Outcome, ServerId, Setup, Status,
};

/// A plain message on what was wrong and where.
type Fault = String;

/// One `NODE` line, before an instance gives the server its own number.
struct Row {
    node: String,
    since: Millis,
    zone: String,
    status: Status,
    cell: u32,
}

/// One hosted aggregator and the names that it knows by number.
struct Instance {
    aggregator: Aggregator,
    classes: HashMap<String, usize>,
    tenants: HashMap<String, usize>,
    zones: HashMap<String, u32>,
    servers: HashMap<String, ServerId>,
    names: Vec<String>,
}

impl Instance {
    fn server(&mut self, node: &str) -> ServerId {
        if let Some(&id) = self.servers.get(node) {
            return id;
        }
        let id = self.names.len() as ServerId;
        self.servers.insert(node.to_owned(), id);
        self.names.push(node.to_owned());
        id
    }

    fn known(&self, node: &str) -> Result<ServerId, Fault> {
        self.servers
            .get(node)
            .copied()
            .ok_or_else(|| format!("node: `{node}` is on no list of this instance"))
    }
}

/// The fields of one line, taken in order.
struct Fields<'a> {
    rest: std::str::Split<'a, char>,
}

impl<'a> Fields<'a> {
    fn text(&mut self, name: &str) -> Result<&'a str, Fault> {
        self.rest.next().filter(|v| !v.is_empty()).ok_or_else(|| format!("{name}: missing"))
    }

    fn optional(&mut self) -> Option<&'a str> {
        self.rest.next().filter(|v| !v.is_empty() && *v != "-")
    }

    fn number<T: std::str::FromStr>(&mut self, name: &str) -> Result<T, Fault> {
        let text = self.text(name)?;
        text.parse().map_err(|_| format!("{name}: expected a whole number, found `{text}`"))
    }

    fn float(&mut self, name: &str) -> Result<f64, Fault> {
        let text = self.text(name)?;
        float(text).ok_or_else(|| format!("{name}: expected a number, found `{text}`"))
    }

    fn optional_float(&mut self, name: &str) -> Result<Option<f64>, Fault> {
        match self.optional() {
            None => Ok(None),
            Some(t) => float(t).map(Some).ok_or_else(|| format!("{name}: expected a number, found `{t}`")),
        }
    }

    fn report(&mut self) -> Result<Vec<f64>, Fault> {
        let Some(text) = self.optional() else { return Ok(Vec::new()) };
        text.split(',')
            .map(|v| float(v).ok_or_else(|| format!("feedback: expected numbers, found `{text}`")))
            .collect()
    }
}

fn float(text: &str) -> Option<f64> {
    text.parse().ok().filter(|v: &f64| v.is_finite())
}

fn outcome(text: &str) -> Result<Outcome, Fault> {
    Ok(match text {
        "success" => Outcome::Success,
        "failure" => Outcome::Failure,
        "overloaded" => Outcome::Overloaded,
        "timed_out" => Outcome::TimedOut,
        "unreachable" => Outcome::Unreachable,
        "broken" => Outcome::Broken,
        "withdrawn" => Outcome::Withdrawn,
        "void" => Outcome::Void,
        other => return Err(format!("reason: `{other}` is not an outcome")),
    })
}

/// Reads batches, feeds the instances and writes the replies.
pub struct Host<W> {
    out: W,
    instances: BTreeMap<String, Instance>,
    lists: HashMap<u32, Vec<Row>>,
    turn: Vec<String>,
    actions: BTreeMap<String, Vec<Action>>,
}

impl<W: Write> Host<W> {
    /// A host with no instances that replies to `out`.
    pub fn new(out: W) -> Self {
        Self {
            out,
            instances: BTreeMap::new(),
            lists: HashMap::new(),
            turn: Vec::new(),
            actions: BTreeMap::new(),
        }
    }

    /// Serves batches until the input ends.
    pub fn run(&mut self, mut input: impl BufRead) -> Result<(), Fault> {
        let mut line = String::new();
        let mut at = 0u64;
        let mut batch: Option<(Millis, u64)> = None;
        let mut selected: Option<String> = None;
        let mut rows: Option<(u32, usize, Vec<Row>)> = None;
        loop {
            line.clear();
            let read = input.read_line(&mut line).map_err(|e| format!("line {}: {e}", at + 1))?;
            if read == 0 {
                return match batch {
                    None => Ok(()),
                    Some(_) => Err(format!("line {}: input ended before EOF_BATCH", at + 1)),
                };
            }
            at += 1;
            let text = line.trim_end_matches(['\n', '\r']);
            if text.is_empty() {
                continue;
            }
            let (kind, rest) = text.split_once(' ').unwrap_or((text, ""));
            let mut fields = Fields { rest: rest.split(' ') };
            let place = |fault: Fault| format!("line {at}: {kind}: {fault}");
            if kind == "CLOCK" {
                if batch.is_some() {
                    return Err(place("expected EOF_BATCH first".into()));
                }
                batch = Some((fields.float("clock").map_err(place)?, fields.number("batch").map_err(place)?));
                selected = None;
                continue;
            }
            let Some((now, number)) = batch else {
                return Err(place("expected CLOCK before it".into()));
            };
            if let Some((slot, want, mut list)) = rows.take() {
                if kind != "NODE" {
                    return Err(place(format!("expected {want} NODE lines, found {}", list.len())));
                }
                list.push(row(&mut fields).map_err(place)?);
                if list.len() == want {
                    self.lists.insert(slot, list);
                } else {
                    rows = Some((slot, want, list));
                }
                continue;
            }
            match kind {
                "EOF_BATCH" => {
                    self.reply(now, number).map_err(|e| format!("standard output: {e}"))?;
                    batch = None;
                }
                "SELECT" => selected = Some(fields.text("router").map_err(place)?.to_owned()),
                "SNAPSHOT_ROWS" => {
                    let slot = fields.number("slot").map_err(place)?;
                    let want: usize = fields.number("entries").map_err(place)?;
                    if want == 0 {
                        self.lists.insert(slot, Vec::new());
                    } else {
                        rows = Some((slot, want, Vec::new()));
                    }
                }
                _ => {
                    let name = selected.as_deref().ok_or_else(|| place("expected SELECT first".into()))?;
                    self.event(now, name, kind, rest, &mut fields).map_err(place)?;
                }
            }
        }
    }

    fn event(
        &mut self,
        now: Millis,
        name: &str,
        kind: &str,
        rest: &str,
        fields: &mut Fields,
    ) -> Result<(), Fault> {
        match kind {
            "START" => {
                let instance = start(now, rest)?;
                self.instances.insert(name.to_owned(), instance);
                self.touch(name);
                return Ok(());
            }
            "DETACH" => {
                self.instances.remove(name);
                self.actions.remove(name);
                self.turn.retain(|n| n != name);
                return Ok(());
            }
            "ACCEPTED" | "MAIL" => return Ok(()),
            "TARGETS" | "ORDER" | "DONE" | "PROBE_DONE" | "RING" | "CANCELLED_BY_CLIENT" => {}
            other => {
                eprintln!("simulator-adapter: skipped unknown event {other}");
                return Ok(());
            }
        }
        let Some(instance) = self.instances.get_mut(name) else {
            return Err(format!("router: `{name}` has not been started"));
        };
        let event = translate(instance, &self.lists, kind, fields)?;
        self.touch(name);
        let actions = self.actions.entry(name.to_owned()).or_default();
        if let Some(instance) = self.instances.get_mut(name) {
            instance.aggregator.handle(now, event, actions);
        }
        Ok(())
    }

    fn touch(&mut self, name: &str) {
        if !self.turn.iter().any(|n| n == name) {
            self.turn.push(name.to_owned());
        }
    }

    fn reply(&mut self, now: Millis, number: u64) -> std::io::Result<()> {
        for name in std::mem::take(&mut self.turn) {
            let mut actions = self.actions.remove(&name).unwrap_or_default();
            let Some(instance) = self.instances.get_mut(&name) else { continue };
            instance.aggregator.end_turn(now, &mut actions);
            if actions.is_empty() {
                continue;
            }
            writeln!(self.out, "SOURCE {name}")?;
            for action in &actions {
                write_action(&mut self.out, &instance.names, action)?;
            }
        }
        writeln!(self.out, "DONE {number}")?;
        self.out.flush()
    }
}

fn write_action(out: &mut impl Write, names: &[String], action: &Action) -> std::io::Result<()> {
    match action {
        Action::Send { part, server, timeout_ms } => match names.get(*server as usize) {
            Some(node) => writeln!(out, "SEND {part} {node} {timeout_ms:.3}"),
            None => Ok(()),
        },
        Action::Release { server } => match names.get(*server as usize) {
            Some(node) => writeln!(out, "RELEASE {node}"),
            None => Ok(()),
        },
        Action::Withdraw { part, attempt } => writeln!(out, "STOP_ATTEMPT {part} {attempt}"),
        Action::Answer { query, whole } => writeln!(out, "MERGE {query} {}", u8::from(*whole)),
        Action::Refuse { query, retry_after_ms } => writeln!(out, "TURN_AWAY {query} {retry_after_ms:.3}"),
        Action::ReportRejection { .. } => Ok(()),
        Action::Fail { query } => writeln!(out, "FINISH_ERROR {query}"),
        Action::Subscribe => writeln!(out, "LISTEN 1"),
        Action::Timer { wait_ms, token } => writeln!(out, "SCHEDULE {wait_ms:.3} {token}"),
    }
}

fn row(fields: &mut Fields) -> Result<Row, Fault> {
    let node = fields.text("node")?.to_owned();
    let since = fields.optional_float("online_since_ms")?.unwrap_or(0.0);
    let _kind = fields.text("type")?;
    let zone = fields.text("az")?.to_owned();
    let status = match fields.text("status")? {
        "ready" => Status::Ready,
        "draining" => Status::Draining,
        "gone" => Status::Gone,
        other => return Err(format!("status: expected ready, draining or gone, found `{other}`")),
    };
    Ok(Row { node, since, zone, status, cell: fields.number("slot_no")? })
}

fn translate(
    instance: &mut Instance,
    lists: &HashMap<u32, Vec<Row>>,
    kind: &str,
    fields: &mut Fields,
) -> Result<Event, Fault> {
    Ok(match kind {
        "TARGETS" => {
            let kind = match fields.text("form")? {
                "D" => ListKind::Changes,
                "F" => ListKind::Complete,
                "C" => ListKind::Remembered,
                "X" => return Ok(Event::List { kind: ListKind::Failed, entries: Vec::new() }),
                other => return Err(format!("form: expected D, F, C or X, found `{other}`")),
            };
            let slot: u32 = fields.number("slot")?;
            let rows = lists.get(&slot).ok_or_else(|| format!("slot: no SNAPSHOT_ROWS numbered {slot}"))?;
            let mut entries = Vec::with_capacity(rows.len());
            for row in rows {
                let server = instance.server(&row.node);
                let zone = instance.zones.get(&row.zone).copied().unwrap_or(u32::MAX);
                entries.push(Entry { server, since: row.since, zone, cell: row.cell, status: row.status });
            }
            Event::List { kind, entries }
        }
        "ORDER" => {
            let id = fields.number("ticket")?;
            let lane = fields.text("lane")?;
            let class = *instance.classes.get(lane).ok_or_else(|| format!("lane: unknown class `{lane}`"))?;
            let tenant = fields.optional().and_then(|t| instance.tenants.get(t).copied());
            let _key = fields.optional();
            let deadline = fields.float("client_deadline_ms")?;
            let cost = fields.optional_float("cost_ms")?;
            let number = fields.number("query_no")?;
            let shard: f64 = fields.float("slice")?;
            let amount = fields.float("amount")?;
            let bits: u64 = fields.number("bitmap")?;
            if shard < 0.0 {
                Event::Query {
                    id,
                    number,
                    class,
                    tenant,
                    deadline,
                    parts: amount as u32,
                    repeated: bits & 2 != 0,
                }
            } else {
                let cost_ms = cost.filter(|_| bits & 1 != 0);
                Event::Part { id, number, shard: shard as u32, weight: amount, cost_ms }
            }
        }
        "DONE" => Event::Outcome {
            part: fields.number("ticket")?,
            server: instance.known(fields.text("node")?)?,
            attempt: fields.number("seq_no")?,
            wait_ms: {
                fields.text("closed")?;
                fields.float("wait_time_ms")?
            },
            outcome: outcome(fields.text("reason")?)?,
            report: fields.report()?,
        },
        "PROBE_DONE" => Event::ProbeResult {
            server: instance.known(fields.text("node")?)?,
            outcome: outcome(fields.text("reason")?)?,
            wait_ms: fields.float("wait_time_ms")?,
            report: fields.report()?,
        },
        "RING" => Event::Timer { token: fields.number("mark")? },
        _ => Event::ClientGone { query: fields.number("ticket")? },
    })
}

fn start(now: Millis, rest: &str) -> Result<Instance, Fault> {
    let (seed, pairs) = rest.split_once(' ').unwrap_or((rest, ""));
    let seed = seed.parse().map_err(|_| format!("init_seed: expected a whole number, found `{seed}`"))?;
    let pairs: HashMap<&str, &str> = pairs.split(' ').filter_map(|pair| pair.split_once('=')).collect();
    let setup = Setup::read(&pairs).map_err(|fault| format!("setup: {fault}"))?;
    Ok(Instance {
        aggregator: Aggregator::new(seed, setup.settings, now),
        classes: setup.classes,
        tenants: setup.tenants,
        zones: setup.zones,
        servers: HashMap::new(),
        names: Vec::new(),
    })
}
