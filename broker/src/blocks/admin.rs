//! The admin endpoint for blocks: parses HTTP requests into requests to the coordinator, and formats its replies as JSON.

use gingerledge_blocks::{
    BlockId, Change, ChangeKind, ChangeRequest, Coordinator, Cursor, Plan, ReplicaState, StoreId,
};
use serde::Deserialize;
use serde_json::{json, Value};

use super::requests::{NamedChange, Request};
use crate::http::Head;

/// Maximum number of blocks in a page of the map: with eight replicas each, they fit into a body.
const PAGE_BLOCKS_MAX: usize = 150;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct MoveBody {
    block: u32,
    from: Option<String>,
    to: Option<String>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SplitBody {
    block: u32,
    at: u64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct MergeBody {
    block: u32,
    with: u32,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct AbandonBody {
    change: u64,
}

/// Parses an HTTP request below `/blocks`.
///
/// # Errors
///
/// The status and the text of the response, if the request is invalid.
pub fn parse_request(head: &Head, body: &[u8]) -> Result<Request, (u16, String)> {
    fn read<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, (u16, String)> {
        serde_json::from_slice(body).map_err(|e| (400, format!("body: {e}")))
    }
    let number = |name: &str, default: u64| {
        let pairs = head.query().split('&').filter_map(|pair| pair.split_once('='));
        match pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next() {
            None => Ok(default),
            Some(text) => {
                text.parse::<u64>().map_err(|_| (400, format!("{name}: expected a number, found `{text}`")))
            }
        }
    };
    let (method, request) = match head.path() {
        "/blocks" => {
            let from = number("from", 0)?.min(u64::from(u32::MAX)) as u32;
            let limit = (number("most", PAGE_BLOCKS_MAX as u64)? as usize).clamp(1, PAGE_BLOCKS_MAX);
            ("GET", Request::ShowMap { from, limit })
        }
        "/blocks/news" => {
            let term = number("term", 0)?.min(u64::from(u32::MAX)) as u32;
            let block = number("block", u64::from(u32::MAX))?.min(u64::from(u32::MAX)) as u32;
            let since = Cursor { version: number("since", 0)?, block: BlockId(block) };
            ("GET", Request::MapUpdates { since, term })
        }
        "/blocks/plan" if head.method == "PUT" => ("PUT", Request::Plan { execute: true }),
        "/blocks/plan" => ("GET", Request::Plan { execute: false }),
        "/blocks/move" => {
            let MoveBody { block, from, to } = read(body)?;
            let change = match (from, to) {
                (Some(from), Some(to)) => NamedChange::Move(block, from, to),
                (None, Some(to)) => NamedChange::Add(block, to),
                (Some(from), None) => NamedChange::Remove(block, from),
                (None, None) => return Err((400, "from, to: one of them at least".to_owned())),
            };
            ("PUT", Request::Change(change))
        }
        "/blocks/split" => {
            let SplitBody { block, at } = read(body)?;
            ("PUT", Request::Change(NamedChange::Split(block, at)))
        }
        "/blocks/merge" => {
            let MergeBody { block, with } = read(body)?;
            ("PUT", Request::Change(NamedChange::Merge(block, with)))
        }
        "/blocks/abandon" => ("PUT", Request::Abandon(read::<AbandonBody>(body)?.change)),
        "/blocks/pause" => ("PUT", Request::Pause(true)),
        "/blocks/resume" => ("PUT", Request::Pause(false)),
        path => return Err((404, format!("no such path: {path}"))),
    };
    if head.method != method {
        return Err((405, format!("{} takes {method}", head.path())));
    }
    Ok(request)
}

/// The name of a kind of change in JSON.
fn kind_name(kind: &ChangeKind) -> &'static str {
    match kind {
        ChangeKind::Move { .. } => "move",
        ChangeKind::Add { .. } => "add",
        ChangeKind::Remove { .. } => "remove",
        ChangeKind::Split { .. } => "split",
        ChangeKind::Merge { .. } => "merge",
    }
}

/// The name of a store, or its number if the name is not known.
fn store_name(coordinator: &Coordinator, store: StoreId) -> String {
    coordinator.name(store).map_or_else(|| store.to_string(), str::to_owned)
}

fn change_json(coordinator: &Coordinator, change: &Change, is_stuck: bool) -> Value {
    let names =
        |stores: &[StoreId]| stores.iter().map(|store| store_name(coordinator, *store)).collect::<Vec<_>>();
    let mut json = json!({
        "change": change.id.0,
        "kind": kind_name(&change.kind),
        "block": change.block.0,
        "step": format!("{:?}", change.step),
        "epoch": change.epoch.0,
        "stuck": is_stuck,
    });
    match &change.kind {
        ChangeKind::Move { from, to }
        | ChangeKind::Add { source: from, to }
        | ChangeKind::Remove { from, remaining_holder: to } => {
            json["from"] = store_name(coordinator, *from).into();
            json["to"] = store_name(coordinator, *to).into();
        }
        ChangeKind::Split { holders, new } | ChangeKind::Merge { holders, new, .. } => {
            json["holders"] = names(holders).into();
            json["new"] = new.iter().map(|(id, _)| id.0).collect::<Vec<_>>().into();
        }
    }
    if let Some(reason) = &change.reason {
        json["reason"] = format!("{reason:?}").into();
    }
    json
}

/// Formats a page of the map with at most `limit` blocks, from the block number `from` on, together with the changes: a page
/// of the current ones and the last 20 past ones.
pub fn map_page_json(coordinator: &Coordinator, now: u64, from: u32, limit: usize) -> Value {
    let map = coordinator.map();
    let mut ids: Vec<BlockId> = map.blocks().map(|block| block.id).filter(|id| id.0 >= from).collect();
    ids.sort_unstable();
    let next = ids.get(limit).map(|id| id.0);
    let blocks: Vec<Value> = ids
        .iter()
        .take(limit)
        .filter_map(|id| map.block(*id))
        .map(|block| {
            let replicas: Vec<Value> = block
                .replicas
                .iter()
                .map(|replica| match replica.state {
                    ReplicaState::Serving => store_name(coordinator, replica.store).into(),
                    state => format!("{} ({state:?})", store_name(coordinator, replica.store)).into(),
                })
                .collect();
            json!({ "block": block.id.0, "first": block.span.first, "end": block.span.end,
                "epoch": block.epoch.0, "stores": replicas })
        })
        .collect();
    let is_stuck = |change: &Change| coordinator.is_stuck(change, now);
    let changes: Vec<Value> = coordinator
        .changes()
        .take(PAGE_BLOCKS_MAX)
        .map(|change| change_json(coordinator, change, is_stuck(change)))
        .collect();
    let mut past: Vec<Value> =
        coordinator.ended_changes().map(|past| change_json(coordinator, &past.change, false)).collect();
    let past = past.split_off(past.len().saturating_sub(20));
    let unreported: Vec<String> = coordinator
        .stores()
        .filter(|(id, _)| !coordinator.has_inventory(*id))
        .map(|(_, name)| name)
        .collect();
    json!({ "term": coordinator.term().0, "version": map.version(), "paused": coordinator.is_paused(),
        "count": map.len(), "blocks": blocks, "next": next, "changes": changes, "past": past,
        "unheard": unreported })
}

/// Formats a plan.
pub fn plan_json(coordinator: &Coordinator, plan: &Plan) -> Value {
    let wish_json = |wish: &ChangeRequest| match wish {
        ChangeRequest::Move(block, from, to) => {
            json!({ "kind": "move", "block": block.0, "from": store_name(coordinator, *from), "to": store_name(coordinator, *to) })
        }
        ChangeRequest::Add(block, to) => {
            json!({ "kind": "add", "block": block.0, "to": store_name(coordinator, *to) })
        }
        ChangeRequest::Remove(block, from) => {
            json!({ "kind": "remove", "block": block.0, "from": store_name(coordinator, *from) })
        }
        ChangeRequest::Split(block, at) => json!({ "kind": "split", "block": block.0, "at": at }),
        ChangeRequest::Merge(block, with) => json!({ "kind": "merge", "block": block.0, "with": with.0 }),
    };
    let wishes: Vec<Value> = plan
        .changes
        .iter()
        .map(|planned| {
            let mut json = wish_json(&planned.change);
            json["why"] = planned.reason.into();
            json["bytes"] = planned.bytes.into();
            json["urgent"] = planned.urgent.into();
            json
        })
        .collect();
    let stranded: Vec<Value> = plan
        .unresolved
        .iter()
        .take(PAGE_BLOCKS_MAX)
        .map(|(block, why)| json!({ "block": block.0, "why": why }))
        .collect();
    json!({ "wishes": wishes, "later": plan.deferred, "stranded": stranded,
        "fullest_over_mean": { "now": plan.skew.0, "then": plan.skew.1 } })
}
