//! The form of the platform's site files, as far as it decides what a broker is told: read at one end of each range, into a
//! deployment as the stand-ins know one, and into the settings that the platform would give.

use gingerledge_testkit::site::{By, Class, Club, Layout, Mode, Repeat, Rules, Site, Stores};
use serde_json::{json, Value};
use toml::{Table, Value as Given};

use End::{High, Low};

/// Which end of a range a deployment is drawn at.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum End {
    Low,
    High,
}

/// A table of a site file, read at one end of its ranges.
pub struct At<'a>(pub &'a Table, pub End);

impl<'a> At<'a> {
    fn table(&self, key: &str) -> At<'a> {
        At(self.0[key].as_table().unwrap(), self.1)
    }

    fn tables(&self, key: &str) -> Vec<At<'a>> {
        let tables = self.0[key].as_array().unwrap().iter();
        tables.map(|table| At(table.as_table().unwrap(), self.1)).collect()
    }

    fn at(&self, end: End) -> At<'a> {
        At(self.0, end)
    }

    fn number(&self, key: &str) -> f64 {
        let one = |value: &Given| value.as_float().or(value.as_integer().map(|n| n as f64));
        let end = |ends: &[Given]| {
            if self.1 == Low {
                ends.first().and_then(one)
            } else {
                ends.last().and_then(one)
            }
        };
        let value = &self.0[key];
        one(value)
            .or_else(|| value.as_array().and_then(|ends| end(ends)))
            .unwrap_or_else(|| panic!("{key}: {value:?}"))
    }

    fn number_or(&self, key: &str, absent: f64) -> f64 {
        self.0.get(key).map_or(absent, |_| self.number(key))
    }

    fn text(&self, key: &str) -> &'a str {
        self.0[key].as_str().unwrap()
    }

    fn texts(&self, key: &str) -> Vec<String> {
        self.0[key].as_array().unwrap().iter().map(|text| text.as_str().unwrap().to_owned()).collect()
    }

    fn flag(&self, key: &str) -> bool {
        self.0[key].as_bool().unwrap()
    }
}

/// The deployment as the stand-ins know one.
pub fn site(top: &At) -> Site {
    let [allow, fam, net, rules] = ["allow", "fam", "net", "rules"].map(|key| top.table(key));
    let tier = top.tables("tier").remove(0);
    let kind = tier.tables("kind").remove(0);
    let layout = if fam.text("layout") == "ring" { Layout::Ring } else { Layout::Sets };
    let (copies, servers) = (fam.number("replicas") as usize, top.table("scale").number("servers") as usize);
    let count = if layout == Layout::Ring { servers } else { servers - servers % copies };
    let cells = if layout == Layout::Ring { count } else { count / copies };
    let class = |(class, asks): (&At, &At)| Class {
        name: class.text("name").to_owned(),
        parts: asks.number("parts") as usize,
        work_ms: class.number("work_ms"),
        aim_ms: class.number("aim_ms"),
        deadline_ms: class.number("deadline_ms"),
        late_share: class.number("late_worth"),
        worth: class.number("worth"),
        repeat: match class.text("effect") {
            "safe" => Repeat::Safe,
            "keyed" => Repeat::Keyed,
            effect => (effect == "unsafe").then_some(Repeat::Unsafe).unwrap(),
        },
        memory_ms: class.number_or("window_ms", 5000.0),
        need: asks.number_or("need", 1.0),
        floor: asks.number_or("floor", 1.0),
        partial: asks.number_or("partial", 0.9),
        follow_up: asks.number_or("fetch", 0.0) as usize,
    };
    let class: Vec<Class> = top.tables("class").iter().zip(&fam.tables("class")).map(class).collect();
    let cores = kind.number("cores") as usize;
    // What the stores can do, in queries, by the mean query.
    let (drawn, mut mean_ms) = (top.tables("class"), 0.0);
    let shares: f64 = drawn.iter().map(|class| class.number("share")).sum();
    for (of, drawn) in class.iter().zip(&drawn) {
        mean_ms += drawn.number("share") / shares * of.work_ms * of.parts as f64;
    }
    let quotas = (count * cores) as f64 * 1000.0 / mean_ms * top.table("load").number("quota_of_capacity");
    let club = |tenant: &At| {
        let share = tenant.number("share");
        Club { name: tenant.text("name").to_owned(), quota_per_s: quotas * share, share }
    };
    let zones = net.texts("zones");
    let apart = |a, b| net.number(if a == b { "same_ms" } else { "cross_ms" });
    let row = |a| (0..zones.len()).map(|b| apart(a, b)).collect();
    Site {
        name: top.text("name").to_owned(),
        distance_ms: (0..zones.len()).map(row).collect(),
        discovery: if top.table("discovery").text("mode") == "ask" { Mode::Asked } else { Mode::Pushed },
        stores: Stores {
            count,
            layout,
            copies,
            shards: cells * fam.number("shards_per_cell") as usize,
            cores,
            queue: (kind.number("queue_per_core") * cores as f64) as usize,
            batch: fam.number("batch") as usize,
            call_cost_ms: fam.number("call_us") / 1000.0,
            // Brokers are told the worst that can be.
            cold_from: kind.at(Low).number("cold_from"),
            cold_ms: kind.at(High).number("cold_s") * 1000.0,
            report: if tier.table("report").text("how") == "probe" { By::Probe } else { By::Answers },
            report_ms: tier.table("report").number("period_ms") as u64,
        },
        rules: Rules {
            attempts: allow.number("max_attempts") as usize,
            cancel: allow.flag("cancel"),
            probes: allow.flag("probes"),
            drain_grace_ms: rules.number("drain_grace_ms"),
            fall_factor: rules.number("fall_multiple"),
            fall_ms: rules.number("fall_ms"),
            max_open: 240,
            budget: None,
        },
        club: top.tables("tenant").iter().map(club).collect(),
        class,
        zones,
    }
}

/// What the platform would tell a broker of it: what the stand-ins say, and beside that what only this form holds.
pub fn told(top: &At, site: &Site, brokers: usize, index: usize) -> Value {
    let (allow, tier) = (top.table("allow"), top.tables("tier").remove(0));
    let conn = tier.table("conn");
    let mut settings = site.settings(brokers, index);
    settings["granularity_ms"] = json!(top.table("day").number("tick_ms"));
    settings["over_share_worth"] = json!(top.table("load").number("over_share_worth"));
    for (key, value) in [
        ("parallel_tries", json!(allow.flag("second_copies"))),
        ("retry_after", json!(allow.flag("retry_after"))),
        ("peers", json!(allow.flag("peers"))),
        ("probing", json!(allow.flag("probes"))),
        ("max_retry_after_ms", json!(top.table("clients").number("max_retry_after_ms"))),
        ("conn_idle_ms", json!(conn.number("idle_s") * 1000.0)),
        ("dial_timeout_ms", json!(conn.number("connect_timeout_ms"))),
        ("streams_per_conn", json!(conn.number("streams") as usize)),
    ] {
        settings["limits"][key] = value;
    }
    let named = |field: String| match field.as_str() {
        "latency_ms" => "svc_ms",
        field => (field == "queue").then_some("pending").unwrap(),
    };
    let fields: Vec<_> = tier.table("report").texts("fields").into_iter().map(named).collect();
    settings["report"]["fields"] = json!(fields);
    settings
}
