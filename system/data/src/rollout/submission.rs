//! Parses a batch job as submitted by a trainer.

use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use gingerledge_protocol::{Item, ScoringEndpoint, SubmittedJob};
use gingerledge_wire::{ItemRecord, JobRecord, ScoringRecord};
use snafu::{ResultExt, Snafu};

/// Why a submitted batch job can't be parsed.
#[derive(Debug, Snafu)]
pub(super) enum SubmissionError {
    /// The body is not valid JSON, or has not the expected fields.
    #[snafu(display("batch job: {source}"))]
    InvalidJson {
        /// The error of the JSON parser.
        source: serde_json::Error,
    },
    /// The body of an item, or of its scoring call, is not valid base64.
    #[snafu(display(
        "batch job: item {item}: its body, or that of its reward call, is no base64: {source}"
    ))]
    InvalidBase64 {
        /// The id of the item.
        item: String,
        /// The error of the base64 decoder.
        source: base64::DecodeError,
    },
}

/// The properties of a submission that are not in its body.
#[derive(Clone, Debug)]
pub(super) struct SubmissionMetadata {
    /// The id of the batch job.
    pub id: String,
    /// The host to which the submission was sent.
    pub host: String,
    /// The path to which the submission was sent.
    pub path: String,
}

/// Parses a batch job from the body of its submission.
pub(super) fn parse(metadata: SubmissionMetadata, body: &[u8]) -> Result<JobRecord, SubmissionError> {
    let submitted: SubmittedJob = serde_json::from_slice(body).context(InvalidJsonSnafu)?;
    let items: Result<Vec<ItemRecord>, SubmissionError> =
        submitted.items.into_iter().map(parse_item).collect();
    Ok(JobRecord {
        id: metadata.id,
        host: metadata.host,
        path: metadata.path,
        step: submitted.step,
        model: submitted.model,
        min_version: submitted.min_version,
        desired_groups: submitted.desired,
        items: items?,
    })
}

fn parse_item(item: Item) -> Result<ItemRecord, SubmissionError> {
    let body = decode_base64(&item.id, &item.body)?;
    let scoring = item.scoring_endpoint.map(|endpoint| parse_scoring(&item.id, endpoint)).transpose()?;
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

fn parse_scoring(item_id: &str, endpoint: ScoringEndpoint) -> Result<ScoringRecord, SubmissionError> {
    let body = decode_base64(item_id, &endpoint.body)?;
    Ok(ScoringRecord { id: endpoint.id, host: endpoint.host, path: endpoint.path, body })
}

fn decode_base64(item_id: &str, text: &str) -> Result<Vec<u8>, SubmissionError> {
    STANDARD.decode(text).context(InvalidBase64Snafu { item: item_id })
}
