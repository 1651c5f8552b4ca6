//! A configuration as reads return it to the operator, and the latest updates that led to it.
//!
//! A replaced configuration stays the text that was sent. The first update splits it into the texts of its items; each update then
//! costs the parsing of its own text and a pass over the hosts and prefixes of routes, but no parsing of other items. The latest
//! updates are retained, so that a replica with an earlier state can be sent the difference only.

use std::collections::{HashSet, VecDeque};
use std::fmt::{self, Formatter};
use std::sync::Arc;

use serde::de::{MapAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use serde_json::value::RawValue;
use snafu::{ensure, ResultExt};

use crate::configuration::Route;
use crate::update::{put_items, read_update, upserted_texts, ConfigurationUpdate};
use crate::validate::{
    BaseMismatchSnafu, DuplicateMatchSnafu, InvalidConfiguration, UnknownServiceSnafu, UnreadableSnafu,
};

/// Bounds the updates that are retained.
const MAX_RECENT_UPDATES: usize = 64;
/// Bounds the bytes of the retained updates together; the newest one is retained whatever its size.
const MAX_RECENT_BYTES: usize = 1024 * 1024;

/// A configuration with the latest updates that led to it.
#[derive(Clone, Debug)]
pub struct ConfigurationDocument {
    content: Content,
    recent: VecDeque<AppliedUpdate>,
}

/// An update that was applied, with its place in the sequence of changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppliedUpdate {
    /// Sequence number of the change that it was applied to.
    pub base: u64,
    /// Sequence number of its own change.
    pub sequence: u64,
    /// Its JSON text, as the operator sent it.
    pub json: Arc<Vec<u8>>,
}

#[derive(Clone, Debug)]
enum Content {
    /// The text as it was sent.
    Text(Arc<Vec<u8>>),
    /// The items after updates.
    Items(Arc<Items>),
}

/// A configuration as the texts of its items.
#[derive(Clone, Debug)]
struct Items {
    version: u64,
    routes: Vec<Arc<RouteItem>>,
    services: Vec<Arc<ServiceItem>>,
    /// All other fields: (name, text).
    others: Vec<(String, Arc<str>)>,
}

/// A route's text, and the fields that validation needs.
#[derive(Debug)]
struct RouteItem {
    name: String,
    host: String,
    path_prefix: String,
    services: Vec<String>,
    text: Box<str>,
}

#[derive(Debug)]
struct ServiceItem {
    name: String,
    text: Box<str>,
}

impl ConfigurationDocument {
    /// A whole configuration, which must have been validated.
    #[must_use]
    pub fn from_text(text: Arc<Vec<u8>>) -> Self {
        Self { content: Content::Text(text), recent: VecDeque::new() }
    }

    /// The whole configuration as JSON: the bytes that were sent, until the first update.
    #[must_use]
    pub fn to_json(&self) -> Arc<Vec<u8>> {
        match &self.content {
            Content::Text(text) => Arc::clone(text),
            Content::Items(items) => Arc::new(items.to_json()),
        }
    }

    /// Approximate size of the whole configuration, in bytes.
    #[must_use]
    pub fn size_estimate(&self) -> usize {
        match &self.content {
            Content::Text(text) => text.len(),
            Content::Items(items) => items.size_estimate(),
        }
    }

    /// Applies an update. The result is validated like a whole configuration.
    ///
    /// # Errors
    ///
    /// The update or its result is invalid; nothing has changed then.
    pub fn apply(&mut self, applied: AppliedUpdate) -> Result<(), InvalidConfiguration> {
        let update = read_update(&applied.json)?;
        let mut items = match &self.content {
            Content::Text(text) => Items::read(text)?,
            // Clones the lists; the items themselves are shared.
            Content::Items(items) => Items::clone(items),
        };
        items.apply(&update, &applied.json)?;
        self.content = Content::Items(Arc::new(items));
        self.retain_update(applied);
        Ok(())
    }

