//! Minimal HTTP/1.1 for stand-ins: reading requests and answers, and a server with a thread per connection.

use std::{
    io::{ErrorKind, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// A request that was received whole.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// Returns the value of a header; empty if it is missing.
    pub fn header(&self, name: &str) -> &str {
        header(&self.headers, name)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns the value of a query parameter.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }
}

fn header<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    let found = headers
        .iter()
        .find(|(key, _)| key.eq_ignore_ascii_case(name));
    found.map_or("", |(_, value)| value)
}

/// Buffered reader of a connection.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    fn fill(&mut self) -> std::io::Result<usize> {
        let mut chunk = [0; 16 << 10];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    fn line(&mut self) -> std::io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                let line = String::from_utf8_lossy(&line);
                return Ok(Some(line.trim_end_matches(['\r', '\n']).to_owned()));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    fn exact(&mut self, count: usize) -> std::io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if self.fill()? == 0 {
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    fn head(&mut self) -> std::io::Result<Option<(String, Vec<(String, String)>)>> {
        let Some(first) = self.line()? else {
            return Ok(None);
        };
        let mut headers = Vec::new();
        loop {
            let line = self.line()?.ok_or(ErrorKind::UnexpectedEof)?;
            if line.is_empty() {
                return Ok(Some((first, headers)));
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.push((name.to_owned(), value.trim().to_owned()));
            }
        }
    }

    fn chunks(&mut self) -> std::io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.line()?.ok_or(ErrorKind::UnexpectedEof)?;
            let size = line.split(';').next().unwrap_or_default().trim();
            let size = usize::from_str_radix(size, 16).map_err(|_| ErrorKind::InvalidData)?;
            if size == 0 {
                while !self.line()?.ok_or(ErrorKind::UnexpectedEof)?.is_empty() {}
                return Ok(body);
            }
            body.extend(self.exact(size)?);
            self.line()?;
        }
    }

    /// Reads a request; `None` if the connection has ended before one.
    pub fn request(&mut self) -> std::io::Result<Option<Request>> {
        let Some((first, headers)) = self.head()? else {
            return Ok(None);
        };
        let mut words = first.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default().to_owned();
        let body = if header(&headers, "transfer-encoding").contains("chunked") {
            self.chunks()?
        } else {
            self.exact(header(&headers, "content-length").parse().unwrap_or(0))?
        };
        Ok(Some(Request {
            method,
            target,
            headers,
            body,
        }))
    }
}

/// What a caller got on its connection.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if no head arrived.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the answer has its end.
    pub is_complete: bool,
    /// Why reading ended before that.
    pub problem: String,
    pub took: Duration,
}

impl Answer {
    pub fn header(&self, name: &str) -> &str {
        header(&self.headers, name)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// How a caller reads an answer: `pause(bytes read so far)` is waited for before each read of the body.
pub type Pace<'a> = &'a dyn Fn(usize) -> Duration;

/// Sends a request on an open connection and reads its answer.
pub fn exchange(stream: TcpStream, text: &[u8], pace: Pace<'_>) -> Answer {
    let began = Instant::now();
    let mut answer = Answer::default();
    let result = read_answer(stream, text, pace, &mut answer);
    if let Err(error) = result {
        answer.problem = error.to_string();
    }
    answer.took = began.elapsed();
    answer
}

fn read_answer(
    stream: TcpStream,
    text: &[u8],
    pace: Pace<'_>,
    answer: &mut Answer,
) -> std::io::Result<()> {
    let mut reader = Reader::new(stream);
    reader.stream.write_all(text)?;
    let (first, headers) = reader.head()?.ok_or(ErrorKind::UnexpectedEof)?;
    answer.status = first
        .split(' ')
        .nth(1)
        .and_then(|s| s.parse().ok())
        .unwrap_or(0);
    answer.headers = headers;
    if answer.header("transfer-encoding").contains("chunked") {
        return read_chunks(&mut reader, pace, answer);
    }
    let length: usize = answer.header("content-length").parse().unwrap_or(0);
    answer.body = std::mem::take(&mut reader.buffer);
    let mut chunk = vec![0; 2 << 10];
    while answer.body.len() < length {
        thread::sleep(pace(answer.body.len()));
        let count = reader.stream.read(&mut chunk)?;
        if count == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        answer.body.extend_from_slice(&chunk[..count]);
    }
    answer.is_complete = true;
    Ok(())
}

fn read_chunks(reader: &mut Reader, pace: Pace<'_>, answer: &mut Answer) -> std::io::Result<()> {
    loop {
        thread::sleep(pace(answer.body.len()));
        let line = reader.line()?.ok_or(ErrorKind::UnexpectedEof)?;
        let size = usize::from_str_radix(line.trim(), 16).map_err(|_| ErrorKind::InvalidData)?;
        if size == 0 {
            reader.line()?;
            answer.is_complete = true;
            return Ok(());
        }
        let bytes = reader.exact(size)?;
        answer.body.extend(bytes);
        reader.line()?;
    }
}

/// Sends a request on a new connection and reads its answer.
pub fn send(address: SocketAddr, text: &[u8], limit: Duration) -> Answer {
    match TcpStream::connect_timeout(&address, Duration::from_secs(1)) {
        Ok(stream) => {
            let _ = stream.set_nodelay(true);
            let _ = stream.set_read_timeout(Some(limit));
            exchange(stream, text, &|_| Duration::ZERO)
        }
        Err(error) => Answer {
            problem: error.to_string(),
            ..Answer::default()
        },
    }
}

/// Serves connections until the process ends. `serve` gets each request; false ends the connection.
pub fn listen<F>(listener: TcpListener, serve: F)
where
    F: Fn(&Request, &mut Reader) -> bool + Send + Sync + 'static,
{
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                let mut reader = Reader::new(stream);
                while let Ok(Some(request)) = reader.request() {
                    if !serve(&request, &mut reader) {
                        return;
                    }
                }
            });
        }
    });
}

/// Returns the bytes of an answer with a length.
pub fn with_length(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
