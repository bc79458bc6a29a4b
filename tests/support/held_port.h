// Ports that a test holds, in each of the ways in which another program may hold one, and limits of a process that a test lowers.
#pragma once

#include "chicoryrouter/endpoint.h"

#include <sys/resource.h>

#include <cstdint>

namespace chicoryrouter::test {

enum class port_holder : std::uint8_t {
    Bound,            // TCP, bound and not listening
    BoundReusable,    // the same, with SO_REUSEADDR
    Listening,        // TCP, with SO_REUSEADDR
    Outgoing,         // local port of an established TCP connection, chosen by the system if the address has port 0
    OutgoingTimeWait, // the same, closed by this side first
    AcceptedTimeWait, // port of a listening socket that is gone, one of its accepted connections closed by this side first
    Datagram,         // UDP, bound
};

class held_port
{
public:
    held_port(port_holder kind, const address &where); // throws std::system_error
    ~held_port();                                      // lets go; a port in TIME_WAIT stays so
    held_port(const held_port &) = delete;
    held_port &operator=(const held_port &) = delete;

    [[nodiscard]] const address &where() const { return m_where; }

private:
    void connectOut();
    void closeFirst(int &closing);

    address m_where;
    int m_holder = -1; // descriptors; -1: none
    int m_listener = -1;
    int m_accepted = -1;
};

bool accepts(const address &where); // whether a TCP connection is accepted there

// Lowers a limit of this process, and of those that it starts, for as long as it lives.
class lowered_limit
{
public:
    lowered_limit(__rlimit_resource resource, rlim_t wanted);
    ~lowered_limit();
    lowered_limit(const lowered_limit &) = delete;
    lowered_limit &operator=(const lowered_limit &) = delete;

private:
    __rlimit_resource m_resource;
    rlimit m_before{};
};

} // namespace chicoryrouter::test
