//! The operator's `[blocks]` table: configuration of movable blocks, their coordinators, the rate of moves, and the initial
//! block map. Every error names the key.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::PathBuf;

use gingerledge_background::{Budget, Rate};
use gingerledge_blocks::{Bounds, Goal, Span, Timeouts, MAX_REPLICAS as REPLICAS_MOST};
use serde::Deserialize;

use super::Error;

/// Upper bound of the configurable numbers of blocks and of retired blocks.
const BLOCKS_MAX: usize = 200_000;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
struct Table {
    state_dir: Option<PathBuf>,
    coordinate: bool,
    coordinators: Vec<String>,
    lease_ms: u64,
    follow_ms: u64,
    blocks_max: usize,
    retired_max: usize,
    stores_max: usize,
    changes_max: usize,
    step_ms: u64,
    lag: u64,
    plan: String,
    plan_every_ms: u64,
    rest_ms: u64,
    replicas: usize,
    uneven: f64,
    even: f64,
    split_above: f64,
    merge_below: f64,
    copies: usize,
    copy_bytes_per_s: f64,
    copy_bytes_per_s_store: f64,
    copy_least: f64,
    found: Vec<FoundTable>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct FoundTable {
    block: u32,
    first: u64,
    end: u64,
    stores: Vec<String>,
    extent: Option<[f64; 4]>,
}

impl Default for Table {
    fn default() -> Self {
        Self {
            state_dir: None,
            coordinate: false,
            coordinators: Vec::new(),
            lease_ms: 5_000,
            follow_ms: 500,
            blocks_max: 100_000,
            retired_max: 20_000,
            stores_max: 1_000,
            changes_max: 64,
            step_ms: 20_000,
            lag: 64,
            plan: "off".to_owned(),
            plan_every_ms: 2_000,
            rest_ms: 60_000,
            replicas: 2,
            uneven: 0.25,
            even: 0.1,
            split_above: 0.0,
            merge_below: 0.0,
            copies: 2,
            copy_bytes_per_s: 20e6,
            copy_bytes_per_s_store: 5e6,
            copy_least: 0.1,
            found: Vec::new(),
        }
    }
}

/// Whether plans for moves are executed automatically.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Planning {
    /// Plans are made only on an operator's request.
    Off,
    /// Plans are made periodically and executed.
    Auto,
}

/// A block of the initial map.
#[derive(Clone, Debug, PartialEq)]
pub struct InitialBlock {
    /// Number of the block.
    pub block: u32,
    /// Range of weighers that belong to the block.
    pub span: Span,
    /// Names of the stores that hold the block.
    pub stores: Vec<String>,
    /// Bounding box of its weighers: west, south, east, north, in degrees.
    pub extent: Option<[f64; 4]>,
}

/// Configuration of movable blocks.
#[derive(Clone, Debug)]
pub struct Blocks {
    /// Directory of the block map, the lease and the coordinator's log.
    pub dir: PathBuf,
    /// Whether this broker may become the coordinator.
    pub coordinate: bool,
    /// Addresses of the admin endpoints of all brokers that may become the coordinator.
    pub coordinators: Vec<SocketAddr>,
    /// Duration of a coordinator's lease, in milliseconds.
    pub lease_ms: u64,
    /// Interval at which a broker requests changes of the map without any sign of one, in milliseconds.
    pub follow_ms: u64,
    /// Limits of the coordinator.
    pub bounds: Bounds,
    /// Whether plans for moves are executed automatically.
    pub planning: Planning,
    /// Interval between plans, in milliseconds.
    pub plan_every_ms: u64,
    /// Time after a change of a block before it is changed again, in milliseconds.
    pub rest_ms: u64,
    /// Target state of plans.
    pub goal: Goal,
    /// Limits on the cost of copies.
    pub budget: Budget,
    /// Blocks of the initial map.
    pub initial_blocks: Vec<InitialBlock>,
}

