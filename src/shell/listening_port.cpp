// Binding of sockets.
#include "shell/listening_port.h"

#include <boost/asio/ip/tcp.hpp>

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>
#include <utility>

namespace chicoryrouter {

namespace asio = boost::asio;

namespace {

// TCP or UDP: the system's form of the address is the same.
using system_address = asio::ip::tcp::endpoint;

system_address toSystem(const port_request &request)
{
    boost::system::error_code failure;
    const asio::ip::address ip = asio::ip::make_address(request.where.ip, failure);
    if (failure) {
        throw port_error(request, EINVAL);
    }
    return {ip, request.where.port};
}

// Such as "peer 10.0.0.1:7600 (UDP)".
std::string describe(const port_request &request)
{
    return request.setting + " " + toText(request.where) + " (" + std::string(toText(request.transport)) + ")";
}

} // namespace

std::string_view toText(port_transport transport)
{
    return transport == port_transport::Tcp ? "TCP" : "UDP";
}

std::string toText(const address &where)
{
    const bool isIpv6 = where.ip.find(':') != std::string::npos;
    const std::string ip = isIpv6 ? "[" + where.ip + "]" : where.ip;
    return ip + ":" + std::to_string(where.port);
}

port_error::port_error(port_request request, int reason)
    : std::runtime_error(describe(request) + ": " + std::generic_category().message(reason))
    , m_request(std::move(request))
    , m_reason(reason)
{
}

std::string port_error::reason() const
{
    return std::generic_category().message(m_reason);
}

bool port_error::isInUse() const
{
    return m_reason == EADDRINUSE;
}

listening_port::listening_port(port_request request)
    : m_request(std::move(request))
{
    try {
        open();
    } catch (...) {
        close();
        throw;
    }
}

listening_port::~listening_port()
{
    close();
}

listening_port::listening_port(listening_port &&other) noexcept
    : m_request(std::move(other.m_request))
    , m_isIpv6(other.m_isIpv6)
    , m_handle(std::exchange(other.m_handle, noHandle))
{
}

listening_port &listening_port::operator=(listening_port &&other) noexcept
{
    std::swap(m_request, other.m_request);
    std::swap(m_isIpv6, other.m_isIpv6);
    std::swap(m_handle, other.m_handle);
    return *this;
}

void listening_port::open()
{
    system_address place = toSystem(m_request);
    m_isIpv6 = place.address().is_v6();
    const bool isTcp = m_request.transport == port_transport::Tcp;
    m_handle = ::socket(place.protocol().family(), isTcp ? SOCK_STREAM : SOCK_DGRAM, 0);
    if (m_handle == noHandle) {
        throw port_error(m_request, errno);
    }
    const int on = 1;
    if (isTcp && ::setsockopt(m_handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)) != 0) {
        throw port_error(m_request, errno);
    }
    if (::bind(m_handle, place.data(), static_cast<socklen_t>(place.size())) != 0) {
        throw port_error(m_request, errno);
    }
    auto size = static_cast<socklen_t>(place.capacity());
    if (::getsockname(m_handle, place.data(), &size) != 0) {
        throw port_error(m_request, errno);
    }
    m_request.where.port = place.port();
}

void listening_port::listen()
{
    if (::listen(m_handle, SOMAXCONN) != 0) {
        throw port_error(m_request, errno);
    }
}

void listening_port::close()
{
    if (isBound()) {
        ::close(m_handle);
    }
    m_handle = noHandle;
}

} // namespace chicoryrouter
