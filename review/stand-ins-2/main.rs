//! Stand-ins and cases of the second review. `cases NAME RECORD BINARY` plays one case; its exit code is 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod cases;
mod engine;
mod gateway;
mod guard;
mod http;
mod narrow;
mod record;
mod store;

use std::{env, fs, path::PathBuf, process, thread, time::Duration};

use cases::{Case, Verdict};
use record::Record;

/// Longest time of a case, below the 120 s that a script may take.
const TIME_LIMIT: Duration = Duration::from_secs(110);

fn main() {
    let arguments: Vec<String> = env::args().collect();
    if arguments.get(1).is_some_and(|name| name == "engine") {
        engine::serve(&arguments[2..]);
    }
    if arguments.get(1).is_some_and(|name| name == "guard") {
        guard::serve();
    }
    let [_, name, record, binary] = &arguments[..] else {
        eprintln!("usage: cases NAME RECORD BINARY");
        process::exit(2);
    };
    let record = Record::create(&PathBuf::from(record)).unwrap_or_else(|error| {
        eprintln!("the record cannot be written: {error}");
        process::exit(2)
    });
    let folder = env::temp_dir().join(format!("review-2-{}", process::id()));
    if fs::create_dir_all(&folder).is_err() {
        process::exit(2);
    }
    guard::start();
    let watchdog = (record.clone(), folder.clone());
    thread::spawn(move || {
        thread::sleep(TIME_LIMIT);
        watchdog.0.line("the case took too long");
        end(&watchdog.1, 2);
    });
    let case = Case {
        record: record.clone(),
        folder: folder.clone(),
        binary: PathBuf::from(binary),
        trouble: env::var("TROUBLE").map_or(true, |value| value != "0"),
    };
    record.line(&format!("case {name}, trouble {}", case.trouble));
    let played = thread::spawn({
        let name = name.clone();
        move || cases::play(&name, &case)
    });
    let code = match played.join() {
        Ok(Verdict::Held) => 0,
        Ok(Verdict::Broken) => 1,
        Ok(Verdict::NotRun) | Err(_) => 2,
    };
    record.line(
        [
            "the rule held",
            "the rule was broken",
            "the case could not run",
        ][code],
    );
    end(&folder, code as i32);
}

fn end(folder: &std::path::Path, code: i32) -> ! {
    gateway::kill_all();
    if env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(folder);
    }
    process::exit(code)
}
