//! Checks that the tables of the capacity page match the measurements. They differ if the CSV files or
//! the table generator have changed and the page was not regenerated.

use std::{fs, path::Path};

use standin::capacity::{render, tables};

#[test]
fn page_tables_agree_with_measurements() {
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs");
    let page = fs::read_to_string(docs.join("CAPACITY.md")).expect("the capacity page can be read");
    let tables = tables(&docs.join("measurements")).expect("the measurements can be read");
    for table in &tables {
        assert!(
            page.contains(&format!("<!-- table: {} -->", table.name)),
            "the page has no marker for table {}",
            table.name
        );
    }
    assert_eq!(
        render(&page, &tables),
        page,
        "the page does not match the measurements; run `standin capacity --tables`"
    );
}
