#include "net/kernelbuffers.h"

#include <netinet/tcp.h>

namespace bamboohold {

namespace {

using ReceiveBuffer = boost::asio::socket_base::receive_buffer_size;
using NotSentLimit = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_NOTSENT_LOWAT>;

/// The kernel takes twice as much for its own structures.
constexpr int s_receiveBytes = 32 * 1024;
constexpr int s_unsentBytes = 32 * 1024;

}

void limitKernelBuffers(boost::asio::ip::tcp::acceptor &acceptor)
{
    boost::system::error_code ignored;
    acceptor.set_option(ReceiveBuffer(s_receiveBytes), ignored);
    acceptor.set_option(NotSentLimit(s_unsentBytes), ignored);
}

}
