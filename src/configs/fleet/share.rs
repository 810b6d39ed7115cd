//! A share of a service's traffic that one zone is to take.

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{
    configs::{
        fleet::{Service, Zone, backend_server::unknown_reference},
        reader::TableReader,
    },
    names::{ServiceId, ZoneId},
};

/// A share.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// The service whose traffic is shared.
    pub service: ServiceId,
    /// The zone that takes the share.
    pub zone: ZoneId,
    /// The share, from 0 to 1; the shares of a service add up to 1.
    pub share: f64,
}

impl Share {
    /// Reads one `[[share]]`; its service and zone must be in the file.
    pub fn read(
        table: &TableReader<'_, '_>,
        services: &IndexMap<ServiceId, Service>,
        zones: &IndexMap<ZoneId, Zone>,
    ) -> Option<Share> {
        let service: Option<ServiceId> = table.required("service");
        let zone: Option<ZoneId> = table.required("zone");
        let share = table.number("share", 0.0, 1.0);
        if share.is_none() {
            table.add_error("share", "needs a number from 0 to 1");
        }
        let share = Share { service: service?, zone: zone?, share: share? };
        if !services.contains_key(&share.service) {
            table.add_error("service", unknown_reference("service", share.service.as_str(), None));
        }
        if !zones.contains_key(&share.zone) {
            table.add_error("zone", unknown_reference("zone", share.zone.as_str(), None));
        }
        Some(share)
    }
}
