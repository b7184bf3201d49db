//! The pages name what exists.

use std::fs;
use std::path::{Path, PathBuf};

/// Starts of the paths that pages name.
const FOLDERS: [&str; 5] = ["crates/", "src/", "tests/", "examples/", ".ci/"];

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).to_owned()
}

fn page(name: &str) -> String {
    fs::read_to_string(root().join(name)).unwrap()
}

/// Texts between backticks.
fn quoted(text: &str) -> impl Iterator<Item = &str> {
    text.split('`').skip(1).step_by(2)
}

fn assert_paths_exist(name: &str) {
    let text = page(name);
    let paths = quoted(&text).filter(|text| FOLDERS.iter().any(|folder| text.starts_with(folder)));
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
