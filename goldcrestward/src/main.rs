//! Entry point of the `goldcrestward` command.

use std::process::ExitCode;

use goldcrestward::{
    args::{self, Command},
    cmd::Run,
};

fn main() -> ExitCode {
    let command = match args::parse(&args::command()) {
        Ok(command) => command,
        Err(code) => return code,
    };
    // The demonstration decides by its arguments where log lines go.
    let _flush = (!matches!(command, Command::Demo(_))).then(goldcrestward::logs::init);
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
