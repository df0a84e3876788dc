//! The capacity page must show what was measured.

use std::{fs, path::Path};

use standin::capacity::{render, tables};

#[test]
fn page_tables_agree_with_measurements() {
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs");
    let page = fs::read_to_string(docs.join("CAPACITY.md")).expect("the page is there");
    let tables = tables(&docs.join("measurements")).expect("the measurements are there");
    for table in &tables {
        assert!(page.contains(&format!("<!-- table: {} -->", table.name)), "the page has no table {}", table.name);
    }
    assert_eq!(render(&page, &tables), page, "a table differs; run `standin capacity --tables`");
}
