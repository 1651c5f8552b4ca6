//! Updates of the configuration with three control nodes on loopback.

use crate::common::{run, Call, Cluster};
use crate::exchanges::ready;

const REPLACE: &str = "/configuration/replace";
const UPDATE: &str = "/configuration/update";
const READ: &str = "/configuration/read";

#[test]
fn updates_are_applied_rejected_and_read_back() {
    run(async {
        let cluster = Cluster::start(11);
        ready(&cluster).await;
        let transcript = crate::common::transcript();
        let whole = concat!(
            r#"{"version":5,"routes":[{"name":"r","host":"h","pathPrefix":"/r/","routeKind":"idempotent","#,
            r#""timeoutMs":9,"service":"s"}],"services":[{"name":"s","tls":false}],"limits":{}}"#
        );
        let update = r#"{"version":9,"upsert":{"services":[{"name":"s","tls":true},{"name":"t"}]}}"#;
        let rival = r#"{"version":9,"upsert":{"services":[{"name":"u"}]}}"#;
        let dangling = r#"{"version":11,"remove":{"services":["s"]}}"#;
        let removal = r#"{"version":11,"remove":{"routes":["r"],"services":["s"]}}"#;
        let calls = [
            (1, Call::post(UPDATE, "Base-Version: 0\r\n", update)),
            (0, Call::post(REPLACE, "Base-Version: 0\r\n", whole)),
            (1, Call::post(UPDATE, "Base-Version: 5\r\n", update)),
            (2, Call::post(UPDATE, "Base-Version: 5\r\n", update)),
            (0, Call::post(UPDATE, "Base-Version: 5\r\n", rival)),
            (2, Call::post(UPDATE, "Base-Version: 9\r\n", dangling)),
            (0, Call::get(READ)),
            (1, Call::post(UPDATE, "Base-Version: 9\r\n", removal)),
            (0, Call::post(UPDATE, "Base-Version: 5\r\n", update)),
            (0, Call::post(UPDATE, "", removal)),
            (0, Call::post(UPDATE, "Base-Version: 11\r\n", "{\"version\":12,")),
            (2, Call::get(READ)),
        ];
        for (node, call) in &calls {
            cluster.call(*node, call, Some(&transcript)).await;
        }
        transcript.check("updates");
    });
}
