//! The encoding of every message of the lease must equal the recorded one byte for byte.

use std::time::Duration;

use gingerledge_golden::EncodedValues;
use gingerledge_lease::{LeaseMessage, VoterId};

#[test]
fn messages_are_written_as_before() {
    let mut golden = EncodedValues::new(env!("CARGO_MANIFEST_DIR"), "messages.txt");
    let wait = Duration::new(9, 10);
    golden.add_equal("voter", &VoterId(70_000));
    golden.add_equal(
        "request",
        &LeaseMessage::Request { epoch: 1, generation: 2, is_renewal: true, attempt: 3 },
    );
    golden.add_equal(
        "request anew",
        &LeaseMessage::Request { epoch: 1, generation: 2, is_renewal: false, attempt: 3 },
    );
    golden.add_equal("grant", &LeaseMessage::Grant { epoch: 4, generation: 5, attempt: 6 });
    golden.add_equal("refuse", &LeaseMessage::Refuse { attempt: 7, highest_generation: 8, wait });
    golden.add_equal("release", &LeaseMessage::Release { generation: 11 });
    golden.check();
}
