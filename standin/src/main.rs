//! Command-line entry point of the stand-ins.

use std::process::ExitCode;

fn main() -> ExitCode {
    match standin::cmd::run(standin::args::command().run()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standin: {error}");
            ExitCode::FAILURE
        }
    }
}
