//! The feature front, end to end, against stand-in stores in both forms.
#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;

use gingerledge::service::Broker;
use gingerledge_testkit::scripted::{
    exchange, extent, get, inside, listener, put, query, run, until, Mood, World,
};
use serde_json::{json, Value};

const GEOJSON: &str = "application/geo+json";

/// A broker with the feature front up, in a world where these stores offer the feature form.
async fn broker(world: &World, offering: &[usize]) -> (Broker, SocketAddr) {
    let broker = world.broker(world.settings(), Some(world.operator(offering))).await;
    let at = broker.features.unwrap();
    (broker, at)
}

/// Follows next links from a first page; gives every page's features.
async fn pages(at: SocketAddr, first: &str) -> Vec<Vec<Value>> {
    let (mut pages, mut target) = (Vec::new(), Some(first.to_owned()));
    while let Some(here) = target {
        let got = get(at, &here, "").await;
        assert_eq!((got.status, got.head.header("Content-Type")), (200, Some(GEOJSON)), "{here}");
        let json = got.json();
        let features = json["features"].as_array().unwrap().clone();
        assert_eq!(json["numberReturned"], features.len());
        pages.push(features);
        target = got.link("next");
    }
    pages
}

fn in_box(world: &World, bbox: &str) -> Vec<Value> {
    world.yards.iter().filter(|yard| inside(yard, bbox)).cloned().collect()
}

#[test]
fn a_box_over_many_blocks_is_one_query_and_each_feature_comes_once_in_order() {
    for offering in [&[][..], &[0, 1, 2, 3, 4, 5][..], &[0, 3][..]] {
        run(6, |world| async move {
            let (broker, at) = broker(&world, offering).await;
            for limit in [1, 3, 100] {
                let queries = broker.counters.queries.get();
                let pages = pages(at, &format!("/collections/yards/items?limit={limit}")).await;
                assert_eq!(broker.counters.queries.get() - queries, pages.len() as u64);
                assert!(pages.iter().all(|page| page.len() <= limit));
                assert_eq!(pages.concat(), world.yards, "stores {offering:?} offer the feature form");
            }
            let forms: Vec<bool> = world.sent.borrow().iter().map(|sent| sent.features).collect();
            assert_eq!(forms.contains(&true), !offering.is_empty());
            assert_eq!(forms.contains(&false), offering.len() < 6);
        });
    }
}

#[test]
fn answers_equal_the_native_paths_field_by_field() {
    run(4, |world| async move {
        let (broker, at) = broker(&world, &[0, 1, 2, 3]).await;
        let got = get(at, "/collections/yards/items?limit=100", "").await.json();
        assert!(world.sent.borrow().iter().all(|sent| sent.features));
        world.sent.borrow_mut().clear();
        let text = query("q1", "yard-compare", 2000, &[0, 1, 2, 3], "collections/yards/items?limit=100");
        let native = exchange(broker.platform, &text).await.unwrap().json();
        assert!(world.sent.borrow().iter().all(|sent| !sent.features), "the native path goes by frames");
        let mut features: Vec<Value> = Vec::new();
        for answer in native["answers"].as_array().unwrap() {
            let page: Value = serde_json::from_str(answer["blob"].as_str().unwrap()).unwrap();
            features.extend(page["features"].as_array().unwrap().clone());
        }
        features.sort_by_key(|feature| feature["id"].as_str().unwrap().to_owned());
        let ours = got["features"].as_array().unwrap();
        assert_eq!(ours.len(), features.len());
        for (ours, native) in ours.iter().zip(&features) {
            for field in ["type", "id", "geometry", "properties"] {
                assert_eq!(ours[field], native[field], "{field} of {}", native["id"]);
            }
            assert_eq!(ours, native);
        }
    });
}

