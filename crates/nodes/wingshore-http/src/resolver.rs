//! A resolver for IP addresses only.

use std::net::SocketAddr;
use ureq::Error;
use ureq::config::Config;
use ureq::http::Uri;
use ureq::unversioned::resolver::{ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::NextTimeout;

/// Resolves only IP addresses with ports, without starting a thread; any other host is not found.
#[derive(Debug, Default)]
pub struct IpResolver;

impl Resolver for IpResolver {
    fn resolve(
        &self,
        uri: &Uri,
        _config: &Config,
        _timeout: NextTimeout,
    ) -> Result<ResolvedSocketAddrs, Error> {
        let authority = uri.authority().map(|authority| authority.as_str());
        let address = authority.and_then(|text| text.parse::<SocketAddr>().ok());
        let mut found = self.empty();
        found.push(address.ok_or(Error::HostNotFound)?);
        Ok(found)
    }
}