impl Blocks {
    /// Reads the table. If it sets no state directory, that of the broker (`state_dir`) is used.
    ///
    /// # Errors
    ///
    /// Names the first key that is missing or invalid.
    pub fn read(table: toml::Table, state_dir: Option<&PathBuf>, has_admin: bool) -> Result<Self, Error> {
        let key = |key: &str| format!("blocks.{key}");
        let table: Table = toml::Value::Table(table).try_into().map_err(|e: toml::de::Error| {
            Error::new("blocks", e.to_string().trim_end().replace('\n', " "))
        })?;
        let dir = table.state_dir.clone().or_else(|| state_dir.cloned()).ok_or_else(|| {
            Error::new(key("state_dir"), "missing, and TMPDIR is not set: the map has to be kept somewhere")
        })?;
        let check_range = |name: &str, value, least, most| super::check_range(key(name), value, least, most);
        check_range("lease_ms", table.lease_ms as f64, 100.0, 600_000.0)?;
        check_range("follow_ms", table.follow_ms as f64, 10.0, 60_000.0)?;
        check_range("blocks_max", table.blocks_max as f64, 1.0, BLOCKS_MAX as f64)?;
        check_range("retired_max", table.retired_max as f64, 1.0, BLOCKS_MAX as f64)?;
        check_range("stores_max", table.stores_max as f64, 1.0, 10_000.0)?;
        check_range("changes_max", table.changes_max as f64, 1.0, 4096.0)?;
        check_range("step_ms", table.step_ms as f64, 100.0, 3_600_000.0)?;
        check_range("lag", table.lag as f64, 0.0, 1e6)?;
        check_range("plan_every_ms", table.plan_every_ms as f64, 50.0, 3_600_000.0)?;
        check_range("rest_ms", table.rest_ms as f64, 0.0, 86_400_000.0)?;
        check_range("replicas", table.replicas as f64, 1.0, REPLICAS_MOST as f64)?;
        check_range("uneven", table.uneven, 0.01, 10.0)?;
        check_range("even", table.even, 0.0, table.uneven)?;
        check_range("split_above", table.split_above, 0.0, 1e12)?;
        check_range("copies", table.copies as f64, 1.0, 64.0)?;
        check_range("copy_bytes_per_s", table.copy_bytes_per_s, 1e3, 1e12)?;
        check_range("copy_bytes_per_s_store", table.copy_bytes_per_s_store, 1e3, table.copy_bytes_per_s)?;
        check_range("copy_least", table.copy_least, 0.01, 1.0)?;
        if table.merge_below > 0.0 && table.merge_below > table.split_above / 2.0 {
            let fault = "expected at most half of blocks.split_above, or halves of a split would merge again";
            return Err(Error::new(key("merge_below"), fault));
        }
        let planning = match table.plan.as_str() {
            "off" => Planning::Off,
            "auto" => Planning::Auto,
            other => return Err(Error::new(key("plan"), format!("expected off or auto, found `{other}`"))),
        };
        let mut coordinators = Vec::new();
        for (n, text) in table.coordinators.iter().enumerate() {
            coordinators.push(super::parse_address((key(&format!("coordinators.{n}")), text.clone()))?);
        }
        if !table.coordinate && coordinators.is_empty() {
            let fault = "empty: a broker that may not coordinate follows the map at these operators' doors";
            return Err(Error::new(key("coordinators"), fault));
        }
        if table.coordinate && !has_admin {
            let fault = "needs an operators' door (admin_addr): the other brokers follow the map there";
            return Err(Error::new(key("coordinate"), fault));
        }
        let timeouts =
            Timeouts { step_timeout_ms: table.step_ms, max_lag_entries: table.lag, ..Timeouts::default() };
        let rate = |per_s: f64| Rate { per_s, burst: per_s / 5.0 };
        Ok(Self {
            dir,
            coordinate: table.coordinate,
            coordinators,
            lease_ms: table.lease_ms,
            follow_ms: table.follow_ms,
            bounds: Bounds {
                blocks: table.blocks_max,
                retired: table.retired_max,
                stores: table.stores_max,
                changes: table.changes_max,
                timeouts,
                ..Bounds::default()
            },
            planning,
            plan_every_ms: table.plan_every_ms,
            rest_ms: table.rest_ms,
            goal: Goal {
                replicas: table.replicas,
                imbalance_start: table.uneven,
                imbalance_target: table.even,
                split_above: table.split_above,
                merge_below: table.merge_below,
                max_copies: table.copies,
                max_changes: table.changes_max,
            },
            budget: Budget {
                bytes: rate(table.copy_bytes_per_s),
                lane_bytes: rate(table.copy_bytes_per_s_store),
                max_lane_jobs: table.copies,
                urgent_share: table.copy_least,
                ..Budget::default()
            },
            initial_blocks: read_initial_blocks(table.found)?,
        })
    }
}

fn read_initial_blocks(tables: Vec<FoundTable>) -> Result<Vec<InitialBlock>, Error> {
    let (mut numbers, mut found): (HashSet<u32>, Vec<InitialBlock>) = (HashSet::new(), Vec::new());
    for (n, table) in tables.into_iter().enumerate() {
        let key = |field: &str| format!("blocks.found.{n}.{field}");
        let span = Span::new(table.first, table.end);
        if span.is_empty() {
            return Err(Error::new(key("end"), format!("expected more than first, found {}", table.end)));
        }
        if !numbers.insert(table.block) {
            return Err(Error::new(key("block"), format!("{} stands twice", table.block)));
        }
        if let Some(other) = found.iter().find(|other| other.span.intersection(span).is_some()) {
            let fault = format!("overlaps block {}, which has {}", other.block, other.span);
            return Err(Error::new(key("first"), fault));
        }
        let stores: HashSet<&String> = table.stores.iter().collect();
        if !(1..=REPLICAS_MOST).contains(&stores.len()) || stores.len() != table.stores.len() {
            let fault = format!("expected 1 to {REPLICAS_MOST} stores, none twice");
            return Err(Error::new(key("stores"), fault));
        }
        if let Some(extent) = table.extent {
            crate::geojson::Bbox::new(extent).map_err(|e| Error::new(key("extent"), e))?;
        }
        found.push(InitialBlock { block: table.block, span, stores: table.stores, extent: table.extent });
    }
    Ok(found)
}
