//! HTTP/1.1 messages, read from and written to sockets.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The first line, the headers and the body of a message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line, in its three parts.
    pub start: [String; 3],
    /// Headers; names are in lower case.
    pub headers: Vec<(String, String)>,
    /// The whole body.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the first header of a name, which is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(found, _)| found == name).map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.start[1].parse().unwrap_or(0)
    }

    /// Returns the target of a request.
    pub fn target(&self) -> &str {
        &self.start[1]
    }
}

/// Reads a message; `Ok(None)` means that the connection was closed before it began.
pub fn read(reader: &mut BufReader<TcpStream>, is_response: bool) -> io::Result<Option<Message>> {
    let Some(line) = read_line(reader)? else { return Ok(None) };
    let mut parts = line.splitn(3, ' ').map(str::to_owned);
    let mut part = || parts.next().unwrap_or_default();
    let mut message = Message { start: [part(), part(), part()], ..Message::default() };
    if is_response && !message.start[0].starts_with("HTTP/1.") {
        return Err(invalid("no response in the protocol"));
    }
    loop {
        let line = read_line(reader)?.ok_or_else(|| invalid("the head broke off"))?;
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':').ok_or_else(|| invalid("no header"))?;
        message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
    }
    let length = message.header("content-length").and_then(|text| text.parse::<usize>().ok());
    if message.header("transfer-encoding").is_some() {
        read_chunks(reader, &mut message.body)?;
    } else if let Some(length) = length {
        message.body.resize(length, 0);
        reader.read_exact(&mut message.body)?;
    } else if is_response && message.status() != 204 {
        reader.read_to_end(&mut message.body)?;
    }
    Ok(Some(message))
}

fn read_line(reader: &mut BufReader<TcpStream>) -> io::Result<Option<String>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    Ok(Some(line.trim_end_matches(['\r', '\n']).to_owned()))
}

fn read_chunks(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let line = read_line(reader)?.ok_or_else(|| invalid("the body broke off"))?;
        let size = usize::from_str_radix(line.trim(), 16).map_err(|_| invalid("no chunk"))?;
        let at = body.len();
        body.resize(at + size, 0);
        reader.read_exact(&mut body[at..])?;
        read_line(reader)?;
        if size == 0 {
            return Ok(());
        }
    }
}

fn invalid(text: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, text)
}

/// Formats a message with a body of a stated length.
pub fn format(start: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{start}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Opens a connection whose reads and writes end after `timeout`.
pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    Ok(stream)
}

/// Sends one GET on a connection of its own.
pub fn get(address: SocketAddr, target: &str) -> io::Result<Message> {
    let mut stream = connect(address, Duration::from_secs(1))?;
    let host = address.to_string();
    let head = format!("GET {target} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n\r\n");
    stream.write_all(head.as_bytes())?;
    read(&mut BufReader::new(stream), true)?.ok_or_else(|| invalid("closed without an answer"))
}
