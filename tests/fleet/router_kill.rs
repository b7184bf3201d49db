//! A router is killed. The contributors' page shows this test as its example.

use ferry_rig::ChatCall;

use crate::sample::{client, fleet};

#[tokio::test]
async fn the_other_router_answers_after_a_kill() {
    let mut rig = fleet(2).await;
    rig.routers[0].process.kill().await;
    let call = ChatCall::new("assistant", "Summarise the file");
    let result = client().chat(&rig.callers(1), &call).await;
    assert_eq!(result.answer().completion_tokens, 8);
}
