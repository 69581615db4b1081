//! `redwingctl`, the operators' command-line program.

use redwingtrestle_ctl::{
    args::{self, CommandLine},
    error::Exit,
    run,
};
use std::process::ExitCode;

fn main() -> ExitCode {
    let words: Vec<String> =
        std::env::args_os().skip(1).map(|word| word.to_string_lossy().into_owned()).collect();
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    let action = match args::parse(&words) {
        CommandLine::Action(action) => action,
        CommandLine::Text(text) => {
            run::print(&text);
            return ExitCode::SUCCESS;
        }
        CommandLine::Usage(text) => {
            eprintln!("{}", text.trim_end());
            return ExitCode::from(Exit::Usage as u8);
        }
    };
    let token = std::env::var("REDWING_TOKEN").ok();
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(run::run(action, token)),
        Err(error) => {
            eprintln!("redwingctl: the runtime did not start: {error}");
            return ExitCode::from(Exit::Failure as u8);
        }
    };
    match result {
        Ok(output) => {
            run::print(&output.text);
            ExitCode::from(output.exit as u8)
        }
        Err(error) => {
            eprintln!("redwingctl: {error}");
            ExitCode::from(error.exit() as u8)
        }
    }
}
