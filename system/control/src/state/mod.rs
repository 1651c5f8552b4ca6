//! The durable state of the control plane: a deterministic state machine to which every control node applies the same commands in
//! the same order. It holds the operator's configuration, the named versions of weights, the coordinator's fencing token, the
//! chains of the partitions of batch jobs, the retirements of backends, and the registered addresses of backends.
//!
//! Guarantees: a command that was applied is answered [`CommandOutcome::Applied`] whenever it is repeated; of two configurations
//! on one base at most one is applied; versions, epochs and fencing tokens only increase. The state machine does no I/O and does
//! not depend on time.

mod backends;
mod configuration;
mod partitions;
mod retirements;

use std::collections::BTreeMap;

use gingerledge_wire::{Command, CommandOutcome, Coordinator, Entry, Key, PartitionRecord, Value};
use serde::{Deserialize, Serialize};
use snafu::{ensure, ResultExt, Snafu};

pub use backends::{BackendAddresses, MAX_BACKENDS};
pub use configuration::{ConfigurationState, APPLIED_HISTORY, REJECTED_HISTORY};
pub use partitions::PartitionState;
pub use retirements::{Retirement, Retirements, MAX_RETIREMENTS};

/// Maximum number of models with a named version.
pub const MAX_MODELS: usize = 4_096;

/// An error from encoding the state or decoding a snapshot.
#[derive(Debug, Snafu)]
pub enum SnapshotError {
    /// The state can't be encoded.
    #[snafu(display("the control state can't be encoded: {source}"))]
    Encode {
        /// The encoder's error.
        source: bincode::error::EncodeError,
    },
    /// The snapshot can't be decoded.
    #[snafu(display("the snapshot of the control state is unreadable: {source}"))]
    Decode {
        /// The decoder's error.
        source: bincode::error::DecodeError,
    },
    /// Surplus bytes follow the encoded state.
    #[snafu(display("the snapshot of the control state has {bytes} bytes too many"))]
    TrailingBytes {
        /// Number of surplus bytes.
        bytes: usize,
    },
}

/// The newest fencing token and its owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FencingState {
    /// The newest token.
    pub token: u64,
    /// The coordinator that owns it.
    pub owner: Coordinator,
    /// The most recent owner on another machine, whose orders may still be in flight; `None` once a later owner has waited until
    /// those orders can't arrive any more.
    pub previous_owner: Option<Coordinator>,
}

/// The durable state of the control plane.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ControlState {
    configuration: ConfigurationState,
    versions: BTreeMap<String, u64>,
    fencing: Option<FencingState>,
    partitions: PartitionState,
    retirements: Retirements,
    backends: BackendAddresses,
}

impl ControlState {
    /// Applies the command in entry `index` of the control chain. Indexes must increase from call to call.
    pub fn apply(&mut self, index: u64, command: &Command) -> CommandOutcome {
        match command {
            Command::Noop => CommandOutcome::Applied,
            Command::ReplaceConfiguration { base, version, json } => {
                self.configuration.replace(index, *base, *version, json)
            }
            Command::UpdateConfiguration { base, version, json } => {
                self.configuration.update(index, *base, *version, json)
            }
            Command::NameVersion { model, version } => self.name_version(model, *version),
            Command::AllocateFencingToken { incarnation, address } => {
                self.allocate_fencing_token(Coordinator { incarnation: *incarnation, address: *address })
            }
            Command::CompleteHandover { token } => self.complete_handover(*token),
            Command::SetPartition { partition, record, fencing_token } => {
                let newest_token = self.fencing_token();
                self.partitions.set(*partition, record, *fencing_token, newest_token)
            }
            Command::ReplicaInSync { partition, epoch, member } => {
                self.partitions.mark_in_sync(*partition, *epoch, *member)
            }
            Command::RegisterBackend { member, address } => {
                let partitions = &self.partitions;
                self.backends.register(*member, *address, |member| partitions.is_member(member))
            }
            Command::BeginRetirement { name, member } => self.retirements.begin(name, *member),
            Command::CompleteRetirement { name, member, replicas } => {
                let is_needed =
                    self.partitions.is_member(*member) || !self.partitions.all_have_replicas(*replicas);
                self.retirements.complete(name, *member, is_needed)
            }
        }
    }

    fn name_version(&mut self, model: &str, version: u64) -> CommandOutcome {
        let named_version = self.versions.get(model).copied();
        if named_version.is_none() && self.versions.len() >= MAX_MODELS {
            return CommandOutcome::Invalid { reason: "too many models have named versions".to_owned() };
        }
        if version > named_version.unwrap_or(1) {
            self.versions.insert(model.to_owned(), version);
        }
        CommandOutcome::Applied
    }

    fn allocate_fencing_token(&mut self, owner: Coordinator) -> CommandOutcome {
        let token = self.fencing_token() + 1;
        let previous_owner = match &self.fencing {
            Some(fencing) if fencing.owner.address == owner.address => fencing.previous_owner.clone(),
            other => other.as_ref().map(|fencing| fencing.owner.clone()),
        };
        self.fencing = Some(FencingState { token, owner, previous_owner });
        CommandOutcome::FencingToken(token)
    }

