//! Names of the users' platform stand in `platform/` alone.

use std::path::{Path, PathBuf};

/// Parts of names that only the platform's protocol, settings and headers use.
const WIRE_NAMES: [&str; 21] = [
    "chestnutferry-",
    "Chestnutferry-",
    "CHESTNUTFERRY_SETTINGS",
    "pathPrefix",
    "routeKind",
    "timeoutMs",
    "targetLatencyMs",
    "itlTargetMs",
    "apiKeys",
    "coldLeftMs",
    "durationS",
    "endOffset",
    "log-append",
    "log-read",
    "log-newest",
    "waitMs",
    "nodeName",
    "portRange",
    "revokeMs",
    "keyed.op",
    "keyed.servers",
];

fn sources(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in std::fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

#[test]
fn no_other_crate_holds_a_wire_name() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let mut files = Vec::new();
    for folder in ["crates", "src"] {
        sources(&root.join(folder), &mut files);
    }
    assert!(files.len() > 100, "the sources are found");
    for file in files {
        let text = std::fs::read_to_string(&file).unwrap();
        for name in WIRE_NAMES {
            let found = text.lines().position(|line| line.contains(name));
            let line = found.map(|index| index + 1);
            assert_eq!(line, None, "{name} stands in {}", file.display());
        }
    }
}
