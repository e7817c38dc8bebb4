//! Mutation testing: removes one mechanism at a time in a scratch copy and expects a test to fail.
//!
//! A guarantee counts as tested only if its test fails without the mechanism behind it. Each
//! mutation is a source edit and the test that must detect it.

mod boxes;
mod job_logs;
mod jobs;
mod targets;

use std::io;
use std::path::Path;
use std::process::Command;

use crate::scratch::{SourceEdit, update_copy};

/// The removal of one mechanism.
struct Mutation {
    /// Describes the faulty behavior; `mutate FILTER` matches a part of it.
    name: &'static str,
    file: &'static str,
    from: &'static str,
    to: &'static str,
    package: &'static str,
    /// Test name filter; empty runs all tests of the package.
    test: &'static str,
}

impl Mutation {
    const fn edit(&self) -> SourceEdit {
        SourceEdit { file: self.file, from: self.from, to: self.to }
    }
}

/// Returns the edits of all mutations.
pub fn edits() -> impl Iterator<Item = SourceEdit> {
    mutations().map(Mutation::edit)
}

/// The mutations of all areas; a mutation belongs to the area of the crate that it edits.
const AREAS: [&[Mutation]; 4] =
    [boxes::MUTATIONS, job_logs::MUTATIONS, jobs::MUTATIONS, targets::MUTATIONS];

fn mutations() -> impl Iterator<Item = &'static Mutation> {
    AREAS.into_iter().flatten()
}

/// Runs every mutation whose name contains `only`. Returns an error that lists the mutations that
/// no test detected.
pub fn mutate(root: &Path, only: Option<&str>) -> io::Result<()> {
    let copy = root.join("target/mutate/tree");
    let mut undetected = Vec::new();
    for mutation in mutations().filter(|m| only.is_none_or(|only| m.name.contains(only))) {
        update_copy(root, &copy)?;
        // A test that fails without the mutation would appear to detect it.
        if !test_passes(&copy, mutation)? {
            let fault = format!("{}: its test fails without the mutation", mutation.name);
            return Err(io::Error::other(fault));
        }
        mutation.edit().apply(&copy)?;
        let detected = !test_passes(&copy, mutation)?;
        println!("{} {}", if detected { "noticed  " } else { "UNNOTICED" }, mutation.name);
        if !detected {
            undetected.push(mutation.name);
        }
    }
    if undetected.is_empty() {
        return Ok(());
    }
    Err(io::Error::other(format!("no test detected: {}", undetected.join("; "))))
}

fn test_passes(copy: &Path, mutation: &Mutation) -> io::Result<bool> {
    let cargo = |args: &[&str]| {
        Command::new("cargo")
            .args(args)
            .current_dir(copy)
            .env("CARGO_TARGET_DIR", copy.join("../target"))
            .env("INSTA_UPDATE", "no")
            .output()
    };
    let built = cargo(&["build", "--quiet", "--workspace", "--bins"])?;
    if !built.status.success() {
        let text = String::from_utf8_lossy(&built.stderr).into_owned();
        return Err(io::Error::other(format!("{} does not build: {text}", mutation.name)));
    }
    let tested = cargo(&["test", "--quiet", "--package", mutation.package, mutation.test])?;
    Ok(tested.status.success())
}
