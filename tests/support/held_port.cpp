// Sockets that hold ports.
#include "support/held_port.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <string>
#include <system_error>

namespace chicoryrouter::test {

namespace {

int check(int result, const char *call)
{
    if (result < 0) {
        throw std::system_error(errno, std::generic_category(), call);
    }
    return result;
}

sockaddr_in toSystem(const address &where)
{
    sockaddr_in place{};
    place.sin_family = AF_INET;
    place.sin_port = htons(where.port);
    inet_pton(AF_INET, where.ip.c_str(), &place.sin_addr);
    return place;
}

void bindAt(int handle, const address &where)
{
    const sockaddr_in place = toSystem(where);
    check(bind(handle, reinterpret_cast<const sockaddr *>(&place), sizeof(place)), "bind");
}

int connectTo(int handle, const address &where)
{
    const sockaddr_in place = toSystem(where);
    return connect(handle, reinterpret_cast<const sockaddr *>(&place), sizeof(place));
}

address placeOf(int handle)
{
    sockaddr_in place{};
    socklen_t size = sizeof(place);
    check(getsockname(handle, reinterpret_cast<sockaddr *>(&place), &size), "getsockname");
    return {"127.0.0.1", ntohs(place.sin_port)};
}

int streamSocket()
{
    return check(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), "socket"); // a router that the test starts must not inherit it
}

int reusableSocket()
{
    const int handle = streamSocket();
    const int on = 1;
    check(setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on)), "setsockopt");
    return handle;
}

void closeIfOpen(int &handle)
{
    if (handle >= 0) {
        close(handle);
    }
    handle = -1;
}

} // namespace

held_port::held_port(port_holder kind, const address &where)
    : m_where(where)
{
    switch (kind) {
    case port_holder::Bound:
        m_holder = streamSocket();
        bindAt(m_holder, where);
        break;
    case port_holder::BoundReusable:
        m_holder = reusableSocket();
        bindAt(m_holder, where);
        break;
    case port_holder::Listening:
        m_holder = reusableSocket();
        bindAt(m_holder, where);
        check(listen(m_holder, SOMAXCONN), "listen");
        break;
    case port_holder::Outgoing:
        connectOut();
        break;
    case port_holder::OutgoingTimeWait:
        connectOut();
        closeFirst(m_holder);
        break;
    case port_holder::AcceptedTimeWait:
        m_listener = reusableSocket();
        bindAt(m_listener, where);
        check(listen(m_listener, SOMAXCONN), "listen");
        m_holder = streamSocket();
        check(connectTo(m_holder, placeOf(m_listener)), "connect");
        m_accepted = check(accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC), "accept");
        closeIfOpen(m_listener);
        closeFirst(m_accepted);
        break;
    case port_holder::Datagram:
        m_holder = check(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0), "socket");
        bindAt(m_holder, where);
        break;
    }
    if (m_where.port == 0) {
        m_where = placeOf(m_holder);
    }
}

held_port::~held_port()
{
    if (m_accepted >= 0) {
        closeFirst(m_accepted); // leaves TIME_WAIT to the port of the other side
    }
    closeIfOpen(m_holder);
    closeIfOpen(m_listener);
}

void held_port::connectOut()
{
    m_listener = streamSocket();
    bindAt(m_listener, {"127.0.0.1", 0});
    check(listen(m_listener, SOMAXCONN), "listen");
    m_holder = streamSocket();
    if (m_where.port != 0) {
        bindAt(m_holder, m_where);
    }
    check(connectTo(m_holder, placeOf(m_listener)), "connect");
    m_where = placeOf(m_holder);
    m_accepted = check(accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC), "accept");
}

// Closes one side of the connection, and the other once it has seen that: the port of the first is in TIME_WAIT then.
void held_port::closeFirst(int &closing)
{
    closeIfOpen(closing);
    int &other = m_holder >= 0 ? m_holder : m_accepted;
    char byte = 0;
    check(static_cast<int>(read(other, &byte, 1)), "read");
    closeIfOpen(other);
}

bool accepts(const address &where)
{
    int handle = streamSocket();
    const bool connected = connectTo(handle, where) == 0;
    closeIfOpen(handle);
    return connected;
}

lowered_limit::lowered_limit(__rlimit_resource resource, rlim_t wanted)
    : m_resource(resource)
{
    check(getrlimit(m_resource, &m_before), "getrlimit");
    const rlimit lowered = {wanted, m_before.rlim_max};
    check(setrlimit(m_resource, &lowered), "setrlimit");
}

lowered_limit::~lowered_limit()
{
    setrlimit(m_resource, &m_before);
}

} // namespace chicoryrouter::test
