//! A parsed configuration file.

use std::{collections::BTreeMap, fs, path::Path, sync::Arc};

use snafu::ResultExt;

use super::{
    error::{ReadSnafu, Result},
    merge::Problem,
    spec::Spec,
};

/// Text of a file with its parsed content, or with the problem that kept it from being parsed.
#[derive(Clone, Debug)]
pub struct Document {
    text: Arc<str>,
    spec: Spec,
    problem: Option<Problem>,
}

impl Document {
    /// Parses a file; an empty one is valid and has no entries.
    pub fn parse(name: &Arc<str>, text: Arc<str>) -> Self {
        match serde_saphyr::from_str::<Spec>(&text) {
            Ok(spec) => Self { text, spec, problem: None },
            Err(error) if text.trim().is_empty() => {
                let _ = error;
                Self { text, spec: Spec::default(), problem: None }
            }
            Err(error) => {
                let problem = yaml_problem(name, &text, &error);
                Self { text, spec: Spec::default(), problem: Some(problem) }
            }
        }
    }

    /// Reads and parses the `.yaml` and `.yml` files of a folder.
    ///
    /// # Errors
    /// Fails when the folder or a file cannot be read.
    pub fn read_folder(folder: &Path) -> Result<BTreeMap<Arc<str>, Arc<Self>>> {
        let path = folder.display().to_string();
        let mut documents = BTreeMap::new();
        for entry in fs::read_dir(folder).context(ReadSnafu { path: &path })? {
            let entry = entry.context(ReadSnafu { path: &path })?;
            let file = entry.path();
            let is_yaml = file.extension().is_some_and(|e| e == "yaml" || e == "yml");
            if !is_yaml || !file.is_file() {
                continue;
            }
            let text = fs::read_to_string(&file).context(ReadSnafu { path: file.display().to_string() })?;
            let name: Arc<str> = entry.file_name().to_string_lossy().into();
            documents.insert(name.clone(), Arc::new(Self::parse(&name, text.into())));
        }
        Ok(documents)
    }

    pub fn text(&self) -> &Arc<str> {
        &self.text
    }

    pub(crate) fn spec(&self) -> &Spec {
        &self.spec
    }

    pub(crate) fn problem(&self) -> Option<&Problem> {
        self.problem.as_ref()
    }
}

/// Converts a parser error to a problem with line and field.
pub(crate) fn yaml_problem(name: &Arc<str>, text: &str, error: &serde_saphyr::Error) -> Problem {
    let error = error.without_snippet();
    let line = error.location().map_or(0, |l| l.line());
    let full = error.to_string();
    let message = full.lines().next().unwrap_or_default().to_owned();
    Problem { file: name.clone(), line, field: field_at(text, line), message }
}

/// Path of the field on a line, made of its key and the less indented keys above it.
fn field_at(text: &str, line: u64) -> String {
    let lines: Vec<&str> = text.lines().take(usize::try_from(line).unwrap_or(0)).collect();
    let mut keys = Vec::new();
    let mut limit = usize::MAX;
    for line in lines.into_iter().rev() {
        let indent = line.len() - line.trim_start().len();
        let key = line.trim_start().split_once(':').map(|(key, _)| key.trim_matches(['"', '\'', ' ']));
        let Some(key) = key.filter(|key| !key.is_empty() && !key.starts_with('#') && indent < limit) else { continue };
        keys.push(key);
        limit = indent;
    }
    keys.reverse();
    if keys.is_empty() { "document".into() } else { keys.join(".") }
}
