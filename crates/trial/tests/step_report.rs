//! A step passes only if it has at least one finding and all its findings passed.

use ferry_trial::steps::StepReport;

#[test]
fn a_report_without_findings_does_not_pass() {
    assert!(!StepReport::default().has_passed());
}

#[test]
fn one_failed_finding_fails_the_step_and_is_marked() {
    let mut report = StepReport::default();
    report.check(true, "two routers answered");
    assert!(report.has_passed());
    report.check(false, "router-3 was silent");
    report.check(true, "the log answered");
    assert!(!report.has_passed());
    let screen =
        "    ok  two routers answered\nFAILED  router-3 was silent\n    ok  the log answered\n";
    assert_eq!(report.to_string(), screen);
}

#[test]
fn long_findings_are_broken_between_words() {
    let mut report = StepReport::default();
    report.check(true, "word ".repeat(60));
    let screen = report.to_string();
    assert_eq!(screen.matches("word").count(), 60);
    assert!(screen.lines().count() > 1);
    assert!(screen.lines().all(|line| line.len() <= 100), "{screen}");
}
