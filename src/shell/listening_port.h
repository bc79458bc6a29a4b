// A port that is bound and does not listen yet. A daemon binds all ports of its settings before it listens on any, so that a start which
// fails for want of one has accepted no caller on the others.
//
// TCP ports are bound with SO_REUSEADDR, which ignores connections in TIME_WAIT that were accepted at the port. It does not ignore a socket
// that listens there, nor an outgoing connection with this local port, open or in TIME_WAIT. Two sockets with SO_REUSEADDR may be bound to
// the port as long as neither listens; the second listen() fails. UDP ports are bound without it and have one owner.
#pragma once

#include "chicoryrouter/endpoint.h"
#include "chicoryrouter/time.h"

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

namespace chicoryrouter {

enum class port_transport : std::uint8_t {
    Tcp,
    Udp,
};

// An address of the settings as a listen address.
struct port_request
{
    std::string setting; // its key
    address where;       // port 0: any free port
    port_transport transport = port_transport::Tcp;
};

std::string_view toText(port_transport transport); // "TCP" or "UDP"
std::string toText(const address &where);          // such as "10.0.0.1:7600" or "[fd00::1]:7600"

// Why a port can't be bound or listened on.
class port_error : public std::runtime_error
{
public:
    port_error(port_request request, int reason); // `reason`: a value of errno

    [[nodiscard]] const port_request &request() const { return m_request; }
    [[nodiscard]] std::string reason() const; // the system's text
    [[nodiscard]] bool isInUse() const;       // by another socket, which may close; every other reason lasts

private:
    port_request m_request;
    int m_reason;
};

inline constexpr duration acceptRetryDelay = std::chrono::milliseconds(50); // after an accept that failed: the next one would fail at once too

class listening_port
{
public:
    listening_port() = default;                    // no port
    explicit listening_port(port_request request); // binds; throws port_error
    ~listening_port();
    listening_port(listening_port &&other) noexcept;
    listening_port &operator=(listening_port &&other) noexcept;
    listening_port(const listening_port &) = delete;
    listening_port &operator=(const listening_port &) = delete;

    [[nodiscard]] bool isBound() const { return m_handle >= 0; }
    [[nodiscard]] std::uint16_t port() const { return m_request.where.port; } // the bound port, also when port 0 was requested
    void listen();                                                            // TCP only; throws port_error

    // Hands the socket over to an Asio acceptor or socket of its transport.
    template<typename Socket>
    void moveInto(Socket &socket)
    {
        using protocol = typename Socket::protocol_type;
        socket.assign(m_isIpv6 ? protocol::v6() : protocol::v4(), m_handle);
        m_handle = noHandle;
    }

private:
    static constexpr int noHandle = -1;

    void open();
    void close();

    port_request m_request;
    bool m_isIpv6 = false;
    int m_handle = noHandle; // owned
};

} // namespace chicoryrouter
