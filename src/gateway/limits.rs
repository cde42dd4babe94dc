//! Charges requests to their accounts, at the owner of the account or locally.

use std::sync;

use tokio::time;

use crate::clock;
use crate::config::settings;
use crate::controller::limiter;
use crate::controller::ownership;
use crate::gateway::shared;
use crate::id;
use crate::peer::message;
use crate::state::change;
use crate::unit;

/// The pause before an owner that is not ready is asked again.
const PAUSE: clock::Millis = clock::Millis::new(25);
/// The longest time that one message to an owner may take.
const OWNER_TIMEOUT: clock::Millis = clock::Millis::new(400);
/// The times that a refund is sent.
const REFUND_ATTEMPTS: u32 = 5;

/// The limiter of a gateway.
#[derive(Debug)]
pub struct Limits {
    mode: settings::Limits,
    owned: sync::Mutex<limiter::Owner>,
    local: sync::Mutex<limiter::StaticShare>,
}

impl Limits {
    /// Makes the limiter that the settings ask for.
    pub fn new(settings: &settings::Gateway, now: clock::Millis) -> Self {
        Self {
            mode: settings.limits,
            owned: sync::Mutex::new(limiter::Owner::new(now)),
            local: sync::Mutex::new(limiter::StaticShare::new(now)),
        }
    }

    /// Takes in a new configuration and the roles that go with it.
    pub fn configure(&self, cx: &shared::Shared, config: &change::Config) {
        let now = cx.clock.now();
        match self.mode {
            settings::Limits::Fleet => lock(&self.owned).configure(now, &config.accounts),
            settings::Limits::StaticShare => {
                let members = config.members.len().max(1);
                lock(&self.local).configure(now, &config.accounts, members);
            }
        }
    }

    /// Begins to own an account since an epoch, with its bucket if the owner before passed it on.
    pub fn start(&self, now: clock::Millis, account: &id::ClientAccountId, since: id::Epoch) {
        lock(&self.owned).start_account_since(now, account, since);
    }

    /// Ends to own an account.
    pub fn stop(&self, account: &id::ClientAccountId) {
        lock(&self.owned).drop_account(account);
    }

    /// Takes the bucket of an account that another instance gains in an epoch.
    pub fn hand_over(
        &self,
        now: clock::Millis,
        account: &id::ClientAccountId,
        epoch: id::Epoch,
    ) -> Option<limiter::HandOver> {
        lock(&self.owned).hand_over(now, account, epoch)
    }

    /// Keeps a bucket that the owner before passed on.
    pub fn receive(&self, now: clock::Millis, passed: &limiter::HandOver) {
        lock(&self.owned).receive(now, passed);
    }

    /// Answers a gateway as the owner of an account.
    pub fn serve(&self, cx: &shared::Shared, request: &limiter::Request) -> message::Reply {
        let role = ownership::Role::Limiter(request.account().clone());
        // Held until the charge is done: the role must not change hands in between.
        let ownership = cx.ownership();
        let now = cx.clock.now();
        if ownership.serves(now, &role) != ownership::Serving::Yes {
            return message::Reply::NotOwner(ownership.epoch());
        }
        let reply = lock(&self.owned).handle(now, request);
        message::Reply::Limiter(reply)
    }

    /// Takes tokens for a request, waiting for the owner at most as long as the request can.
    ///
    /// Returns `None` when no owner answered.
    pub async fn charge(
        &self,
        cx: &shared::Shared,
        charge: limiter::Charge,
    ) -> Option<limiter::Reply> {
        let max_wait = charge.max_wait;
        let account = charge.account.clone();
        let request = limiter::Request::Charge(charge);
        if self.mode == settings::Limits::StaticShare {
            return Some(lock(&self.local).handle(cx.clock.now(), &request));
        }
        let until = cx.clock.now() + max_wait;
        let mut last = None;
        while cx.clock.now() < until {
            let left = until - cx.clock.now();
            let asked = ask_owner(cx, &account, &request);
            let reply = time::timeout(left.as_duration(), asked)
                .await
                .ok()
                .flatten();
            let pause = match reply {
                // An owner promises tokens only a little ahead; a request that can wait longer
                // asks again when they will be there.
                Some(limiter::Reply::Refused { retry_after }) if retry_after < left => retry_after,
                Some(reply) => return Some(reply),
                None => PAUSE,
            };
            last = reply;
            time::sleep(pause.as_duration()).await;
        }
        last
    }

    /// Gives back what a request did not use.
    pub async fn refund(
        &self,
        cx: &shared::Shared,
        request: id::RequestId,
        account: &id::ClientAccountId,
        used: unit::Tokens,
    ) {
        let refund = limiter::Request::Refund(limiter::Refund {
            request,
            account: account.clone(),
            used,
        });
        if self.mode == settings::Limits::StaticShare {
            lock(&self.local).handle(cx.clock.now(), &refund);
            return;
        }
        for _ in 0..REFUND_ATTEMPTS {
            if ask_owner(cx, account, &refund).await.is_some() {
                return;
            }
            time::sleep(PAUSE.as_duration()).await;
        }
    }
}

async fn ask_owner(
    cx: &shared::Shared,
    account: &id::ClientAccountId,
    request: &limiter::Request,
) -> Option<limiter::Reply> {
    let role = ownership::Role::Limiter(account.clone());
    let owner = cx.owner(&role)?;
    if owner.id == *cx.instance() {
        return limiter_reply(cx.limits.serve(cx, request));
    }
    let request = message::Request::Limiter(message::Owned {
        epoch: cx.config().epoch,
        message: request.clone(),
    });
    let reply = cx
        .links
        .request(owner.peer_address, &request, OWNER_TIMEOUT)
        .await;
    limiter_reply(reply.ok()?)
}

fn limiter_reply(reply: message::Reply) -> Option<limiter::Reply> {
    match reply {
        message::Reply::Limiter(reply) => Some(reply),
        _ => None,
    }
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
