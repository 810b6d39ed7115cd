//! HTTP/1.1 on sockets of the standard library: heads parsed by `httparse`, framing of bodies, exact timeouts.
//!
//! For the measurements behind this choice over HTTP server libraries, see docs/DESIGN.md, "Callers' side".

pub mod body;
pub mod conn;
pub mod head;
pub mod response_body;

pub use body::{BodyFraming, BodyReader, ChunkWriter};
pub use conn::{Conn, ReadError};
pub use head::{HeadError, RequestHead, ResponseHead};
pub use response_body::{BodyEnd, ResponseBody};
