//! Plain-text table of the ledger.

use std::fmt::Write;

use ferry_decisions::bill::{BillAnomaly, LedgerReport};

/// Renders `report` as text with aligned columns.
pub fn render_table(report: &LedgerReport) -> String {
    let mut text = String::new();
    let _ = writeln!(
        text,
        "{:<24} {:>12} {:>16} {:>18} {:>18}",
        "WORKSPACE", "REQUESTS", "PROMPT TOKENS", "COMPLETION TOKENS", "COST (MILLIONTHS)"
    );
    for (workspace, total) in &report.workspaces {
        let _ = writeln!(
            text,
            "{:<24} {:>12} {:>16} {:>18} {:>18}",
            workspace.as_str(),
            total.requests,
            total.prompt_tokens,
            total.completion_tokens,
            total.cost
        );
    }
    let counts = &report.counts;
    let _ = writeln!(
        text,
        "\nrepeats {} (harmless), repeats that differ {}, late {}, wrong shard {}, \
         foreign records {}, gaps {}",
        counts.repeats,
        counts.repeats_that_differ,
        counts.late,
        counts.wrong_shard,
        counts.foreign,
        counts.gaps
    );
    for anomaly in &report.anomalies {
        let _ = writeln!(text, "- {}", describe(anomaly));
    }
    text
}

fn describe(anomaly: &BillAnomaly) -> String {
    match anomaly {
        BillAnomaly::RepeatDiffers {
            shard,
            offset,
            first,
            workspace,
            request,
        } => format!(
            "bills-{shard}: the bill at {offset} of request {request} of {workspace} differs from \
             the one at {first}, which counts"
        ),
        BillAnomaly::Late {
            shard,
            offset,
            workspace,
            request,
        } => format!(
            "bills-{shard}: the bill at {offset} of request {request} of {workspace} was appended \
             too late to be distinguished from a repeat; it is not counted"
        ),
        BillAnomaly::WrongShard {
            shard,
            offset,
            request,
        } => format!(
            "bills-{shard}: the bill at {offset} of request {request} belongs to another shard; \
             it is not counted"
        ),
        BillAnomaly::Foreign {
            shard,
            offset,
            problem,
        } => format!("bills-{shard}: the record at {offset} is not a batch of bills: {problem}"),
        BillAnomaly::Gap { shard, from, to } => format!(
            "bills-{shard}: the records {from} to {} expired before they were read; run \
             ferry-ledger --checkpoint at intervals shorter than the log's retention",
            to - 1
        ),
    }
}
