//! Report of one step.

use std::fmt;

/// Maximum line width, in characters.
const LINE_WIDTH: usize = 100;
/// Indent of the text of a line, in characters.
const INDENT: usize = 8;

/// Findings of one step.
#[derive(Debug, Default)]
pub struct StepReport {
    findings: Vec<Finding>,
}

/// Result of one check.
#[derive(Debug)]
struct Finding {
    passed: bool,
    text: String,
}

impl StepReport {
    /// Adds the result of one check, with the finding to print.
    pub fn check(&mut self, passed: bool, finding: impl Into<String>) {
        let text = finding.into();
        self.findings.push(Finding { passed, text });
    }

    /// Creates the report of a step that could not run, with the reason.
    pub fn failed(finding: impl Into<String>) -> Self {
        let mut report = Self::default();
        report.check(false, finding);
        report
    }

    /// Whether there is at least one finding and all findings passed.
    pub fn has_passed(&self) -> bool {
        !self.findings.is_empty() && self.findings.iter().all(|finding| finding.passed)
    }
}

impl fmt::Display for StepReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in &self.findings {
            let mark = if finding.passed { "ok" } else { "FAILED" };
            let mut lines = wrap(&finding.text).into_iter();
            let first = lines.next().unwrap_or_default();
            writeln!(f, "{mark:>6}  {first}")?;
            for line in lines {
                writeln!(f, "{:INDENT$}{line}", "")?;
            }
        }
        Ok(())
    }
}

/// Wraps `text` between words into lines of at most [`LINE_WIDTH`] with the indent.
fn wrap(text: &str) -> Vec<String> {
    let mut lines = vec![String::new()];
    for word in text.split_whitespace() {
        let used = lines.last().map_or(0, String::len);
        if used > 0 && INDENT + used + 1 + word.len() > LINE_WIDTH {
            lines.push(String::new());
        }
        if let Some(line) = lines.last_mut() {
            if !line.is_empty() {
                line.push(' ');
            }
            line.push_str(word);
        }
    }
    lines
}
