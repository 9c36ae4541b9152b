//! HTTP/1.1 over blocking sockets, as far as the stand-ins need it.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

/// The head of a request or of an answer, with its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line.
    pub start: String,
    /// Names in lowercase.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        let mut words = self.start.split(' ');
        words.nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Target of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }
}

/// A connection that is read message by message.
pub struct Channel {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

/// How an answer ended.
#[derive(Clone, Debug)]
pub enum Answer {
    /// It came whole.
    Whole(Message),
    /// The connection ended first, with this many bytes of the body; `None` without a head.
    Cut(Option<usize>, String),
}

impl Channel {
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Self::new(stream))
    }

    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    fn more(&mut self) -> io::Result<usize> {
        let mut part = [0; 16 << 10];
        let count = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..count]);
        Ok(count)
    }

    fn take(&mut self, count: usize) -> Vec<u8> {
        self.buffer.drain(..count).collect()
    }

    /// Reads the head of the next message; `None` at the end of the connection.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                break at + 4;
            }
            if self.more()? == 0 {
                return Ok(None);
            }
        };
        let text = String::from_utf8_lossy(&self.take(end)).into_owned();
        let mut lines = text.split("\r\n");
        let start = lines.next().unwrap_or("").to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers.map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_owned()));
        Ok(Some(Message {
            start,
            headers: headers.collect(),
            body: Vec::new(),
        }))
    }

    /// Reads the body of a message into it.
    pub fn body(&mut self, message: &mut Message) -> io::Result<()> {
        let chunked = message
            .header("transfer-encoding")
            .is_some_and(|v| v.eq_ignore_ascii_case("chunked"));
        if chunked {
            return self.chunks(message);
        }
        let length: usize = message
            .header("content-length")
            .and_then(|v| v.parse().ok())
            .unwrap_or(0);
        while message.body.len() < length {
            if self.buffer.is_empty() && self.more()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let count = self.buffer.len().min(length - message.body.len());
            let part = self.take(count);
            message.body.extend(part);
        }
        Ok(())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|w| w == b"\r\n") {
                let line = self.take(at + 2);
                return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            if self.more()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn chunks(&mut self, message: &mut Message) -> io::Result<()> {
        loop {
            let size = self.line()?;
            let size = usize::from_str_radix(size.split(';').next().unwrap_or("").trim(), 16)
                .map_err(|_| io::ErrorKind::InvalidData)?;
            while self.buffer.len() < size + 2 {
                if self.more()? == 0 {
                    let rest = self.buffer.len().min(size);
                    let rest = self.take(rest);
                    message.body.extend(rest);
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
            }
            let part = self.take(size);
            self.take(2);
            if size == 0 {
                return Ok(());
            }
            message.body.extend(part);
        }
    }

    /// Reads a request; `None` at the end of the connection.
    pub fn request(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else {
            return Ok(None);
        };
        self.body(&mut message)?;
        Ok(Some(message))
    }

    /// Reads an answer to its end.
    pub fn answer(&mut self) -> Answer {
        let mut message = match self.head() {
            Ok(Some(message)) => message,
            Ok(None) => return Answer::Cut(None, "end of the connection".to_owned()),
            Err(error) => return Answer::Cut(None, error.to_string()),
        };
        match self.body(&mut message) {
            Ok(()) => Answer::Whole(message),
            Err(error) => Answer::Cut(Some(message.body.len()), error.to_string()),
        }
    }
}
