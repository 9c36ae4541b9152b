//! The quick start, step by step as its page has it, with a real instance and stand-ins.
//!
//! In a test binary of its own: an instance sets up logs and metrics for its whole process.

use std::{
    collections::BTreeMap,
    fs,
    net::{Ipv4Addr, SocketAddr},
    path::{Path, PathBuf},
    process::Command,
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::{client::legacy::Client, rt::TokioExecutor};
use tc_operator::{Exit, Invocation, execute};
use tc_stand_ins::{Engine, EngineConfig, Platform, Pool, PoolConfig, Recorder};
use tokio::runtime::Runtime;

/// Longest wait for an instance to serve.
const START_LIMIT: Duration = Duration::from_secs(30);

/// The addresses on the page, and the ones that the test has for them.
struct Reader {
    addresses: BTreeMap<&'static str, String>,
    variables: BTreeMap<String, String>,
    folder: PathBuf,
    runtime: Runtime,
    instance: Option<JoinHandle<Exit>>,
}

#[test]
fn the_quick_start_works_as_written() {
    let runtime = Runtime::new().expect("a runtime");
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let recorder = Recorder::new();
    let (platform, engine, pool) = runtime.block_on(async {
        let engine = EngineConfig::new("engine-1", "generate");
        let pool = PoolConfig::new("pool-1", "encode");
        (
            Platform::start(any_port).await.expect("a platform"),
            Engine::start(any_port, engine, recorder.clone())
                .await
                .expect("an engine"),
            Pool::start(any_port, pool, recorder.clone())
                .await
                .expect("a pool"),
        )
    });
    let [callers, fleet, admin] = free_addresses();
    let folder = std::env::temp_dir().join(format!("tc-quick-start-{}", std::process::id()));
    let mut reader = Reader {
        addresses: [
            ("127.0.0.1:9400", platform.address().to_string()),
            ("127.0.0.1:42839", engine.address().to_string()),
            ("127.0.0.1:35603", pool.address().to_string()),
            ("127.0.0.1:8080", callers),
            ("127.0.0.1:8081", fleet),
            ("127.0.0.1:8082", admin),
        ]
        .into(),
        variables: BTreeMap::new(),
        folder,
        runtime,
        instance: None,
    };
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/operators/quick-start.md");
    let page = fs::read_to_string(path).expect("the page");
    reader.write_files(&page);
    let run = reader.follow(&page);
    assert_eq!(run, 13, "commands of the page");
    assert_eq!(reader.stop(), Exit::Done, "a planned stop cuts nothing off");
    let _ = fs::remove_dir_all(&reader.folder);
}

impl Reader {
    /// Writes the files of the page: each block follows the text that names it.
    fn write_files(&self, page: &str) {
        let parts: Vec<&str> = page.split("```toml\n").collect();
        assert_eq!(parts.len(), 3, "two files");
        for pair in parts.windows(2) {
            let named = pair[0].split('`').rfind(|code| code.starts_with("first/"));
            let file = self.folder.join(named.expect("the name of the file"));
            fs::create_dir_all(file.parent().expect("a folder")).expect("a folder");
            let text = pair[1].split("```").next().expect("the file");
            fs::write(file, self.replaced(text)).expect("written");
        }
    }

    /// Runs every command of the page and looks for what is shown after it; returns how many there were.
    fn follow(&mut self, page: &str) -> usize {
        let mut run = 0;
        let blocks = page.split("```console\n").skip(1);
        for block in blocks.map(|rest| rest.split("```").next().expect("a block")) {
            for step in block.split("$ ").skip(1) {
                let (line, shown) = step.split_once('\n').unwrap_or((step, ""));
                let written = self.command(line);
                for shown in shown.lines().map(str::trim).filter(|s| !s.is_empty()) {
                    assert!(
                        written.contains(shown),
                        "{line}\nshows: {shown}\nwritten: {written}"
                    );
                }
                run += 1;
            }
        }
        run
    }

    fn command(&mut self, line: &str) -> String {
        let words = words(&self.replaced(line));
        match words[0].as_str() {
            "export" => {
                let (name, value) = words[1].split_once('=').expect("a variable");
                self.variables.insert(name.to_owned(), value.to_owned());
                String::new()
            }
            "curl" => self.curl(&words[1..]),
            "tanagercroft" if words[1] == "serve" => {
                self.serve(&words);
                String::new()
            }
            "tanagercroft" => {
                let (exit, written) = run(self.invocation(&words[1..]));
                assert_eq!(exit, Exit::Done, "{line}: {written}");
                written
            }
            other => panic!("the test does not know {other}"),
        }
    }

    /// Starts the instance and waits until it serves with a configuration.
    fn serve(&mut self, words: &[String]) {
        let invocation = self.invocation(&words[1..]);
        self.instance = Some(thread::spawn(move || run(invocation).0));
        let status = [
            "status",
            "--json",
            "--admin",
            &self.addresses["127.0.0.1:8082"],
        ];
        let started = Instant::now();
        loop {
            let (exit, written) = run(self.invocation(&status.map(str::to_owned)));
            if exit == Exit::Done && written.contains("\"lowest_revision\": 1") {
                return;
            }
            assert!(started.elapsed() < START_LIMIT, "not serving: {written}");
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// Sends what `curl` with these words would send, and returns the body.
    fn curl(&self, words: &[String]) -> String {
        let mut request = Request::builder();
        let mut body = None;
        let mut url = None;
        let mut words = words.iter();
        while let Some(word) = words.next() {
            match word.as_str() {
                "-s" | "-N" => {}
                "-H" => {
                    let header = words.next().and_then(|header| header.split_once(": "));
                    let (name, value) = header.expect("a header");
                    request = request.header(name, value);
                }
                "-d" => body = words.next().cloned(),
                word => url = Some(word.to_owned()),
            }
        }
        let method = if body.is_some() { "POST" } else { "GET" };
        let request = request
            .method(method)
            .uri(url.expect("an address"))
            .body(Full::new(Bytes::from(body.unwrap_or_default())))
            .expect("a request");
        self.runtime.block_on(async {
            let client = Client::builder(TokioExecutor::new()).build_http();
            let answer = client.request(request).await.expect("an answer");
            let body = answer.into_body().collect().await.expect("a whole body");
            String::from_utf8(body.to_bytes().to_vec()).expect("UTF-8")
        })
    }

    /// Stops the instance as Ctrl-C does. The signal goes to this process, whose only listener is the instance.
    fn stop(&mut self) -> Exit {
        let killed = Command::new("kill")
            .args(["-INT", &std::process::id().to_string()])
            .status();
        assert!(killed.expect("kill").success());
        self.instance
            .take()
            .expect("an instance")
            .join()
            .expect("it ended")
    }

    fn invocation(&self, words: &[String]) -> Invocation {
        Invocation {
            words: words.to_vec(),
            variables: self.variables.clone(),
            folder: self.folder.clone(),
            terminal: true,
        }
    }

    fn replaced(&self, text: &str) -> String {
        self.addresses
            .iter()
            .fold(text.to_owned(), |text, (shown, real)| {
                text.replace(shown, real)
            })
    }
}

fn run(invocation: Invocation) -> (Exit, String) {
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = execute(invocation, &mut out, &mut err);
    out.extend(err);
    (exit, String::from_utf8(out).expect("UTF-8"))
}

/// The words of a command line, as a shell would split them: single quotes keep what is between them.
fn words(line: &str) -> Vec<String> {
    let mut words = vec![String::new()];
    for (index, part) in line.split('\'').enumerate() {
        let quoted = index % 2 == 1;
        for c in part.chars() {
            match c {
                ' ' if !quoted => words.push(String::new()),
                c => words.last_mut().expect("a word").push(c),
            }
        }
    }
    words.retain(|word| !word.is_empty());
    words
}

/// Three addresses that nothing listens on.
fn free_addresses() -> [String; 3] {
    let ip = std::net::Ipv4Addr::LOCALHOST.into();
    [(); 3].map(|()| {
        let free = tc_stand_ins::free_address(ip);
        free.expect("a free port").to_string()
    })
}
