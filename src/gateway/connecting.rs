//! Connects a request to its backend server: by a connection of this instance, or through another instance.

use super::{forward::Forwarding, server_path::ServerPath};
use crate::{
    contract::outcome::AttemptFault,
    link::http1::Conn,
    routing::{Incarnation, PickRequest, Picked},
    utils::sync::lock,
};

impl Forwarding<'_> {
    /// Returns a connection to the picked server, through another instance if this one does not reach it.
    pub(super) fn connect(&mut self, picked: &Picked) -> Result<Conn, AttemptFault> {
        let server = &picked.server;
        let (gateway, deadline) = (self.gateway, self.request.deadline);
        self.path = ServerPath::Direct;
        if !gateway.is_unreached(&server.id) {
            let once = !self.request.route.kind.may_run_again();
            if let Some(conn) = gateway.conns.take(&server.id, once) {
                return Ok(conn);
            }
            match gateway.connect_directly(server, deadline) {
                Ok(conn) => return Ok(conn),
                // It takes less time to use another server than to find out whether another instance reaches this one.
                Err(_) if self.has_other_server(picked) => return Err(AttemptFault::Connect),
                Err(_) => {}
            }
        }
        let (conn, path) = gateway.open_tunnel(server, self.request.spread(), deadline)?;
        self.path = path;
        Ok(conn)
    }

    /// Returns whether the request may be tried at another server than the picked one.
    fn has_other_server(&self, picked: &Picked) -> bool {
        let mut tried = self.attempts.servers().to_vec();
        tried.push(picked.server.id.clone());
        let pick_request = PickRequest { tried: &tried, ..self.pick_request(None) };
        lock(&self.gateway.picker).pick(self.gateway.clock.now(), &pick_request).is_ok()
    }

    /// Returns whether the current attempt uses a connection of this instance, which has lost the path to its server.
    pub(super) fn has_lost_path(&self, server: &Incarnation) -> bool {
        self.path.is_direct() && self.gateway.is_unreached(server)
    }
}
