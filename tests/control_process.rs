//! Three control processes that are killed, frozen or lose their disk: no acknowledged change is
//! lost.

mod control_support;

use control_support::cluster;
use control_support::operators;

/// Acknowledged changes that one phase of a test waits for.
const CHANGES: usize = 40;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn acknowledged_changes_survive_killed_members() {
    let mut cluster = cluster::Cluster::start(3).await;
    let mut writer = cluster.writer();
    writer.write(CHANGES).await;
    for _ in 0..3 {
        let leader = cluster.leader().await;
        writer.write_while(CHANGES, || cluster.kill(leader)).await;
        cluster.restart(leader);
        writer.write(CHANGES).await;
    }
    for member in 0..3 {
        cluster.kill(member);
    }
    for member in 0..3 {
        cluster.restart(member);
    }
    writer.write(1).await;
    writer.check().await;
    cluster.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn acknowledged_changes_survive_a_frozen_leader() {
    let cluster = cluster::Cluster::start(3).await;
    let mut writer = cluster.writer();
    writer.write(CHANGES).await;
    for _ in 0..2 {
        let leader = cluster.leader().await;
        writer
            .write_while(CHANGES, || cluster.signal(leader, "STOP"))
            .await;
        cluster.signal(leader, "CONT");
        writer.write(CHANGES).await;
    }
    writer.check().await;
    cluster.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_member_that_lost_its_disk_joins_again_and_votes() {
    let mut cluster = cluster::Cluster::start(3).await;
    let mut writer = cluster.writer();
    writer.write(CHANGES).await;
    let leader = cluster.leader().await;
    writer.write_while(CHANGES, || cluster.kill(leader)).await;
    cluster.delete_data_folder(leader);
    cluster.restart(leader);
    cluster.wait_until_voter(leader).await;
    // With another member killed, a majority needs the vote of the repaired one.
    let second = (leader + 1) % 3;
    writer.write_while(CHANGES, || cluster.kill(second)).await;
    writer.check().await;
    cluster.restart(second);
    writer.write(CHANGES).await;
    writer.check().await;
    cluster.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_of_racing_operators_wins_while_leaders_are_killed() {
    let mut cluster = cluster::Cluster::start(3).await;
    let addresses = cluster.admin_addresses();
    let client = operators::client(&addresses, 0);
    let mut winners = Vec::new();
    for round in 0..12 {
        let expected = operators::revision(&client).await;
        let leader = cluster.leader().await;
        let racers = operators::race(&addresses, round, expected);
        if round % 3 == 1 {
            cluster.kill(leader);
            cluster.restart(leader);
        }
        winners.push(operators::check_one_winner(racers, expected).await);
    }
    assert_eq!(operators::operations(&client).await, winners);
    cluster.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_disk_error_stops_the_member_and_the_others_go_on() {
    let mut cluster = cluster::Cluster::start(3).await;
    let mut writer = cluster.writer();
    writer.write(CHANGES).await;
    let leader = cluster.leader().await;
    // The next snapshot fails, since its folder is gone.
    cluster.delete_data_folder(leader);
    writer.write(CHANGES * 2).await;
    let status = cluster.wait_until_exit(leader).await;
    assert!(!status.success());
    writer.check().await;
    cluster.restart(leader);
    cluster.wait_until_voter(leader).await;
    writer.check().await;
    cluster.stop().await;
}
