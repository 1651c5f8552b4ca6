//! Configuration: defaults, and a message that names the key for each thing that can be wrong.
#![allow(clippy::unwrap_used)]

use gingerledge::config::Config;
use gingerledge_testkit::scripted::{run, World};
use serde_json::{json, Value};

fn config(world: &World) -> Value {
    json!({ "name": "n0", "listen": "127.0.0.1:8080", "discovery": "127.0.0.1:8500", "admin_addr": "127.0.0.1:9100",
        "seed": "8c1f30d27a5be964",
        "limits": { "cores": 1.0, "memory_mb": 192, "sockets": 1024 }, "settings": world.settings() })
}

fn read(config: &Value, operator: Option<&str>, env: &[(&str, &str)]) -> Result<Config, String> {
    let var = |key: &str| match key {
        "LB_CONFIG" => Some("config".to_owned()),
        "LB_OPERATOR" => operator.map(|_| "operator".to_owned()),
        _ => env.iter().find(|(k, _)| *k == key).map(|(_, v)| (*v).to_owned()),
    };
    let text = config.to_string();
    let file = |path: &str| {
        Ok(if path == "config" { text.clone() } else { operator.unwrap_or_default().to_owned() })
    };
    Config::read(var, file).map_err(|e| e.to_string())
}

#[test]
fn what_is_absent_has_a_default_and_the_environment_goes_first() {
    run(4, |world| async move {
        let mut given = config(&world);
        let env = [("LB_NAME", "n7"), ("LB_LISTEN", "127.0.0.2:99"), ("LB_LOG", "debug")];
        let read_one = read(&given, None, &env).unwrap();
        assert_eq!((read_one.name.as_str(), read_one.listen.to_string().as_str()), ("n7", "127.0.0.2:99"));
        assert_eq!((read_one.seed, read_one.max_open, read_one.streams), (0x8c1f_30d2_7a5b_e964, 198, 32));
        assert_eq!(read_one.setup.settings.classes[0].follow_up_parts, 2);
        assert_eq!(read_one.setup.settings.zone, 0);
        assert_eq!(read_one.setup.tenants["north-woods-club"], 1);
        assert!(read_one.setup.settings.max_retry_after_ms > 0.0, "refusals carry advice");
        assert!(read_one.features.is_none() && read_one.remembered_list.is_none());
        given["settings"]["limits"].as_object_mut().unwrap().remove("conn_idle_ms");
        given.as_object_mut().unwrap().remove("limits");
        let read_two = read(&given, None, &[]).unwrap();
        assert_eq!((read_two.idle_ms, read_two.sockets), (30_000.0, 1024));
    });
}

#[test]
fn what_is_wrong_is_named() {
    run(4, |world| async move {
        for (pointer, value, key) in [
            ("/listen", json!("nowhere"), "listen"),
            ("/admin_addr", json!("nowhere"), "admin_addr"),
            ("/admin_addr", json!(9100), "admin_addr"),
            ("/discovery", json!(7), "LB_DISCOVERY"),
            ("/seed", json!("xyz"), "seed"),
            ("/settings", Value::Null, "settings.replicas_of_me"),
            ("/limits/sockets", json!(3), "limits.sockets"),
            ("/limits/memory_mb", json!("much"), "limits.memory_mb"),
            ("/settings/limits/max_open", json!(0), "settings.limits.max_open"),
            ("/settings/limits/streams_per_conn", json!("many"), "settings.limits.streams_per_conn"),
            ("/settings/limits/parallel_tries", json!("maybe"), "settings.limits.parallel_tries"),
            ("/settings/categories/1/aim_ms", json!("soon"), "settings.categories.1.aim_ms"),
            ("/settings/categories/2/repeat", json!("often"), "settings.categories.2.repeat"),
            ("/settings/domain/class_need", json!(["x"]), "settings.domain.class_need"),
            ("/settings/registry_mode", json!("hearsay"), "settings.registry_mode"),
            ("/settings/accounts/0/quota_per_s", Value::Null, "settings.accounts.0.quota_per_s"),
        ] {
            let mut given = config(&world);
            *given.pointer_mut(pointer).unwrap() = value;
            let error = read(&given, None, &[]).unwrap_err();
            assert!(error.starts_with(&format!("{key}: ")), "{pointer}: {error}");
        }
        let error = read(&config(&world), None, &[("LB_LOG", "loud")]).unwrap_err();
        assert!(error.starts_with("LB_LOG: "), "{error}");
        let error = read(&config(&world), None, &[("LB_READ_MS", "0")]).unwrap_err();
        assert!(error.starts_with("LB_READ_MS: "), "{error}");
        let error = Config::read(|_| None, |_| Ok(String::new())).unwrap_err().to_string();
        assert!(error.starts_with("LB_CONFIG: "), "{error}");
    });
}

