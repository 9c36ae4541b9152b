//! Stand-ins and drivers of the review's cases: `cases NAME FOLDER`, where FOLDER gets `record.txt`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` the disruption
//! is left out.

#![allow(dead_code)]

mod crashing;
mod engine;
mod net;
mod odd_entry;
mod slow_reader;
mod stage_order;
mod stop;
mod store;
mod world;

use std::{path::PathBuf, process::exit, sync::Arc};

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(name), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: cases NAME FOLDER");
        exit(2);
    };
    if name == "server" {
        let address = arguments.next().unwrap_or_default();
        exit(crashing::serve(&folder, &address));
    }
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(world::Record::create(&format!("{folder}/record.txt")));
    let scratch = std::env::temp_dir().join(format!("tc-review-{}-{}", name, std::process::id()));
    if std::fs::create_dir_all(&scratch).is_err() {
        exit(2);
    }
    let code = run(&name, trouble, &record, &scratch);
    record.line(&format!("exit code {code}"));
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&scratch);
    }
    exit(code);
}

fn run(name: &str, trouble: bool, record: &Arc<world::Record>, scratch: &PathBuf) -> i32 {
    match name {
        "slow-reader" => slow_reader::run(trouble, record, scratch),
        "crashing" => crashing::run(trouble, record, scratch),
        "odd-entry" => odd_entry::run(trouble, record, scratch),
        "stage-order" => stage_order::run(trouble, record, scratch),
        "stop" => stop::run(trouble, record, scratch),
        _ => 2,
    }
}
