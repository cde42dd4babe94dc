//! Records which servers this router reaches, and logs the services that it loses and finds again.

use crate::id;
use crate::router::core;
use crate::router::paths;

impl core::Core {
    /// Records whether a connection to a server could be opened.
    pub fn record_path(&self, server: &id::BackendServerId, is_reached: bool) {
        let now = self.clock.now();
        let Some((service, listed)) = self.balancer().service_of(server) else {
            return;
        };
        if !is_reached {
            self.departures().record_unreached(now, server);
        }
        let change = if is_reached {
            self.paths().record_reached(now, &service)
        } else {
            self.paths().record_unreached(now, &service, server, listed)
        };
        match change {
            None => {}
            Some(paths::Change::Lost) => {
                metrics::counter!("buckthorncleat_paths_lost_total").increment(1);
                log::warn!(
                    event = "path_lost",
                    service = service.as_str(),
                    servers = listed as u64;
                    "no server of a service can be reached; passing its requests on through other routers"
                );
                self.path_lost.notify_one();
                self.report_due.notify_one();
            }
            Some(paths::Change::Restored { after }) => log::info!(
                event = "path_restored",
                service = service.as_str(),
                server = server.as_str(),
                after_ms = after.as_u64();
                "a server of the service can be reached again"
            ),
        }
    }
}