#[test]
fn what_is_wrong_in_the_operators_file_is_named() {
    run(4, |world| async move {
        let good = world.operator(&[0, 2]);
        let set = read(&config(&world), Some(&good), &[]).unwrap().features.unwrap();
        assert_eq!((set.limit, set.blocks.len(), set.stores.len(), set.clubs["north"]), (4, 4, 2, 1));
        assert_eq!(set.collections[0].timeout_ms, 2500.0);
        for (from, to, key) in [
            ("listen = \"127.0.0.1:0\"", "listen = \"10.0.0.1:80\"", "listen"),
            ("link_key = \"a key for the tests only\"", "link_key = \"short\"", "link_key"),
            ("limit = 4", "limit = 400", "limit"),
            ("limit = 4", "limit_max = 0", "limit_max"),
            ("limit = 4", "connections = 0", "connections"),
            ("limit = 4", "limits = 4", "LB_OPERATOR"),
            ("class = \"yard-compare\"", "class = \"farm\"", "collection.0.class"),
            ("class = \"yard-compare\"", "class = \"flow-report\"", "collection.0.class"),
            ("class = \"yard-compare\"", "class = \"harvest-entry\"", "collection.0.class"),
            ("id = \"yards\"", "id = \"ya rds\"", "collection.0.id"),
            ("title = \"Yards\"", "title = \"Yards\"\ntimeout_ms = 9000", "collection.0.timeout_ms"),
            ("north = \"north-woods-club\"", "north = \"bears\"", "clubs.north"),
            ("default_club = \"west-shore-club\"", "default_club = \"bears\"", "default_club"),
            ("shard = 3", "shard = 2", "block.3.shard"),
            ("shard = 3", "shard = 9", "block.3.shard"),
            ("[100.5, ", "[500.5, ", "block.0.extent"),
            ("features = \"127.0.0.1", "features = \"10.0.0.1", "store.0.features"),
        ] {
            assert!(good.contains(from), "{from}");
            let error = read(&config(&world), Some(&good.replacen(from, to, 1)), &[]).unwrap_err();
            assert!(error.starts_with(&format!("{key}: ")), "{to}: {error}");
        }
        let short = good.replacen("[[block]]\nshard = 3\n", "", 1);
        assert!(read(&config(&world), Some(&short), &[]).is_err());
    });
}

#[test]
fn the_operators_file_that_is_shipped_can_be_read() {
    run(9, |world| async move {
        let text = include_str!("../../deploy/features.toml");
        let set = read(&config(&world), Some(text), &[]).unwrap().features.unwrap();
        assert!(set.listen.ip().is_loopback());
        assert_eq!(set.blocks.len(), 9);
    });
}

/// The environment is that of the start, and must not hide what the new file says.
#[test]
fn a_file_read_again_tells_where_discovery_is_now() {
    run(4, |world| async move {
        let mut given = config(&world);
        let var = |key: &str| match key {
            "LB_CONFIG" => Some("config".to_owned()),
            "LB_DISCOVERY" => Some("127.0.0.1:1".to_owned()),
            _ => None,
        };
        let again = |given: &Value| Config::reload_discovery(var, |_| Ok(given.to_string()));
        assert_eq!(again(&given).unwrap().to_string(), "127.0.0.1:8500");
        given["discovery"] = json!("elsewhere");
        assert!(again(&given).unwrap_err().to_string().starts_with("discovery: expected address:port"));
    });
}

#[test]
fn blocks_are_set_up_beside_the_feature_front_or_alone() {
    run(4, |world| async move {
        let sample = include_str!("../../deploy/blocks.toml");
        let given = config(&world);
        let alone = read(&given, Some(sample), &[]).unwrap();
        let blocks = alone.blocks.unwrap();
        assert!(alone.features.is_none() && blocks.coordinate);
        assert_eq!((blocks.initial_blocks.len(), blocks.coordinators.len(), blocks.goal.replicas), (2, 2, 2));
        let both = format!("{}\n[blocks]\ncoordinate = true\n", world.operator(&[]));
        let env = [("TMPDIR", "here")];
        let both = read(&given, Some(&both), &env).unwrap();
        // The map says where blocks lie.
        assert!(both.features.unwrap().blocks.is_empty());
        assert_eq!(both.blocks.unwrap().dir, std::path::Path::new("here"));
    });
}

