//! Replacing a member of the control group by a new instance.

use std::time;

use stand_in::load::cluster::operate::Which;

use crate::support;

#[tokio::test]
async fn a_control_member_is_replaced_by_a_new_instance() {
    let mut deployment = support::Deployment::start().await;
    let peer_address = deployment.cluster.start_joining_control().unwrap();
    let admission = serde_json::json!({ "peer_address": peer_address });
    let admitted = deployment
        .cluster
        .change_control(hyper::Method::PUT, "control-3", &admission);
    admitted.await.unwrap();
    wait_for_voters(
        &deployment,
        &["control-0", "control-1", "control-2", "control-3"],
    )
    .await;
    deployment.cluster.child(Which::Control(0)).kill().unwrap();
    let nothing = serde_json::Value::Null;
    let dismissed = deployment
        .cluster
        .change_control(hyper::Method::DELETE, "control-0", &nothing);
    dismissed.await.unwrap();
    wait_for_voters(&deployment, &["control-1", "control-2", "control-3"]).await;
    deployment.cluster.child(Which::Control(1)).kill().unwrap();
    let answer = support::order_until_accepted(deployment.entry(0), "after-replacement").await;
    assert!(answer.status.is_success(), "{answer:?}");
    assert_eq!(deployment.runs_of("after-replacement").await, 1);
}

async fn wait_for_voters(deployment: &support::Deployment, expected: &[&str]) {
    let end = time::Instant::now() + support::HANG_TIMEOUT;
    loop {
        let mut voters = deployment.cluster.voters(2).await;
        voters.sort();
        if voters == expected {
            return;
        }
        assert!(time::Instant::now() < end, "{voters:?}");
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
}
