//! Parser for the `curl` command lines that the documentation and the programs print.

use ferry_kernel::http::HttpRequest;
use hyper::Method;
use hyper::header::{HeaderName, HeaderValue};

/// Parses a `curl` command line into the request that it sends.
///
/// Supports `-X`, `-H`, `-d` and shell quotes, and skips flags that only change the output.
///
/// # Panics
///
/// Panics on any other argument, since skipping it would leave part of the line unchecked.
pub fn curl_request(line: &str) -> HttpRequest {
    let mut words = shell_words(line).into_iter();
    assert_eq!(words.next().as_deref(), Some("curl"), "{line}");
    let mut method = None;
    let mut request = HttpRequest::new(Method::GET, "", Default::default());
    while let Some(word) = words.next() {
        let mut value = || words.next().unwrap_or_else(|| panic!("{line} ends early"));
        match word.as_str() {
            "-X" => method = Some(value().parse().expect("a method follows -X")),
            "-H" => add_header(&mut request, &value()),
            "-d" => request.body = value().into(),
            "-s" | "-i" | "-N" | "-si" | "-sN" => {}
            url if url.starts_with("http://") => request.url = url.to_owned(),
            other => panic!("{other:?} of {line} is not supported"),
        }
    }
    request.method = method.unwrap_or(if request.body.is_empty() {
        Method::GET
    } else {
        Method::POST
    });
    request
}

fn add_header(request: &mut HttpRequest, text: &str) {
    let (name, value) = text.split_once(": ").expect("a header is NAME: VALUE");
    let name: HeaderName = name.parse().expect("the name of a header is valid");
    let value = HeaderValue::from_str(value).expect("the value of a header is valid");
    request.headers.insert(name, value);
}

/// Splits a line at spaces outside quotes, and removes the quotes.
fn shell_words(line: &str) -> Vec<String> {
    let mut words = vec![String::new()];
    let mut quote = None;
    for character in line.trim().chars() {
        match (quote, character) {
            (Some(open), _) if character == open => quote = None,
            (None, '\'' | '"') => quote = Some(character),
            (None, ' ') => words.push(String::new()),
            _ => words.last_mut().expect("there is a word").push(character),
        }
    }
    words.retain(|word| !word.is_empty());
    words
}
