//! What a step showed.

use std::fmt;

/// Longest line, in characters.
const LINE_WIDTH: usize = 100;
/// Indent before the text of a line.
const INDENT: usize = 8;

/// Findings of one step.
#[derive(Debug, Default)]
pub struct StepReport {
    findings: Vec<Finding>,
}

/// One thing that was looked at.
#[derive(Debug)]
struct Finding {
    held: bool,
    text: String,
}

impl StepReport {
    /// Adds what was seen, and whether it is as it must be.
    pub fn check(&mut self, held: bool, seen: impl Into<String>) {
        let text = seen.into();
        self.findings.push(Finding { held, text });
    }

    /// The report of a step that an earlier one left nothing to work on.
    pub fn failed(seen: impl Into<String>) -> Self {
        let mut report = Self::default();
        report.check(false, seen);
        report
    }

    /// Whether something was seen and all of it is as it must be.
    pub fn held(&self) -> bool {
        !self.findings.is_empty() && self.findings.iter().all(|finding| finding.held)
    }
}

impl fmt::Display for StepReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for finding in &self.findings {
            let mark = if finding.held { "ok" } else { "FAILED" };
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

/// Breaks `text` between words into lines that fit the screen.
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