#[test]
fn what_is_wrong_with_blocks_is_named() {
    run(4, |world| async move {
        let table = "[blocks]\nstate_dir = \"here\"\ncoordinate = true\n";
        let found =
            |text: &str| format!("[[blocks.found]]\nblock = 0\nfirst = 0\nend = 9\nstores = [\"a\"]\n{text}");
        for (text, key) in [
            ("blocks = 3", "blocks: expected a table"),
            ("[blocks]\nstate_dir = \"here\"", "blocks.coordinators"),
            ("[blocks]\ncoordinate = true", "blocks.state_dir"),
            (&format!("{table}lease_ms = 5"), "blocks.lease_ms"),
            (&format!("{table}follow_ms = 0"), "blocks.follow_ms"),
            (&format!("{table}blocks_max = 0"), "blocks.blocks_max"),
            (&format!("{table}plan = \"maybe\""), "blocks.plan"),
            (&format!("{table}replicas = 9"), "blocks.replicas"),
            (&format!("{table}even = 0.5"), "blocks.even"),
            (&format!("{table}split_above = 4\nmerge_below = 3"), "blocks.merge_below"),
            (&format!("{table}copy_bytes_per_s = 1"), "blocks.copy_bytes_per_s"),
            (&format!("{table}copy_least = 0"), "blocks.copy_least"),
            (&format!("{table}coordinators = [\"nowhere\"]"), "blocks.coordinators.0"),
            (&format!("{table}surprise = 1"), "blocks: "),
            (
                &format!(
                    "{table}{}",
                    found("[[blocks.found]]\nblock = 0\nfirst = 9\nend = 12\nstores = [\"a\"]")
                ),
                "blocks.found.1.block",
            ),
            (
                &format!(
                    "{table}{}",
                    found("[[blocks.found]]\nblock = 1\nfirst = 8\nend = 12\nstores = [\"a\"]")
                ),
                "blocks.found.1.first",
            ),
            (
                &format!("{table}[[blocks.found]]\nblock = 0\nfirst = 5\nend = 5\nstores = [\"a\"]"),
                "blocks.found.0.end",
            ),
            (
                &format!("{table}[[blocks.found]]\nblock = 0\nfirst = 0\nend = 5\nstores = [\"a\", \"a\"]"),
                "blocks.found.0.stores",
            ),
            (&format!("{table}{}", found("extent = [0.0, 95.0, 1.0, 96.0]")), "blocks.found.0.extent"),
        ] {
            let error = read(&config(&world), Some(text), &[]).unwrap_err();
            assert!(error.starts_with(key), "{text}: {error}");
        }
        let mut closed = config(&world);
        closed.as_object_mut().unwrap().remove("admin_addr");
        let error = read(&closed, Some(table), &[]).unwrap_err();
        assert!(error.starts_with("blocks.coordinate"), "{error}");
        assert!(read(&config(&world), None, &[("LB_LOG_FORMAT", "xml")])
            .unwrap_err()
            .starts_with("LB_LOG_FORMAT"));
    });
}

#[test]
fn the_fleet_is_set_up_in_the_operators_file_and_by_the_platforms_peers() {
    run(4, |world| async move {
        let sample = include_str!("../../deploy/fleet.toml");
        let mut given = config(&world);
        given["settings"]["index"] = json!(1);
        given["peer_listen"] = json!("127.0.0.1:7946");
        given["peers"] = json!(["10.3.0.1:7946", "10.3.0.2:7946", "10.3.0.3:7946"]);
        let set = read(&given, Some(sample), &[]).unwrap().fleet.unwrap();
        assert_eq!((set.peers.len(), set.settings.members, set.settings.own), (3, 3, 1));
        assert_eq!(
            (set.settings.probe_ms, set.settings.answer_ms, set.settings.sent_per_s),
            (1000.0, 300.0, 20.0)
        );
        // Without the table peers are nobody's business, whatever they are.
        given["peers"] = json!(["nowhere"]);
        assert!(read(&given, None, &[]).unwrap().fleet.is_none());
        let good = given.clone();
        for (pointer, value, key) in [
            ("/peers", Value::Null, "peers: "),
            ("/peers", json!(["10.3.0.1:7946"]), "peers: "),
            ("/peers", json!(["10.3.0.1:7946", "nowhere"]), "peers[1]: "),
            ("/peers", json!(["10.3.0.1:7946", "10.3.0.1:7946"]), "peers[1]: "),
            ("/peer_listen", json!(7946), "peer_listen: "),
            ("/settings/index", json!(3), "settings.index: "),
            ("/settings/index", Value::Null, "settings.index: "),
        ] {
            let mut bad = good.clone();
            bad["peers"] = json!(["10.3.0.1:7946", "10.3.0.2:7946", "10.3.0.3:7946"]);
            *bad.pointer_mut(pointer).unwrap() = value;
            let fault = read(&bad, Some("[fleet]"), &[]).unwrap_err();
            assert!(fault.starts_with(key), "{pointer}: {fault}");
        }
        given["peers"] = json!(["10.3.0.1:7946", "10.3.0.2:7946"]);
        for (text, key) in [
            ("fleet = 3", "fleet: "),
            ("[fleet]\nprobe_ms = 20.0", "fleet.probe_ms: "),
            ("[fleet]\nprobe_ms = nan", "fleet.probe_ms: "),
            ("[fleet]\nanswer_ms = 500.0", "fleet.answer_ms: "),
            ("[fleet]\nsent_per_s = 1.0", "fleet.sent_per_s: "),
            ("[fleet]\nprobes = 3", "fleet: "),
        ] {
            let fault = read(&given, Some(text), &[]).unwrap_err();
            assert!(fault.starts_with(key), "{text}: {fault}");
        }
    });
}
