//! Scripts: the steps in which a scripted server writes its answer.

use std::time::Duration;

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::watch,
    time::timeout,
};

/// One step of an answer.
#[derive(Clone, Debug)]
pub enum Step {
    /// Writes bytes as they are.
    Write(String),
    /// Writes the same bytes again and again until the caller leaves.
    Repeat(String),
    /// Waits; a caller that leaves meanwhile ends the script.
    Pause(Duration),
    /// Closes with a reset instead of an orderly end.
    Reset,
    /// Closes in an orderly way, whatever was announced.
    Close,
}

/// An answer: bytes and pauses as they come on the wire.
pub type Script = Vec<Step>;

/// Outcome of a script.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Played {
    /// The connection may take another request.
    Kept,
    /// The script closed it.
    Closed,
    /// The other side closed first.
    Left,
}

/// An answer with a length.
///
/// ```
/// use tc_stand_ins::{Step, whole_answer};
/// let script = whole_answer(200, "x-mark: 1\r\n", "body");
/// assert!(matches!(&script[..], [Step::Write(text)] if text.ends_with("\r\n\r\nbody")));
/// ```
#[must_use]
pub fn whole_answer(status: u16, headers: &str, body: &str) -> Script {
    let length = body.len();
    vec![Step::Write(format!(
        "HTTP/1.1 {status} X\r\n{headers}content-length: {length}\r\n\r\n{body}"
    ))]
}

/// Plays a script; nothing is written and no connection is closed while `holds` is above zero.
pub(super) async fn play(
    stream: &mut TcpStream,
    script: Script,
    holds: &mut watch::Receiver<usize>,
) -> Played {
    let mut played = Played::Kept;
    for step in script {
        if !matches!(step, Step::Pause(_)) && holds.wait_for(|holds| *holds == 0).await.is_err() {
            return Played::Closed;
        }
        match step {
            Step::Write(text) => {
                if text.contains("connection: close") {
                    played = Played::Closed;
                }
                if stream.write_all(text.as_bytes()).await.is_err() {
                    return Played::Left;
                }
            }
            Step::Repeat(text) => {
                while stream.write_all(text.as_bytes()).await.is_ok() {}
                return Played::Left;
            }
            Step::Pause(pause) => {
                let mut byte = [0; 1];
                if let Ok(Ok(0) | Err(_)) = timeout(pause, stream.read(&mut byte)).await {
                    return Played::Left;
                }
            }
            Step::Reset => {
                // A linger of zero turns the close into a reset.
                #[allow(deprecated)]
                let _ = stream.set_linger(Some(Duration::ZERO));
                return Played::Closed;
            }
            Step::Close => return Played::Closed,
        }
    }
    played
}
