//! Entry point of the `goldcrestward` command.

use std::process::ExitCode;

use goldcrestward::cmd::Run;

fn main() -> ExitCode {
    let _flush = goldcrestward::logs::init();
    match goldcrestward::args::command().run().run() {
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
