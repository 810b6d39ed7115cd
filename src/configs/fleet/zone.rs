//! A place: an availability zone and its region.

use serde::{Deserialize, Serialize};

use crate::{
    configs::reader::TableReader,
    names::{RegionId, ZoneId},
};

/// An availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Zone {
    /// Id.
    pub id: ZoneId,
    /// The region that holds it.
    pub region: RegionId,
}

impl Zone {
    /// Reads one `[[zone]]`.
    pub fn read(table: &TableReader<'_, '_>) -> Option<Zone> {
        let id = table.required("id");
        let region = table.required("region");
        Some(Zone { id: id?, region: region? })
    }
}
