//! Accepts a new manifest: stores its text as an object first, then commits the version in one
//! conditional transaction.

use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use serde_json::Value;
use smol_str::SmolStr;
use snipevane_core::clock::Clock;
use snipevane_core::config::in_force::{
    ApplyAttempt, ApplyOutcome, ApplyStep, CommitReply, HeadRow, ReadReply, VersionRow,
};
use snipevane_platform::{Check, CommitError, Transaction, Write};
use snipevane_proto::manifest::canonical_text;
use snipevane_proto::operator::{Applied, ApplyRequest, Problem};
use snipevane_proto::rows::{CONFIG_HEAD_KEY, CONFIG_VERSION_PREFIX, ConfigHead, ConfigVersion};
use tokio::time::sleep;
use uuid::Uuid;

use super::reply::{findings_problem, json, platform_unreachable, problem, problem_response};
use crate::control::{Control, Platform, manifest_object};
use crate::journal::kinds;
use crate::request::Response;

/// `Retry-After` of a reply that reports the platform as unreachable.
const PLATFORM_RETRY: Duration = Duration::from_secs(5);
/// Delay before a step that is repeated, such as reading a row again.
const REREAD_DELAY: Duration = Duration::from_millis(100);

enum ApplyError {
    Refused(Box<Problem>),
    Unreachable(String),
}

/// Manifest to store: the text of its object, and the hash and write identifier of its rows.
struct ManifestBody {
    text: String,
    hash: String,
    write_id: Uuid,
}

impl<P: Platform, C: Clock> Control<P, C> {
    /// Accepts a manifest that replaces the version on which the request says it is based.
    pub(super) async fn apply(&self, req: ApplyRequest) -> Response {
        match self.try_apply(req).await {
            Ok(applied) => {
                self.apply_accepted_config().await;
                json(&applied)
            }
            Err(ApplyError::Refused(problem)) => problem_response(&problem),
            Err(ApplyError::Unreachable(detail)) => platform_unreachable(detail, PLATFORM_RETRY),
        }
    }

    async fn try_apply(&self, req: ApplyRequest) -> Result<Applied, ApplyError> {
        let text = check_manifest(&req.manifest)?;
        let body = ManifestBody {
            hash: blake3::hash(text.as_bytes()).to_hex().to_string(),
            text,
            write_id: req.write_id,
        };
        let (mut apply, mut step) =
            ApplyAttempt::new(req.based_on, body.hash.as_str(), body.write_id);
        let mut previous = None;
        loop {
            if previous.as_ref() == Some(&step) {
                sleep(REREAD_DELAY).await;
            }
            previous = Some(step.clone());
            step = match step {
                ApplyStep::ReadHead => apply.on_head(self.read_head_row().await?),
                ApplyStep::CheckHead { row_version } => {
                    let tx = Transaction::new(vec![check_head(row_version)], Vec::new());
                    apply.on_check(self.commit_once(tx).await)
                }
                ApplyStep::PutBody => apply.on_body(self.put_body(&body).await),
                ApplyStep::Commit {
                    row_version,
                    version,
                } => {
                    let tx = body.transaction(row_version, version);
                    apply.on_commit(self.commit_once(tx).await)
                }
                ApplyStep::ReadVersionRow { version } => {
                    apply.on_version_row(self.read_version_row(version).await?)
                }
                ApplyStep::Done(outcome) => return self.apply_result(outcome),
            };
        }
    }

    fn apply_result(&self, outcome: ApplyOutcome) -> Result<Applied, ApplyError> {
        match outcome {
            ApplyOutcome::Applied {
                version,
                already_in_force,
            } => {
                if !already_in_force {
                    self.node.record(&kinds::CONFIG_ACCEPTED, &[&version]);
                }
                Ok(Applied {
                    version,
                    already_in_force,
                })
            }
            ApplyOutcome::Conflict { latest_version } => Err(conflict(latest_version)),
            ApplyOutcome::Unreachable => {
                Err(ApplyError::Unreachable("nothing was accepted".to_owned()))
            }
            ApplyOutcome::Unknown { version } => {
                let detail = format!(
                    "the platform's answer was lost; apply the same manifest again, based on \
                     version {}, to find out whether it is version {version}",
                    version.saturating_sub(1)
                );
                let status = StatusCode::GATEWAY_TIMEOUT;
                Err(refused(problem(status, "the outcome isn't known", detail)))
            }
        }
    }

