//! Which operators' file is in force at an instance: forward only.

use serde::{Deserialize, Serialize};

use crate::{configs::fleet::chunks::Digest, units::Revision};

/// Key of the row that names the file in force.
pub const HEAD_KEY: &str = "config/head";

/// The row that names the file in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Revision.
    pub revision: Revision,
    /// Digest of its manifest.
    pub manifest: Digest,
    /// Id of the apply that wrote the row.
    pub apply: String,
    /// Who applied it.
    pub by: String,
    /// When, in milliseconds since 1970.
    pub at: u64,
}

/// What an instance knows of the file in force.
#[derive(Debug, Clone, Default)]
pub struct ActiveRevision {
    installed: Option<Head>,
    newest: Option<Head>,
}

impl ActiveRevision {
    /// Takes in a head learned from the store or a peer; older ones change nothing.
    ///
    /// Returns the head to fetch, if there is a newer one than the one installed.
    pub fn note_head(&mut self, head: Head) -> Option<&Head> {
        let newer =
            |known: &Option<Head>| known.as_ref().is_none_or(|k| k.revision < head.revision);
        if newer(&self.newest) && newer(&self.installed) {
            self.newest = Some(head);
        }
        self.pending()
    }

    /// Returns the head to fetch.
    pub fn pending(&self) -> Option<&Head> {
        let newest = self.newest.as_ref()?;
        let installed = self.installed.as_ref().map_or(Revision::default(), |h| h.revision);
        (newest.revision > installed).then_some(newest)
    }

    /// Notes that the content of `head` has been fetched and checked.
    ///
    /// Returns whether it is now to be put in force: false when a newer one is already.
    pub fn install(&mut self, head: Head) -> bool {
        if self.installed.as_ref().is_some_and(|h| h.revision >= head.revision) {
            return false;
        }
        self.installed = Some(head);
        true
    }

    /// Returns the head in force.
    pub fn installed(&self) -> Option<&Head> {
        self.installed.as_ref()
    }

    /// Returns the revision in force; zero when there is none.
    pub fn revision(&self) -> Revision {
        self.installed.as_ref().map_or(Revision::default(), |h| h.revision)
    }
}
