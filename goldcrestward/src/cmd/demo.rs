//! `goldcrestward demo`.
use super::Run;
use crate::{args::DemoArgs, error::Result};
impl Run for DemoArgs {
    fn run(self) -> Result<()> {
        Ok(())
    }
}
