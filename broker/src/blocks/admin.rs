//! The operators' door to blocks: calls read from requests, and what they are shown, as JSON.

use gingerledge_blocks::{BlockId, Change, Coordinator, Cursor, Kind, Plan, ReplicaState, StoreId, Wish};
use serde::Deserialize;
use serde_json::{json, Value};

use super::requests::{Call, NamedWish};
use crate::http::Head;

/// Blocks in one page of the map: with eight replicas each they fit a body.
const PAGE_MOST: usize = 150;

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

/// A call of a request below `/blocks`; an error is a status with a few words.
pub fn call(head: &Head, body: &[u8]) -> Result<Call, (u16, String)> {
    fn read<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, (u16, String)> {
        serde_json::from_slice(body).map_err(|e| (400, format!("body: {e}")))
    }
    let number = |name: &str, absent: u64| {
        let pairs = head.query().split('&').filter_map(|pair| pair.split_once('='));
        match pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next() {
            None => Ok(absent),
            Some(text) => {
                text.parse::<u64>().map_err(|_| (400, format!("{name}: expected a number, found `{text}`")))
            }
        }
    };
    let (method, call) = match head.path() {
        "/blocks" => {
            let from = number("from", 0)?.min(u64::from(u32::MAX)) as u32;
            let most = (number("most", PAGE_MOST as u64)? as usize).clamp(1, PAGE_MOST);
            ("GET", Call::Show { from, most })
        }
        "/blocks/news" => {
            let term = number("term", 0)?.min(u64::from(u32::MAX)) as u32;
            let block = number("block", u64::from(u32::MAX))?.min(u64::from(u32::MAX)) as u32;
            let since = Cursor { version: number("since", 0)?, block: BlockId(block) };
            ("GET", Call::News { since, term })
        }
        "/blocks/plan" if head.method == "PUT" => ("PUT", Call::Plan { run: true }),
        "/blocks/plan" => ("GET", Call::Plan { run: false }),
        "/blocks/move" => {
            let MoveBody { block, from, to } = read(body)?;
            let wish = match (from, to) {
                (Some(from), Some(to)) => NamedWish::Move(block, from, to),
                (None, Some(to)) => NamedWish::Add(block, to),
                (Some(from), None) => NamedWish::Remove(block, from),
                (None, None) => return Err((400, "from, to: one of them at least".to_owned())),
            };
            ("PUT", Call::Wish(wish))
        }
        "/blocks/split" => {
            let SplitBody { block, at } = read(body)?;
            ("PUT", Call::Wish(NamedWish::Split(block, at)))
        }
        "/blocks/merge" => {
            let MergeBody { block, with } = read(body)?;
            ("PUT", Call::Wish(NamedWish::Merge(block, with)))
        }
        "/blocks/abandon" => ("PUT", Call::Abandon(read::<AbandonBody>(body)?.change)),
        "/blocks/pause" => ("PUT", Call::Pause(true)),
        "/blocks/resume" => ("PUT", Call::Pause(false)),
        path => return Err((404, format!("no such path: {path}"))),
    };
    if head.method != method {
        return Err((405, format!("{} takes {method}", head.path())));
    }
    Ok(call)
}

/// What a kind of change is called.
fn kind_name(kind: &Kind) -> &'static str {
    match kind {
        Kind::Move { .. } => "move",
        Kind::Add { .. } => "add",
        Kind::Remove { .. } => "remove",
        Kind::Split { .. } => "split",
        Kind::Merge { .. } => "merge",
    }
}

fn name(coordinator: &Coordinator, store: StoreId) -> String {
    coordinator.name(store).map_or_else(|| store.to_string(), str::to_owned)
}