    /// Applies those updates of a series that are newer than the change `known`; returns the sequence number of the newest change.
    ///
    /// # Errors
    ///
    /// The series does not continue from `known`, or an update is invalid. Updates before the failed one stay applied.
    pub fn apply_series(
        &mut self,
        known: u64,
        series: &[AppliedUpdate],
    ) -> Result<u64, InvalidConfiguration> {
        let mut newest = known;
        for applied in series.iter().filter(|applied| applied.sequence > known) {
            ensure!(applied.base == newest, BaseMismatchSnafu { base: applied.base, known: newest });
            newest = applied.sequence;
            self.apply(applied.clone())?;
        }
        Ok(newest)
    }

    /// The updates from a change on to the newest one, in order; none if they are not retained.
    #[must_use]
    pub fn updates_since(&self, known: u64) -> Option<impl Iterator<Item = &AppliedUpdate>> {
        let first = self.recent.iter().position(|applied| applied.base == known)?;
        Some(self.recent.iter().skip(first))
    }

    fn retain_update(&mut self, applied: AppliedUpdate) {
        self.recent.push_back(applied);
        let mut bytes: usize = self.recent.iter().map(|applied| applied.json.len()).sum();
        while self.recent.len() > MAX_RECENT_UPDATES || (bytes > MAX_RECENT_BYTES && self.recent.len() > 1) {
            bytes -= self.recent.pop_front().map_or(0, |oldest| oldest.json.len());
        }
    }
}

impl Items {
    fn read(text: &[u8]) -> Result<Self, InvalidConfiguration> {
        let Fields(fields) = serde_json::from_slice(text).context(UnreadableSnafu)?;
        let mut items = Self { version: 0, routes: Vec::new(), services: Vec::new(), others: Vec::new() };
        for (name, value) in fields {
            match name.as_str() {
                "version" => items.version = serde_json::from_str(value.get()).context(UnreadableSnafu)?,
                "routes" => items.routes = read_list(value.get(), RouteItem::read)?,
                "services" => items.services = read_list(value.get(), ServiceItem::read)?,
                _ => items.others.push((name, value.get().into())),
            }
        }
        Ok(items)
    }

    fn apply(&mut self, update: &ConfigurationUpdate, json: &[u8]) -> Result<(), InvalidConfiguration> {
        let texts = upserted_texts(json)?;
        let routes = texts.routes.iter().map(|text| RouteItem::read(text)).collect::<Result<_, _>>()?;
        let services = texts.services.iter().map(|text| ServiceItem::read(text)).collect::<Result<_, _>>()?;
        self.version = update.version;
        put_items(&mut self.routes, routes, &update.remove.routes, |route| &route.name);
        put_items(&mut self.services, services, &update.remove.services, |service| &service.name);
        self.check_matches(update)?;
        self.check_services(update)
    }

    /// Checks that no route of the update has the host and prefix of another route.
    fn check_matches(&self, update: &ConfigurationUpdate) -> Result<(), InvalidConfiguration> {
        let new: HashSet<&str> = update.upsert.routes.iter().map(|route| route.name.as_str()).collect();
        let mut matches = HashSet::new();
        for route in &update.upsert.routes {
            let is_free = matches.insert((route.host.as_str(), route.path_prefix.as_str()));
            ensure!(is_free, DuplicateMatchSnafu { route: &route.name });
        }
        let known = self.routes.iter().filter(|route| !new.contains(route.name.as_str()));
        for route in known {
            let is_free = !matches.contains(&(route.host.as_str(), route.path_prefix.as_str()));
            ensure!(is_free, DuplicateMatchSnafu { route: &route.name });
        }
        Ok(())
    }

    /// Checks that the services of all routes exist. Unchanged routes can only lack services that the update removes.
    fn check_services(&self, update: &ConfigurationUpdate) -> Result<(), InvalidConfiguration> {
        let services: HashSet<&str> = self.services.iter().map(|service| service.name.as_str()).collect();
        let new: HashSet<&str> = update.upsert.routes.iter().map(|route| route.name.as_str()).collect();
        let removes_services = !update.remove.services.is_empty();
        let is_affected = |route: &&Arc<RouteItem>| removes_services || new.contains(route.name.as_str());
        for route in self.routes.iter().filter(is_affected) {
            for service in &route.services {
                let is_known = services.contains(service.as_str());
                ensure!(is_known, UnknownServiceSnafu { route: &route.name, service });
            }
        }
        Ok(())
    }

