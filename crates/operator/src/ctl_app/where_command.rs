//! `ferryctl where`: explains where a request would go now, without sending it.

use std::net::SocketAddr;
use std::time::Duration;

use ferry_kernel::http::{HttpClient, HttpRequest};
use ferry_kernel::settings;
use ferry_router::relay::PLACEMENT_PATH;
use ferry_router::relay::status::{
    CandidateReport, PlacementPoints, PlacementReport, PlacementRequest,
};
use hyper::StatusCode;
use serde_json::{Value, json};

use super::flags::Where;
use super::{CtlError, table};

/// Time limit for the call to the relay.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum size of an answer, in bytes; an upstream takes about 500.
const ANSWER_LIMIT: usize = 4 * 1024 * 1024;

/// Prints where the request that `command` describes would go.
pub async fn run(command: Where, json: bool) -> Result<u8, CtlError> {
    let address = command.address;
    let described = describe(command)?;
    let report = ask(address, &described).await?;
    if json {
        println!("{}", json!(report));
    } else {
        show(&report);
    }
    Ok(0)
}

/// The request that `command` describes: the values of its file, overridden by its flags.
fn describe(command: Where) -> Result<PlacementRequest, CtlError> {
    let mut described = match &command.file {
        Some(file) => settings::read_file(file)?,
        None => PlacementRequest::default(),
    };
    let missing = |flag| {
        CtlError::BadInput(format!(
            "the request has no {flag}; give --{flag}, or {flag} in the file"
        ))
    };
    set(&mut described.host, command.host);
    set(&mut described.path, command.path);
    if described.host.is_empty() {
        return Err(missing("host"));
    }
    if described.path.is_empty() {
        return Err(missing("path"));
    }
    set(&mut described.prompt_tokens, command.prompt_tokens);
    set(&mut described.answer_tokens, command.answer_tokens);
    described.model = command.model.or(described.model);
    described.hint = command.hint.or(described.hint);
    described.session = command.session.or(described.session);
    described.deadline_ms = command.deadline_ms.or(described.deadline_ms);
    if command.workspace.is_some() || command.key.is_some() {
        described.workspace = command.workspace;
        described.key = command.key;
    }
    if !command.part.is_empty() {
        described.parts = command.part;
    }
    if !command.tried.is_empty() {
        described.tried = command.tried;
    }
    if let Some(text) = &command.points {
        described.points = Some(read_points(text)?);
    }
    Ok(described)
}

fn set<T>(value: &mut T, flag: Option<T>) {
    if let Some(flag) = flag {
        *value = flag;
    }
}

fn read_points(text: &str) -> Result<PlacementPoints, CtlError> {
    let numbers = text.split_once(',');
    let points = numbers.and_then(|(first, second)| {
        Some(PlacementPoints {
            first: first.trim().parse().ok()?,
            second: second.trim().parse().ok()?,
        })
    });
    points.ok_or_else(|| {
        CtlError::BadInput(format!(
            "{text:?} are no random numbers; write --points FIRST,SECOND, as in 0.25,0.5"
        ))
    })
}

async fn ask(
    address: SocketAddr,
    described: &PlacementRequest,
) -> Result<PlacementReport, CtlError> {
    let url = format!("http://{address}{PLACEMENT_PATH}");
    let request = HttpRequest::post_json(&url, described);
    let client = HttpClient::default();
    let response = client.fetch_response(request, CALL_TIMEOUT.into(), ANSWER_LIMIT);
    let response = response.await.map_err(|error| {
        CtlError::NoAnswer(format!(
            "{error}; check the address and --metrics-port of the relay"
        ))
    })?;
    let status = response.status();
    let body = response.into_body();
    if status == StatusCode::OK {
        return serde_json::from_slice(&body).map_err(|error| {
            CtlError::NoAnswer(format!(
                "{address}: the answer is no explanation ({error}); the relay may be of an older build, ask another one"
            ))
        });
    }
    let answer: Value = serde_json::from_slice(&body).unwrap_or_default();
    let detail = answer["detail"].as_str().unwrap_or("no detail");
    let text = format!("{address} answered {status}: {detail}");
    Err(match status.is_client_error() {
        true => CtlError::BadInput(text),
        false => CtlError::NoAnswer(text),
    })
}

