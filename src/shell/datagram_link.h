// UDP datagrams between daemons: small, sent often and never answered. A lost datagram does no harm, since the next one repeats its content
// and adds to it.
#pragma once

#include "chicoryrouter/endpoint.h"
#include "shell/listening_port.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace chicoryrouter {

// The type of a datagram's payload: the byte that follows the deployment's prefix.
enum class datagram_kind : char {
    Spending = 's',
    Evidence = 'e',
    Quarantine = 'q',
    Departures = 'd',
    Load = 'l', // load_exchange.h
};

// Sends and receives datagrams on one UDP socket. A datagram is the deployment's prefix, a datagram_kind and the payload.
class datagram_link
{
public:
    // `port` is a UDP port with the number of the TCP port for peers. `onDatagram` is called on the context's thread with the kind and payload
    // of each datagram that begins with the deployment's prefix; others are dropped.
    datagram_link(
        boost::asio::io_context &context, listening_port port, std::string_view peerKey, std::function<void(datagram_kind, std::string_view)> onDatagram);

    // Call on the context's thread. Drops datagrams that can't be sent without blocking.
    void send(const std::vector<address> &peers, datagram_kind kind, std::string_view payload);
    [[nodiscard]] std::size_t frameBytes() const { return m_prefix.size() + sizeof(datagram_kind); } // added to each payload

private:
    void discardWaiting();
    void receive();
    void deliver(std::string_view kindAndPayload); // also of kinds that this version doesn't know, which the receiver passes over

    boost::asio::ip::udp::socket m_socket;
    boost::asio::ip::udp::endpoint m_sender;
    std::array<char, 2048> m_buffer{};
    // The hash of the peer key in decimal and a line feed. Keeps out datagrams of other deployments, but is no protection against forged
    // datagrams from inside the network.
    std::string m_prefix;
    std::function<void(datagram_kind, std::string_view)> m_onDatagram;
};

} // namespace chicoryrouter