#[test]
fn boxes_across_the_antimeridian_on_edges_and_over_nothing_are_right() {
    run(6, |world| async move {
        let (_broker, at) = broker(&world, &[0, 1, 2]).await;
        // Blocks 3 and 4 meet the antimeridian: 160.5 to 179.5, and 180.5 to 199.5 (-179.5 to -160.5).
        for (bbox, blocks) in [
            ("170,30,-170,60", &[3, 4][..]),
            ("-180,30,-170,60", &[4][..]),
            ("170,30,180,60", &[3][..]),
            ("-180,-90,180,90", &[0, 1, 2, 3, 4, 5][..]),
            ("100.5,41,100.5,41", &[0][..]),
            ("0,0,10,10", &[][..]),
            ("0,-80,180,-70", &[][..]),
            ("100.5,41,0,121,41.5,9", &[0, 1][..]),
        ] {
            world.sent.borrow_mut().clear();
            let got = get(at, &format!("/collections/yards/items?limit=100&bbox={bbox}"), "").await;
            let mut asked: Vec<u32> = world.sent.borrow().iter().map(|sent| sent.shard).collect();
            asked.sort_unstable();
            assert_eq!(asked, blocks, "{bbox}");
            if bbox.split(',').count() == 4 {
                assert_eq!(got.json()["features"], Value::from(in_box(&world, bbox)), "{bbox}");
            }
        }
    });
}

#[test]
fn box_and_time_go_to_the_stores_as_the_client_gave_them() {
    run(2, |world| async move {
        let (_broker, at) = broker(&world, &[0]).await;
        let target =
            "/collections/yards/items?datetime=2026-05-01T00:00:00+02:00/..&bbox=100.50,40,119,50&limit=3";
        let first = get(at, target, "").await;
        let next = first.link("next").unwrap();
        assert_eq!(get(at, &next, "").await.status, 200);
        let sent = world.sent.borrow();
        let given = "bbox=100.50,40,119,50&datetime=2026-05-01T00:00:00%2B02:00/..";
        assert_eq!(sent[0].text, format!("collections/yards/items?limit=3&{given}"));
        let last = first.json()["features"][2]["id"].as_str().unwrap().to_owned();
        assert_eq!(sent[1].text, format!("collections/yards/items?limit=3&{given}&after={last}"));
        assert!(first.link("self").unwrap().contains("datetime=2026-05-01T00:00:00%2B02:00/.."));
    });
}

#[test]
fn extents_touch_boxes_as_the_globe_has_it() {
    use gingerledge::geojson::Bbox;
    let touch = |a, b| {
        let (a, b) = (Bbox::new(a).unwrap(), Bbox::new(b).unwrap());
        assert_eq!(a.intersects(&b), b.intersects(&a));
        a.intersects(&b)
    };
    assert!(touch([170.0, 0.0, 180.0, 9.0], [-180.0, 0.0, -170.0, 9.0]), "one meridian of two names");
    assert!(touch([170.0, 0.0, -170.0, 9.0], [-175.0, 9.0, -160.0, 20.0]), "edges belong to a box");
    assert!(!touch([170.0, 0.0, -170.0, 9.0], [-160.0, 0.0, 160.0, 9.0]));
    assert!(!touch([0.0, 0.0, 1.0, 1.0], [0.0, 1.5, 1.0, 2.0]));
    assert_eq!(extent(4)[0], -179.5);
}

#[test]
fn a_next_link_followed_after_a_store_drained_gives_the_rest() {
    run(4, |world| async move {
        let (first, at) = broker(&world, &[1, 2]).await;
        let got = get(at, "/collections/yards/items?limit=7", "").await;
        let mut all = got.json()["features"].as_array().unwrap().clone();
        let next = got.link("next").unwrap();
        let gave: Vec<usize> = world.sent.borrow().iter().map(|sent| sent.store).collect();
        world.drain(gave[0], &first).await;
        // Another broker with the same operator's file follows the link as well.
        let (_second, other) = broker(&world, &[]).await;
        world.sent.borrow_mut().clear();
        for at in [at, other] {
            let rest = pages(at, &next).await.concat();
            assert_eq!([all.clone(), rest].concat(), world.yards);
        }
        assert!(world.sent.borrow().iter().all(|sent| sent.store != gave[0]), "a draining store is asked");
        all.clear();
    });
}

