//! Reading and writing of HTTP/1.1 messages in buffers.

mod answer;
mod body;
mod encode;
mod exchange;
mod head;
mod message_body;
mod status;

pub use answer::HttpAnswer;
pub use body::BodyStatus;
pub use encode::{HeadWriter, write_chunk, write_last_chunk};
pub use exchange::{AnswerReader, RequestError, RequestReader, WholeAnswer, WholeRequest};
pub use head::{AnswerHead, Headers, HttpError, RequestHead};
pub use message_body::{ArrivingBody, MessageBody};
pub use status::FinalStatus;
