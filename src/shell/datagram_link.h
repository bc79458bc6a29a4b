// Notes between daemons as datagrams: small, sent often, never answered. A lost one costs nothing, since the next says the same and more.
#pragma once

#include "chicoryrouter/endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <array>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace chicoryrouter {

// The first byte behind the deployment's mark.
enum class datagram_kind : char {
    Spending = 's',
    Evidence = 'e',
};

class datagram_link
{
public:
    // Listens at `where` (the peers' port number, over UDP). `onNote` is called on the context's thread with what comes, except for what
    // does not begin with the deployment's mark. Throws when it cannot listen.
    datagram_link(boost::asio::io_context &context, const address &listenAddress, std::string_view peerKey, std::function<void(datagram_kind, std::string_view)> onDatagram);

    void send(const std::vector<address> &peers, datagram_kind kind, std::string_view payload); // on the context's thread; drops what cannot be sent at once

private:
    void receive();

    boost::asio::ip::udp::socket m_socket;
    boost::asio::ip::udp::endpoint m_sender;
    std::array<char, 2048> m_buffer{};
    std::string m_prefix; // of the deployment: keeps strangers' datagrams out, it is no protection against forgers inside
    std::function<void(datagram_kind, std::string_view)> m_onDatagram;
};

} // namespace chicoryrouter
