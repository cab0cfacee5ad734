//! As much of HTTP/1.1 as the stand-ins need, over blocking sockets.

use std::io::{BufRead, BufReader, Error, ErrorKind, Read, Result, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request as a server read it.
#[derive(Debug, Clone, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

/// An answer as a client read it.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    /// Whether the body came to its end.
    pub is_whole: bool,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

impl Answer {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let mut named = headers
        .iter()
        .filter(|(key, _)| key.eq_ignore_ascii_case(name));
    named.next().map(|(_, value)| value.as_str())
}

/// Reads one request; `None` at the end of the connection.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> Result<Option<Request>> {
    let first = read_line(reader)?;
    if first.is_empty() {
        return Ok(None);
    }
    let mut words = first.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let path = words.next().unwrap_or_default().to_owned();
    let headers = read_headers(reader)?;
    let (body, _) = read_body(reader, &headers, false)?;
    Ok(Some(Request {
        method,
        path,
        headers,
        body,
    }))
}

/// Sends a request over a connection of its own and reads the answer.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> Result<Answer> {
    let stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    send(&stream, method, path, headers, body)?;
    read_answer(&mut BufReader::new(stream))
}

/// Writes a request.
pub fn send(
    mut stream: &TcpStream,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Result<()> {
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method == "POST" {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Reads an answer. A body that breaks off is returned as far as it came.
pub fn read_answer(reader: &mut BufReader<TcpStream>) -> Result<Answer> {
    let first = read_line(reader)?;
    let status = first.split(' ').nth(1).and_then(|it| it.parse().ok());
    let status = status.ok_or_else(|| Error::new(ErrorKind::InvalidData, "no answer"))?;
    let headers = read_headers(reader)?;
    let has_body = !(100..200).contains(&status);
    let (_, is_whole) = read_body(reader, &headers, has_body)?;
    Ok(Answer {
        status,
        headers,
        is_whole,
    })
}

fn read_line(reader: &mut impl BufRead) -> Result<String> {
    let mut line = String::new();
    reader.read_line(&mut line)?;
    Ok(line.trim_end_matches(['\r', '\n']).to_owned())
}

fn read_headers(reader: &mut impl BufRead) -> Result<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        let Some((name, value)) = line.split_once(':') else {
            return Ok(headers);
        };
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
}

fn read_body(
    reader: &mut impl BufRead,
    headers: &[(String, String)],
    ends_with_connection: bool,
) -> Result<(Vec<u8>, bool)> {
    let mut body = Vec::new();
    if find(headers, "transfer-encoding").is_some() {
        let is_whole = read_chunks(reader, &mut body);
        return Ok((body, is_whole));
    }
    if let Some(length) = find(headers, "content-length").and_then(|it| it.parse::<u64>().ok()) {
        let read = reader.take(length).read_to_end(&mut body);
        let is_whole = read.is_ok() && body.len() as u64 == length;
        return Ok((body, is_whole));
    }
    if ends_with_connection {
        let is_whole = reader.read_to_end(&mut body).is_ok();
        return Ok((body, is_whole));
    }
    Ok((body, true))
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> bool {
    loop {
        let Ok(line) = read_line(reader) else {
            return false;
        };
        let Ok(length) = u64::from_str_radix(line.trim(), 16) else {
            return false;
        };
        let before = body.len() as u64;
        if reader.take(length).read_to_end(body).is_err() || body.len() as u64 != before + length {
            return false;
        }
        if read_line(reader).is_err() {
            return false;
        }
        if length == 0 {
            return true;
        }
    }
}

/// Writes an answer with a length.
pub fn answer(
    mut stream: &TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Result<()> {
    let mut head = format!("HTTP/1.1 {status} Status\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// The whole number in a field of a JSON object, wherever the field stands.
pub fn json_number(text: &str, field: &str) -> Option<u64> {
    let (_, rest) = text.split_once(&format!("\"{field}\":"))?;
    let digits: String = rest
        .trim_start()
        .chars()
        .take_while(char::is_ascii_digit)
        .collect();
    digits.parse().ok()
}
