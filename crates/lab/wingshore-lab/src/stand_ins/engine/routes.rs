//! HTTP surface of the stand-in engine.

use super::faults::FaultRequest;
use crate::http_server::Incoming;
use crate::process::{Call, ProcessFault};
use crate::stand_ins::server::{NotServed, Request, body};
use crate::stand_ins::weight_store::weights_path;
use wingshore_types::platform::CancelRequest;

pub fn request_of(incoming: &Incoming) -> Result<Request, NotServed> {
    let call = match (incoming.method.as_str(), incoming.path.as_str()) {
        ("POST", "/lab/faults") => {
            let FaultRequest::FailNextSwap = body(incoming)?;
            let fault = ProcessFault::Engine(super::EngineFault::FailNextSwap);
            return Ok(Request::Fault(fault));
        }
        ("POST", "/v1/completions") => Call::Generate(body(incoming)?),
        ("POST", "/v1/cancel") => {
            let CancelRequest { request_id } = body(incoming)?;
            Call::Cancel { request_id }
        }
        ("POST", "/orders") => Call::Order(body(incoming)?),
        ("GET", "/state") => Call::State,
        ("GET", "/load") => Call::Load,
        ("GET", "/cache_events") => {
            let after = incoming.query_value("after");
            let after = after.and_then(|text| text.parse().ok()).unwrap_or(0);
            Call::CacheEvents { after }
        }
        ("GET", path) => {
            let (model, version) = weights_path(path).ok_or(NotServed::NoSuchPath)?;
            Call::FetchWeights { model, version }
        }
        _ => return Err(NotServed::NoSuchPath),
    };
    Ok(Request::Call(call))
}
