//! Updates of a configuration: named items that are added, replaced or removed.
//!
//! An update is parsed into two forms: typed items, for validation and for processes that follow the configuration, and the text of
//! each item, which later reads return.

use std::collections::{HashMap, HashSet};

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use snafu::{ensure, ResultExt};

use crate::configuration::{Configuration, Route, Service};
use crate::validate::{
    check_route_alone, DuplicateInUpdateSnafu, InvalidConfiguration, MissingNameSnafu, MissingVersionSnafu,
    NotInUpdateSnafu, UnreadableSnafu, UpsertedAndRemovedSnafu,
};

/// An update as the operator sends it.
#[derive(Clone, PartialEq, prost::Message, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default)]
pub struct ConfigurationUpdate {
    /// The operator's version of the result.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// Items to add, or to replace those of the same name.
    #[prost(message, required, tag = "2")]
    pub upsert: UpsertedItems,
    /// Names of items to remove.
    #[prost(message, required, tag = "3")]
    pub remove: RemovedNames,
}

/// Items that an update adds or replaces, by kind.
#[derive(Clone, PartialEq, prost::Message, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default, deny_unknown_fields)]
pub struct UpsertedItems {
    /// The routes.
    #[prost(message, repeated, tag = "1")]
    pub routes: Vec<Route>,
    /// The services.
    #[prost(message, repeated, tag = "2")]
    pub services: Vec<Service>,
}

/// Names of items that an update removes, by kind.
#[derive(Clone, PartialEq, prost::Message, Serialize, Deserialize)]
#[serde(rename_all = "camelCase", default, deny_unknown_fields)]
pub struct RemovedNames {
    /// The routes.
    #[prost(string, repeated, tag = "1")]
    pub routes: Vec<String>,
    /// The services.
    #[prost(string, repeated, tag = "2")]
    pub services: Vec<String>,
}

/// Fields of a whole configuration that are rejected in an update: outside of `upsert` and `remove` they would be ignored silently.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct WholeConfigurationFields {
    routes: Option<serde::de::IgnoredAny>,
    services: Option<serde::de::IgnoredAny>,
    limits: Option<serde::de::IgnoredAny>,
}

/// The texts of the items that an update adds or replaces, in its order.
#[derive(Default, Deserialize)]
#[serde(default)]
pub(crate) struct UpsertedTexts<'a> {
    #[serde(borrow)]
    pub routes: Vec<&'a RawValue>,
    #[serde(borrow)]
    pub services: Vec<&'a RawValue>,
}

#[derive(Deserialize)]
struct UpdateTexts<'a> {
    #[serde(borrow, default)]
    upsert: UpsertedTexts<'a>,
}

/// Parses an update, and validates it as far as possible without the configuration that it is for.
///
/// # Errors
///
/// The text is not an update, or the update contradicts itself.
pub fn read_update(json: &[u8]) -> Result<ConfigurationUpdate, InvalidConfiguration> {
    let update: ConfigurationUpdate = serde_json::from_slice(json).context(UnreadableSnafu)?;
    let misplaced: WholeConfigurationFields = serde_json::from_slice(json).context(UnreadableSnafu)?;
    ensure!(misplaced.routes.is_none(), NotInUpdateSnafu { field: "routes" });
    ensure!(misplaced.services.is_none(), NotInUpdateSnafu { field: "services" });
    ensure!(misplaced.limits.is_none(), NotInUpdateSnafu { field: "limits" });
    ensure!(update.version > 0, MissingVersionSnafu);
    let route_names = || update.upsert.routes.iter().map(|route| route.name.as_str());
    let service_names = || update.upsert.services.iter().map(|service| service.name.as_str());
    check_names("routes", route_names(), &update.remove.routes)?;
    check_names("services", service_names(), &update.remove.services)?;
    update.upsert.routes.iter().try_for_each(check_route_alone)?;
    Ok(update)
}

/// The texts of the items of an update that [`read_update`] has accepted.
pub(crate) fn upserted_texts(json: &[u8]) -> Result<UpsertedTexts<'_>, InvalidConfiguration> {
    let texts: UpdateTexts<'_> = serde_json::from_slice(json).context(UnreadableSnafu)?;
    Ok(texts.upsert)
}

fn check_names<'a>(
    list: &'static str,
    upserted: impl Iterator<Item = &'a str>,
    removed: &'a [String],
) -> Result<(), InvalidConfiguration> {
    let mut seen = HashSet::new();
    for name in upserted {
        ensure!(!name.is_empty(), MissingNameSnafu { list });
        ensure!(seen.insert(name), DuplicateInUpdateSnafu { list, name });
    }
    for name in removed {
        ensure!(!seen.contains(name.as_str()), UpsertedAndRemovedSnafu { list, name });
    }
    Ok(())
}

/// Replaces items by those of the same name, appends the remaining ones, and removes others. If several items have the name of an
/// upserted one, the first is replaced and the others are removed.
pub(crate) fn put_items<Item>(
    items: &mut Vec<Item>,
    upserted: Vec<Item>,
    removed: &[String],
    name_of: impl Fn(&Item) -> &str,
) {
    let mut replacements: HashMap<String, Option<Item>> = HashMap::new();
    let mut order = Vec::new();
    for item in upserted {
        let name = name_of(&item).to_owned();
        order.push(name.clone());
        replacements.insert(name, Some(item));
    }
    let removed: HashSet<&str> = removed.iter().map(String::as_str).collect();
    let mut result = Vec::with_capacity(items.len() + order.len());
    for item in items.drain(..) {
        let name = name_of(&item);
        if removed.contains(name) {
            continue;
        }
        match replacements.get_mut(name) {
            Some(replacement) => result.extend(replacement.take()),
            None => result.push(item),
        }
    }
    for name in order {
        result.extend(replacements.get_mut(&name).and_then(Option::take));
    }
    *items = result;
}

impl Configuration {
    /// Applies an update that has been validated for this configuration.
    pub fn apply(&mut self, update: ConfigurationUpdate) {
        let ConfigurationUpdate { version, upsert, remove } = update;
        self.version = version;
        put_items(&mut self.routes, upsert.routes, &remove.routes, |route| &route.name);
        put_items(&mut self.services, upsert.services, &remove.services, |service| &service.name);
    }
}
