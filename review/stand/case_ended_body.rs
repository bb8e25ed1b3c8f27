//! The body of an item is asked for before and after the end of its batch job.

use crate::case_abandoned::configuration;
use crate::common::*;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const ITEMS: usize = 8;
/// The items run for long, so that none is listed while the case runs.
const EVENTS: u64 = 400;
const PAUSE: Duration = Duration::from_millis(100);

fn body_of(site: &Site, gateway: usize, item: &str) -> Option<Message> {
    let target = format!("/items/job-0?Id={item}");
    let headers = [("Host", HOST)];
    let limit = Duration::from_secs(3);
    call(site.fronts()[gateway], "GET", &target, &headers, b"", limit)
}

pub fn play(record: &Arc<Record>) -> i32 {
    let site = Site::start(record);
    site.configure(&configuration());
    for index in 0..2 {
        let name = format!("i-{index}");
        let address = site.server_address(index);
        let server = Server::new(&name, "lm", address, (4, 12), true, record);
        server.run(
            site.controls(),
            Arc::new(
                |server: &Arc<Server>, message: &Message, wire: &mut Wire, _: &mut Kept| {
                    server.note_begun(&message.id());
                    stream_events(server, message, wire, (EVENTS, PAUSE))
                },
            ),
        );
    }
    site.wait_ready();
    thread::sleep(Duration::from_secs(2));
    let items: Vec<Item> = (0..ITEMS)
        .map(|number| Item {
            id: format!("item-{number}"),
            path: format!("/rollouts/{number}"),
            body: format!("prompt {number}").into_bytes(),
            events: EVENTS,
            group: "g0".to_owned(),
        })
        .collect();
    if submit(&site, "job-0", "/rollouts/x", &submission(&items, 1)) != 202 {
        record.save();
        cannot_run("the job was not accepted");
    }
    let mut broken = Vec::new();
    for round in 0..2 {
        if round == 1 && is_troubled() {
            let headers = [("Host", HOST)];
            let limit = Duration::from_secs(4);
            let got = call(
                site.fronts()[0],
                "DELETE",
                "/lots/job-0",
                &headers,
                b"",
                limit,
            );
            record.add(format!(
                "trainer ended job-0: answer {}",
                got.map_or(0, |got| got.status)
            ));
        }
        for (number, item) in items.iter().enumerate() {
            let Some(got) = body_of(&site, number % GATEWAYS, &item.id) else {
                record.add(format!("client asked for {}: no answer", item.id));
                continue;
            };
            let shown = String::from_utf8_lossy(&got.body).into_owned();
            record.add(format!(
                "client asked for {}: answer {} with {} bytes {shown:?}",
                item.id,
                got.status,
                got.body.len()
            ));
            if got.status == 200 && got.body != item.body {
                broken.push(format!(
                    "MIXED: the body of {} is returned with {} bytes, and {} were submitted",
                    item.id,
                    got.body.len(),
                    item.body.len()
                ));
            }
        }
    }
    verdict(record, &broken)
}
