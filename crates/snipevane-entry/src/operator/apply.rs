//! Accepts a new manifest: body first, then one conditional write.

use std::time::Duration;

use bytes::Bytes;
use http::StatusCode;
use serde_json::Value;
use smol_str::SmolStr;
use snipevane_core::clock::Clock;
use snipevane_platform::{
    Check, CommitError, PlatformError, Row, Transaction, Write, commit_resolved,
};
use snipevane_proto::manifest::canonical_text;
use snipevane_proto::operator::{Applied, ApplyRequest, Problem};
use snipevane_proto::rows::{CONFIG_HEAD, CONFIG_VERSION, ConfigHead, ConfigVersion};

use super::reply::{findings_problem, json, platform_away, problem, refuse};
use crate::control::{Control, Platform, manifest_object};
use crate::journal::kinds;
use crate::request::Response;

/// Time after which an operator asks again when the platform is away.
const PLATFORM_RETRY: Duration = Duration::from_secs(5);

enum ApplyError {
    Refused(Box<Problem>),
    Away(String),
}

impl From<PlatformError> for ApplyError {
    fn from(error: PlatformError) -> Self {
        Self::Away(error.to_string())
    }
}

impl<P: Platform, C: Clock> Control<P, C> {
    /// Accepts a manifest that replaces a stated version.
    pub(super) async fn apply(&self, req: ApplyRequest) -> Response {
        match self.try_apply(req).await {
            Ok(applied) => {
                self.poll_config().await;
                json(&applied)
            }
            Err(ApplyError::Refused(problem)) => refuse(&problem),
            Err(ApplyError::Away(detail)) => platform_away(detail, PLATFORM_RETRY),
        }
    }

    async fn try_apply(&self, req: ApplyRequest) -> Result<Applied, ApplyError> {
        let text = checked_text(&req.manifest)?;
        let hash = blake3::hash(text.as_bytes()).to_hex().to_string();
        let row = self.platform.read(CONFIG_HEAD).await?;
        let head = row.as_ref().map(|row| self.parse_head(row)).transpose()?;
        let in_force = head.as_ref().map_or(0, |head| head.version);
        if let Some(head) = head.as_ref().filter(|head| head.hash == hash) {
            return Ok(Applied {
                version: head.version,
                already_in_force: true,
            });
        }
        if req.based_on != in_force {
            return Err(conflict(in_force));
        }
        self.platform
            .put(&manifest_object(&hash), Bytes::from(text))
            .await?;
        let version = in_force + 1;
        let head = ConfigHead {
            version,
            hash: hash.clone(),
            write_id: req.write_id,
        };
        let entry = ConfigVersion { hash };
        let check = Check {
            key: CONFIG_HEAD.into(),
            expected: row.map(|row| row.version),
        };
        let writes = vec![
            put(CONFIG_HEAD.into(), &head),
            put(format!("{CONFIG_VERSION}{version}").into(), &entry),
        ];
        match commit_resolved(&self.platform, Transaction::new(vec![check], writes)).await {
            Ok(_) => {
                self.node.record(&kinds::CONFIG_ACCEPTED, &[&version]);
                Ok(Applied {
                    version,
                    already_in_force: false,
                })
            }
            Err(CommitError::Conflict { .. }) => Err(conflict(self.version_in_table().await?)),
            Err(CommitError::NotApplied(error)) => Err(error.into()),
            Err(CommitError::Unknown(error)) => Err(ApplyError::Away(format!(
                "it isn't known whether version {version} was accepted: {error}; apply the same \
                 manifest again to find out"
            ))),
        }
    }

    async fn version_in_table(&self) -> Result<u64, ApplyError> {
        let row = self.platform.read(CONFIG_HEAD).await?;
        let head = row.as_ref().map(|row| self.parse_head(row)).transpose()?;
        Ok(head.map_or(0, |head| head.version))
    }

    fn parse_head(&self, row: &Row) -> Result<ConfigHead, ApplyError> {
        self.parse_row(row).ok_or_else(|| {
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            let detail = format!("the row {:?} can't be parsed", row.key);
            ApplyError::Refused(Box::new(problem(status, "the table is damaged", detail)))
        })
    }
}

/// Checks a manifest and returns the one text from which its hash is made.
fn checked_text(manifest: &Value) -> Result<String, ApplyError> {
    let refused = |problem| ApplyError::Refused(Box::new(problem));
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
    ApplyError::Refused(Box::new(Problem {
        in_force: Some(in_force),
        ..problem
    }))
}

fn put<T: serde::Serialize>(key: SmolStr, row: &T) -> Write {
    Write::Put {
        key,
        value: serde_json::to_value(row).unwrap_or_default(),
    }
}
