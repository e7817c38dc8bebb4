//! A scratch copy of the tree, and edits of its sources.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::{fs, io};

/// A piece of source and what takes its place.
#[derive(Debug, Clone, Copy)]
pub struct SourceEdit {
    /// Path from the root.
    pub file: &'static str,
    /// What stands there now; its first place is changed.
    pub from: &'static str,
    /// What stands there instead.
    pub to: &'static str,
}

impl SourceEdit {
    /// Edits the tree at `root`.
    pub fn apply(&self, root: &Path) -> io::Result<()> {
        let text = self.find(root)?;
        fs::write(root.join(self.file), text.replacen(self.from, self.to, 1))
    }

    /// The text of the file to edit; an error when what is to be changed does not stand there.
    pub fn find(&self, root: &Path) -> io::Result<String> {
        let text = fs::read_to_string(root.join(self.file))?;
        if text.contains(self.from) {
            return Ok(text);
        }
        let fault = format!("`{}` is not in {}: bring the table up to date", self.from, self.file);
        Err(io::Error::other(fault))
    }
}

/// Copies the tracked tree at `root` to `copy`.
pub fn refresh(root: &Path, copy: &Path) -> io::Result<()> {
    fs::create_dir_all(copy)?;
    let listed = Command::new("git").args(["ls-files", "-z"]).current_dir(root).output()?;
    for name in listed.stdout.split(|byte| *byte == 0).filter(|name| !name.is_empty()) {
        let name = PathBuf::from(String::from_utf8_lossy(name).into_owned());
        let (from, to) = (root.join(&name), copy.join(&name));
        let text = fs::read(&from)?;
        // Untouched files keep their times, so that only what was changed is built again.
        if fs::read(&to).ok().as_ref() == Some(&text) {
            continue;
        }
        if let Some(dir) = to.parent() {
            fs::create_dir_all(dir)?;
        }
        fs::write(to, text)?;
    }
    Ok(())
}