/// Two processes listen at the feature front's address while one takes over from the other.
#[test]
fn a_next_link_outlives_a_store_out_by_hand_an_upgrade_and_a_drain() {
    run(4, |world| async move {
        let dir = std::env::temp_dir().join(format!("gingerledge-{}-features", std::process::id()));
        std::fs::create_dir_all(&dir).unwrap();
        let held: &'static str = dir.to_str().unwrap().to_owned().leak();
        *world.env.borrow_mut() = vec![("LB_ADMIN_ADDR", "127.0.0.1:0"), ("TMPDIR", held)];
        let at = listener().1;
        let operator = world.operator(&[1, 2]).replacen("127.0.0.1:0", &at.to_string(), 1);
        let old = world.broker(world.settings(), Some(operator.clone())).await;
        let got = get(at, "/collections/yards/items?limit=7", "").await;
        let first = got.json()["features"].as_array().unwrap().clone();
        let next = got.link("next").unwrap();
        let gave = world.sent.borrow()[0].store;
        assert_eq!(put(old.admin, "/reading-stores/disable", &format!("s-{gave}")).await, 200);
        let new = world.broker(world.settings(), Some(operator)).await;
        assert_eq!(new.features, Some(at));
        world.sent.borrow_mut().clear();
        old.stop().await;
        let served = new.counters.queries.get();
        assert_eq!([first.clone(), pages(at, &next).await.concat()].concat(), world.yards);
        assert!(new.counters.queries.get() > served);
        assert_eq!(put(new.admin, "/drain", "").await, 200);
        assert_eq!([first, pages(at, &next).await.concat()].concat(), world.yards);
        assert!(world.sent.borrow().iter().all(|sent| sent.store != gave), "a store out by hand is asked");
        std::fs::remove_dir_all(&dir).unwrap();
    });
}

#[test]
fn a_store_that_pages_by_itself_loses_nothing() {
    run(3, |world| async move {
        let (_broker, at) = broker(&world, &[0]).await;
        world.store_page.set(1);
        let pages = pages(at, "/collections/yards/items?limit=100").await;
        assert_eq!(pages.concat(), world.yards);
        assert!(pages.len() > 1);
    });
}

#[test]
fn one_feature_is_given_with_its_links_or_not_found() {
    run(3, |world| async move {
        let (_broker, at) = broker(&world, &[0, 1]).await;
        let got = get(at, "/collections/yards/items/yard-004", "").await;
        assert_eq!((got.status, got.head.header("Content-Type")), (200, Some(GEOJSON)));
        assert_eq!(got.link("self").unwrap(), "/collections/yards/items/yard-004");
        let mut feature = got.json();
        feature.as_object_mut().unwrap().remove("links");
        assert_eq!(feature, world.yards[4]);
        assert_eq!(get(at, "/collections/yards/items/yard-999", "").await.status, 404);
    });
}

#[test]
fn bad_requests_are_problems_and_ask_no_store() {
    run(2, |world| async move {
        let (_broker, at) = broker(&world, &[]).await;
        let items = "/collections/yards/items";
        for (target, headers, status) in [
            (format!("{items}?bbox=1,2,3"), "", 400),
            (format!("{items}?bbox=0,9,1,2"), "", 400),
            (format!("{items}?limit=0"), "", 400),
            (format!("{items}?limit=ten"), "", 400),
            (format!("{items}?datetime=yesterday"), "", 400),
            (format!("{items}?colour=red"), "", 400),
            (format!("{items}?cursor=AAAA"), "", 400),
            (format!("{items}?limit=1&limit=2"), "", 400),
            (format!("{items}?f=html"), "", 400),
            (format!("{items}/yard-001?limit=1"), "", 400),
            ("/conformance?x=1".to_owned(), "", 400),
            (items.to_owned(), "X-Club: bears\r\n", 400),
            ("/collections/hives".to_owned(), "", 404),
            ("/collections/hives/items".to_owned(), "", 404),
            ("/nowhere".to_owned(), "", 404),
            (items.to_owned(), "Accept: text/html\r\n", 406),
            (items.to_owned(), "Accept: application/geo+json;q=0, text/html\r\n", 406),
            ("/".to_owned(), "Accept: text/html\r\n", 406),
        ] {
            let got = get(at, &target, headers).await;
            let kind = got.head.header("Content-Type");
            assert_eq!((got.status, kind), (status, Some("application/problem+json")), "{target} {headers}");
            assert_eq!(got.json()["status"], status);
        }
        assert_eq!(exchange(at, b"POST / HTTP/1.1\r\n\r\n").await.unwrap().status, 405);
        assert_eq!(exchange(at, b"garbage\r\n\r\n").await.unwrap().status, 400);
        assert!(world.sent.borrow().is_empty());
        for accept in ["*/*", "application/json", "application/geo+json", "text/html, application/*;q=0.5"] {
            let got = get(at, &format!("{items}?limit=1"), &format!("Accept: {accept}\r\n")).await;
            assert_eq!(got.status, 200, "{accept}");
        }
        let other = get(at, &format!("{items}?limit=1"), "").await.link("next").unwrap();
        let with_more = get(at, &format!("{other}&limit=2"), "").await;
        assert_eq!(with_more.status, 400, "a cursor holds all parameters");
    });
}

