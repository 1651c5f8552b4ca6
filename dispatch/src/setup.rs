//! Reads the settings that a host is given at start, by path (`categories.0.aim_ms`), into
//! [`Settings`]; the simulator's adapter and the broker's configuration share it.

use std::collections::HashMap;
use std::hash::Hash;

use crate::{Budget, Class, Repeat, ReportField, Settings, Tenant};

/// The settings, and the names that hosts translate to the indices used in events.
#[derive(Debug, Default)]
pub struct Setup {
    /// What the aggregator is given.
    pub settings: Settings,
    /// Classes by name.
    pub classes: HashMap<String, usize>,
    /// Tenants by name.
    pub tenants: HashMap<String, usize>,
    /// Zones by name.
    pub zones: HashMap<String, u32>,
}

/// The values by path; lists of plain values are joined with commas, lists of objects have their
/// length under `.count`.
struct Pairs<'a, K, V>(&'a HashMap<K, V>);

fn float(text: &str) -> Option<f64> {
    text.parse().ok().filter(|v: &f64| v.is_finite())
}

impl<K, V> Pairs<'_, K, V>
where
    K: std::borrow::Borrow<str> + Hash + Eq,
    V: AsRef<str>,
{
    fn get(&self, key: &str) -> Option<&str> {
        self.0.get(key).map(AsRef::as_ref)
    }

    fn text(&self, key: &str) -> Result<&str, String> {
        self.get(key).ok_or_else(|| format!("{key}: missing"))
    }

    fn float(&self, key: &str) -> Result<f64, String> {
        let text = self.text(key)?;
        float(text).ok_or_else(|| format!("{key}: expected a number, found `{text}`"))
    }

    fn float_or(&self, key: &str, absent: f64) -> Result<f64, String> {
        self.get(key).map_or(Ok(absent), |_| self.float(key))
    }

    fn count(&self, key: &str) -> Result<usize, String> {
        let Some(text) = self.get(key) else { return Ok(0) };
        text.parse().map_err(|_| format!("{key}: expected a whole number, found `{text}`"))
    }

    fn flag(&self, key: &str) -> Result<bool, String> {
        match self.text(key)? {
            "true" | "1" => Ok(true),
            "false" | "0" => Ok(false),
            other => Err(format!("{key}: expected true or false, found `{other}`")),
        }
    }

    /// A value stated once for each class: a list, or one value for all.
    fn by_class(&self, key: &str, class: usize) -> Result<f64, String> {
        let text = self.text(key)?;
        let first = text.split(',').next().unwrap_or_default();
        let value = text.split(',').nth(class).unwrap_or(first);
        float(value).ok_or_else(|| format!("{key}: expected numbers, found `{text}`"))
    }
}

impl Setup {
    /// Reads the settings; the message of a failure begins with the faulty key.
    pub fn read<K, V>(values: &HashMap<K, V>) -> Result<Self, String>
    where
        K: std::borrow::Borrow<str> + Hash + Eq,
        V: AsRef<str>,
    {
        let pairs = Pairs(values);
        let mut setup = Self { settings: general(&pairs)?, ..Self::default() };
        let settings = &mut setup.settings;
        for i in 0..pairs.count("categories.count")? {
            let key = |field: &str| format!("categories.{i}.{field}");
            setup.classes.insert(pairs.text(&key("name"))?.to_owned(), i);
            settings.classes.push(class(&pairs, i)?);
        }
        for i in 0..pairs.count("accounts.count")? {
            setup.tenants.insert(pairs.text(&format!("accounts.{i}.name"))?.to_owned(), i);
            let quota_per_s = pairs.float(&format!("accounts.{i}.quota_per_s"))?;
            settings.tenants.push(Tenant { quota_per_s });
        }
        setup.zones = pairs.text("azs")?.split(',').zip(0..).map(|(z, i)| (z.to_owned(), i)).collect();
        settings.zone = setup.zones.get(pairs.text("my_zone")?).copied().unwrap_or(u32::MAX);
        Ok(setup)
    }
}

