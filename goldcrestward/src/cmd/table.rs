//! Output as tables and as JSON.

use std::io::{self, Write};

use serde_json::Value;
use snafu::ResultExt;

use crate::error::{Result, WriteSnafu};

/// Prints a value as indented JSON.
pub(crate) fn print_json(value: &Value) -> Result<()> {
    writeln!(io::stdout().lock(), "{value:#}").context(WriteSnafu)
}

/// Prints rows in aligned columns under headings.
pub(crate) fn print_table(headings: &[&str], rows: &[Vec<String>]) -> Result<()> {
    let widths: Vec<usize> = (0..headings.len())
        .map(|column| {
            let cells = rows.iter().map(|row| row[column].chars().count());
            cells.chain([headings[column].len()]).max().unwrap_or(0)
        })
        .collect();
    let mut out = io::stdout().lock();
    let headings: Vec<String> = headings.iter().map(ToString::to_string).collect();
    for row in std::iter::once(&headings).chain(rows) {
        let cells: Vec<_> = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}")).collect();
        writeln!(out, "{}", cells.join("  ").trim_end()).context(WriteSnafu)?;
    }
    Ok(())
}

/// Converts an array of objects to table rows, with one cell for each field.
pub(crate) fn rows(array: &Value, fields: &[&str]) -> Vec<Vec<String>> {
    let objects = array.as_array().map(Vec::as_slice).unwrap_or_default();
    objects.iter().map(|object| fields.iter().map(|field| cell(&object[*field])).collect()).collect()
}

fn cell(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(text) => text.clone(),
        Value::Array(items) => items.iter().map(cell).collect::<Vec<_>>().join(" "),
        other => other.to_string(),
    }
}
