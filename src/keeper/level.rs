//! Raises the feature level of the group, and reports routers that are older than it.

use crate::clock;
use crate::fleet::upgrade;
use crate::id;
use crate::peer::trailer;
use crate::replica::group;
use crate::state::command;

/// Records the version of a router. One that is older than the feature level is still served, since it
/// would otherwise go on with old documents and lists.
pub fn record_router(
    group: &group::Group,
    watch: &mut upgrade::Watch,
    now: clock::Millis,
    router: &id::InstanceId,
    version: trailer::ProtocolVersion,
) {
    watch.record_report(now, version);
    let level = group.with_state(command::State::feature_level);
    if watch.is_newly_outdated(router, version, level) {
        metrics::counter!("buckthorncleat_outdated_total", "kind" => "router").increment(1);
        log::error!(
            event = "outdated_router",
            router = router.as_str(),
            version = version.as_u64(),
            level = level.0.as_u64();
            "router {router} speaks protocol version {version} and the group is at feature level {}: \
             install a build of version {} or later there; until then it does not know of \
             evacuations and cold servers",
            level.0, level.0
        );
    }
}

/// Returns the level to propose, and logs what it waits for.
pub fn next(
    group: &group::Group,
    watch: &mut upgrade::Watch,
    now: clock::Millis,
) -> Option<command::FeatureLevel> {
    let level = group.with_state(command::State::feature_level);
    match watch.next_level(now, level, &group.status().versions) {
        Ok(next) => next,
        Err(wait) => {
            if watch.is_news(&wait) {
                log::info!(event = "feature_level_waits"; "the feature level stays at {}: {wait}", level.0);
            }
            None
        }
    }
}

/// Commits a level while this member leads in the term.
pub async fn raise(group: &group::Group, term: id::Term, next: command::FeatureLevel) {
    let command = command::Command::RaiseLevel(next);
    match group.submit_in_term(term, &command).await {
        Ok(group::Outcome::Applied(_)) => (),
        Ok(_) => log::warn!("the feature level is not raised yet; trying again"),
        Err(e) => log::error!("the feature level can't be raised: {e}"),
    }
}
