// The ports of a daemon's settings, bound one after the other before the daemon listens on any of them. A port in use is tried again until a
// deadline: the previous process of the instance may still be closing, or an outgoing connection may have the port.
#pragma once

#include "chicoryrouter/settings.h"
#include "shell/clock.h"
#include "shell/listening_port.h"

#include <concepts>
#include <optional>

namespace chicoryrouter {

struct daemon_ports
{
    listening_port peer;
    listening_port datagrams; // UDP at the address of `peer`; hosted only
    listening_port readiness; // hosted only
    listening_port metrics;   // hosted only, and only if the settings name it
    listening_port gateway;
};

// The kernel keeps the port of a closed connection for up to a minute, and a supervisor may take longer still to end the previous process.
inline constexpr duration portWaitLimit = std::chrono::seconds(70);
inline constexpr duration portRetryInterval = std::chrono::milliseconds(50);

// Waits until `until`. Throws to end the start instead.
template<typename Pause>
concept start_pause = std::invocable<Pause &, time_point>;

// Decides whether a port that can't be bound is tried again, and when.
class port_wait
{
public:
    explicit port_wait(time_point giveUpAt)
        : m_giveUpAt(giveUpAt)
    {
    }

    [[nodiscard]] std::optional<time_point> nextTryAt(const port_error &fault, time_point now) const; // nullopt: give up

private:
    time_point m_giveUpAt;
};

void logPortWait(const port_error &fault, time_point now, time_point giveUpAt);
void logPortTaken(const port_request &request, time_point waitingSince, time_point now);

// Binds one port, pausing between two tries while it is in use. Throws port_error at `giveUpAt`, and at once if waiting can't help.
template<start_pause Pause>
listening_port takePort(const port_request &request, time_point giveUpAt, Pause &pause)
{
    const port_wait wait(giveUpAt);
    std::optional<time_point> waitingSince;
    while (true) {
        std::optional<time_point> retryAt;
        try {
            listening_port taken(request);
            if (waitingSince) {
                logPortTaken(request, *waitingSince, systemNow());
            }
            return taken;
        } catch (const port_error &fault) {
            const time_point now = systemNow();
            retryAt = wait.nextTryAt(fault, now);
            if (!retryAt) {
                throw;
            }
            if (!waitingSince) {
                waitingSince = now;
                logPortWait(fault, now, giveUpAt);
            }
        }
        pause(*retryAt);
    }
}

// Binds all ports of the settings. Ports that are already bound are kept while it waits for the next.
template<start_pause Pause>
daemon_ports takePorts(const settings &own, time_point giveUpAt, Pause pause)
{
    const auto take = [giveUpAt, &pause](std::string setting, const address &where, port_transport transport = port_transport::Tcp) {
        return takePort({std::move(setting), where, transport}, giveUpAt, pause);
    };
    daemon_ports ports;
    ports.peer = take("peer", own.peer);
    if (own.hosted) {
        ports.datagrams = take("peer", {own.peer.ip, ports.peer.port()}, port_transport::Udp);
        ports.readiness = take("readiness", own.readiness);
    }
    if (own.hosted && own.metrics.port != 0) {
        ports.metrics = take("metrics", own.metrics);
    }
    ports.gateway = take("gateway", own.gateway);
    return ports;
}

daemon_ports takePortsAtOnce(const settings &own); // without waiting

} // namespace chicoryrouter
