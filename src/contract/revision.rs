//! Which revision of the configuration is active at an instance; it only ever increases.

use serde::{Deserialize, Serialize};

use crate::{configs::fleet::chunks::Digest, units::Revision};

/// Key of the row that names the newest configuration.
pub const HEAD_KEY: &str = "config/head";

/// The row that names the newest configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Revision of the configuration.
    pub revision: Revision,
    /// Digest of its manifest.
    pub manifest: Digest,
    /// Id of the apply that wrote the row.
    pub apply: String,
    /// Name of the operator who applied it.
    pub by: String,
    /// Time of the apply, in milliseconds since 1970.
    pub at: u64,
}

/// The head that an instance has installed, and the newest head that it has received.
#[derive(Debug, Clone, Default)]
pub struct ActiveRevision {
    installed: Option<Head>,
    newest: Option<Head>,
}

impl ActiveRevision {
    /// Notes a head received from the store or a peer; an older one changes nothing.
    ///
    /// Returns the head to fetch, if one newer than the installed one has been received.
    pub fn note_head(&mut self, head: Head) -> Option<&Head> {
        let newer =
            |other: &Option<Head>| other.as_ref().is_none_or(|o| o.revision < head.revision);
        if newer(&self.newest) && newer(&self.installed) {
            self.newest = Some(head);
        }
        self.pending()
    }

    /// Returns the head to fetch, if one newer than the installed one has been received.
    pub fn pending(&self) -> Option<&Head> {
        let newest = self.newest.as_ref()?;
        let installed = self.installed.as_ref().map_or(Revision::default(), |h| h.revision);
        (newest.revision > installed).then_some(newest)
    }

    /// Notes that the content of `head` cannot be fetched or decoded. It is fetched again when the store or a peer names
    /// it again; a row that is corrected may name an older one.
    pub fn note_not_installed(&mut self, head: &Head) {
        if self.newest.as_ref() == Some(head) {
            self.newest = None;
        }
    }

    /// Notes that the content of `head` has been fetched and checked.
    ///
    /// Returns whether to activate it: false if this or a newer revision is already installed.
    pub fn install(&mut self, head: Head) -> bool {
        if self.installed.as_ref().is_some_and(|h| h.revision >= head.revision) {
            return false;
        }
        self.installed = Some(head);
        true
    }

    /// Returns the head of the active configuration.
    pub fn installed(&self) -> Option<&Head> {
        self.installed.as_ref()
    }

    /// Returns the active revision, or zero if none is installed.
    pub fn revision(&self) -> Revision {
        self.installed.as_ref().map_or(Revision::default(), |h| h.revision)
    }
}
