//! Odd records that another writer leaves among those of the configuration.

use std::time::Duration;

use ferry_decisions::config::ConfigRecord;
use ferry_rig::FleetRig;
use serde_json::{Value, json};

use crate::fleet_checks::{connected_fleet, until_same_config, until_serving, withdraw};

/// Depth of the nested values, which a parser that calls itself for each level does not survive.
const DEPTH: usize = 100_000;

/// Values that no field has, or none that can be used.
fn odd_values() -> Vec<String> {
    let nested = format!("{}{}", "[".repeat(DEPTH), "]".repeat(DEPTH));
    let plain = [
        "1e999",
        "-1",
        "1e18",
        "18446744073709551615",
        "null",
        "\"\"",
    ];
    let plain = plain.into_iter().map(str::to_owned);
    plain.chain([nested]).collect()
}

/// `record` with each field of its content replaced by each odd value in turn; and the odd values themselves.
fn odd_variants(record: &ConfigRecord) -> Vec<Vec<u8>> {
    let record = serde_json::to_value(record).unwrap();
    let mut variants: Vec<Vec<u8>> = odd_values().into_iter().map(String::into_bytes).collect();
    for path in field_paths(&record, "") {
        for value in odd_values() {
            let mut marked = record.clone();
            *marked.pointer_mut(&path).unwrap() = json!("MARK");
            let text = marked.to_string().replace("\"MARK\"", &value);
            variants.push(text.into_bytes());
        }
    }
    variants
}

/// Paths of all fields of `value`, at every depth.
fn field_paths(value: &Value, path: &str) -> Vec<String> {
    let fields = value.as_object().into_iter().flatten();
    let nested = fields.flat_map(|(name, field)| {
        let path = format!("{path}/{}", name.replace('~', "~0").replace('/', "~1"));
        let mut paths = field_paths(field, &path);
        paths.push(path);
        paths
    });
    nested.collect()
}

/// The configuration of the first router as a snapshot.
async fn snapshot(rig: &FleetRig) -> ConfigRecord {
    let state = rig.admin(0, "/config").await.unwrap();
    ConfigRecord::Snapshot(serde_json::from_value(state).unwrap())
}

/// Guards against routers that end, or that follow the configuration no more, because of one record in it.
#[tokio::test]
async fn an_odd_record_of_the_configuration_costs_only_itself() {
    let mut rig = connected_fleet(3).await;
    let snapshot = snapshot(&rig).await;
    let records = rig
        .log()
        .read("config", 0, 1, Duration::ZERO)
        .await
        .unwrap();
    let change = serde_json::from_str(&records.records[0].data).unwrap();
    for variant in odd_variants(&change)
        .into_iter()
        .chain(odd_variants(&snapshot))
    {
        rig.log().append("config", variant).await.unwrap();
    }
    for router in 0..3 {
        until_serving(&rig, router).await;
    }
    let offset = withdraw(&rig).await;
    until_same_config(&rig, &[0, 1, 2], offset).await;
    rig.routers[1].process.kill().await;
    rig.restart_router(1).await.unwrap();
    until_same_config(&rig, &[0, 1, 2], offset).await;
}