#[test]
fn a_fault_at_all_owners_is_reported_as_it_is() {
    for (mood, statuses) in [
        (Mood::Errs, &[502, 503][..]),
        (Mood::Garbage, &[502, 503][..]),
        (Mood::Resets, &[502, 503][..]),
        (Mood::Full, &[503][..]),
    ] {
        for offering in [&[][..], &[0, 1][..]] {
            run(2, |world| async move {
                *world.mood.borrow_mut() = vec![mood; 2];
                let (broker, at) = broker(&world, offering).await;
                let got = get(at, "/collections/yards/items", "").await;
                assert!(statuses.contains(&got.status), "{mood:?}: {}", got.status);
                assert_eq!(got.head.header("Content-Type"), Some("application/problem+json"));
                assert_eq!(got.head.header("Retry-After").is_some(), got.status == 503);
                assert_eq!(broker.counters.overdue.get(), 0);
                let parts = world.sent.borrow();
                for shard in 0..2 {
                    let attempts = parts.iter().filter(|sent| sent.shard == shard).count();
                    assert!((1..=3).contains(&attempts), "{mood:?}: {attempts} attempts");
                }
            });
        }
    }
}

#[test]
fn trouble_at_one_holder_is_passed_by() {
    for mood in [Mood::Errs, Mood::Garbage, Mood::Resets, Mood::Full] {
        run(3, |world| async move {
            world.mood.borrow_mut()[1] = mood;
            let (_broker, at) = broker(&world, &[0, 1, 2]).await;
            for _ in 0..5 {
                let pages = pages(at, "/collections/yards/items?limit=100").await;
                assert_eq!(pages.concat(), world.yards, "{mood:?}");
            }
            assert!(world.sent.borrow().iter().any(|sent| sent.store == 1));
        });
    }
}

#[test]
fn silence_ends_at_the_deadline_of_the_collection() {
    run(2, |world| async move {
        *world.mood.borrow_mut() = vec![Mood::Silent; 2];
        let operator = world
            .operator(&[0])
            .replace("class = \"yard-compare\"", "class = \"yard-compare\"\ntimeout_ms = 200");
        let broker = world.broker(world.settings(), Some(operator)).await;
        let got = get(broker.features.unwrap(), "/collections/yards/items", "").await;
        assert!([503, 504].contains(&got.status), "{}", got.status);
        assert_eq!(broker.counters.overdue.get(), 0, "the core ended it");
    });
}

#[test]
fn a_value_that_is_no_feature_page_is_a_bad_gateway() {
    run(2, |world| async move {
        // Frames carry any value, and this one is out of order.
        let (_broker, at) = broker(&world, &[]).await;
        world.store_page.set(0);
        let got = get(at, "/collections/yards/items", "").await;
        assert_eq!(got.status, 502, "more features but none on the page");
    });
}

/// Once latency nears the aim, only so much is let in; a club over its share meets that limit sooner.
#[test]
fn a_club_over_its_share_does_not_crowd_out_another() {
    run(4, |world| async move {
        *world.mood.borrow_mut() = vec![Mood::Slow(1040); 4];
        let mut settings = world.settings();
        settings["categories"][1]["aim_ms"] = json!(2400.0);
        let broker = world.broker(settings, Some(world.operator(&[0, 1, 2, 3]))).await;
        let at = broker.features.unwrap();
        let ask = |club: &str| {
            let club = format!("X-Club: {club}\r\n");
            async move { get(at, "/collections/yards/items?bbox=100.5,40,119,50", &club).await }
        };
        // Two queries of which the latency is learned: from then on four parts are let in at a time.
        for _ in 0..2 {
            assert_eq!(ask("west").await.status, 200);
        }
        let held: Vec<_> = (0..3).map(|_| world.executor.spawn(ask("west"))).collect();
        until(|| broker.counters.attempts.get() == 5).await;
        let over = ask("north").await;
        assert_eq!(over.status, 503, "over its share, above the part of the limit left to such");
        assert!(over.head.header("Retry-After").is_some());
        assert_eq!(ask("west").await.status, 200, "within its share, below the limit");
        for task in held {
            assert_eq!(task.await.status, 200);
        }
    });
}
