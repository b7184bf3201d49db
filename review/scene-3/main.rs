//! Plays one case of the review: `scene-3 CASE RECORD`. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
//! With `TROUBLE=0` in the environment it does the same without the disruption.

mod removed_machines;
mod fleet;
mod http;
mod lapse;
mod late_close;
mod many_callers;
mod replica;
mod slow_callers;
mod store;

use std::process::exit;

use fleet::Record;

fn main() {
    let words: Vec<String> = std::env::args().collect();
    if words.get(1).is_some_and(|word| word == "replica") {
        replica::main(&words[2..]);
    }
    let (Some(case), Some(path)) = (words.get(1), words.get(2)) else {
        eprintln!("usage: scene-3 CASE RECORD");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let Ok(record) = Record::create(path) else {
        exit(2);
    };
    record.line(&format!("case {case}, {}", if has_trouble { "with the disruption" } else { "without the disruption" }));
    let played = match case.as_str() {
        "lapse-rest" => lapse::play(&record, has_trouble),
        "slow-callers" => slow_callers::play(&record, has_trouble),
        "many-callers" => many_callers::play(&record, has_trouble),
        "removed-machines" => removed_machines::play(&record, has_trouble),
        "late-close" => late_close::play(&record, has_trouble),
        _ => Ok(None),
    };
    let code = match played {
        Ok(Some(true)) => 1,
        Ok(Some(false)) => 0,
        Ok(None) => 2,
        Err(error) => {
            record.line(&format!("the case couldn't run: {error}"));
            2
        }
    };
    record.line(match code {
        1 => "RESULT: the rule was broken",
        0 => "RESULT: the rule held",
        _ => "RESULT: the case couldn't run",
    });
    exit(code);
}
