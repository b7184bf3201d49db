//! Planned stops under streaming load.

use ferry_rig::{ChatCall, eventually};
use futures::future::join_all;

use crate::fleet_checks::{VERSION, connected_fleet, until_serving};
use crate::sample::client;

/// Number of streams in progress on each router when it is stopped.
const STREAMS: usize = 8;
/// Number of tokens of each stream.
const TOKENS: u32 = 300;

#[tokio::test]
async fn a_planned_stop_of_each_router_in_turn_breaks_no_stream() {
    let mut rig = connected_fleet(3).await;
    for index in 0..3 {
        let address = rig.callers(index);
        let streams: Vec<_> = (0..STREAMS)
            .map(|number| {
                let address = address.clone();
                let call = ChatCall::new(VERSION, &format!("Text {number}")).tokens(TOKENS);
                tokio::spawn(async move { client().chat(&address, &call).await })
            })
            .collect();
        eventually("the streams are in progress", || async {
            let status = rig.admin(index, "/status").await?;
            (status["in_progress"].as_u64()? >= STREAMS as u64).then_some(())
        })
        .await;
        rig.routers[index].process.terminate();
        let host = rig.routers[index].host.clone();
        let other = (index + 1) % 3;
        eventually("a peer reports the router as leaving", || async {
            let status = rig.admin(other, "/status").await?;
            let members = &status["plugins"]["membership"]["members"];
            let member = members.as_array()?.iter().find(|m| m["host"] == host)?;
            (member["leaving"] == true).then_some(())
        })
        .await;
        for answer in join_all(streams).await {
            let answer = answer.unwrap().answer();
            assert_eq!(answer.completion_tokens, u64::from(TOKENS));
        }
        assert_eq!(rig.routers[index].process.wait().await, Some(0));
        rig.restart_router(index).await.unwrap();
        until_serving(&rig, index).await;
    }
}