    fn complete_handover(&mut self, token: u64) -> CommandOutcome {
        match &mut self.fencing {
            Some(fencing) if fencing.token == token => {
                fencing.previous_owner = None;
                CommandOutcome::Applied
            }
            _ => CommandOutcome::Conflict { current: self.fencing_token() },
        }
    }

    /// The newest fencing token; 0 before the first.
    #[must_use]
    pub fn fencing_token(&self) -> u64 {
        self.fencing.as_ref().map_or(0, |fencing| fencing.token)
    }

    /// The newest fencing token and its owner.
    #[must_use]
    pub fn fencing(&self) -> Option<&FencingState> {
        self.fencing.as_ref()
    }

    /// The operator's configuration, with its history.
    #[must_use]
    pub fn configuration(&self) -> &ConfigurationState {
        &self.configuration
    }

    /// The newest named version of each model.
    #[must_use]
    pub fn versions(&self) -> &BTreeMap<String, u64> {
        &self.versions
    }

    /// The chains of the partitions.
    #[must_use]
    pub fn partitions(&self) -> &PartitionState {
        &self.partitions
    }

    /// The retirements of backends.
    #[must_use]
    pub fn retirements(&self) -> &Retirements {
        &self.retirements
    }

    /// The registered addresses of the disks of backends.
    #[must_use]
    pub fn backends(&self) -> &BackendAddresses {
        &self.backends
    }

    /// The parts of the state that are distributed to all nodes, as entries of the registry.
    pub fn registry_entries(&self) -> Vec<Entry> {
        let mut entries = Vec::new();
        entries.extend(self.configuration.entry());
        entries.extend(self.versions.iter().map(|(model, version)| version_entry(model, *version)));
        entries.extend(self.partitions.all().map(|(partition, record)| partition_entry(partition, record)));
        entries.extend(self.fencing.as_ref().map(coordinator_entry));
        entries
    }

    /// The registry entries that a command may have changed when it was applied.
    pub fn changed_entries(&self, command: &Command) -> Vec<Entry> {
        let entry = match command {
            Command::ReplaceConfiguration { .. } | Command::UpdateConfiguration { .. } => {
                self.configuration.entry()
            }
            Command::NameVersion { model, .. } => {
                self.versions.get(model).map(|version| version_entry(model, *version))
            }
            Command::AllocateFencingToken { .. } => self.fencing.as_ref().map(coordinator_entry),
            Command::SetPartition { partition, .. } | Command::ReplicaInSync { partition, .. } => {
                self.partitions.get(*partition).map(|record| partition_entry(*partition, record))
            }
            Command::Noop
            | Command::CompleteHandover { .. }
            | Command::RegisterBackend { .. }
            | Command::BeginRetirement { .. }
            | Command::CompleteRetirement { .. } => None,
        };
        entry.into_iter().collect()
    }

    /// Encodes the state.
    ///
    /// # Errors
    ///
    /// The state can't be encoded.
    pub fn snapshot(&self) -> Result<Vec<u8>, SnapshotError> {
        bincode::serde::encode_to_vec(self, bincode::config::standard()).context(EncodeSnafu)
    }

    /// Decodes a state from the bytes of [`ControlState::snapshot`]. Empty bytes give the initial state.
    ///
    /// # Errors
    ///
    /// The bytes are not a snapshot.
    pub fn restore(bytes: &[u8]) -> Result<Self, SnapshotError> {
        if bytes.is_empty() {
            return Ok(Self::default());
        }
        let (state, bytes_read) =
            bincode::serde::decode_from_slice(bytes, bincode::config::standard()).context(DecodeSnafu)?;
        ensure!(bytes_read == bytes.len(), TrailingBytesSnafu { bytes: bytes.len() - bytes_read });
        Ok(state)
    }
}

fn version_entry(model: &str, version: u64) -> Entry {
    Entry { key: Key::NamedVersion(model.to_owned()), version, value: Value::Version(version) }
}

/// Number of registry versions reserved for each epoch of a partition. The version of a partition's entry is its epoch times this
/// number plus the number of members in sync, which is always smaller.
const VERSIONS_PER_EPOCH: u64 = 256;

fn partition_entry(partition: u16, record: &PartitionRecord) -> Entry {
    let in_sync = (record.in_sync.len() as u64).min(VERSIONS_PER_EPOCH - 1);
    Entry {
        key: Key::Partition(partition),
        version: record.epoch * VERSIONS_PER_EPOCH + in_sync,
        value: Value::Partition(record.clone()),
    }
}

fn coordinator_entry(fencing: &FencingState) -> Entry {
    Entry { key: Key::Coordinator, version: fencing.token, value: Value::Coordinator(fencing.owner.clone()) }
}