    fn size_estimate(&self) -> usize {
        let routes = self.routes.iter().map(|route| route.text.len());
        let services = self.services.iter().map(|service| service.text.len());
        let others = self.others.iter().map(|(name, text)| name.len() + text.len());
        routes.chain(services).chain(others).sum()
    }

    fn to_json(&self) -> Vec<u8> {
        let mut json = Vec::with_capacity(self.size_estimate() * 17 / 16 + 64);
        json.extend_from_slice(format!("{{\"version\":{}", self.version).as_bytes());
        for (name, text) in &self.others {
            json.extend_from_slice(format!(",{}:{text}", serde_json::Value::from(name.as_str())).as_bytes());
        }
        write_list(&mut json, "routes", self.routes.iter().map(|route| &*route.text));
        write_list(&mut json, "services", self.services.iter().map(|service| &*service.text));
        json.push(b'}');
        json
    }
}

fn write_list<'a>(json: &mut Vec<u8>, name: &str, texts: impl Iterator<Item = &'a str>) {
    json.extend_from_slice(format!(",\"{name}\":[").as_bytes());
    for (index, text) in texts.enumerate() {
        if index > 0 {
            json.push(b',');
        }
        json.extend_from_slice(text.as_bytes());
    }
    json.push(b']');
}

fn read_list<Item>(
    text: &str,
    read: impl Fn(&RawValue) -> Result<Arc<Item>, InvalidConfiguration>,
) -> Result<Vec<Arc<Item>>, InvalidConfiguration> {
    let items: Vec<&RawValue> = serde_json::from_str(text).context(UnreadableSnafu)?;
    items.into_iter().map(read).collect()
}

impl RouteItem {
    fn read(text: &RawValue) -> Result<Arc<Self>, InvalidConfiguration> {
        let route: Route = serde_json::from_str(text.get()).context(UnreadableSnafu)?;
        let services = route.services().into_iter().map(|(service, _)| service.to_owned()).collect();
        let Route { name, host, path_prefix, .. } = route;
        Ok(Arc::new(Self { name, host, path_prefix, services, text: text.get().into() }))
    }
}

impl ServiceItem {
    fn read(text: &RawValue) -> Result<Arc<Self>, InvalidConfiguration> {
        #[derive(Deserialize)]
        struct Named {
            #[serde(default)]
            name: String,
        }
        let Named { name } = serde_json::from_str(text.get()).context(UnreadableSnafu)?;
        Ok(Arc::new(Self { name, text: text.get().into() }))
    }
}

/// The fields of a JSON object in their order, with their texts.
struct Fields(Vec<(String, Box<RawValue>)>);

impl<'de> Deserialize<'de> for Fields {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct FieldsVisitor;

        impl<'de> Visitor<'de> for FieldsVisitor {
            type Value = Fields;

            fn expecting(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
                formatter.write_str("an object")
            }

            fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Fields, A::Error> {
                let mut fields = Vec::new();
                while let Some(field) = map.next_entry()? {
                    fields.push(field);
                }
                Ok(Fields(fields))
            }
        }

        deserializer.deserialize_map(FieldsVisitor)
    }
}

/// Documents are equal if their JSON texts are.
impl PartialEq for ConfigurationDocument {
    fn eq(&self, other: &Self) -> bool {
        self.to_json() == other.to_json()
    }
}

impl Eq for ConfigurationDocument {}

/// Serializes the whole text, without the updates that led to it.
impl Serialize for ConfigurationDocument {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        self.to_json().as_slice().serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for ConfigurationDocument {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = Vec::<u8>::deserialize(deserializer)?;
        Ok(Self::from_text(Arc::new(text)))
    }
}
