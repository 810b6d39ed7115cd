//! A backend server: where it is, what it can carry, what it checks and reports.

use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{
    configs::{
        fleet::{Service, Zone},
        reader::TableReader,
    },
    names::{BackendId, ServiceId, ZoneId},
    utils::nearest::nearest,
};

/// A backend server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BackendServer {
    /// Id.
    pub id: BackendId,
    /// The service it answers for.
    pub service: ServiceId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The zone it stands in.
    pub zone: ZoneId,
    /// Most requests in flight.
    pub capacity: u32,
    /// Share of its zone's traffic, relative to the zone's other servers.
    pub weight: f64,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// Whether it reports its load.
    pub reports_load: bool,
    /// Role that it is ordered to have; what roles there are is the engines' matter.
    pub role: String,
    /// Whether operators are taking it out: nothing new goes to it.
    pub leaving: bool,
}

impl BackendServer {
    /// Reads one `[[backend_server]]`; its service and zone must be in the file.
    pub fn read(
        table: &TableReader<'_, '_>,
        services: &IndexMap<ServiceId, Service>,
        zones: &IndexMap<ZoneId, Zone>,
    ) -> Option<BackendServer> {
        let id = table.required("id");
        let service: Option<ServiceId> = table.required("service");
        let address = table.required_address("address");
        let zone: Option<ZoneId> = table.required("zone");
        if let Some(service) = service.as_ref().filter(|id| !services.contains_key(*id)) {
            let near = nearest(service.as_str(), services.keys().map(ServiceId::as_str));
            table.add_error("service", unknown_reference("service", service.as_str(), near));
        }
        if let Some(zone) = zone.as_ref().filter(|id| !zones.contains_key(*id)) {
            let near = nearest(zone.as_str(), zones.keys().map(ZoneId::as_str));
            table.add_error("zone", unknown_reference("zone", zone.as_str(), near));
        }
        let capacity = table.integer("capacity", 1, 1_000_000).unwrap_or(64) as u32;
        let weight = table.number("weight", 0.001, 1000.0).unwrap_or(1.0);
        let checks_fencing = table.flag("checks_fencing").unwrap_or(false);
        let reports_load = table.flag("reports_load").unwrap_or(false);
        let role = table.text("role").unwrap_or_else(|| "both".to_owned());
        let leaving = table.flag("leaving").unwrap_or(false);
        let server = BackendServer {
            id: id?,
            service: service?,
            address: address?,
            zone: zone?,
            capacity,
            weight,
            checks_fencing,
            reports_load,
            role,
            leaving,
        };
        if server.address.port() == 0 {
            table.add_error("address", "has port 0; state the port it listens on");
        }
        Some(server)
    }
}

/// Returns the message for a reference to a thing that the file lacks.
pub fn unknown_reference(kind: &str, name: &str, near: Option<&str>) -> String {
    match near {
        Some(near) => format!("{name} is no {kind} of this file; did you mean {near}?"),
        None => format!("{name} is no {kind} of this file; add a [[{kind}]] or correct the name"),
    }
}
