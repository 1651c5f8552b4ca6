//! Configuration of the feature front in the operator's file: its address, the collections, the mapping of clients to clubs
//! (tenants), and the extent of each weigher block.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;

use gingerledge_dispatch::{Repeat, Setup};
use serde::Deserialize;

use super::Error;
use crate::clock::Millis;
use crate::geojson::Bbox;

/// Minimum length of a link key, in bytes: a shorter one could be guessed.
const KEY_LEAST: usize = 16;
/// Upper bound of the configurable maximum of features on a page.
const LIMIT_MOST: usize = 1000;
/// Upper bound of the configurable number of connections.
const CONNECTIONS_MOST: usize = 256;

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
    /// Id of the collection, as used in paths.
    pub id: String,
    /// Title for readers.
    pub title: String,
    /// Description of its contents.
    pub description: String,
    /// Index of the class of its queries.
    pub class: usize,
    /// Whether its queries must carry an idempotency key.
    pub keyed: bool,
    /// Time-out of its queries, in milliseconds.
    pub timeout_ms: Millis,
}

/// Configuration of the feature front.
#[derive(Clone, Debug)]
pub struct Features {
    /// Address for clients of the feature front; a loopback address.
    pub listen: SocketAddr,
    /// Prefix of the URLs in links; derived from the address if not set.
    pub base_url: Option<String>,
    /// Title of the landing page.
    pub title: String,
    /// Description on the landing page.
    pub description: String,
    /// Key that signs the cursors of next links. It must be the same at every broker, so that each can serve the links of the
    /// others.
    pub link_key: Vec<u8>,
    /// Default limit of features on a page.
    pub limit: usize,
    /// Maximum limit of features on a page.
    pub limit_max: usize,
    /// Maximum number of open client connections.
    pub connections: usize,
    /// Name of the request header that identifies the club, if there is one.
    pub club_header: Option<String>,
    /// Index of the tenant of requests without that header.
    pub default_tenant: Option<usize>,
    /// Indices of tenants, by the value of the header.
    pub clubs: HashMap<String, usize>,
    /// Collections of the front.
    pub collections: Vec<Collection>,
    /// Extents of the weigher blocks, by shard. Empty if blocks are movable.
    pub blocks: Vec<Bbox>,
    /// Addresses of the feature APIs of stores that have one, by the store's id.
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
    /// Reads the operator's file and validates it against the settings. If blocks are movable, their extents are in the block
    /// map and the file needs none.
    ///
    /// # Errors
    ///
    /// Names the first key that is missing or invalid.
    pub fn read(table: toml::Table, setup: &Setup, has_movable_blocks: bool) -> Result<Self, Error> {
        let file: File = toml::Value::Table(table).try_into().map_err(|e: toml::de::Error| {
            Error::new("LB_OPERATOR", e.to_string().trim_end().replace('\n', " "))
        })?;
        let tenant = |key: String, name: &str| {
            let index = setup.tenants.get(name).copied();
            index.ok_or_else(|| Error::new(key, format!("the settings have no club `{name}`")))
        };
        let mut clubs = HashMap::new();
        for (header_value, name) in &file.clubs {
            clubs.insert(header_value.clone(), tenant(format!("clubs.{header_value}"), name)?);
        }
        let default_tenant =
            file.default_club.map(|name| tenant("default_club".to_owned(), &name)).transpose()?;
        if !setup.tenants.is_empty() && default_tenant.is_none() && file.club_header.is_none() {
            return Err(Error::new("default_club", "missing, and there is no club_header either"));
        }
        if file.link_key.len() < KEY_LEAST {
            return Err(Error::new("link_key", format!("expected {KEY_LEAST} characters at least")));
        }
        if !(1..=LIMIT_MOST).contains(&file.limit_max) {
            return Err(Error::new("limit_max", format!("expected 1 to {LIMIT_MOST}")));
        }
        if !(1..=file.limit_max).contains(&file.limit) {
            return Err(Error::new("limit", "expected 1 to limit_max"));
        }
        if !(1..=CONNECTIONS_MOST).contains(&file.connections) {
            return Err(Error::new("connections", format!("expected 1 to {CONNECTIONS_MOST}")));
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
            blocks: if has_movable_blocks { Vec::new() } else { blocks(&file.block, setup.settings.shards)? },
            stores,
        })
    }
}

fn collections(tables: Vec<CollectionTable>, setup: &Setup) -> Result<Vec<Collection>, Error> {
    let mut ids = HashSet::new();
    let mut collections = Vec::new();
    for (n, table) in tables.into_iter().enumerate() {
        let key = |field: &str| format!("collection.{n}.{field}");
        let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b == b'-' || b == b'_';
        if table.id.is_empty() || !table.id.bytes().all(is_allowed) || !ids.insert(table.id.clone()) {
            return Err(Error::new(key("id"), "expected letters, digits, - and _, no id twice"));
        }
        let &index = setup.classes.get(&table.class).ok_or_else(|| {
            Error::new(key("class"), format!("the settings have no class `{}`", table.class))
        })?;
        let class = &setup.settings.classes[index];
        // A page needs the answers of all its blocks, so a class that permits partial answers can't serve it.
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
