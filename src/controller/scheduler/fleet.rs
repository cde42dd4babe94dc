//! The backend servers of a shard, by stable indexes.

use crate::controller::scheduler::server;
use crate::controller::scheduler::settings;
use crate::id;
use crate::sorted;
use crate::state::model;

/// The index of a server; another server may get it once the first has left the configuration.
pub type ServerIndex = usize;

/// The backend servers of one shard.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    servers: Vec<Option<server::Server>>,
    indexes: sorted::Map<id::BackendServerId, ServerIndex>,
}

impl Fleet {
    /// Replaces the configuration of the servers, and returns the indexes of those that have left.
    pub fn configure(
        &mut self,
        records: Vec<model::BackendServer>,
        settings: &settings::Settings,
    ) -> Vec<ServerIndex> {
        let kept: sorted::Map<_, _> = records.iter().map(|r| (r.id.clone(), ())).collect();
        let mut gone = Vec::new();
        self.indexes.retain(|id, index| {
            let stays = kept.contains(id);
            if !stays {
                gone.push(*index);
            }
            stays
        });
        for index in &gone {
            self.servers[*index] = None;
        }
        for record in records {
            self.put(record, settings);
        }
        gone
    }

    pub fn index_of(&self, id: &id::BackendServerId) -> Option<ServerIndex> {
        self.indexes.get(id).copied()
    }

    pub fn get(&self, index: ServerIndex) -> Option<&server::Server> {
        self.servers.get(index)?.as_ref()
    }

    pub fn get_mut(&mut self, index: ServerIndex) -> Option<&mut server::Server> {
        self.servers.get_mut(index)?.as_mut()
    }

    pub fn iter(&self) -> impl Iterator<Item = (ServerIndex, &server::Server)> {
        let servers = self.servers.iter().enumerate();
        servers.filter_map(|(index, s)| Some((index, s.as_ref()?)))
    }

    pub fn id(&self, index: ServerIndex) -> Option<id::BackendServerId> {
        Some(self.get(index)?.record.id.clone())
    }

    fn put(&mut self, record: model::BackendServer, settings: &settings::Settings) {
        if let Some(index) = self.index_of(&record.id) {
            let known = self.servers[index].as_mut();
            known.expect("an index in use has a server").record = record;
            return;
        }
        let id = record.id.clone();
        let added = Some(server::Server::new(record, settings));
        let index = match self.servers.iter().position(Option::is_none) {
            Some(free) => {
                self.servers[free] = added;
                free
            }
            None => {
                self.servers.push(added);
                self.servers.len() - 1
            }
        };
        self.indexes.insert(id, index);
    }
}
