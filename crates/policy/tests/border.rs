//! Tests that the crates that make decisions use no I/O, no clock and no random iteration order.

use std::fs;
use std::path::{Path, PathBuf};

/// Crates that make decisions.
const DECISION_CRATES: [&str; 6] = ["base", "chart", "model", "lang", "policy", "gateway"];
/// Libraries for I/O or tasks.
const IO_LIBRARIES: [&str; 10] =
    ["tokio", "hyper", "hyper-util", "quinn", "rustls", "xtra", "store", "peer", "entry", "log4rs"];
/// Items of the standard library that must not be used for decisions.
const FORBIDDEN_ITEMS: [&str; 9] = [
    "std::fs",
    "std::io",
    "std::thread",
    "TcpStream",
    "UdpSocket",
    "Instant",
    "SystemTime",
    "HashMap",
    "HashSet",
];

fn crates_dir() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).parent().expect("the folder of crates").to_owned()
}

/// Returns the names of the dependencies in a manifest, without those of tests.
fn dependencies(manifest: &str) -> Vec<&str> {
    let from = manifest.split("[dependencies]").nth(1).unwrap_or_default();
    let own = from.split("\n[").next().unwrap_or_default();
    own.lines().filter_map(|line| line.split([' ', '=']).next()).collect()
}

fn collect_sources(folder: &Path, files: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("a folder of sources") {
        let path = entry.expect("an entry").path();
        if path.is_dir() {
            collect_sources(&path, files);
        } else {
            files.push(path);
        }
    }
}

#[test]
fn decision_crates_have_no_io_dependency() {
    for name in DECISION_CRATES {
        let manifest =
            fs::read_to_string(crates_dir().join(name).join("Cargo.toml")).expect("read");
        let dependencies = dependencies(&manifest);
        assert!(!dependencies.is_empty(), "{name}");
        for library in IO_LIBRARIES {
            assert!(!dependencies.contains(&library), "{name} depends on {library}");
        }
    }
}

#[test]
fn decision_sources_use_no_forbidden_item() {
    let mut count = 0;
    for name in DECISION_CRATES {
        let mut files = Vec::new();
        collect_sources(&crates_dir().join(name).join("src"), &mut files);
        for path in files {
            count += 1;
            let text = fs::read_to_string(&path).expect("read");
            for item in FORBIDDEN_ITEMS {
                let used = text
                    .lines()
                    .any(|line| !line.trim_start().starts_with("//") && contains_word(line, item));
                assert!(!used, "{} uses {item}", path.display());
            }
        }
    }
    assert!(count > 30, "{count} files");
}

/// Returns whether a line contains the word, not as a part of a longer one.
fn contains_word(line: &str, word: &str) -> bool {
    line.match_indices(word).any(|(at, _)| {
        let part = |c: Option<char>| c.is_some_and(|c| c.is_alphanumeric() || c == '_');
        !part(line[..at].chars().next_back()) && !part(line[at + word.len()..].chars().next())
    })
}
