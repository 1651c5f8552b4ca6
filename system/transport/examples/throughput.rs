//! Processor time and system calls a message, both ends in one process and one thread: run with `--release`.
//!
//! Processor time is read from `/proc/thread-self/schedstat`. System calls are not counted here: run under `strace -c -f`.

use std::error::Error;
use std::net::{Ipv4Addr, SocketAddr};

use gingerledge_transport::{Inbox, Incoming, Network, NetworkSettings};
use serde::{Deserialize, Serialize};

#[derive(Serialize, Deserialize)]
struct Sample {
    request: u64,
    body: String,
}

type Failure = Box<dyn Error + Send + Sync>;
type Node = (Network<Sample>, Inbox<Sample>);

/// A series: how many messages are sent before the receiver takes them, and how long their bodies are.
struct Series {
    batch: u64,
    body_bytes: usize,
    messages: u64,
}

const SERIES: [Series; 5] = [
    Series { batch: 1, body_bytes: 50, messages: 100_000 },
    Series { batch: 10, body_bytes: 50, messages: 500_000 },
    Series { batch: 100, body_bytes: 50, messages: 1_000_000 },
    Series { batch: 10, body_bytes: 4096, messages: 200_000 },
    Series { batch: 1, body_bytes: 1_000_000, messages: 1_000 },
];

fn main() -> Result<(), Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    // The main future of a runtime costs a poll of the system for each of its wake-ups; a task does not.
    runtime.block_on(async { tokio::spawn(measure()).await? })
}

/// Measures all series.
async fn measure() -> Result<(), Failure> {
    let settings = NetworkSettings::new(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)));
    let mut sender = Network::bind(settings.clone()).await?;
    let mut receiver = Network::bind(settings).await?;
    exchange(&mut sender, &mut receiver, &SERIES[1]).await?;
    println!("{:>6} {:>10} {:>12} {:>14}", "batch", "body bytes", "messages", "us a message");
    for series in &SERIES {
        let before = processor_nanoseconds()?;
        exchange(&mut sender, &mut receiver, series).await?;
        let spent = processor_nanoseconds()?.saturating_sub(before);
        let each = spent as f64 / 1000.0 / series.messages as f64;
        println!("{:>6} {:>10} {:>12} {each:>14.3}", series.batch, series.body_bytes, series.messages);
    }
    Ok(())
}

/// Sends a series from one node to the other.
async fn exchange(sender: &mut Node, receiver: &mut Node, series: &Series) -> Result<(), Failure> {
    let sample = Sample { request: 70_000, body: "x".repeat(series.body_bytes) };
    let to = receiver.0.local_address();
    for _ in 0..series.messages / series.batch {
        for _ in 0..series.batch {
            if !sender.0.send(to, &sample).is_queued() {
                return Err("a message was dropped".into());
            }
        }
        for _ in 0..series.batch {
            match receiver.1.next().await {
                Some(Incoming::Message { message, .. }) if message.request == sample.request => {}
                _ => return Err("a message was lost".into()),
            }
        }
    }
    Ok(())
}

/// What this thread has used of a processor so far.
fn processor_nanoseconds() -> Result<u64, Failure> {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat")?;
    Ok(text.split_whitespace().next().ok_or("an empty schedstat")?.parse()?)
}
