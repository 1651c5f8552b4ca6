//! Follows the map at the operators' doors of the brokers that may coordinate. Whoever does not coordinate answers 503, and the
//! next is asked; while none does, the map stays as it is.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::future::or;
use gingerledge_blocks::wire::{self, News};

use super::Blocks;
use crate::http::{self, Kind, Stream};
use crate::routes::MapUpdate;

const ANSWER_WITHIN: Duration = Duration::from_millis(1000);
/// Pokes are answered no more often than this: one change is told by many parts.
const LEAST_GAP: Duration = Duration::from_millis(5);

/// Follows for as long as the process runs.
pub async fn run(blocks: Rc<Blocks>) {
    let mut door = 0;
    loop {
        // Whoever coordinates has the map already.
        if blocks.boss.borrow().is_none() && !blocks.set.coordinators.is_empty() {
            let at = blocks.set.coordinators[door % blocks.set.coordinators.len()];
            match ask(&blocks, at).await {
                Some(MapUpdate::MorePages) => continue,
                Some(MapUpdate::UpToDate(_)) => {}
                // Not the coordinator, or deposed.
                Some(MapUpdate::OutdatedTerm) | None => door += 1,
            }
        }
        Timer::after(LEAST_GAP).await;
        let poked = async {
            let _ = blocks.poke.1.recv().await;
        };
        let due = async {
            Timer::after(Duration::from_millis(blocks.set.follow_ms)).await;
        };
        or(poked, due).await;
    }
}

async fn ask(blocks: &Blocks, at: SocketAddr) -> Option<MapUpdate> {
    let (from, term) = (blocks.routes.next_cursor(), blocks.routes.term());
    let target = format!("/blocks/news?since={}&block={}&term={term}", from.version, from.block.0);
    let news: News = wire::unpack(&get(at, &target).await?)?;
    blocks.learn(news)
}

async fn get(at: SocketAddr, target: &str) -> Option<Vec<u8>> {
    let socket = http::connect(at, ANSWER_WITHIN).await.ok()?;
    let mut stream = Stream::new(socket);
    let request = format!("GET {target} HTTP/1.1\r\nHost: {at}\r\nConnection: close\r\n\r\n");
    stream.write(request.as_bytes(), ANSWER_WITHIN).await.ok()?;
    let head = stream.head(Kind::Answer, ANSWER_WITHIN).await.ok()?;
    let body = stream.body(head.framing, ANSWER_WITHIN).await.ok()?;
    (head.status == 200).then_some(body)
}
