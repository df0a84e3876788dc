//! Generates `goldcrestward/src/pb/peer.rs` from `proto/peer.proto`.
//!
//! Run `cargo run` in this directory after each change to the protocol and commit the result.

use std::{error::Error, fs};

fn main() -> Result<(), Box<dyn Error>> {
    let descriptors = protox::compile(["../peer.proto"], [".."])?;
    let out = "../../goldcrestward/src/pb";
    prost_build::Config::new().out_dir(out).compile_fds(descriptors)?;
    fs::rename(format!("{out}/goldcrestward.peer.rs"), format!("{out}/peer.rs"))?;
    Ok(())
}
