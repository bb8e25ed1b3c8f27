//! Marks connection errors, to distinguish them from errors after bytes of a request were sent.

use snafu::Snafu;
use ureq::unversioned::transport::{ConnectionDetails, Connector, TcpConnector, Transport};

/// The connection was not established, so no byte of the request was sent.
#[derive(Debug, Snafu)]
#[snafu(display("cannot connect: {source}"))]
pub struct ConnectError {
    source: ureq::Error,
}

/// Connects over TCP and reports errors as [`ConnectError`].
#[derive(Debug, Default)]
pub struct MarkingConnector {
    inner: TcpConnector,
}

impl<In: Transport> Connector<In> for MarkingConnector {
    type Out = <TcpConnector as Connector<In>>::Out;

    fn connect(
        &self,
        details: &ConnectionDetails,
        chained: Option<In>,
    ) -> Result<Option<Self::Out>, ureq::Error> {
        self.inner
            .connect(details, chained)
            .map_err(|source| ureq::Error::Other(Box::new(ConnectError { source })))
    }
}
