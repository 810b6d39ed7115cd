//! `[[zone]]`: an availability zone and its region.

use serde::{Deserialize, Serialize};

use crate::{
    configs::reader::TableReader,
    names::{RegionId, ZoneId},
};

/// An availability zone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Zone {
    /// Id of the zone, unique in the file.
    pub id: ZoneId,
    /// Region that the zone belongs to.
    pub region: RegionId,
}

impl Zone {
    /// Reads a `[[zone]]` table.
    pub fn read(table: &TableReader<'_, '_>) -> Option<Zone> {
        let id = table.required("id");
        let region = table.required("region");
        Some(Zone { id: id?, region: region? })
    }
}
