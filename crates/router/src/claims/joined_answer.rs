//! Answer of a run in the form in which duplicates of its request receive it.

use ferry_decisions::answer::AnswerStatus;
use ferry_kernel::http::BodyFraming;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use serde::{Deserialize, Serialize};

use hyper::StatusCode;

use crate::dispatch::ServiceAnswer;

/// A complete service answer that can be sent between routers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JoinedAnswer {
    status: u16,
    headers: Vec<JoinedHeader>,
    body: Vec<u8>,
    /// Whether the service marked the end of the body by closing the connection.
    #[serde(default)]
    until_close: bool,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct JoinedHeader {
    name: String,
    value: Vec<u8>,
}

impl JoinedAnswer {
    /// Copies `answer`.
    pub fn from_service_answer(answer: &ServiceAnswer) -> Self {
        let headers = answer.headers.iter().map(|(name, value)| JoinedHeader {
            name: name.to_string(),
            value: value.as_bytes().to_vec(),
        });
        Self {
            status: answer.status.as_u16(),
            headers: headers.collect(),
            body: answer.body.to_vec(),
            until_close: answer.framing == BodyFraming::UntilClose,
        }
    }

    /// The answer for a caller; `None` when a peer sent an invalid status or header.
    pub fn into_answer(self) -> Option<ServiceAnswer> {
        let mut headers = HeaderMap::new();
        for header in &self.headers {
            let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
            headers.append(name, HeaderValue::from_bytes(&header.value).ok()?);
        }
        let status = AnswerStatus::try_from(self.status).ok()?;
        Some(ServiceAnswer {
            status: StatusCode::from_u16(status.number()).ok()?,
            headers,
            framing: match self.until_close {
                true => BodyFraming::UntilClose,
                false => BodyFraming::Delimited,
            },
            body: self.body.into(),
        })
    }
}
