//! Converts the settings that a host is given at start, a map from paths (`categories.0.aim_ms`) to texts, to
//! [`Settings`].
//!
//! The simulator's adapter and the broker's configuration share this module. The platform's documentation
//! defines the keys.

use std::borrow::Borrow;
use std::collections::HashMap;
use std::fmt;
use std::hash::Hash;

use crate::{Class, Repeat, ReportField, RetryBudget, Settings, Tenant};

/// The settings, and the tables by which hosts translate names to the indices used in events.
#[derive(Debug, Default)]
pub struct Setup {
    /// The settings of the aggregator.
    pub settings: Settings,
    /// Indices of the classes, by name.
    pub classes: HashMap<String, usize>,
    /// Indices of the tenants, by name.
    pub tenants: HashMap<String, usize>,
    /// Indices of the zones, by name.
    pub zones: HashMap<String, u32>,
}

/// A setting that cannot be used. The error text begins with the key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SetupError {
    /// The path of the setting.
    pub key: String,
    /// What is wrong with the setting.
    pub fault: SetupFault,
}

/// What is wrong with a setting.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SetupFault {
    /// The setting is absent.
    Missing,
    /// The value is not of the expected kind.
    Unexpected {
        /// Description of the expected kind.
        expected: &'static str,
        /// The value found.
        found: String,
    },
    /// The value is not among the known ones.
    Unknown {
        /// The value found.
        found: String,
    },
}

impl fmt::Display for SetupError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.fault)
    }
}

impl std::error::Error for SetupError {}

impl fmt::Display for SetupFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing => f.write_str("missing"),
            Self::Unexpected { expected, found } => write!(f, "expected {expected}, found `{found}`"),
            Self::Unknown { found } => write!(f, "unknown value `{found}`"),
        }
    }
}

/// The texts of all settings, by path. The values of a plain list are joined with commas. The length of a
/// list of objects is stored under the list's path and `.count`.
struct Values<'a, K, V>(&'a HashMap<K, V>);

impl<K, V> Values<'_, K, V>
where
    K: Borrow<str> + Hash + Eq,
    V: AsRef<str>,
{
    fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key).map(AsRef::as_ref)
    }

    fn text(&self, key: &str) -> Result<&str, SetupError> {
        self.get(key).ok_or_else(|| SetupError { key: key.to_owned(), fault: SetupFault::Missing })
    }

    fn number(&self, key: &str) -> Result<f64, SetupError> {
        let text = self.text(key)?;
        parse_finite(text).ok_or_else(|| unexpected_value(key, "a number", text))
    }

    fn number_or(&self, key: &str, default: f64) -> Result<f64, SetupError> {
        match self.get(key) {
            None => Ok(default),
            Some(_) => self.number(key),
        }
    }

    /// Reads a number and rounds it down to an integer.
    fn integer(&self, key: &str) -> Result<u32, SetupError> {
        Ok(self.number(key)? as u32)
    }

    /// Reads the length of a list, or an index; 0 if it is absent.
    fn count(&self, key: &str) -> Result<usize, SetupError> {
        let Some(text) = self.get(key) else { return Ok(0) };
        text.parse().map_err(|_| unexpected_value(key, "a whole number", text))
    }

    fn boolean(&self, key: &str) -> Result<bool, SetupError> {
        match self.text(key)? {
            "true" | "1" => Ok(true),
            "false" | "0" => Ok(false),
            other => Err(unexpected_value(key, "true or false", other)),
        }
    }

    /// Reads the value for one class from a list that has a value for each class, or one value for all of
    /// them.
    fn class_number(&self, key: &str, class: usize) -> Result<f64, SetupError> {
        let text = self.text(key)?;
        let first = text.split(',').next().unwrap_or_default();
        let value = text.split(',').nth(class).unwrap_or(first);
        parse_finite(value).ok_or_else(|| unexpected_value(key, "numbers", text))
    }
}

fn parse_finite(text: &str) -> Option<f64> {
    text.parse().ok().filter(|number: &f64| number.is_finite())
}

fn unexpected_value(key: &str, expected: &'static str, found: &str) -> SetupError {
    SetupError { key: key.to_owned(), fault: SetupFault::Unexpected { expected, found: found.to_owned() } }
}

impl Setup {
    /// Reads the settings from a map of paths to texts.
    ///
    /// # Errors
    ///
    /// Returns an error if a value is missing or cannot be used.
    pub fn read<K, V>(values: &HashMap<K, V>) -> Result<Self, SetupError>
    where
        K: Borrow<str> + Hash + Eq,
        V: AsRef<str>,
    {
        let values = Values(values);
        let mut setup = Self { settings: read_common(&values)?, ..Self::default() };
        setup.read_classes(&values)?;
        setup.read_tenants(&values)?;
        setup.read_zones(&values)?;
        Ok(setup)
    }

