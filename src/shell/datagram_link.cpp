// Sending and receiving of UDP datagrams between daemons.
#include "shell/datagram_link.h"

#include "chicoryrouter/hash.h"
#include "shell/context_runner.h"

#include <boost/asio/buffer.hpp>

namespace chicoryrouter {

namespace asio = boost::asio;
using asio::ip::udp;

datagram_link::datagram_link(
    asio::io_context &context, listening_port port, std::string_view peerKey, std::function<void(datagram_kind, std::string_view)> onDatagram)
    : m_socket(context)
    , m_prefix(std::to_string(hashBytes(peerKey)) + "\n")
    , m_onDatagram(std::move(onDatagram))
{
    port.moveInto(m_socket);
    m_socket.non_blocking(true);
    discardWaiting();
    receive();
}

// The start may have waited since the port was bound, and the age of a report counts from its receipt.
void datagram_link::discardWaiting()
{
    boost::system::error_code code;
    while (!code) {
        m_socket.receive_from(asio::buffer(m_buffer), m_sender, 0, code);
    }
}

void datagram_link::send(const std::vector<address> &peers, datagram_kind kind, std::string_view payload)
{
    const std::array<asio::const_buffer, 3> parts = {asio::buffer(m_prefix), asio::buffer(&kind, sizeof(kind)), asio::buffer(payload.data(), payload.size())};
    for (const address &peer : peers) {
        boost::system::error_code ignored; // a full send buffer or an unreachable peer: the next datagram repeats the content
        m_socket.send_to(parts, udp::endpoint(asio::ip::make_address(peer.ip), peer.port), 0, ignored);
    }
}

// An exception must not end the receiving.
void datagram_link::deliver(std::string_view kindAndPayload)
{
    try {
        m_onDatagram(static_cast<datagram_kind>(kindAndPayload.front()), kindAndPayload.substr(1));
    } catch (...) {
        logged_end("datagram")(std::current_exception());
    }
}

void datagram_link::receive()
{
    m_socket.async_receive_from(asio::buffer(m_buffer), m_sender, [this](const boost::system::error_code &code, std::size_t size) {
        if (code == asio::error::operation_aborted) {
            return;
        }
        const std::string_view bytes(m_buffer.data(), code ? 0 : size);
        if (bytes.size() > m_prefix.size() && bytes.substr(0, m_prefix.size()) == m_prefix) {
            deliver(bytes.substr(m_prefix.size()));
        }
        receive();
    });
}

} // namespace chicoryrouter
