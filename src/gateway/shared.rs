//! The state that all tasks of a gateway share.

use std::sync;

use tokio::sync::watch;
use tokio::time;

use crate::clock;
use crate::config::settings;
use crate::controller::freshness;
use crate::controller::ownership;
use crate::event;
use crate::gateway::control;
use crate::gateway::limits;
use crate::gateway::notifications;
use crate::gateway::placement;
use crate::gateway::platform;
use crate::gateway::reservations;
use crate::gateway::services;
use crate::gateway::suspects;
use crate::id;
use crate::peer::link;
use crate::state::change;
use crate::state::model;

/// The time between two checks of the freshness lease while waiting for it.
const FRESH_POLL_INTERVAL: clock::Millis = clock::Millis::new(10);

/// The state that the tasks of one gateway share.
#[derive(Debug)]
pub struct Shared {
    pub settings: settings::Gateway,
    pub clock: clock::Clock,
    pub links: link::Links,
    /// The log of events, read through the status interface.
    pub recorder: sync::Arc<event::Recorder>,
    pub control: control::Control,
    /// The limiter of the accounts that this gateway owns, or of its static share.
    pub limits: limits::Limits,
    /// The backend servers that the platform lists as leaving.
    pub platform: platform::Platform,
    /// The requests that may crash backend servers.
    pub suspects: suspects::Suspects,
    /// The health of the plain services.
    pub services: services::Services,
    /// The schedulers of the models that this gateway owns.
    pub placement: placement::Placement,
    /// The queue of notifications to scheduler owners.
    pub notifications: notifications::Notifications,
    /// The live reservations of requests that run at this gateway.
    pub reservations: reservations::Reservations,
    config: watch::Sender<sync::Arc<change::Config>>,
    draining: watch::Sender<bool>,
    lease: sync::Mutex<freshness::Lease>,
    ownership: sync::Mutex<ownership::Ownership>,
    role_inputs: sync::Mutex<RoleInputs>,
}

/// The values that the roles were last updated for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct RoleInputs {
    revision: id::Revision,
    settled: id::Epoch,
    was_fresh: bool,
}

impl Shared {
    /// Creates the state of a gateway that has no configuration yet.
    pub fn new(
        settings: settings::Gateway,
        clock: clock::Clock,
        identity: sync::Arc<link::Identity>,
    ) -> Self {
        let lease = freshness::Lease::new(settings.timing.freshness_lease_ms);
        let recorder = sync::Arc::clone(&identity.recorder);
        let ownership = ownership::Ownership::new(settings.instance.clone(), identity.incarnation);
        Self {
            control: control::Control::new(&settings),
            limits: limits::Limits::new(&settings, clock.now()),
            platform: platform::Platform::default(),
            suspects: suspects::Suspects::default(),
            services: services::Services::default(),
            placement: placement::Placement::default(),
            notifications: notifications::Notifications::default(),
            reservations: reservations::Reservations::default(),
            links: link::Links::new(identity),
            config: watch::Sender::default(),
            draining: watch::Sender::new(false),
            lease: sync::Mutex::new(lease),
            ownership: sync::Mutex::new(ownership),
            role_inputs: sync::Mutex::default(),
            settings,
            clock,
            recorder,
        }
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> sync::Arc<change::Config> {
        sync::Arc::clone(&self.config.borrow())
    }

    /// Returns a receiver of every later configuration.
    pub fn subscribe(&self) -> watch::Receiver<sync::Arc<change::Config>> {
        self.config.subscribe()
    }

    /// Puts a configuration in force.
    ///
    /// # Panics
    ///
    /// Panics when the configuration is older than the one in force.
    pub fn put_config(&self, config: change::Config) {
        let revision = config.revision;
        let before = self.config.send_replace(sync::Arc::new(config));
        assert!(
            before.revision <= revision,
            "a configuration is replaced by an older one"
        );
        let detail = format!("revision {revision}");
        self.recorder.record(event::Kind::Configured, detail);
        metrics::gauge!("buckthorncleat_config_revision").set(revision.as_u64() as f64);
    }

    /// Returns whether the configuration in force is confirmed recently enough to serve by it.
    pub fn is_fresh(&self) -> bool {
        self.lease().is_fresh(self.clock.now())
    }

    /// Waits until the configuration is fresh, for `max_wait` at most, and returns whether it is.
    pub async fn wait_fresh(&self, max_wait: clock::Millis) -> bool {
        let until = self.clock.now() + max_wait;
        while !self.is_fresh() && self.clock.now() < until {
            time::sleep(FRESH_POLL_INTERVAL.as_duration()).await;
        }
        self.is_fresh()
    }

    pub fn lease(&self) -> sync::MutexGuard<'_, freshness::Lease> {
        self.lease
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    pub fn ownership(&self) -> sync::MutexGuard<'_, ownership::Ownership> {
        self.ownership
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Stores the values that the roles depend on, and returns whether they changed.
    pub fn update_role_inputs(&self, revision: id::Revision, settled: id::Epoch) -> bool {
        let now = RoleInputs {
            revision,
            settled,
            was_fresh: self.is_fresh(),
        };
        let mut role_inputs = self
            .role_inputs
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        std::mem::replace(&mut *role_inputs, now) != now
    }

    /// Returns whether this gateway owns a role and may serve it now.
    pub fn serves(&self, role: &ownership::Role) -> bool {
        self.ownership().serves(self.clock.now(), role) == ownership::Serving::Yes
    }

    /// Returns the owner of a role by the configuration in force, or `None` when there is none.
    pub fn owner(&self, role: &ownership::Role) -> Option<model::Member> {
        let config = self.config();
        let owner = ownership::owner_of(role, &config.members)?;
        config.members.get(owner).cloned()
    }

    /// Returns the member record that this gateway asks the control group to hold.
    pub fn member(&self) -> model::Member {
        model::Member {
            id: self.settings.instance.clone(),
            incarnation: self.links.identity().incarnation,
            data_centre: self.settings.data_centre.clone(),
            caller_address: self.settings.caller_address,
            peer_address: self.settings.peer_address,
            leaving: self.is_draining(),
        }
    }

    /// Returns whether a graceful shutdown has begun.
    pub fn is_draining(&self) -> bool {
        *self.draining.borrow()
    }

    /// Begins a graceful shutdown.
    pub fn drain(&self) {
        if !self.draining.send_replace(true) {
            self.recorder.record(event::Kind::Draining, "");
        }
    }

    /// Returns a receiver that turns true when a graceful shutdown begins.
    pub fn drain_signal(&self) -> watch::Receiver<bool> {
        self.draining.subscribe()
    }

    /// Waits until the key is no longer in force.
    pub async fn key_withdrawn(&self, key: &model::Key) {
        let mut rx = self.subscribe();
        let gone = |config: &sync::Arc<change::Config>| config.keys.get(&key.id) != Some(key);
        if rx.wait_for(gone).await.is_err() {
            std::future::pending::<()>().await;
        }
    }

    pub fn instance(&self) -> &id::InstanceId {
        &self.settings.instance
    }
}
