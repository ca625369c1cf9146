#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace bamboohold {

/// Limits what the kernel holds for the connections of clients beside the memory that the process counts: bytes that were received and not
/// read, and bytes that were written and not sent. Called before the acceptor listens, since its connections then never announce a larger
/// window than they have. What the system does not let limit stays as it is.
void limitKernelBuffers(boost::asio::ip::tcp::acceptor &acceptor);

}
