//! Entry point of the `goldcrestward` command.

use std::process::ExitCode;

use goldcrestward::{args::Command, cmd::Run};

fn main() -> ExitCode {
    let command = goldcrestward::args::command().run();
    // The demonstration decides by its arguments where log lines go.
    if !matches!(command, Command::Demo(_)) {
        goldcrestward::logs::init();
    }
    match command.run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let code = error.code();
            if code != 0 {
                eprintln!("goldcrestward: {error}");
            }
            ExitCode::from(code)
        }
    }
}
