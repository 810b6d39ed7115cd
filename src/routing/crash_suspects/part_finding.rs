//! Parts of prompts that are found to crash servers, and those that are not held any more.

use std::fmt;

use super::{
    Judgement, PromptPartId, RequestFingerprint, SuspectDigest, SuspectKind, VerdictUpdate,
};
use crate::names::{ServiceName, Tag};

/// A part that is found to crash servers.
#[derive(Debug, Clone, PartialEq)]
pub struct PartFinding {
    /// The part.
    pub part: PromptPartId,
    /// Its digest.
    pub digest: SuspectDigest,
    /// The service whose servers it crashes.
    pub service: ServiceName,
    /// Identifies the parts that came together at every crash and cannot be distinguished: only requests with all
    /// of them are held.
    pub group: RequestFingerprint,
    /// Servers that crashed.
    pub servers: Vec<Tag>,
    /// Number of different requests with the part among those interrupted.
    pub requests: usize,
}

impl PartFinding {
    /// Returns the verdict on the part.
    pub fn verdict(&self) -> VerdictUpdate {
        VerdictUpdate {
            digest: self.digest,
            fingerprint: self.group,
            judgement: Judgement::Held,
            age_ms: 0,
            kind: SuspectKind::Part,
        }
    }
}

impl fmt::Display for PartFinding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let PartFinding { part, digest, service, group, servers, requests } = self;
        let servers: Vec<String> = servers.iter().map(ToString::to_string).collect();
        let servers = servers.join(",");
        write!(f, "part={part} digest={digest} service={service} held_with={group} ")?;
        write!(f, "requests={requests} servers={servers}")
    }
}

/// Changes of verdicts.
#[derive(Debug, Default, PartialEq)]
pub struct PartJudgements {
    /// Parts to hold.
    pub found: Vec<PartFinding>,
    /// Parts not to hold any more.
    pub cleared: Vec<SuspectDigest>,
}
