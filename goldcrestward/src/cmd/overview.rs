//! `goldcrestward peers`, `requests` and `refusals`.

use http::{Method, StatusCode};
use serde_json::{Value, json};

use super::{
    client::{get, request},
    table::{print_json, print_table, rows},
};
use crate::{
    args::AdminArgs,
    error::{RefusedSnafu, Result},
};

/// Shows the daemons of the site.
pub(crate) fn peers(admin: &AdminArgs) -> Result<()> {
    let value = get(admin, "/admin/peers")?;
    if admin.json {
        return print_json(&value);
    }
    let fields = ["name", "state", "zone", "region", "address"];
    print_table(&["NAME", "STATE", "ZONE", "REGION", "ADDRESS"], &rows(&value["peers"], &fields))
}

/// Shows requests in flight and request outcomes.
pub(crate) fn requests(admin: &AdminArgs) -> Result<()> {
    let value = get(admin, "/admin/requests")?;
    if admin.json {
        return print_json(&value);
    }
    print_table(&["ROUTE AND END", "COUNT"], &rows(&value["ended"], &["labels", "count"]))?;
    let fields = ["replica", "version", "zone", "in_flight", "leaving"];
    print_table(&["REPLICA", "VERSION", "ZONE", "IN FLIGHT", "LEAVING"], &rows(&value["replicas"], &fields))
}

/// Shows refusals, retries and refused prompt parts, or lifts the block on a fingerprint or part.
pub(crate) fn refusals(admin: &AdminArgs, clear: Option<String>) -> Result<()> {
    let value = match clear {
        Some(fingerprint) => clear_fingerprint(admin, &fingerprint)?,
        None => get(admin, "/admin/refusals")?,
    };
    if admin.json || value["cleared"].is_string() {
        return print_json(&value);
    }
    print_table(&["REFUSAL", "COUNT"], &rows(&value["refusals"], &["labels", "count"]))?;
    print_table(&["RETRY", "COUNT"], &rows(&value["retries"], &["labels", "count"]))?;
    print_table(&["REFUSED PROMPT PARTS", "CRASHES"], &rows(&value["refused_parts"], &["parts", "crashes"]))
}

fn clear_fingerprint(admin: &AdminArgs, fingerprint: &str) -> Result<Value> {
    let body = json!({ "fingerprint": fingerprint });
    let (status, value) = request(admin, Method::POST, "/admin/clear", Some(&body))?;
    if status == StatusCode::OK {
        return Ok(value);
    }
    let message = value["error"].as_str().unwrap_or("could not clear the fingerprint");
    RefusedSnafu { message, code: 1_u8 }.fail()
}
