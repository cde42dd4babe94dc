//! The backend servers of a shard, by stable positions.

use crate::controller::scheduler::server;
use crate::controller::scheduler::settings;
use crate::id;
use crate::sorted;
use crate::state::model;

/// The position of a server; another may take it once the first has left the configuration.
pub type Slot = usize;

/// The backend servers of one shard.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    servers: Vec<Option<server::Server>>,
    slots: sorted::Map<id::BackendServerId, Slot>,
}

impl Fleet {
    /// Replaces the records and returns the positions whose servers have left.
    pub fn configure(
        &mut self,
        records: Vec<model::BackendServer>,
        settings: &settings::Settings,
    ) -> Vec<Slot> {
        let kept: sorted::Map<_, _> = records.iter().map(|r| (r.id.clone(), ())).collect();
        let mut gone = Vec::new();
        self.slots.retain(|id, slot| {
            let stays = kept.contains(id);
            if !stays {
                gone.push(*slot);
            }
            stays
        });
        for slot in &gone {
            self.servers[*slot] = None;
        }
        for record in records {
            self.put(record, settings);
        }
        gone
    }

    /// Finds the position of a server.
    pub fn slot(&self, id: &id::BackendServerId) -> Option<Slot> {
        self.slots.get(id).copied()
    }

    /// Returns the server at a position.
    pub fn get(&self, slot: Slot) -> Option<&server::Server> {
        self.servers.get(slot)?.as_ref()
    }

    /// Returns the server at a position to change it.
    pub fn get_mut(&mut self, slot: Slot) -> Option<&mut server::Server> {
        self.servers.get_mut(slot)?.as_mut()
    }

    /// Iterates over the servers.
    pub fn iter(&self) -> impl Iterator<Item = (Slot, &server::Server)> {
        let slots = self.servers.iter().enumerate();
        slots.filter_map(|(slot, s)| Some((slot, s.as_ref()?)))
    }

    /// Returns the name of the server at a position.
    pub fn name(&self, slot: Slot) -> Option<id::BackendServerId> {
        Some(self.get(slot)?.record.id.clone())
    }

    fn put(&mut self, record: model::BackendServer, settings: &settings::Settings) {
        if let Some(slot) = self.slot(&record.id) {
            let known = self.servers[slot].as_mut();
            known.expect("a named position holds a server").record = record;
            return;
        }
        let id = record.id.clone();
        let added = Some(server::Server::new(record, settings));
        let slot = match self.servers.iter().position(Option::is_none) {
            Some(free) => {
                self.servers[free] = added;
                free
            }
            None => {
                self.servers.push(added);
                self.servers.len() - 1
            }
        };
        self.slots.insert(id, slot);
    }
}
