//! Each answered request is billed once, for the tokens that its caller received.

use super::StepReport;
use crate::bills::{AnswerTally, CountedBills};
use crate::trial_run::TrialRun;

/// Price units per currency unit.
const PRICE_UNITS: f64 = 1_000_000.0;

/// Compares the counted bills with the answers that the caller received.
pub async fn execute(run: &TrialRun) -> StepReport {
    let counted = match CountedBills::read(&run.deployment.fleet.log).await {
        Ok(counted) => counted,
        Err(error) => return StepReport::failed(error.to_string()),
    };
    let tally = run.tally.lock();
    let mut report = StepReport::default();
    check_requests(&mut report, &tally, &counted);
    check_tokens(&mut report, &tally, &counted);
    check_totals(&mut report, &counted);
    report
}

fn check_requests(report: &mut StepReport, tally: &AnswerTally, counted: &CountedBills) {
    let same = tally.answers().keys().eq(counted.bills.keys());
    let finding = format!(
        "{} requests answered, {} billed, {}",
        tally.answers().len(),
        counted.bills.len(),
        if same {
            "the same ones"
        } else {
            "not the same ones"
        }
    );
    report.check(same, finding);
}

/// Each bill has the tokens of its answer; only the bill of a cascade whose first answer was not kept has more.
fn check_tokens(report: &mut StepReport, tally: &AnswerTally, counted: &CountedBills) {
    let billed: u64 = counted
        .bills
        .values()
        .map(|bill| bill.completion_tokens)
        .sum();
    let more = counted.bills.iter().filter(|(id, bill)| {
        let received = tally.answers().get(*id).copied();
        received != Some(bill.completion_tokens)
    });
    let more: Vec<_> = more.map(|(_, bill)| bill).collect();
    let escalated = more.len() == 1 && more[0].version.as_str().starts_with("large");
    let finding = format!(
        "{} completion tokens received, {billed} billed; {} request billed for more than its answer, \
         for the stage of its cascade that was not kept",
        tally.tokens(),
        more.len()
    );
    report.check(escalated && billed > tally.tokens(), finding);
}

fn check_totals(report: &mut StepReport, counted: &CountedBills) {
    let totals = counted.report.workspaces.values();
    let (requests, cost) = totals.fold((0, 0), |(requests, cost), total| {
        (requests + total.requests, cost + total.cost)
    });
    let sum: u64 = counted.bills.values().map(|bill| bill.cost).sum();
    let clean = !counted.report.counts.need_attention();
    let passed = clean && cost == sum && requests == counted.bills.len() as u64;
    let anomalies = if clean { "no anomalies" } else { "anomalies" };
    let finding = format!(
        "the ledger's total is {:.6}, the sum of the bills {:.6}, {anomalies}",
        cost as f64 / PRICE_UNITS,
        sum as f64 / PRICE_UNITS
    );
    report.check(passed, finding);
}
