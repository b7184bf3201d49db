//! Each answered request is billed once, with the tokens that its caller got.

use super::StepReport;
use crate::bills::{AnswerTally, BillSheet};
use crate::trial_run::TrialRun;

/// Units of a price in one unit of the currency.
const PRICE_UNITS: f64 = 1_000_000.0;

/// Compares the bill streams with the caller's answers.
pub async fn play(run: &TrialRun) -> StepReport {
    let sheet = match BillSheet::read(&run.deployment.fleet.log).await {
        Ok(sheet) => sheet,
        Err(error) => return StepReport::failed(error.to_string()),
    };
    let tally = run.tally.lock();
    let mut report = StepReport::default();
    check_requests(&mut report, &tally, &sheet);
    check_tokens(&mut report, &tally, &sheet);
    check_totals(&mut report, &sheet);
    report
}

fn check_requests(report: &mut StepReport, tally: &AnswerTally, sheet: &BillSheet) {
    let same = tally.answers().keys().eq(sheet.bills.keys());
    let seen = format!(
        "{} requests answered, {} billed, {}",
        tally.answers().len(),
        sheet.bills.len(),
        if same {
            "the same ones"
        } else {
            "not the same ones"
        }
    );
    report.check(same, seen);
}

/// Each bill covers the answer; it holds more only for a cascade whose first answer was not kept.
fn check_tokens(report: &mut StepReport, tally: &AnswerTally, sheet: &BillSheet) {
    let billed: u64 = sheet
        .bills
        .values()
        .map(|bill| bill.completion_tokens)
        .sum();
    let more = sheet.bills.iter().filter(|(id, bill)| {
        let got = tally.answers().get(*id).copied();
        got != Some(bill.completion_tokens)
    });
    let more: Vec<_> = more.map(|(_, bill)| bill).collect();
    let escalated = more.len() == 1 && more[0].version.as_str().starts_with("large");
    let seen = format!(
        "{} completion tokens received, {billed} billed; {} request billed for more than its answer, \
         for the stage of its cascade that was not kept",
        tally.tokens(),
        more.len()
    );
    report.check(escalated && billed > tally.tokens(), seen);
}

fn check_totals(report: &mut StepReport, sheet: &BillSheet) {
    let totals = sheet.report.workspaces.values();
    let (requests, cost) = totals.fold((0, 0), |(requests, cost), total| {
        (requests + total.requests, cost + total.cost)
    });
    let sum: u64 = sheet.bills.values().map(|bill| bill.cost).sum();
    let clean = !sheet.report.counts.need_attention();
    let held = clean && cost == sum && requests == sheet.bills.len() as u64;
    let anomalies = if clean { "no anomalies" } else { "anomalies" };
    let seen = format!(
        "the ledger's total is {:.6}, the sum of the bills {:.6}, {anomalies}",
        cost as f64 / PRICE_UNITS,
        sum as f64 / PRICE_UNITS
    );
    report.check(held, seen);
}
