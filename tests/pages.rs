//! Checks that the paths, programs, refusals and code on the pages match the repository.

use std::fs;
use std::path::{Path, PathBuf};

use ferry_router::caller::RefusalKind;

/// Prefixes of the texts on pages that are paths of the repository.
const PATH_PREFIXES: [&str; 5] = ["crates/", "src/", "tests/", "examples/", ".ci/"];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).to_owned()
}

fn page(name: &str) -> String {
    fs::read_to_string(root().join(name)).unwrap()
}

/// Texts between backticks in `text`.
fn code_spans(text: &str) -> impl Iterator<Item = &str> {
    text.split('`').skip(1).step_by(2)
}

fn assert_paths_exist(name: &str) {
    let text = page(name);
    let paths = code_spans(&text)
        .filter(|text| PATH_PREFIXES.iter().any(|folder| text.starts_with(folder)));
    for path in paths {
        assert!(root().join(path).exists(), "{name} names {path}");
    }
}

#[test]
fn the_readme_names_each_program_and_paths_that_exist() {
    let text = page("README.md");
    for entry in fs::read_dir(root().join("src/bin")).unwrap() {
        let file = entry.unwrap().path();
        let program = file.file_stem().unwrap().to_str().unwrap();
        assert!(text.contains(&format!("| `{program}` |")), "{program}");
    }
    assert_paths_exist("README.md");
}

/// The kind after `kind` in the list of all kinds; a new kind does not compile until it is added here.
fn next_kind(kind: RefusalKind) -> Option<RefusalKind> {
    match kind {
        RefusalKind::Unauthenticated => Some(RefusalKind::Forbidden),
        RefusalKind::Forbidden => Some(RefusalKind::BadRequest),
        RefusalKind::BadRequest => Some(RefusalKind::BodyTooLarge),
        RefusalKind::BodyTooLarge => Some(RefusalKind::Unknown),
        RefusalKind::Unknown => Some(RefusalKind::NoVersionAllowed),
        RefusalKind::NoVersionAllowed => Some(RefusalKind::RolloutLimit),
        RefusalKind::RolloutLimit => Some(RefusalKind::SessionVersionWithdrawn),
        RefusalKind::SessionVersionWithdrawn => Some(RefusalKind::BadSession),
        RefusalKind::BadSession => Some(RefusalKind::ConfigurationStale),
        RefusalKind::ConfigurationStale => Some(RefusalKind::Stopping),
        RefusalKind::Stopping => Some(RefusalKind::Overloaded),
        RefusalKind::Overloaded => Some(RefusalKind::WorkspaceLimit),
        RefusalKind::WorkspaceLimit => Some(RefusalKind::DeadlineTooNear),
        RefusalKind::DeadlineTooNear => Some(RefusalKind::DeadlinePassed),
        RefusalKind::DeadlinePassed => Some(RefusalKind::LogOut),
        RefusalKind::LogOut => Some(RefusalKind::Duplicate),
        RefusalKind::Duplicate => Some(RefusalKind::Quarantined),
        RefusalKind::Quarantined => Some(RefusalKind::NoUpstream),
        RefusalKind::NoUpstream => Some(RefusalKind::UpstreamFailed),
        RefusalKind::UpstreamFailed => Some(RefusalKind::RouterFailed),
        RefusalKind::RouterFailed => Some(RefusalKind::UpstreamRefused),
        RefusalKind::UpstreamRefused => None,
    }
}

#[test]
fn the_callers_page_has_a_row_for_each_kind_of_refusal() {
    let text = page("docs/CALLERS.md");
    let kinds = std::iter::successors(Some(RefusalKind::Unauthenticated), |kind| next_kind(*kind));
    for kind in kinds {
        let row = format!("| `{}` | {} |", kind.name(), kind.status().as_u16());
        assert!(text.contains(&row), "{row}");
    }
    assert_paths_exist("docs/CALLERS.md");
}

#[test]
fn the_contributors_page_shows_a_test_that_exists() {
    let text = page("CONTRIBUTING.md");
    let (_, rest) = text.split_once("```rust\n").unwrap();
    let (snippet, _) = rest.split_once("```").unwrap();
    assert!(
        page("tests/fleet/router_kill.rs").contains(snippet),
        "{snippet}"
    );
    assert_paths_exist("CONTRIBUTING.md");
}
