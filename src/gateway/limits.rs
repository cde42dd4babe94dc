//! Charges requests to their accounts, at the limiter owner of the account or locally.

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

/// The delay before an owner that did not answer is asked again.
const OWNER_RETRY_DELAY: clock::Millis = clock::Millis::new(25);
const OWNER_TIMEOUT: clock::Millis = clock::Millis::new(400);
/// How many times a refund is sent before it is given up.
const MAX_REFUND_ATTEMPTS: u32 = 5;

/// The limiter of a gateway: the accounts that it owns, or its static share of all of them.
#[derive(Debug)]
pub struct Limits {
    mode: settings::Limits,
    owned: sync::Mutex<limiter::Owner>,
    local: sync::Mutex<limiter::StaticShare>,
}

impl Limits {
    /// Creates a limiter without accounts, in the mode of the settings.
    pub fn new(settings: &settings::Gateway, now: clock::Millis) -> Self {
        Self {
            mode: settings.limits,
            owned: sync::Mutex::new(limiter::Owner::new(now)),
            local: sync::Mutex::new(limiter::StaticShare::new(now)),
        }
    }

    /// Applies the accounts of a configuration, and for static shares the number of members.
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

    /// Starts to serve an account that this gateway owns since an epoch, with the bucket that the
    /// previous owner handed over, if any.
    pub fn start(&self, now: clock::Millis, account: &id::ClientAccountId, since: id::Epoch) {
        lock(&self.owned).start_account_since(now, account, since);
    }

    /// Stops serving an account that this gateway no longer owns.
    pub fn stop(&self, account: &id::ClientAccountId) {
        lock(&self.owned).drop_account(account);
    }

    /// Takes out the bucket of an account whose next owner starts in `epoch`, to send it there.
    ///
    /// Returns `None` when there is no bucket to hand over.
    pub fn hand_over(
        &self,
        now: clock::Millis,
        account: &id::ClientAccountId,
        epoch: id::Epoch,
    ) -> Option<limiter::HandOver> {
        lock(&self.owned).hand_over(now, account, epoch)
    }

    /// Keeps a bucket that the previous owner of its account handed over.
    pub fn receive(&self, now: clock::Millis, hand_over: &limiter::HandOver) {
        lock(&self.owned).receive(now, hand_over);
    }

    /// Answers a gateway as the limiter owner of an account, or says that this gateway is not it.
    pub fn serve(&self, cx: &shared::Shared, request: &limiter::Request) -> message::Reply {
        let role = ownership::Role::Limiter(request.account().clone());
        // Stays locked until the charge is done: the role must not move to another gateway between
        // the check and the charge.
        let ownership = cx.ownership();
        let now = cx.clock.now();
        if ownership.serves(now, &role) != ownership::Serving::Yes {
            return message::Reply::NotOwner(ownership.epoch());
        }
        let reply = lock(&self.owned).handle(now, request);
        message::Reply::Limiter(reply)
    }

    /// Charges a request, retrying for at most as long as the request can wait.
    ///
    /// Returns the owner's last answer, or `None` when no owner answered.
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
            let call = ask_owner(cx, &account, &request);
            let reply = time::timeout(left.as_duration(), call).await.ok().flatten();
            let delay = match reply {
                // An owner grants tokens only a short time ahead. A request that can wait longer
                // asks again when the tokens will be available.
                Some(limiter::Reply::Refused { retry_after }) if retry_after < left => retry_after,
                Some(reply) => return Some(reply),
                None => OWNER_RETRY_DELAY,
            };
            last = reply;
            time::sleep(delay.as_duration()).await;
        }
        last
    }

    /// Tells the limiter how many tokens a request used, so that the rest is refunded.
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
        for _ in 0..MAX_REFUND_ATTEMPTS {
            if ask_owner(cx, account, &refund).await.is_some() {
                return;
            }
            time::sleep(OWNER_RETRY_DELAY.as_duration()).await;
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
    let request = message::Request::Limiter(message::ToOwner {
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
