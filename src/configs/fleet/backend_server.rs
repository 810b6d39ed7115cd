//! `[[backend_server]]`: address, zone, capacity and abilities of one backend server.

use std::net::SocketAddr;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::{
    configs::{
        fleet::{Service, Zone},
        reader::TableReader,
    },
    names::{BackendId, ServiceId, ZoneId},
    units::{RequestCount, request_count},
    utils::nearest::nearest,
};

/// A backend server of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BackendServer {
    /// Id of the server, unique in the file.
    pub id: BackendId,
    /// Service whose requests it handles.
    pub service: ServiceId,
    /// Address it listens on.
    pub address: SocketAddr,
    /// Availability zone it runs in.
    pub zone: ZoneId,
    /// Maximum number of requests in flight.
    #[serde(deserialize_with = "request_count::deserialize_capacity")]
    pub capacity: u32,
    /// Weight of the server relative to the others of its zone; the zone's traffic is split by it.
    pub weight: f64,
    /// Whether it rejects orders that have an outdated fencing number.
    pub checks_fencing: bool,
    /// Whether it reports its load.
    pub reports_load: bool,
    /// Role that it is ordered to take. The set of roles is defined by the engines and not checked here.
    pub role: String,
    /// Whether operators are taking it out of service; it receives no new requests then.
    pub leaving: bool,
}

impl BackendServer {
    /// Reads a `[[backend_server]]` table, whose service and zone must be defined in the file.
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
        let capacity =
            table.integer("capacity", 1, u64::from(RequestCount::MAX)).unwrap_or(64) as u32;
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

/// Returns the error message for a reference to an entity that the file does not define; `near` is a similar name.
pub fn unknown_reference(kind: &str, name: &str, near: Option<&str>) -> String {
    match near {
        Some(near) => format!("{name} is no {kind} of this file; did you mean {near}?"),
        None => format!("{name} is no {kind} of this file; add a [[{kind}]] or correct the name"),
    }
}
