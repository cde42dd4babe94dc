//! Orders to model servers, from the leader only.

use std::sync;

use tokio::sync::watch;
use tokio::time;

use crate::clock;
use crate::fleet::message;
use crate::fleet::roles;
use crate::id;
use crate::keeper::hub;
use crate::peer::server;
use crate::router::call;
use crate::router::edge;
use crate::router::upstream;

/// The time between two samples of what the servers do.
const SAMPLE_PAUSE: clock::Millis = clock::Millis::new(500);

/// How long a server may take to answer; it needs no slot for that.
const CALL_LIMIT: clock::Millis = clock::Millis::new(600);

/// Watches the work of model servers and orders changes, until `stop` turns true.
pub async fn run(
    hub: sync::Arc<hub::Hub>,
    instance: id::InstanceId,
    mut stop: watch::Receiver<bool>,
) {
    loop {
        tokio::select! {
            () = time::sleep(SAMPLE_PAUSE.as_duration()) => {}
            () = server::stopped(&mut stop) => return,
        }
        for due in hub.due_changes() {
            order(&hub, &instance, &due).await;
        }
    }
}

/// Gives one order, if the server is as it should be and this member still leads.
async fn order(hub: &hub::Hub, instance: &id::InstanceId, due: &hub::DueChange) {
    let dialect = hub.dialect();
    let ask = |ask| call::call(dialect, &due.change.server, due.address, ask, CALL_LIMIT);
    let state = ask(dialect.write_state_question()).await;
    let state = match state {
        Ok((hyper::StatusCode::OK, body)) => dialect.read_state(&body),
        Ok((status, _)) => return log_order(due, &format!("the question got {status}")),
        Err(failure) => return log_order(due, &format!("the question was {failure}")),
    };
    let state = match state {
        Ok(state) if !state.busy => state,
        Ok(_) => return log_order(due, "another order is under way"),
        Err(e) => return log_order(due, &e.to_string()),
    };
    // The lead may have ended while the server answered.
    if !hub.may_order(due.term) {
        return log_order(due, "the lead is not proven");
    }
    let order = edge::Order {
        stage: due.change.stage,
        holder: instance,
        fence: due.term,
        expected: state.orders,
    };
    let answer = ask(dialect.write_order(&order)).await;
    match answer {
        Ok((status, _)) if status.is_success() => {
            hub.note_order(due);
            log_order(due, "accepted");
        }
        Ok((status, _)) => {
            if status == hyper::StatusCode::PRECONDITION_FAILED {
                hub.stop_orders(due.term);
            }
            log_order(due, &format!("refused with {status}"));
        }
        Err(upstream::Failure::NotSent) => log_order(due, "not sent"),
        Err(failure) => {
            // It may be carried out later; the server is left alone until then.
            hub.note_order(due);
            log_order(due, &format!("sent, but {failure}"));
        }
    }
}

fn log_order(due: &hub::DueChange, outcome: &str) {
    let stage = match due.change.stage {
        message::Stage::Prefill => "prefill",
        message::Stage::Decode => "decode",
    };
    log::info!(
        event = "order",
        server = due.change.server.as_str(),
        stage = stage,
        fence = due.term.as_u64(),
        outcome = outcome;
        "order to a model server"
    );
}

/// Returns the changes that a sample of all services asks for.
pub fn sample(
    roles: &mut roles::Roles,
    now: clock::Millis,
    views: &[roles::View<'_>],
) -> Vec<roles::Change> {
    let due = views.iter().filter_map(|view| roles.sample(now, view));
    due.collect()
}
