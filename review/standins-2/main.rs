//! The cases of the second review: `cases NAME FOLDER` runs one of them and writes `record.txt` to the folder.
//! Exit codes: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

mod configuration;
mod endless_answers;
mod harmful_part;
mod http;
mod lost_card;
mod other_writer;
mod record;
mod reused_address;
mod system;
mod worker;

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use record::Record;

/// Longest time of a run; 120 s are allowed.
const LONGEST_RUN: Duration = Duration::from_secs(115);

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let name = arguments.next().unwrap_or_default();
    let folder = PathBuf::from(arguments.next().unwrap_or_else(|| ".".to_owned()));
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let Ok(record) = Record::create(&folder.join("record.txt")) else {
        eprintln!("can't write record.txt in {}", folder.display());
        return ExitCode::from(2);
    };
    let record = Arc::new(record);
    limit_time(&record);
    let running = || match name.as_str() {
        "endless-answers" => endless_answers::run(&record, has_trouble),
        "harmful-part" => harmful_part::run(&record, has_trouble),
        "lost-card" => lost_card::run(&record, has_trouble),
        "other-writer" => other_writer::run(&record, has_trouble),
        "reused-address" => reused_address::run(&record, has_trouble),
        _ => Err(format!("no case is called {name}")),
    };
    let ended = catch_unwind(AssertUnwindSafe(running));
    match ended.unwrap_or_else(|_| Err("a stand-in failed".to_owned())) {
        Ok(Verdict::Held) => {
            record.line("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            record.line("the rule was broken");
            ExitCode::from(1)
        }
        Err(reason) => {
            record.line(&format!("the case couldn't run: {reason}"));
            ExitCode::from(2)
        }
    }
}

/// Ends a run that takes too long; the processes that it started end with it.
fn limit_time(record: &Arc<Record>) {
    let record = Arc::clone(record);
    thread::spawn(move || {
        thread::sleep(LONGEST_RUN);
        record.line("the case couldn't run: it took too long");
        std::process::exit(2);
    });
}