fn general<K, V>(pairs: &Pairs<K, V>) -> Result<Settings, String>
where
    K: std::borrow::Borrow<str> + Hash + Eq,
    V: AsRef<str>,
{
    let mut settings = Settings {
        aggregators: pairs.float("replicas_of_me")? as u32,
        index: pairs.get("index").map(|_| pairs.count("index")).transpose()?.map(|index| index as u32),
        turn_ms: pairs.float("granularity_ms")?,
        over_quota_value: pairs.float_or("over_share_worth", 1.0)?,
        cells: pairs.float("domain.cells")? as u32,
        reach: pairs.float("domain.reach")? as u32,
        shards: pairs.float("domain.slabs")? as u32,
        batch: pairs.float("domain.batch")? as u32,
        call_cost_ms: pairs.float("domain.call_cost_ms")?,
        max_attempts: pairs.float("limits.max_attempts")? as u32,
        parallel: pairs.flag("limits.parallel_tries")?,
        withdrawals: pairs.get("limits.may_cancel").is_some() && pairs.flag("limits.may_cancel")?,
        subscribe: match pairs.text("registry_mode")? {
            "subscribe" => true,
            "automatic" => false,
            other => return Err(format!("registry_mode: expected automatic or subscribe, found `{other}`")),
        },
        idle_ms: pairs.float_or("limits.conn_idle_ms", 0.0)?,
        list_refresh_ms: pairs.float("invariants.ask_every_ms")?,
        answer_slack_ms: pairs.float("invariants.answer_slack_ms")?,
        drain_grace_ms: pairs.float("invariants.drain_grace_ms")?,
        warm_up_start: pairs.float("invariants.cold_from")?,
        warm_up_ms: pairs.float("invariants.cold_ms")?,
        overload_factor: pairs.float("invariants.overload_factor")?,
        overload_window_ms: pairs.float("invariants.fall_ms")?,
        ..Settings::default()
    };
    if pairs.flag("limits.retry_after")? {
        settings.max_retry_after_ms = pairs.float("limits.max_retry_after_ms")?;
    }
    if pairs.get("invariants.look_back_ms").is_some() {
        settings.budget = Some(Budget {
            free: pairs.float_or("invariants.extra_free", 0.0)?,
            ratio: pairs.float_or("invariants.repeat_ratio", 0.0)?,
            window_ms: pairs.float("invariants.look_back_ms")?,
        });
    }
    let fields = pairs.get("report.fields").unwrap_or_default();
    settings.report = fields.split(',').map(ReportField::named).collect();
    Ok(settings)
}

fn class<K, V>(pairs: &Pairs<K, V>, i: usize) -> Result<Class, String>
where
    K: std::borrow::Borrow<str> + Hash + Eq,
    V: AsRef<str>,
{
    let key = |field: &str| format!("categories.{i}.{field}");
    Ok(Class {
        latency_target_ms: pairs.float(&key("aim_ms"))?,
        latency_target_stretch: pairs.float_or(&key("aim_stretch"), 0.0)?,
        deadline_ms: pairs.float(&key("deadline_ms"))?,
        late_value_share: pairs.float(&key("late_share"))?,
        value: pairs.float(&key("importance"))?,
        repeat: match pairs.text(&key("repeat"))? {
            "safe" => Repeat::Safe,
            "keyed" => Repeat::Keyed,
            "unsafe" => Repeat::Unsafe,
            other => return Err(format!("{}: unknown value `{other}`", key("repeat"))),
        },
        deduplication_ms: pairs.float_or(&key("memory_span_ms"), 0.0)?,
        required_share: pairs.by_class("domain.class_need", i)?,
        minimum_share: pairs.by_class("domain.min_share", i)?,
        partial_value: pairs.by_class("domain.class_partial", i)?,
        follow_up_parts: pairs.by_class("domain.follow_up", i)? as u32,
    })
}

impl ReportField {
    /// The figure that a load report calls so.
    fn named(name: &str) -> Self {
        match name {
            "busy_reqs" => Self::InHand,
            "pending" => Self::Waiting,
            "cpu_share" => Self::Utilisation,
            "svc_ms" => Self::ServiceMs,
            "served_ps" => Self::ServedPerS,
            "failed_ps" => Self::ErrorsPerS,
            _ => Self::Other,
        }
    }
}
