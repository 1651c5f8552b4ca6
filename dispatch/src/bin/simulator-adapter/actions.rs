//! Writes the actions of an instance as lines of the protocol.

use std::io::{self, Write};

use gingerledge_dispatch::Action;

use crate::instance::Instance;

/// Writes an action as a line. Nothing is written for an action that has no line in the protocol, or that
/// refers to a server the instance does not know.
pub fn write_action(output: &mut impl Write, instance: &Instance, action: &Action) -> io::Result<()> {
    match action {
        Action::Send { part, server, timeout_ms } => match instance.server_name(*server) {
            Some(node) => writeln!(output, "SEND {part} {node} {timeout_ms:.3}"),
            None => Ok(()),
        },
        Action::CloseIdleConnections { server } => match instance.server_name(*server) {
            Some(node) => writeln!(output, "RELEASE {node}"),
            None => Ok(()),
        },
        Action::Withdraw { part, attempt } => writeln!(output, "STOP_ATTEMPT {part} {attempt}"),
        Action::Answer { query, is_complete } => writeln!(output, "MERGE {query} {}", u8::from(*is_complete)),
        Action::Reject { query, retry_after_ms } => {
            writeln!(output, "TURN_AWAY {query} {retry_after_ms:.3}")
        }
        Action::ReportRejection { .. } => Ok(()),
        Action::Fail { query } => writeln!(output, "FINISH_ERROR {query}"),
        Action::Subscribe => writeln!(output, "LISTEN 1"),
        Action::Timer { wait_ms, token } => writeln!(output, "SCHEDULE {wait_ms:.3} {token}"),
    }
}
