//! Our own deployments (`deploy/sites`) reach the program whole, without the platform's kit: what a file says of classes,
//! tenants, zones and limits is what the program's configuration holds, at either end of each range, and what one says that
//! can't be is refused by its key. Then a broker serves each class there, and none of the rules of that deployment is broken.
#![allow(clippy::unwrap_used)]

mod form;

use std::rc::Rc;
use std::time::{Duration, Instant};

use async_executor::LocalExecutor;
use async_io::Timer;
use gingerledge::clock::Clock;
use gingerledge::config::Config;
use gingerledge::service::Broker;
use gingerledge_dispatch::Repeat::{Keyed, Safe, Unsafe};
use gingerledge_dispatch::ReportField::{Queued, ServiceMs};
use gingerledge_testkit::client;
use gingerledge_testkit::discovery::View;
use gingerledge_testkit::fleet::ledger::Ledger;
use gingerledge_testkit::settings;
use gingerledge_testkit::world::Installed;
use serde_json::{json, Value};
use toml::Table;

use form::{site, told, At, End};
use End::{High, Low};

const SKERRY: &str = include_str!("../../../deploy/sites/skerry-pilots.toml");
const MOOR: &str = include_str!("../../../deploy/sites/moor-wardens.toml");

/// The configuration file, with so many descriptors.
fn config(settings: Value, discovery: std::net::SocketAddr, sockets: usize) -> Value {
    let any = ([127, 0, 0, 1], 0).into();
    let mut config = settings::config("ours", discovery, any, any, settings);
    config["limits"]["sockets"] = json!(sockets);
    config
}

fn read(config: &Value) -> Result<Config, String> {
    let var = |key: &str| (key == "LB_CONFIG").then(|| "config".to_owned());
    Config::read(var, |_| Ok(config.to_string())).map_err(|fault| fault.to_string())
}

/// A deployment read through the program, at an end of its ranges, for the second of four brokers.
fn loaded(text: &str, end: End, sockets: usize) -> Config {
    let file: Table = text.parse().unwrap();
    let top = At(&file, end);
    let settings = told(&top, &site(&top), 4, 1);
    read(&config(settings, ([127, 0, 0, 1], 9).into(), sockets)).unwrap()
}

