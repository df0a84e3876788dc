//! The programs of an upgrade.

use std::path::{Path, PathBuf};

use super::plan::Build;

#[derive(Clone, Debug)]
pub(super) struct Binaries {
    pub old: PathBuf,
    pub new: PathBuf,
}

impl Binaries {
    pub fn of(&self, build: Build) -> &Path {
        match build {
            Build::Old => &self.old,
            Build::New => &self.new,
        }
    }
}
