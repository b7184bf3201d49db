//! Puts configurations in force, whoever they come from.

use std::sync::Arc;

use bytes::Bytes;
use ferry_kernel::http::ServerLimits;
use ferry_platform::entries::{ConfigPart, DecodedRules, EntryError, UnreadablePart, decode_rules};

use crate::relay::relay_core::SharedCore;
use crate::relay::rules_record::RulesRecord;

/// Most parts of one configuration that are logged; the metric counts all.
const LOGGED_PARTS: usize = 10;
/// Metric: parts of the newest configuration that cannot be read, by kind; the kind `configuration` for all of it.
const UNREADABLE_METRIC: &str = "ferry_unreadable_entries";
/// Metric: revision of the configuration in force.
const REVISION_METRIC: &str = "ferry_rules_revision";

/// Puts in force the `value` of the newest record of the configuration, unless its revision is not newer than the one in force.
///
/// While that record cannot be read, the rules in force are confirmed no more, so that requests are refused once they may be out of date.
pub(super) fn apply_newest(core: &SharedCore, value: Bytes) {
    let decoded = decode_rules(&value);
    core.operator_topic.set_unreadable(decoded.is_err());
    match decoded {
        Ok(decoded) => {
            set_unreadable_count("configuration", 0);
            put_in_force(core, decoded, value);
        }
        Err(error) => {
            set_unreadable_count("configuration", 1);
            spdlog::error!(
                "configuration not applied, and none confirmed until one can be read: {}",
                error
            );
        }
    }
}

/// Puts in force the `value` of a record that another router has, unless its revision is not newer than the one in force.
///
/// The store may hold a newer one: whether that can be read stays as it is.
///
/// # Errors
///
/// Fails when it cannot be read.
pub(super) fn apply_fetched(core: &SharedCore, value: Bytes) -> Result<(), EntryError> {
    let decoded = decode_rules(&value)?;
    put_in_force(core, decoded, value);
    Ok(())
}

fn put_in_force(core: &SharedCore, decoded: DecodedRules, value: Bytes) {
    let rules = decoded.rules;
    // Held until the rules are in force: others may come at the same time from the store, the sync source, and another router.
    let mut record = core.rules_record.lock();
    let current = core.revision_in_force();
    if current.is_some_and(|current| current >= rules.revision) {
        return;
    }
    spdlog::info!("configuration in force", kv: {
        revision = rules.revision,
        replaced = current.unwrap_or_default(),
        era = core.store.eras().newest().0,
        rules = rules.rule_count(),
        keys:? = rules.key_count(),
    });
    metrics::gauge!(REVISION_METRIC).set(rules.revision as f64);
    show_unreadable(&decoded.unreadable);
    core.caller_limits.set(ServerLimits {
        head_bytes: rules.limits.head_bytes,
        head_timeout: rules.limits.idle_time,
    });
    *record = RulesRecord::new(value);
    let revision = rules.revision;
    core.rules.store(Some(Arc::new(rules)));
    core.operator_topic.apply(revision);
}

/// Shows which parts of the configuration in force cannot be read.
fn show_unreadable(parts: &[UnreadablePart]) {
    for kind in ConfigPart::ALL {
        let count = parts.iter().filter(|part| part.kind == kind).count();
        set_unreadable_count(kind.name(), count);
    }
    for part in parts.iter().take(LOGGED_PARTS) {
        spdlog::error!("part of the configuration not applied: {}", part.error, kv: {
            kind = part.kind.name(),
            index = part.index,
            parts = parts.len(),
        });
    }
}

/// Shows how many parts of this `kind` of the newest configuration cannot be read.
fn set_unreadable_count(kind: &'static str, count: usize) {
    metrics::gauge!(UNREADABLE_METRIC, "kind" => kind).set(count as f64);
}
