//! Settings from a file. Its lines name environment variables and replace their values; flags take
//! precedence over both.

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::fs;
use std::path::{Path, PathBuf};
use std::time::SystemTime;

use clap::{Command, error::ErrorKind};

use crate::SettingsError;

/// Flag that names the settings file.
const FILE_FLAG: &str = "settings-file";
/// Environment variable that names the settings file.
const FILE_VARIABLE: &str = "GANNETWAY_SETTINGS_FILE";

/// A setting that a file may contain.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KnownSetting {
    /// Name of the environment variable.
    pub variable: String,
    /// Name of the flag, without dashes.
    pub flag: String,
}

/// Returns the settings of a command's subcommands.
pub fn known_settings(command: &Command) -> Vec<KnownSetting> {
    let arguments = command.get_subcommands().flat_map(Command::get_arguments);
    let known = arguments.filter_map(|argument| {
        let variable = argument.get_env()?.to_str()?.to_owned();
        Some(KnownSetting { variable, flag: argument.get_long()?.to_owned() })
    });
    known.collect()
}

/// Parses lines `NAME=value`. Empty lines and lines that start with `#` are ignored. An error lists
/// every fault.
pub fn parse_settings_file(
    text: &str,
    known: &[KnownSetting],
) -> Result<BTreeMap<String, String>, SettingsError> {
    let (mut values, mut faults) = (BTreeMap::new(), Vec::new());
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        let number = index + 1;
        // The fault does not quote the line, which may contain a key.
        let Some((name, value)) = line.split_once('=') else {
            faults.push(format!("line {number}: give NAME=value, or a comment after `#`"));
            continue;
        };
        let name = name.trim();
        let is_known = known.iter().any(|setting| setting.variable == name);
        if !is_known || name == FILE_VARIABLE {
            faults.push(format!("line {number}: `{name}` is no setting of a settings file"));
        } else if values.insert(name.to_owned(), value.trim().to_owned()).is_some() {
            faults.push(format!("line {number}: `{name}` is set twice: remove one"));
        }
    }
    if faults.is_empty() { Ok(values) } else { Err(SettingsError(faults)) }
}

/// Whether a flag is on the command line.
fn has_flag(arguments: &[OsString], flag: &str) -> bool {
    let flag = format!("--{flag}");
    arguments.iter().filter_map(|argument| argument.to_str()).any(|argument| {
        argument.strip_prefix(&flag).is_some_and(|rest| rest.is_empty() || rest.starts_with('='))
    })
}

/// Returns the command line with the values of a settings file added as flags. Flags that are on
/// the command line are kept. An error lists each value that a flag does not accept.
pub fn add_file_values(
    command: &Command,
    arguments: &[OsString],
    text: &str,
) -> Result<Vec<OsString>, SettingsError> {
    let known = known_settings(command);
    let values = parse_settings_file(text, &known)?;
    let role = arguments.get(1).and_then(|role| command.find_subcommand(role));
    let accepts = |flag: &str| {
        role.is_some_and(|role| role.get_arguments().any(|other| other.get_long() == Some(flag)))
    };
    let (mut extended, mut faults) = (arguments.to_vec(), Vec::new());
    for (name, value) in values {
        let Some(setting) = known.iter().find(|setting| setting.variable == name) else { continue };
        // A file may serve boxes of both roles.
        if !accepts(&setting.flag) || has_flag(arguments, &setting.flag) {
            continue;
        }
        let argument = OsString::from(format!("--{}={value}", setting.flag));
        // Each value is tried alone, since an error of the parser names only one.
        let single = arguments.iter().chain([&argument]);
        let rejected = command.clone().try_get_matches_from(single).is_err_and(|error| {
            matches!(error.kind(), ErrorKind::ValueValidation | ErrorKind::InvalidValue)
        });
        if rejected {
            faults.push(format!("{name} has a value that --{} does not accept", setting.flag));
        }
        extended.push(argument);
    }
    if faults.is_empty() { Ok(extended) } else { Err(SettingsError(faults)) }
}

/// Returns the settings file that the command line or the environment names.
pub fn named_settings_file(arguments: &[OsString]) -> Option<PathBuf> {
    let flag = format!("--{FILE_FLAG}");
    let mut given = None;
    let mut rest = arguments.iter();
    while let Some(argument) = rest.next() {
        let Some(text) = argument.to_str() else { continue };
        if text == flag {
            given = rest.next().cloned();
        } else if let Some(path) = text.strip_prefix(&flag).and_then(|text| text.strip_prefix('='))
        {
            given = Some(path.into());
        }
    }
    let path = given.or_else(|| std::env::var_os(FILE_VARIABLE))?;
    (!path.is_empty()).then(|| path.into())
}

/// Modification time and size of a file; `None` if it is missing.
pub type FileStamp = Option<(SystemTime, u64)>;

/// Returns the stamp of a file.
pub fn file_stamp(path: &Path) -> FileStamp {
    let metadata = fs::metadata(path).ok()?;
    Some((metadata.modified().ok()?, metadata.len()))
}

/// Reads a settings file.
pub fn read_settings_file(path: &Path) -> Result<String, SettingsError> {
    fs::read_to_string(path).map_err(|error| {
        SettingsError(vec![format!("the settings file {}: {error}", path.display())])
    })
}