fn show(report: &PlacementReport) {
    println!(
        "rule {} of revision {}, service {}, model {}, asked on {} in {}",
        report.rule,
        report.revision,
        or_dash(&report.service),
        or_dash(&report.model),
        report.host,
        report.zone,
    );
    println!(
        "time left {} ms, choice by {}, points {},{}, rules {} ms old, upstreams {} ms old",
        report.time_left_ms,
        if report.by_work {
            "expected work"
        } else {
            "request counts"
        },
        report.points.first,
        report.points.second,
        report.rules_age_ms,
        report.upstreams_age_ms,
    );
    if let Some(start) = &report.start {
        println!("start stage {} ({})", start.stage, start.reason);
    }
    if let Some(share) = report.share.filter(|share| *share < 1.0) {
        println!("contended: {share:.2} of such requests are within the share of their workspace");
    }
    match (&report.chosen, &report.rejection) {
        (Some(upstream), _) if report.asks_permit => {
            println!("would be sent to {upstream}, if a permit is issued");
        }
        (Some(upstream), _) => println!("would be sent to {upstream}"),
        (None, Some(rejection)) => {
            let retry_after = rejection
                .retry_after_ms
                .map(|time| format!(", Retry-After {time} ms"));
            println!(
                "would be rejected with {} ({}){}: {}",
                rejection.status,
                rejection.reason,
                retry_after.unwrap_or_default(),
                rejection.detail,
            );
        }
        (None, None) => println!("the relay states no result"),
    }
    println!();
    let headers = [
        "UPSTREAM",
        "ZONE",
        "VERSION",
        "EXPECTED MS",
        "OWN",
        "OTHERS",
        "OTHERS AGE",
        "SLOWNESS",
        "CONTENTION",
        "LOAD AGE",
        "PERMIT",
        "EXCLUDED",
    ];
    let rows: Vec<_> = report.candidates.iter().map(candidate_row).collect();
    table::print(&headers, &rows);
}

fn candidate_row(candidate: &CandidateReport) -> Vec<String> {
    let expected = candidate.expected_ms.zip(candidate.expected_high_ms);
    let age = |age: Option<u64>| age.map_or_else(|| "-".to_owned(), |age| format!("{age} ms"));
    let excluded = candidate.excluded.iter().map(|reason| {
        let name = json!(reason);
        name.as_str().unwrap_or_default().to_owned()
    });
    let excluded: Vec<String> = excluded.collect();
    vec![
        candidate.upstream.clone(),
        candidate.zone.clone(),
        candidate.version.clone(),
        expected.map_or_else(
            || "-".to_owned(),
            |(mean, high)| format!("{mean} (90%: {high})"),
        ),
        work(candidate.own_requests, candidate.own_work_ms),
        work(candidate.others_requests, candidate.others_work_ms),
        age(candidate.others_age_ms),
        format!("{:.2}", candidate.slowness),
        match candidate.contention_age_ms {
            Some(age) => format!("{:.2} ({age} ms)", candidate.contention),
            None => format!("{:.2} (mean)", candidate.contention),
        },
        age(candidate.load_age_ms),
        match (candidate.is_cold, candidate.needs_permit) {
            (true, _) => "cold",
            (false, true) => "limit",
            (false, false) => "-",
        }
        .to_owned(),
        or_dash(&excluded.join(" ")).to_owned(),
    ]
}

/// Requests and the time that is left of them.
fn work(requests: u32, work_ms: u64) -> String {
    format!("{requests}: {work_ms} ms")
}

fn or_dash(text: &str) -> &str {
    if text.is_empty() { "-" } else { text }
}
