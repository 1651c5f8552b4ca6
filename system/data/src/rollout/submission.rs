//! Reads a batch job as a trainer sends it.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use gingerledge_protocol::{Item, ScoringEndpoint, SubmittedJob};
use gingerledge_wire::{ItemRecord, JobRecord, ScoringRecord};
use snafu::{ResultExt, Snafu};

/// Why a batch job can't be read.
#[derive(Debug, Snafu)]
pub(super) enum SubmissionError {
    /// It is no JSON of the expected form.
    #[snafu(display("batch job: {source}"))]
    Form {
        /// What the reader met.
        source: serde_json::Error,
    },
    /// A body is no base64.
    #[snafu(display(
        "batch job: item {item}: its body, or that of its reward call, is no base64: {source}"
    ))]
    Body {
        /// The id of the item.
        item: String,
        /// What the reader met.
        source: base64::DecodeError,
    },
}

/// Where a batch job came in.
#[derive(Clone, Debug)]
pub(super) struct Arrival {
    /// Its id.
    pub id: String,
    /// The host that it was sent to.
    pub host: String,
    /// The path that it was sent to.
    pub path: String,
}

/// Reads a batch job.
pub(super) fn read(arrival: Arrival, body: &[u8]) -> Result<JobRecord, SubmissionError> {
    let submitted: SubmittedJob = serde_json::from_slice(body).context(FormSnafu)?;
    let items: Result<Vec<ItemRecord>, SubmissionError> =
        submitted.items.into_iter().map(read_item).collect();
    Ok(JobRecord {
        id: arrival.id,
        host: arrival.host,
        path: arrival.path,
        step: submitted.step,
        model: submitted.model,
        min_version: submitted.min_version,
        desired_groups: submitted.desired,
        items: items?,
    })
}

fn read_item(item: Item) -> Result<ItemRecord, SubmissionError> {
    let body = decode(&item.id, &item.body)?;
    let scoring = item.scoring_endpoint.map(|endpoint| read_scoring(&item.id, endpoint)).transpose()?;
    Ok(ItemRecord {
        id: item.id,
        path: item.path,
        headers: item.headers.into_iter().collect(),
        body,
        tokens: item.tokens,
        group: item.group,
        scoring,
    })
}

fn read_scoring(item: &str, endpoint: ScoringEndpoint) -> Result<ScoringRecord, SubmissionError> {
    let body = decode(item, &endpoint.body)?;
    Ok(ScoringRecord { id: endpoint.id, host: endpoint.host, path: endpoint.path, body })
}

fn decode(item: &str, text: &str) -> Result<Vec<u8>, SubmissionError> {
    STANDARD.decode(text).context(BodySnafu { item })
}
