//! The initial configuration of a deployment, made as one change over the admin interface.

use buckthorncleat::clock;
use buckthorncleat::state::change;
use buckthorncleat::state::model;
use buckthorncleat::unit;

use crate::load::cluster;
use crate::load::plan;

const KV_BYTES_PER_TOKEN: unit::Bytes = unit::Bytes::new(131_072);

impl cluster::Cluster {
    /// Adds the model, routes, backend servers, accounts and keys in one change.
    ///
    /// # Errors
    ///
    /// If the control group does not accept the change within `START_TIMEOUT`, or refuses it.
    pub(super) async fn configure(&self, plan: &plan::Plan) -> buckthorncleat::Result<()> {
        let answer = self.change("load-start", self.changes(plan)).await?;
        match answer.status.is_success() {
            true => Ok(()),
            false => Err(cluster::timed_out(
                "the control group did not accept the initial configuration",
                &format!("{answer:?}"),
            )),
        }
    }

    fn changes(&self, plan: &plan::Plan) -> Vec<change::Change> {
        let mut changes = vec![change::Change::PutModel(model::Model {
            id: plan.model.id.clone(),
            first_token: plan.model.first_token_ms,
            between_tokens: plan.model.between_tokens_ms,
            max_output: unit::Tokens::new(plan.traffic.answer.max),
            kv_bytes_per_token: KV_BYTES_PER_TOKEN,
        })];
        let routes = routes(&plan.traffic);
        changes.extend(routes.iter().cloned().map(change::Change::PutRoute));
        for (i, server) in self.servers.iter().enumerate() {
            changes.push(change::Change::PutServer(
                self.backend_server(i, server, &routes),
            ));
        }
        for account in &plan.accounts {
            changes.push(change::Change::PutAccount(model::ClientAccount {
                id: account.id.clone(),
                rate: account.rate,
                burst: account.burst,
                priority: model::Priority::Normal,
                weight: account.weight,
            }));
            changes.push(change::Change::PutKey(model::Key {
                id: cluster::name(&format!("key-{}", account.id)),
                account: account.id.clone(),
                hash: model::KeyHash::from_secret(account.key.as_bytes()),
            }));
        }
        changes
    }

    fn backend_server(
        &self,
        i: usize,
        server: &cluster::Server,
        routes: &[model::Route],
    ) -> model::BackendServer {
        let is_plain = server.role == model::Role::Plain;
        let routes = routes.iter().map(|r| r.id.clone()).filter(|_| is_plain);
        model::BackendServer {
            id: cluster::name(&format!("{}-{i}", server.role)),
            address: server.address,
            data_centre: cluster::data_centre(i),
            role: server.role,
            models: if is_plain {
                Vec::new()
            } else {
                vec![self.model.clone()]
            },
            routes: routes.collect(),
            state: model::ServerState::InService,
            slots: cluster::SLOTS,
            memory: cluster::MEMORY,
            link: cluster::LINK,
            checks_fencing: true,
        }
    }
}

fn routes(traffic: &plan::Traffic) -> Vec<model::Route> {
    let route = |id: &str, prefix: &str, order: bool| model::Route {
        id: cluster::name(id),
        prefix: prefix.to_owned(),
        access: model::Access::Keyed,
        idempotent_methods: vec!["GET".to_owned()],
        require_idempotency_key: order,
        deadline: clock::Millis::from_secs(2),
        cost: traffic.call_cost,
    };
    vec![
        route("orders", &traffic.order_path, true),
        route("bookings", &traffic.booking_path, true),
        route("lookups", &traffic.lookup_path, false),
    ]
}
