//! A process that ends what a case started when the case itself was killed. It hears of each process that starts and ends.

use std::{
    collections::BTreeSet,
    io::{self, BufRead, Write},
    os::unix::process::CommandExt,
    process::{self, ChildStdin, Command, Stdio},
    sync::Mutex,
};

static GUARD: Mutex<Option<ChildStdin>> = Mutex::new(None);

/// Starts the guard in a process group of its own, so that a signal to the case's group does not end it.
pub fn start() {
    let program = std::env::current_exe().expect("this program");
    let guard = Command::new(program)
        .arg("guard")
        .stdin(Stdio::piped())
        .process_group(0)
        .spawn();
    *GUARD.lock().unwrap() = guard.ok().and_then(|mut guard| guard.stdin.take());
}

pub fn tell(line: &str) {
    if let Some(guard) = &mut *GUARD.lock().unwrap() {
        let _ = writeln!(guard, "{line}");
    }
}

/// Reads until the case has ended, then kills what still runs.
pub fn serve() -> ! {
    let mut running = BTreeSet::new();
    for line in io::stdin().lock().lines().map_while(Result::ok) {
        let (sign, id) = line.split_at(1);
        if sign == "+" {
            running.insert(id.to_owned());
        } else {
            running.remove(id);
        }
    }
    for id in running {
        let _ = Command::new("kill").args(["-KILL", &id]).status();
    }
    process::exit(0)
}
