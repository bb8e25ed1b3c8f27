//! Framed postcard messages over TCP.