    async fn read_head_row(&self) -> Result<ReadReply<HeadRow>, ApplyError> {
        match self.platform.read(CONFIG_HEAD_KEY).await {
            Err(_) => Ok(None),
            Ok(None) => Ok(Some(HeadRow::default())),
            Ok(Some(row)) => {
                let head: ConfigHead = self.parse_row(&row).ok_or_else(corrupt_row)?;
                Ok(Some(HeadRow {
                    row_version: Some(row.version),
                    version: head.version,
                    hash: head.hash.into(),
                    write_id: head.write_id,
                }))
            }
        }
    }

    async fn read_version_row(
        &self,
        version: u64,
    ) -> Result<ReadReply<Option<VersionRow>>, ApplyError> {
        match self.platform.read(&version_key(version)).await {
            Err(_) => Ok(None),
            Ok(None) => Ok(Some(None)),
            Ok(Some(row)) => {
                let entry: ConfigVersion = self.parse_row(&row).ok_or_else(corrupt_row)?;
                let write_id = entry.write_id;
                Ok(Some(Some(VersionRow { write_id })))
            }
        }
    }

    async fn put_body(&self, body: &ManifestBody) -> bool {
        let name = manifest_object(&body.hash);
        let stored = self.platform.put(&name, Bytes::from(body.text.clone()));
        stored.await.is_ok()
    }

    async fn commit_once(&self, tx: Transaction) -> CommitReply {
        match self.platform.commit(tx).await {
            Ok(_) => CommitReply::Committed,
            Err(CommitError::Conflict { .. }) => CommitReply::Conflict,
            Err(CommitError::NotApplied(_)) => CommitReply::NotApplied,
            Err(CommitError::Unknown(_)) => CommitReply::Unknown,
        }
    }
}

impl ManifestBody {
    /// Builds the transaction that makes this manifest a configuration version.
    fn transaction(&self, row_version: Option<u64>, version: u64) -> Transaction {
        let head = ConfigHead {
            version,
            hash: self.hash.clone(),
            write_id: self.write_id,
        };
        let entry = ConfigVersion {
            hash: self.hash.clone(),
            write_id: self.write_id,
        };
        let writes = vec![
            put(CONFIG_HEAD_KEY.into(), &head),
            put(version_key(version), &entry),
        ];
        Transaction::new(vec![check_head(row_version)], writes)
    }
}

fn check_head(expected: Option<u64>) -> Check {
    Check {
        key: CONFIG_HEAD_KEY.into(),
        expected,
    }
}

fn version_key(version: u64) -> SmolStr {
    format!("{CONFIG_VERSION_PREFIX}{version}").into()
}

fn refused(problem: Problem) -> ApplyError {
    ApplyError::Refused(Box::new(problem))
}

fn corrupt_row() -> ApplyError {
    let status = StatusCode::INTERNAL_SERVER_ERROR;
    let detail = "a row of the configuration can't be parsed";
    refused(problem(status, "the table is damaged", detail))
}

/// Validates a manifest and returns its canonical text, from which the hash is computed.
fn check_manifest(manifest: &Value) -> Result<String, ApplyError> {
    let manifest = snipevane_core::config::check(&manifest.to_string(), "manifest")
        .map_err(|findings| refused(findings_problem(&findings)))?;
    canonical_text(&manifest).map_err(|error| {
        refused(problem(
            StatusCode::UNPROCESSABLE_ENTITY,
            "the manifest can't be stored",
            error.to_string(),
        ))
    })
}

fn conflict(in_force: u64) -> ApplyError {
    let detail = format!("version {in_force} is in force; base the manifest on it");
    let problem = problem(StatusCode::CONFLICT, "another version is in force", detail);
    refused(Problem {
        in_force: Some(in_force),
        ..problem
    })
}

fn put<T: serde::Serialize>(key: SmolStr, row: &T) -> Write {
    Write::Put {
        key,
        value: serde_json::to_value(row).unwrap_or_default(),
    }
}
