//! Whether the registry has all values that may have decided where streams began, after the store was restored from a
//! copy: the copy may lack some.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{StoreEra, registry::duration_ms};

/// What the store states of the registry since it was last restored. A store that was never restored states nothing.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegistryEra {
    /// Era of the store in which this was written; a copy has an earlier one.
    pub era: StoreEra,
    /// Whether an instance that knew all values from before has registered them in this era.
    pub is_complete: bool,
    /// When the registry was first written in this era, in milliseconds on the store's clock.
    pub written_at_ms: u64,
}

impl RegistryEra {
    /// Returns whether the registry has all values by which streams may have begun that callers resume for `retention`,
    /// as it was read in `era` at `now_ms` on the store's clock.
    pub fn covers(self, era: StoreEra, now_ms: u64, retention: Duration) -> bool {
        let has_expired = now_ms.saturating_sub(self.written_at_ms) >= duration_ms(retention);
        era == StoreEra::default() || (self.era == era && (self.is_complete || has_expired))
    }

    /// Returns what the store has to state in `era` once an instance has written the registry that knows all values from
    /// before or does not; `None` if it states so already.
    pub fn after_write(self, era: StoreEra, now_ms: u64, knows_all: bool) -> Option<RegistryEra> {
        if era == StoreEra::default() {
            return None;
        }
        let after = match self.era == era {
            true => RegistryEra { is_complete: self.is_complete || knows_all, ..self },
            false => RegistryEra { era, is_complete: knows_all, written_at_ms: now_ms },
        };
        (after != self).then_some(after)
    }
}
