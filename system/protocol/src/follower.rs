//! The typed configuration of a process that follows the operator's changes: it parses only what has changed.

use std::sync::Arc;

use crate::configuration::Configuration;
use crate::document::{AppliedUpdate, ConfigurationDocument};
use crate::update::{read_update, ConfigurationUpdate};
use crate::validate::{read_configuration, InvalidConfiguration};

/// The typed configuration after the newest change that was applied.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationFollower {
    sequence: u64,
    configuration: Option<Arc<Configuration>>,
}

/// What the application of a document has changed.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigurationChange {
    /// Nothing: the change was known.
    None,
    /// The whole configuration was parsed.
    Replaced,
    /// These updates were applied, in order.
    Updated(Vec<ConfigurationUpdate>),
}

impl ConfigurationFollower {
    /// The configuration; none before the first valid one.
    #[must_use]
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// Sequence number of the newest change; 0 before the first.
    #[must_use]
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Applies the document of a change.
    ///
    /// # Errors
    ///
    /// The document is invalid. The configuration stays as it was, and the change is not tried again. Updates of a document were
    /// validated when they were applied to it.
    pub fn apply_document(
        &mut self,
        sequence: u64,
        document: &ConfigurationDocument,
    ) -> Result<ConfigurationChange, InvalidConfiguration> {
        if sequence == self.sequence {
            return Ok(ConfigurationChange::None);
        }
        let known = std::mem::replace(&mut self.sequence, sequence);
        let series = document.updates_since(known);
        if let (Some(series), Some(configuration)) = (series, &mut self.configuration) {
            return apply(configuration, series);
        }
        self.configuration = Some(Arc::new(read_configuration(&document.to_json())?));
        Ok(ConfigurationChange::Replaced)
    }
}

fn apply<'a>(
    configuration: &mut Arc<Configuration>,
    series: impl Iterator<Item = &'a AppliedUpdate>,
) -> Result<ConfigurationChange, InvalidConfiguration> {
    let updates = series.map(|applied| read_update(&applied.json)).collect::<Result<Vec<_>, _>>()?;
    let configuration = Arc::make_mut(configuration);
    for update in &updates {
        configuration.apply(update.clone());
    }
    Ok(ConfigurationChange::Updated(updates))
}
