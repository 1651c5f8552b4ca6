//! The operator's file, which sets the feature front up: where it listens, which collections there
//! are, whose requests count for which club, and where each weigher block lies.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;

use gingerledge_dispatch::{Repeat, Setup};
use serde::Deserialize;

use super::Error;
use crate::clock::Millis;
use crate::geojson::Bbox;

/// A link key shorter than this could be guessed.
const LINK_KEY_MIN_BYTES: usize = 16;
const LIMIT_MAX: usize = 1000;
const CONNECTIONS_MAX: usize = 256;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    listen: String,
    base_url: Option<String>,
    title: String,
    #[serde(default)]
    description: String,
    link_key: String,
    #[serde(default = "limit")]
    limit: usize,
    #[serde(default = "limit_max")]
    limit_max: usize,
    #[serde(default = "connections")]
    connections: usize,
    club_header: Option<String>,
    default_club: Option<String>,
    #[serde(default)]
    clubs: BTreeMap<String, String>,
    collection: Vec<CollectionTable>,
    #[serde(default)]
    block: Vec<BlockTable>,
    #[serde(default)]
    store: Vec<StoreTable>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct CollectionTable {
    id: String,
    title: String,
    #[serde(default)]
    description: String,
    class: String,
    timeout_ms: Option<f64>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct BlockTable {
    shard: u32,
    extent: [f64; 4],
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct StoreTable {
    id: String,
    features: String,
}

fn limit() -> usize {
    10
}

fn limit_max() -> usize {
    100
}

fn connections() -> usize {
    128
}

/// A collection of features.
#[derive(Clone, Debug)]
pub struct Collection {
    /// Its name in paths.
    pub id: String,
    /// Its title.
    pub title: String,
    /// What it holds.
    pub description: String,
    /// The class that its queries count for.
    pub class: usize,
    /// Whether its queries carry a key.
    pub keyed: bool,
    /// How long a client of it is taken to wait.
    pub timeout_ms: Millis,
}

/// The feature front, as set up by the operator.
#[derive(Clone, Debug)]
pub struct Features {
    /// Where clients of the feature front connect; a loopback address.
    pub listen: SocketAddr,
    /// What links begin with; by default made from the address.
    pub base_url: Option<String>,
    /// The landing page's title.
    pub title: String,
    /// The landing page's description.
    pub description: String,
    /// Signs next links; the same at every broker, so that each can follow any other's.
    pub link_key: Vec<u8>,
    /// Features on a page where the client names no limit.
    pub limit: usize,
    /// Features on a page at the most.
    pub limit_max: usize,
    /// Connections open at the most.
    pub connections: usize,
    /// The header that names a club, if clients send one.
    pub club_header: Option<String>,
    /// The tenant of requests without it.
    pub default_tenant: Option<usize>,
    /// Tenants, by what the header says.
    pub clubs: HashMap<String, usize>,
    /// The collections.
    pub collections: Vec<Collection>,
    /// Where each weigher block lies, by shard.
    pub blocks: Vec<Bbox>,
    /// Stores that offer the feature form, and where.
    pub stores: HashMap<String, SocketAddr>,
}

fn loopback(key: &str, text: &str) -> Result<SocketAddr, Error> {
    let address: SocketAddr =
        text.parse().map_err(|_| Error::new(key, format!("expected address:port, found `{text}`")))?;
    match address.ip().is_loopback() {
        true => Ok(address),
        false => Err(Error::new(key, format!("expected a loopback address, found `{text}`"))),
    }
}

impl Features {
    /// Reads the operator's file against the settings.
    /// Where blocks move, the map says where they lie.
    pub fn read(table: toml::Table, setup: &Setup, moves: bool) -> Result<Self, Error> {
        let file: File = toml::Value::Table(table).try_into().map_err(|e: toml::de::Error| {
            Error::new("LB_OPERATOR", e.to_string().trim_end().replace('\n', " "))
        })?;
        let tenant = |key: String, name: &str| {
            let index = setup.tenants.get(name).copied();
            index.ok_or_else(|| Error::new(key, format!("the settings have no club `{name}`")))
        };
        let mut clubs = HashMap::new();
        for (said, name) in &file.clubs {
            clubs.insert(said.clone(), tenant(format!("clubs.{said}"), name)?);
        }
        let default_tenant =
            file.default_club.map(|name| tenant("default_club".to_owned(), &name)).transpose()?;
        if !setup.tenants.is_empty() && default_tenant.is_none() && file.club_header.is_none() {
            return Err(Error::new("default_club", "missing, and there is no club_header either"));
        }
        if file.link_key.len() < LINK_KEY_MIN_BYTES {
            return Err(Error::new("link_key", format!("expected {LINK_KEY_MIN_BYTES} characters at least")));
        }
        if !(1..=LIMIT_MAX).contains(&file.limit_max) {
            return Err(Error::new("limit_max", format!("expected 1 to {LIMIT_MAX}")));
        }
        if !(1..=file.limit_max).contains(&file.limit) {
            return Err(Error::new("limit", "expected 1 to limit_max"));
        }
        if !(1..=CONNECTIONS_MAX).contains(&file.connections) {
            return Err(Error::new("connections", format!("expected 1 to {CONNECTIONS_MAX}")));
        }
        let mut stores = HashMap::new();
        for (n, store) in file.store.iter().enumerate() {
            stores.insert(store.id.clone(), loopback(&format!("store.{n}.features"), &store.features)?);
        }
        Ok(Self {
            listen: loopback("listen", &file.listen)?,
            base_url: file.base_url.map(|url| url.trim_end_matches('/').to_owned()),
            title: file.title,
            description: file.description,
            link_key: file.link_key.into_bytes(),
            limit: file.limit,
            limit_max: file.limit_max,
            connections: file.connections,
            club_header: file.club_header,
            default_tenant,
            clubs,
            collections: collections(file.collection, setup)?,
            blocks: if moves { Vec::new() } else { blocks(&file.block, setup.settings.shards)? },
            stores,
        })
    }
}

fn collections(tables: Vec<CollectionTable>, setup: &Setup) -> Result<Vec<Collection>, Error> {
    let mut ids = HashSet::new();
    let mut collections = Vec::new();
    for (n, table) in tables.into_iter().enumerate() {
        let key = |field: &str| format!("collection.{n}.{field}");
        let plain = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
        if table.id.is_empty() || !table.id.bytes().all(plain) || !ids.insert(table.id.clone()) {
            return Err(Error::new(key("id"), "expected letters, digits, - and _, no id twice"));
        }
        let &index = setup.classes.get(&table.class).ok_or_else(|| {
            Error::new(key("class"), format!("the settings have no class `{}`", table.class))
        })?;
        let class = &setup.settings.classes[index];
        // A page is put together from every block asked; a class that may leave some out can't serve it.
        if class.follow_up_parts > 0
            || class.required_share < 1.0
            || class.minimum_share < class.required_share
        {
            return Err(Error::new(key("class"), "expected a class whose answers hold all their parts"));
        }
        if class.repeat == Repeat::Unsafe {
            return Err(Error::new(key("class"), "expected a class that is safe to repeat, or keyed"));
        }
        let keyed = class.repeat == Repeat::Keyed;
        let timeout_ms = table.timeout_ms.unwrap_or(class.deadline_ms);
        if !(1.0..=class.deadline_ms).contains(&timeout_ms) {
            return Err(Error::new(key("timeout_ms"), format!("expected 1 to {}", class.deadline_ms)));
        }
        let CollectionTable { id, title, description, .. } = table;
        collections.push(Collection { id, title, description, class: index, keyed, timeout_ms });
    }
    match collections.is_empty() {
        true => Err(Error::new("collection", "expected one at least")),
        false => Ok(collections),
    }
}

fn blocks(tables: &[BlockTable], shards: u32) -> Result<Vec<Bbox>, Error> {
    let mut blocks = vec![None; shards as usize];
    for (n, table) in tables.iter().enumerate() {
        let extent = Bbox::new(table.extent);
        let extent = extent.map_err(|e| Error::new(format!("block.{n}.extent"), e))?;
        match blocks.get_mut(table.shard as usize) {
            None => return Err(Error::new(format!("block.{n}.shard"), format!("there are {shards} shards"))),
            Some(Some(_)) => return Err(Error::new(format!("block.{n}.shard"), "stands twice")),
            Some(block) => *block = Some(extent),
        }
    }
    let missing = |(n, block): (usize, Option<Bbox>)| {
        block.ok_or_else(|| Error::new("block", format!("shard {n} has no extent")))
    };
    blocks.into_iter().enumerate().map(missing).collect()
}
