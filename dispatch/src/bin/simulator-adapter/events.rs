//! Translates lines of the protocol to events.

use std::collections::HashMap;

use gingerledge_dispatch::{Event, ListKind, Millis, Outcome, ServerEntry, ServerStatus};

use crate::error::LineError;
use crate::fields::Fields;
use crate::instance::Instance;

/// Flag of an `ORDER` line: the line contains an estimated cost.
const HAS_COST: u64 = 1;
/// Flag of an `ORDER` line: the client marked the query as a repeat.
const IS_REPEATED: u64 = 2;

/// The lists received so far, by number.
pub type Lists = HashMap<u32, Vec<ListRow>>;

/// A `NODE` line: a server on a list. The server and its zone are given by name.
pub struct ListRow {
    node: String,
    started_at: Millis,
    zone: String,
    status: ServerStatus,
    cell: u32,
}

impl ListRow {
    /// Reads the fields of a `NODE` line.
    pub fn read(fields: &mut Fields<'_>) -> Result<Self, LineError> {
        let node = fields.text("node")?.to_owned();
        let started_at = fields.optional_number("online_since_ms")?.unwrap_or(0.0);
        let _kind = fields.text("type")?;
        let zone = fields.text("az")?.to_owned();
        let status = match fields.text("status")? {
            "ready" => ServerStatus::Ready,
            "draining" => ServerStatus::Draining,
            "gone" => ServerStatus::Removed,
            other => {
                let (expected, found) = ("ready, draining or gone", other.to_owned());
                return Err(LineError::NotOneOf { field: "status", expected, found });
            }
        };
        let cell = fields.integer("slot_no")?;
        Ok(Self { node, started_at, zone, status, cell })
    }
}

/// The kind of a line that represents an event of an instance.
#[derive(Clone, Copy, Debug)]
pub enum EventLine {
    /// `TARGETS`: a list of servers, or the failure to get one.
    List,
    /// `ORDER`: a query or a part of one.
    Order,
    /// `DONE`: the outcome of an attempt.
    Outcome,
    /// `PROBE_DONE`: the result of a health check.
    ProbeResult,
    /// `RING`: the expiry of a timer.
    Timer,
    /// `CANCELLED_BY_CLIENT`: the disconnection of a client.
    ClientGone,
}

impl EventLine {
    /// The kind of event whose lines begin with `word`, if there is one.
    pub fn from_first_word(word: &str) -> Option<Self> {
        match word {
            "TARGETS" => Some(Self::List),
            "ORDER" => Some(Self::Order),
            "DONE" => Some(Self::Outcome),
            "PROBE_DONE" => Some(Self::ProbeResult),
            "RING" => Some(Self::Timer),
            "CANCELLED_BY_CLIENT" => Some(Self::ClientGone),
            _ => None,
        }
    }

    /// Reads the remaining fields of the line.
    pub fn read(
        self,
        instance: &mut Instance,
        lists: &Lists,
        fields: &mut Fields<'_>,
    ) -> Result<Event, LineError> {
        match self {
            Self::List => server_list(instance, lists, fields),
            Self::Order => query_or_part(instance, fields),
            Self::Outcome => attempt_outcome(instance, fields),
            Self::ProbeResult => probe_result(instance, fields),
            Self::Timer => Ok(Event::Timer { token: fields.integer("mark")? }),
            Self::ClientGone => Ok(Event::ClientGone { query: fields.integer("ticket")? }),
        }
    }
}

fn server_list(instance: &mut Instance, lists: &Lists, fields: &mut Fields<'_>) -> Result<Event, LineError> {
    let kind = match fields.text("form")? {
        "D" => ListKind::Changes,
        "F" => ListKind::Complete,
        "C" => ListKind::Restored,
        "X" => return Ok(Event::ServerList { kind: ListKind::Failed, entries: Vec::new() }),
        other => {
            let (expected, found) = ("D, F, C or X", other.to_owned());
            return Err(LineError::NotOneOf { field: "form", expected, found });
        }
    };
    let slot = fields.integer("slot")?;
    let rows = lists.get(&slot).ok_or(LineError::UnknownList { slot })?;
    let entry = |row: &ListRow| ServerEntry {
        server: instance.register_server(&row.node),
        started_at: row.started_at,
        zone: instance.zone(&row.zone),
        cell: row.cell,
        status: row.status,
    };
    let entries = rows.iter().map(entry).collect();
    Ok(Event::ServerList { kind, entries })
}

/// Reads an `ORDER` line: a part, or, if the shard number is negative, a query.
fn query_or_part(instance: &Instance, fields: &mut Fields<'_>) -> Result<Event, LineError> {
    let id = fields.integer("ticket")?;
    let class = instance.class(fields.text("lane")?)?;
    let tenant = fields.optional_text().and_then(|name| instance.tenant(name));
    let _key = fields.optional_text();
    let deadline = fields.number("client_deadline_ms")?;
    let cost = fields.optional_number("cost_ms")?;
    let number = fields.integer("query_no")?;
    let shard = fields.number("slice")?;
    let amount = fields.number("amount")?;
    let flags: u64 = fields.integer("bitmap")?;
    if shard < 0.0 {
        let repeated = flags & IS_REPEATED != 0;
        return Ok(Event::Query { id, number, class, tenant, deadline, parts: amount as u32, repeated });
    }
    let cost_ms = cost.filter(|_| flags & HAS_COST != 0);
    Ok(Event::Part { id, number, shard: shard as u32, weight: amount, cost_ms })
}

fn attempt_outcome(instance: &Instance, fields: &mut Fields<'_>) -> Result<Event, LineError> {
    let part = fields.integer("ticket")?;
    let server = instance.server(fields.text("node")?)?;
    let attempt = fields.integer("seq_no")?;
    let _closed = fields.text("closed")?;
    let elapsed_ms = fields.number("wait_time_ms")?;
    let outcome = parse_outcome(fields.text("reason")?)?;
    let report = fields.optional_numbers("feedback")?;
    Ok(Event::AttemptEnded { part, attempt, server, elapsed_ms, outcome, report })
}

fn probe_result(instance: &Instance, fields: &mut Fields<'_>) -> Result<Event, LineError> {
    let server = instance.server(fields.text("node")?)?;
    let outcome = parse_outcome(fields.text("reason")?)?;
    let elapsed_ms = fields.number("wait_time_ms")?;
    let report = fields.optional_numbers("feedback")?;
    Ok(Event::ProbeResult { server, outcome, elapsed_ms, report })
}

fn parse_outcome(text: &str) -> Result<Outcome, LineError> {
    Ok(match text {
        "success" => Outcome::Success,
        "failure" => Outcome::Failure,
        "overloaded" => Outcome::Overloaded,
        "timed_out" => Outcome::TimedOut,
        "unreachable" => Outcome::Unreachable,
        "broken" => Outcome::Broken,
        "withdrawn" => Outcome::Withdrawn,
        "void" => Outcome::Void,
        other => return Err(LineError::UnknownOutcome { found: other.to_owned() }),
    })
}