    fn read_classes<K, V>(&mut self, values: &Values<'_, K, V>) -> Result<(), SetupError>
    where
        K: Borrow<str> + Hash + Eq,
        V: AsRef<str>,
    {
        for index in 0..values.count("categories.count")? {
            let name = values.text(&format!("categories.{index}.name"))?;
            self.classes.insert(name.to_owned(), index);
            self.settings.classes.push(read_class(values, index)?);
        }
        Ok(())
    }

    fn read_tenants<K, V>(&mut self, values: &Values<'_, K, V>) -> Result<(), SetupError>
    where
        K: Borrow<str> + Hash + Eq,
        V: AsRef<str>,
    {
        for index in 0..values.count("accounts.count")? {
            let name = values.text(&format!("accounts.{index}.name"))?;
            self.tenants.insert(name.to_owned(), index);
            let quota_per_s = values.number(&format!("accounts.{index}.quota_per_s"))?;
            self.settings.tenants.push(Tenant { quota_per_s });
        }
        Ok(())
    }

    /// Reads the zones, and the index of the aggregator's own zone: `u32::MAX` if the zone is not listed.
    fn read_zones<K, V>(&mut self, values: &Values<'_, K, V>) -> Result<(), SetupError>
    where
        K: Borrow<str> + Hash + Eq,
        V: AsRef<str>,
    {
        let names = values.text("azs")?.split(',').map(str::to_owned);
        self.zones = names.zip(0..).collect();
        let own_zone = values.text("my_zone")?;
        self.settings.zone = self.zones.get(own_zone).copied().unwrap_or(u32::MAX);
        Ok(())
    }
}

fn read_common<K, V>(values: &Values<'_, K, V>) -> Result<Settings, SetupError>
where
    K: Borrow<str> + Hash + Eq,
    V: AsRef<str>,
{
    let mut settings = Settings {
        aggregators: values.integer("replicas_of_me")?,
        index: read_index(values)?,
        turn_ms: values.number("granularity_ms")?,
        over_quota_value_share: values.number_or("over_share_worth", 1.0)?,
        cells: values.integer("domain.cells")?,
        reach: values.integer("domain.reach")?,
        shards: values.integer("domain.slabs")?,
        max_parts_per_call: values.integer("domain.batch")?,
        call_cost_ms: values.number("domain.call_cost_ms")?,
        max_attempts: values.integer("limits.max_attempts")?,
        allows_parallel_attempts: values.boolean("limits.parallel_tries")?,
        allows_withdrawals: values.get("limits.may_cancel").is_some()
            && values.boolean("limits.may_cancel")?,
        requires_subscription: match values.text("registry_mode")? {
            "subscribe" => true,
            "automatic" => false,
            other => return Err(unexpected_value("registry_mode", "automatic or subscribe", other)),
        },
        idle_timeout_ms: values.number_or("limits.conn_idle_ms", 0.0)?,
        list_refresh_ms: values.number("invariants.ask_every_ms")?,
        answer_slack_ms: values.number("invariants.answer_slack_ms")?,
        drain_grace_ms: values.number("invariants.drain_grace_ms")?,
        warm_up_start_capacity: values.number("invariants.cold_from")?,
        warm_up_ms: values.number("invariants.cold_ms")?,
        overload_factor: values.number("invariants.overload_factor")?,
        overload_window_ms: values.number("invariants.fall_ms")?,
        ..Settings::default()
    };
    if values.boolean("limits.retry_after")? {
        settings.max_retry_after_ms = values.number("limits.max_retry_after_ms")?;
    }
    settings.retry_budget = read_budget(values)?;
    let fields = values.get("report.fields").unwrap_or_default();
    settings.report_fields = fields.split(',').map(ReportField::named).collect();
    Ok(settings)
}

fn read_index<K, V>(values: &Values<'_, K, V>) -> Result<Option<u32>, SetupError>
where
    K: Borrow<str> + Hash + Eq,
    V: AsRef<str>,
{
    if values.get("index").is_none() {
        return Ok(None);
    }
    Ok(Some(values.count("index")? as u32))
}

fn read_budget<K, V>(values: &Values<'_, K, V>) -> Result<Option<RetryBudget>, SetupError>
where
    K: Borrow<str> + Hash + Eq,
    V: AsRef<str>,
{
    if values.get("invariants.look_back_ms").is_none() {
        return Ok(None);
    }
    Ok(Some(RetryBudget {
        free_attempts: values.number_or("invariants.extra_free", 0.0)?,
        attempts_per_arrival: values.number_or("invariants.repeat_ratio", 0.0)?,
        window_ms: values.number("invariants.look_back_ms")?,
    }))
}

fn read_class<K, V>(values: &Values<'_, K, V>, index: usize) -> Result<Class, SetupError>
where
    K: Borrow<str> + Hash + Eq,
    V: AsRef<str>,
{
    let key = |field: &str| format!("categories.{index}.{field}");
    Ok(Class {
        latency_target_ms: values.number(&key("aim_ms"))?,
        latency_target_stretch: values.number_or(&key("aim_stretch"), 0.0)?,
        deadline_ms: values.number(&key("deadline_ms"))?,
        late_value_share: values.number(&key("late_share"))?,
        value: values.number(&key("importance"))?,
        repeat: match values.text(&key("repeat"))? {
            "safe" => Repeat::Safe,
            "keyed" => Repeat::Keyed,
            "unsafe" => Repeat::Unsafe,
            other => {
                let fault = SetupFault::Unknown { found: other.to_owned() };
                return Err(SetupError { key: key("repeat"), fault });
            }
        },
        deduplication_ms: values.number_or(&key("memory_span_ms"), 0.0)?,
        required_share: values.class_number("domain.class_need", index)?,
        minimum_share: values.class_number("domain.min_share", index)?,
        partial_value: values.class_number("domain.class_partial", index)?,
        follow_up_parts: values.class_number("domain.follow_up", index)? as u32,
    })
}

impl ReportField {
    /// The field that has this name in the description of a load report.
    fn named(name: &str) -> Self {
        match name {
            "busy_reqs" => Self::InProgress,
            "pending" => Self::Queued,
            "cpu_share" => Self::Utilisation,
            "svc_ms" => Self::ServiceMs,
            "served_ps" => Self::ServedPerS,
            "failed_ps" => Self::ErrorsPerS,
            _ => Self::Other,
        }
    }
}
