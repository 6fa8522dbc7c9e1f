//! File-based cases: each folder contains the files of one configuration and the expected result.

use std::error::Error;
use std::fs;
use std::path::Path;

use pumicecleat_config::{Source, check, digest, parse};

/// File name and content.
struct File {
    name: String,
    bytes: Vec<u8>,
}

impl File {
    fn source(&self) -> Source<'_> {
        Source {
            name: &self.name,
            bytes: &self.bytes,
        }
    }
}

fn read_files(folder: &Path) -> Result<Vec<File>, Box<dyn Error>> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder)? {
        let path = entry?.path();
        if path.extension().is_some_and(|e| e == "toml") {
            let name = path.file_name().ok_or("name")?;
            let name = name.to_string_lossy().into_owned();
            let bytes = fs::read(&path)?;
            files.push(File { name, bytes });
        }
    }
    files.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(files)
}

fn sources(files: &[File]) -> Vec<Source<'_>> {
    files.iter().map(File::source).collect()
}

fn check_equal(expected: &str, found: &str) -> datatest_stable::Result<()> {
    if expected.trim() == found.trim() {
        return Ok(());
    }
    Err(format!("expected:\n{expected}\nfound:\n{found}").into())
}

fn bad(path: &Path) -> datatest_stable::Result<()> {
    let files = read_files(path.parent().ok_or("folder")?)?;
    let found = match parse(&sources(&files)) {
        Ok(_) => "no faults".to_owned(),
        Err(faults) => faults.to_string(),
    };
    check_equal(&fs::read_to_string(path)?, &found)
}

fn good(path: &Path) -> datatest_stable::Result<()> {
    let mut files = read_files(path.parent().ok_or("folder")?)?;
    let config = parse(&sources(&files))?;
    check_equal("[]", &format!("{:?}", check(&config)))?;
    check_equal(&fs::read_to_string(path)?, &digest(&config).to_string())?;
    files.reverse();
    let reversed = parse(&sources(&files))?;
    check_equal(&digest(&config).to_string(), &digest(&reversed).to_string())
}

datatest_stable::harness! {
    { test = bad, root = "tests/cases/bad", pattern = r"faults\.txt$" },
    { test = good, root = "tests/cases/good", pattern = r"digest\.txt$" },
}
