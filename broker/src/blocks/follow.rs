//! Follows the block map through the admin endpoints of the brokers that may coordinate. A broker that does not coordinate
//! responds with status 503, and the next one is tried; while none coordinates, the map stays unchanged.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::future::or;
use gingerledge_blocks::wire::{self, MapPage};

use super::Blocks;
use crate::http::{self, Kind, Stream};
use crate::routes::MapUpdate;

/// Time-out for each step of a request: connecting, writing, and reading the head and the body of the response.
const STEP_TIMEOUT: Duration = Duration::from_millis(1000);
/// Minimum time between two requests for updates. Many attempts may report the newer epoch of the same change.
const MIN_INTERVAL: Duration = Duration::from_millis(5);

/// Follows the map for as long as the process runs.
pub async fn run(blocks: Rc<Blocks>) {
    let mut next_endpoint = 0;
    loop {
        // The coordinator itself has the current map.
        if blocks.coordinator.borrow().is_none() && !blocks.settings.coordinators.is_empty() {
            let at = blocks.settings.coordinators[next_endpoint % blocks.settings.coordinators.len()];
            match fetch_updates(&blocks, at).await {
                Some(MapUpdate::MorePages) => continue,
                Some(MapUpdate::UpToDate(_)) => {}
                // The broker does not coordinate, or another one has succeeded it.
                Some(MapUpdate::OutdatedTerm) | None => next_endpoint += 1,
            }
        }
        Timer::after(MIN_INTERVAL).await;
        let requested = async {
            let _ = blocks.refresh_requests.1.recv().await;
        };
        let due = async {
            Timer::after(Duration::from_millis(blocks.settings.follow_ms)).await;
        };
        or(requested, due).await;
    }
}

/// Requests a page of updates and applies it; `None` if that fails.
async fn fetch_updates(blocks: &Blocks, at: SocketAddr) -> Option<MapUpdate> {
    let (from, term) = (blocks.routes.next_cursor(), blocks.routes.term());
    let target = format!("/blocks/news?since={}&block={}&term={term}", from.version, from.block.0);
    let page: MapPage = wire::decode(&get(at, &target).await?)?;
    blocks.apply_update(page)
}

/// Makes a GET request and returns the body of a response with status 200.
async fn get(at: SocketAddr, target: &str) -> Option<Vec<u8>> {
    let socket = http::connect(at, STEP_TIMEOUT).await.ok()?;
    let mut stream = Stream::new(socket);
    let request = format!("GET {target} HTTP/1.1\r\nHost: {at}\r\nConnection: close\r\n\r\n");
    stream.write(request.as_bytes(), STEP_TIMEOUT).await.ok()?;
    let head = stream.head(Kind::Response, STEP_TIMEOUT).await.ok()?;
    let body = stream.body(head.framing, STEP_TIMEOUT).await.ok()?;
    (head.status == 200).then_some(body)
}
