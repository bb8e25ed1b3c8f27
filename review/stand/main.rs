//! The cases of the review. `case NAME RECORD` plays one and exits with 1 if its rule was broken,
//! with 0 if it held and with 2 if it could not run. With `TROUBLE=0` the disruption is left out.

mod common;

mod case_abandoned;
mod case_ended_body;
mod case_stream;
mod case_twice;

use common::{cannot_run, Record};
use std::path::PathBuf;

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(name), Some(path)) = (arguments.next(), arguments.next()) else {
        cannot_run("usage: case NAME RECORD");
    };
    let record = Record::new(&PathBuf::from(path));
    let code = match name.as_str() {
        "stream" => case_stream::play(&record),
        "twice" => case_twice::play(&record),
        "abandoned" => case_abandoned::play(&record),
        "ended-body" => case_ended_body::play(&record),
        _ => cannot_run("no such case"),
    };
    std::process::exit(code);
}
