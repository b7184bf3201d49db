//! Errors in settings files, as diagnostics that point at the line.

use std::path::Path;
use std::sync::Arc;

use miette::{Diagnostic, NamedSource, SourceSpan};

/// Why a settings file was rejected.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("the settings file {path} cannot be read: {reason}")]
    #[diagnostic(help("name a file that exists and that this user may read"))]
    Unreadable {
        /// Path as given.
        path: String,
        /// Message of the operating system.
        reason: String,
    },
    /// The text is not YAML, or has an unknown key or an invalid value.
    #[error("{problem}")]
    #[diagnostic(help("{remedy}"))]
    Malformed {
        /// What is wrong.
        problem: String,
        /// What to write instead.
        remedy: String,
        /// The whole file.
        #[source_code]
        text: Arc<NamedSource<String>>,
        /// Where the problem is.
        #[label("here")]
        span: Option<SourceSpan>,
    },
}

impl SettingsError {
    /// Error for a file at `path` that cannot be read.
    pub fn unreadable(path: &Path, error: &std::io::Error) -> Self {
        Self::Unreadable {
            path: path.display().to_string(),
            reason: error.to_string(),
        }
    }

    /// Error for `text` that the parser rejected, with the position that the parser reports.
    pub fn malformed(name: &str, text: &str, error: &serde_saphyr::Error) -> Self {
        let span = error
            .location()
            .map(|location| span_at(text, location.line() as usize, location.column() as usize));
        Self::Malformed {
            problem: first_line(&error.without_snippet().to_string()),
            remedy: "correct the marked line; docs/OPERATIONS.md lists every key with its unit"
                .to_owned(),
            text: Arc::new(NamedSource::new(name, text.to_owned())),
            span,
        }
    }

    /// Error for a value that parses but is invalid; it points at the first occurrence of `key`.
    pub fn rejected(name: &str, text: &str, key: &str, problem: &str, remedy: &str) -> Self {
        let needle = format!("{key}:");
        let span = text
            .find(&needle)
            .map(|offset| SourceSpan::from((offset, needle.len())));
        Self::Malformed {
            problem: problem.to_owned(),
            remedy: remedy.to_owned(),
            text: Arc::new(NamedSource::new(name, text.to_owned())),
            span,
        }
    }
}

/// Span from a position to the end of its line; `line` and `column` count from 1.
fn span_at(text: &str, line: usize, column: usize) -> SourceSpan {
    let start: usize = text
        .split_inclusive('\n')
        .take(line.saturating_sub(1))
        .map(str::len)
        .sum();
    let rest = text.get(start..).unwrap_or_default();
    let width = rest.lines().next().map_or(0, str::len);
    let indent = column.saturating_sub(1).min(width);
    SourceSpan::from((start + indent, width - indent))
}

fn first_line(text: &str) -> String {
    text.lines().next().unwrap_or_default().to_owned()
}