/// Name, effect, aim, deadline, what a late answer and a whole one are worth, need, floor, partial worth, second step.
type Row = (&'static str, gingerledge_dispatch::Repeat, [f64; 4], [f64; 3], u32);

fn holds_classes(config: &Config, rows: &[Row]) {
    let settings = &config.setup.settings;
    assert_eq!((settings.classes.len(), config.setup.classes.len()), (rows.len(), rows.len()));
    for (name, repeat, [aim, deadline, late, worth], [need, floor, partial], follow_up) in rows {
        let class = &settings.classes[config.setup.classes[*name]];
        assert_eq!(class.repeat, *repeat, "{name}");
        assert_eq!(
            [class.latency_target_ms, class.deadline_ms, class.late_value_share, class.value],
            [*aim, *deadline, *late, *worth],
            "{name}"
        );
        assert_eq!(
            [class.required_share, class.minimum_share, class.partial_value],
            [*need, *floor, *partial],
            "{name}"
        );
        assert_eq!((class.follow_up_parts, class.latency_target_stretch), (*follow_up, 0.0), "{name}");
    }
}

/// The quotas are in proportion to the shares, and at the high end of all ranges there is more of them.
fn holds_tenants(ends: &[Config; 2], shares: &[(&str, f64)]) {
    let total =
        |config: &Config| config.setup.settings.tenants.iter().map(|tenant| tenant.quota_per_s).sum::<f64>();
    for config in ends {
        assert_eq!(
            (config.setup.settings.tenants.len(), config.setup.tenants.len()),
            (shares.len(), shares.len())
        );
        for (name, share) in shares {
            let quota = config.setup.settings.tenants[config.setup.tenants[*name]].quota_per_s;
            assert!(
                quota > 1.0 && (quota / total(config) - share).abs() < 1e-9,
                "{name}: {quota} of {}",
                total(config)
            );
        }
    }
    assert!(total(&ends[1]) != total(&ends[0]), "a quota follows what is drawn");
}

fn holds_zones(config: &Config, zones: &[&str]) {
    for (n, zone) in (0..).zip(zones) {
        assert_eq!(config.setup.zones[*zone], n, "{zone}");
    }
    assert_eq!((config.setup.zones.len(), config.setup.settings.zone), (zones.len(), 1));
}

#[test]
fn the_pilots_figures_arrive_where_the_program_uses_them() {
    let ends = [Low, High].map(|end| loaded(SKERRY, end, 512));
    for config in &ends {
        holds_classes(
            config,
            &[
                ("tide-lookup", Safe, [450.0, 900.0, 0.2, 1.0], [1.0, 0.6, 0.85], 0),
                ("berth-hold", Keyed, [400.0, 800.0, 0.3, 2.0], [1.0, 1.0, 0.9], 0),
                ("mooring-entry", Unsafe, [500.0, 950.0, 0.4, 4.0], [1.0, 1.0, 0.9], 0),
            ],
        );
        holds_zones(config, &["holm", "ness"]);
        let settings = &config.setup.settings;
        assert_eq!(settings.classes[config.setup.classes["berth-hold"]].deduplication_ms, 350.0);
        assert_eq!(
            (settings.aggregators, settings.index, settings.requires_subscription),
            (4, Some(1), false)
        );
        assert!(config.calls.is_pushed);
        assert_eq!(
            (settings.max_attempts, settings.allows_parallel_attempts, settings.allows_withdrawals),
            (4, true, true)
        );
        assert_eq!((settings.max_retry_after_ms, settings.over_quota_value_share), (400.0, 0.1));
        assert_eq!(
            (settings.drain_grace_ms, settings.overload_factor, settings.overload_window_ms),
            (400.0, 2.5, 1200.0)
        );
        assert_eq!((settings.warm_up_start_capacity, settings.warm_up_ms), (0.2, 12_000.0));
        assert_eq!((settings.max_parts_per_call, settings.call_cost_ms, settings.turn_ms), (4, 0.9, 5.0));
        assert_eq!(settings.report_fields, [ServiceMs, Queued]);
        assert_eq!((config.streams, config.dial_timeout_ms, config.idle_ms), (24, 200.0, 12_000.0));
        assert_eq!((config.sockets, config.max_open), (512, 240));
    }
    let shape = |config: &Config| {
        [config.setup.settings.cells, config.setup.settings.reach, config.setup.settings.shards]
    };
    // Twelve stores in pairs; sixteen hold five sets of three.
    assert_eq!(ends.each_ref().map(shape), [[6, 1, 12], [5, 1, 10]]);
    holds_tenants(&ends, &[("inshore-crews", 0.62), ("ferry-line", 0.38)]);
}

#[test]
fn the_wardens_figures_arrive_where_the_program_uses_them() {
    let ends = [Low, High].map(|end| loaded(MOOR, end, 128));
    for config in &ends {
        holds_classes(
            config,
            &[
                ("peat-survey", Safe, [3000.0, 7000.0, 0.2, 5.0], [1.0, 0.5, 0.8], 1),
                ("path-state", Safe, [900.0, 2000.0, 0.0, 1.0], [0.6, 0.3, 0.9], 0),
                ("flock-tally", Keyed, [1400.0, 3500.0, 0.3, 2.0], [1.0, 1.0, 0.9], 0),
                ("fence-order", Unsafe, [1300.0, 2800.0, 0.25, 3.0], [1.0, 1.0, 0.9], 0),
            ],
        );
        holds_zones(config, &["heath", "ridge", "mire"]);
        let settings = &config.setup.settings;
        assert_eq!(settings.classes[config.setup.classes["flock-tally"]].deduplication_ms, 2200.0);
        assert!(
            settings.requires_subscription && !config.calls.is_pushed && settings.list_refresh_ms == 10_000.0
        );
        assert_eq!(
            (settings.max_attempts, settings.allows_parallel_attempts, settings.allows_withdrawals),
            (2, false, false)
        );
        assert_eq!((settings.max_retry_after_ms, settings.over_quota_value_share), (1500.0, 0.08));
        assert_eq!(
            (settings.drain_grace_ms, settings.overload_factor, settings.overload_window_ms),
            (1500.0, 2.4, 1600.0)
        );
        assert_eq!((settings.warm_up_start_capacity, settings.warm_up_ms), (0.18, 14_000.0));
        assert_eq!((settings.max_parts_per_call, settings.call_cost_ms, settings.turn_ms), (2, 0.6, 5.0));
        assert_eq!(settings.report_fields, [Queued, ServiceMs]);
        assert_eq!((config.streams, config.dial_timeout_ms, config.idle_ms), (16, 300.0, 20_000.0));
        assert_eq!((config.sockets, config.max_open), (128, 240));
    }
    let shape = |config: &Config| {
        [config.setup.settings.cells, config.setup.settings.reach, config.setup.settings.shards]
    };
    assert_eq!(ends.each_ref().map(shape), [[12, 3, 12], [15, 3, 15]]);
    let shares = [
        ("north-commoners", 0.3),
        ("south-commoners", 0.25),
        ("grouse-estate", 0.2),
        ("water-board", 0.15),
        ("hill-rescue", 0.1),
    ];
    holds_tenants(&ends, &shares);
}

#[test]
fn what_one_of_them_says_that_cannot_be_is_refused_by_its_key() {
    for (text, pointer, value, key) in [
        (SKERRY, "/settings/categories/1/repeat", json!("sometimes"), "settings.categories.1.repeat"),
        (
            SKERRY,
            "/settings/categories/1/memory_span_ms",
            json!("short"),
            "settings.categories.1.memory_span_ms",
        ),
        (SKERRY, "/settings/categories/2/deadline_ms", json!("soon"), "settings.categories.2.deadline_ms"),
        (SKERRY, "/settings/categories/0/name", Value::Null, "settings.categories.0.name"),
        (SKERRY, "/settings/accounts/1/quota_per_s", json!("plenty"), "settings.accounts.1.quota_per_s"),
        (SKERRY, "/settings/registry_mode", json!("push"), "settings.registry_mode"),
        (SKERRY, "/settings/limits/dial_timeout_ms", json!(0), "settings.limits.dial_timeout_ms"),
        (MOOR, "/settings/azs", Value::Null, "settings.azs"),
        (MOOR, "/settings/my_zone", Value::Null, "settings.my_zone"),
        (MOOR, "/settings/limits/max_attempts", json!("two"), "settings.limits.max_attempts"),
        (MOOR, "/settings/limits/streams_per_conn", json!(0), "settings.limits.streams_per_conn"),
        (MOOR, "/settings/limits/max_open", json!(1), "settings.limits.max_open"),
        (MOOR, "/settings/invariants/drain_grace_ms", json!("grace"), "settings.invariants.drain_grace_ms"),
        (MOOR, "/settings/domain/min_share", json!(["half"]), "settings.domain.min_share"),
        (MOOR, "/settings/domain/cells", Value::Null, "settings.domain.cells"),
        (MOOR, "/limits/sockets", json!(32), "limits.sockets"),
    ] {
        let file: Table = text.parse().unwrap();
        let top = At(&file, Low);
        let mut config = config(told(&top, &site(&top), 4, 1), ([127, 0, 0, 1], 9).into(), 128);
        assert!(read(&config).is_ok());
        *config.pointer_mut(pointer).unwrap() = value;
        let fault = read(&config).err().unwrap_or_else(|| panic!("{pointer} was read"));
        assert!(fault.starts_with(&format!("{key}: ")), "{pointer}: {fault}");
    }
}

/// Asks each class of a broker in this process until each has been served whole some times.
fn serves(text: &str, sockets: usize) {
    let (executor, ledger) = (Rc::new(LocalExecutor::new()), Rc::new(Ledger::default()));
    async_io::block_on(executor.run(async {
        let file: Table = text.parse().unwrap();
        let top = At(&file, Low);
        let site = site(&top);
        let settings = told(&top, &site, 1, 0);
        let installed = Installed::start(&executor, site, &ledger).unwrap();
        let door = installed.door(&executor, View::default()).unwrap();
        let config = read(&config(settings, door, sockets)).unwrap();
        let broker = Broker::start(config, Clock::new(), executor.clone()).unwrap();
        let (witness, end) = (&installed.witness, Instant::now() + Duration::from_secs(60));
        for (class, of) in witness.site.class.iter().enumerate() {
            let (mut whole, mut n) = (0, 0);
            while whole < 5 {
                n += 1;
                let name = format!("{}-{n}", of.name);
                let ask = witness.ask(&name, class, 5 * n, None, false);
                let got = client::exchange(broker.platform, &ask).await;
                // Deadlines here are short for a machine that has other work: what came too late is asked anew, as clients do.
                match got.filter(|got| got.status == 200) {
                    Some(got) => whole += usize::from(witness.judge(0, &name, &got).unwrap()),
                    None => drop(Timer::after(Duration::from_millis(20)).await),
                }
                assert!(Instant::now() < end, "{name}: {whole} answers are whole; {:?}", ledger.seen());
            }
        }
        broker.stop().await;
        assert_eq!(ledger.seen(), Vec::<String>::new());
    }));
}

#[test]
fn a_broker_serves_each_class_of_the_pilots_and_breaks_none_of_their_rules() {
    serves(SKERRY, 512);
}

#[test]
fn a_broker_serves_each_class_of_the_wardens_and_breaks_none_of_their_rules() {
    serves(MOOR, 128);
}
