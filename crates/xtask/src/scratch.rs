//! A scratch copy of the source tree, and text edits of its files.

use std::path::{Path, PathBuf};
use std::process::Command;
use std::{fs, io};

/// A text replacement in one source file.
#[derive(Debug, Clone, Copy)]
pub struct SourceEdit {
    /// Path relative to the repository root.
    pub file: &'static str,
    /// Text to replace; only the first occurrence is replaced.
    pub from: &'static str,
    /// Replacement text.
    pub to: &'static str,
}

impl SourceEdit {
    /// Applies the edit to the tree at `root`.
    pub fn apply(&self, root: &Path) -> io::Result<()> {
        let text = self.find(root)?;
        fs::write(root.join(self.file), text.replacen(self.from, self.to, 1))
    }

    /// Returns the content of the file to edit, or an error if it does not contain `from`.
    pub fn find(&self, root: &Path) -> io::Result<String> {
        let text = fs::read_to_string(root.join(self.file))?;
        if text.contains(self.from) {
            return Ok(text);
        }
        let fault = format!("`{}` is not in {}: update the edit", self.from, self.file);
        Err(io::Error::other(fault))
    }
}

/// Copies all files tracked by git from `root` to `copy`.
pub fn update_copy(root: &Path, copy: &Path) -> io::Result<()> {
    fs::create_dir_all(copy)?;
    let listed = Command::new("git").args(["ls-files", "-z"]).current_dir(root).output()?;
    for name in listed.stdout.split(|byte| *byte == 0).filter(|name| !name.is_empty()) {
        let name = PathBuf::from(String::from_utf8_lossy(name).into_owned());
        let (from, to) = (root.join(&name), copy.join(&name));
        let text = fs::read(&from)?;
        // Keeps the modification time of unchanged files, so that cargo rebuilds only changed ones.
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