fn change(coordinator: &Coordinator, change: &Change, stuck: bool) -> Value {
    let names = |stores: &[StoreId]| stores.iter().map(|s| name(coordinator, *s)).collect::<Vec<_>>();
    let mut json = json!({
        "change": change.id.0,
        "kind": kind_name(&change.kind),
        "block": change.block.0,
        "step": format!("{:?}", change.step),
        "epoch": change.epoch.0,
        "stuck": stuck,
    });
    match &change.kind {
        Kind::Move { from, to } | Kind::Add { source: from, to } | Kind::Remove { from, keeper: to } => {
            json["from"] = name(coordinator, *from).into();
            json["to"] = name(coordinator, *to).into();
        }
        Kind::Split { holders, new } | Kind::Merge { holders, new, .. } => {
            json["holders"] = names(holders).into();
            json["new"] = new.iter().map(|(id, _)| id.0).collect::<Vec<_>>().into();
        }
    }
    if let Some(reason) = &change.reason {
        json["reason"] = format!("{reason:?}").into();
    }
    json
}

/// A page of the map, from a block's number on, and all changes.
pub fn show(coordinator: &Coordinator, now: u64, from: u32, most: usize) -> Value {
    let map = coordinator.map();
    let mut ids: Vec<BlockId> = map.blocks().map(|block| block.id).filter(|id| id.0 >= from).collect();
    ids.sort_unstable();
    let next = ids.get(most).map(|id| id.0);
    let blocks: Vec<Value> = ids
        .iter()
        .take(most)
        .filter_map(|id| map.block(*id))
        .map(|block| {
            let replicas: Vec<Value> = block
                .replicas
                .iter()
                .map(|replica| match replica.state {
                    ReplicaState::Serving => name(coordinator, replica.store).into(),
                    state => format!("{} ({state:?})", name(coordinator, replica.store)).into(),
                })
                .collect();
            json!({ "block": block.id.0, "first": block.span.first, "end": block.span.end,
                "epoch": block.epoch.0, "stores": replicas })
        })
        .collect();
    let stuck = |c: &Change| coordinator.stuck(c, now);
    let changes: Vec<Value> =
        coordinator.changes().take(PAGE_MOST).map(|c| change(coordinator, c, stuck(c))).collect();
    let mut past: Vec<Value> =
        coordinator.past().map(|past| change(coordinator, &past.change, false)).collect();
    let past = past.split_off(past.len().saturating_sub(20));
    let unheard: Vec<String> =
        coordinator.stores().filter(|(id, _)| !coordinator.has_heard(*id)).map(|(_, name)| name).collect();
    json!({ "term": coordinator.term().0, "version": map.version(), "paused": coordinator.paused(),
        "count": map.len(), "blocks": blocks, "next": next, "changes": changes, "past": past,
        "unheard": unheard })
}

/// A plan.
pub fn plan(coordinator: &Coordinator, plan: &Plan) -> Value {
    let wish = |wish: &Wish| match wish {
        Wish::Move(block, from, to) => {
            json!({ "kind": "move", "block": block.0, "from": name(coordinator, *from), "to": name(coordinator, *to) })
        }
        Wish::Add(block, to) => json!({ "kind": "add", "block": block.0, "to": name(coordinator, *to) }),
        Wish::Remove(block, from) => {
            json!({ "kind": "remove", "block": block.0, "from": name(coordinator, *from) })
        }
        Wish::Split(block, at) => json!({ "kind": "split", "block": block.0, "at": at }),
        Wish::Merge(block, with) => json!({ "kind": "merge", "block": block.0, "with": with.0 }),
    };
    let wishes: Vec<Value> = plan
        .wishes
        .iter()
        .map(|planned| {
            let mut json = wish(&planned.wish);
            json["why"] = planned.why.into();
            json["bytes"] = planned.bytes.into();
            json["urgent"] = planned.urgent.into();
            json
        })
        .collect();
    let stranded: Vec<Value> = plan
        .stranded
        .iter()
        .take(PAGE_MOST)
        .map(|(block, why)| json!({ "block": block.0, "why": why }))
        .collect();
    json!({ "wishes": wishes, "later": plan.later, "stranded": stranded,
        "fullest_over_mean": { "now": plan.skew.0, "then": plan.skew.1 } })
}
