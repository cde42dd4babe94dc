//! Servers that are or may be cold, and permits for calls to them.

use crate::clock;
use crate::document;
use crate::fleet::cold;
use crate::fleet::ledger;
use crate::fleet::listing;
use crate::fleet::message;
use crate::id;
use crate::sorted;

impl ledger::Ledger {
    /// Replaces the services by those of a document.
    pub fn configure_cold(&mut self, services: &[document::Service]) {
        self.cold.configure(services);
    }

    /// Applies the platform's list; `cold` has the servers that it names as cold, and for how much
    /// longer.
    pub fn set_list(
        &mut self,
        now: clock::Millis,
        servers: &[message::Server],
        cold: &[(id::BackendServerId, clock::Millis)],
    ) {
        self.cold.set_list(now, servers, cold);
        self.update_limits(now);
    }

    /// Applies which data centres are in use again after an evacuation, and since when.
    pub fn set_data_centres_back(
        &mut self,
        now: clock::Millis,
        data_centres_back: &[(id::DataCentre, clock::Millis)],
    ) {
        self.cold.set_data_centres_back(now, data_centres_back);
    }

    /// Returns the word on the servers of the list for a summary.
    pub fn cold_word(
        &self,
        now: clock::Millis,
        list: Option<&listing::List>,
    ) -> Option<cold::Word> {
        self.cold.word(now, list)
    }

    /// Limits the calls to those of `servers` that are not known to be warm.
    pub(super) fn limit_cold(&mut self, now: clock::Millis, servers: &[id::BackendServerId]) {
        for server in servers {
            let rate = self.cold.limit(now, server);
            self.permits.set_cold(now, server, rate);
        }
    }

    /// Limits the calls to servers that are or may be cold, and to no others.
    pub(super) fn update_cold(&mut self, now: clock::Millis) {
        self.cold.set_report_interval(self.report_interval());
        let cold: sorted::Map<_, _> = self.cold.cold().collect();
        for server in self.permits.cold() {
            if !cold.contains(&&server) {
                self.permits.set_cold(now, &server, None);
            }
        }
        for (server, rate) in cold.iter() {
            self.permits.set_cold(now, server, Some(*rate));
        }
    }
}
