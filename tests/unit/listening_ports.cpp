// Binding of listening ports beside each kind of other holder, and the decision to wait for a port or to give up.
#include "shell/daemon_ports.h"
#include "shell/http.h"
#include "shell/worker_pool.h"
#include "support/daemon_process.h"
#include "support/held_port.h"
#include "support/waiting.h"

#include <criterion/criterion.h>

#include <cerrno>

using namespace chicoryrouter;
using namespace std::chrono_literals;

using test::freePort;
using test::held_port;
using test::port_holder;

namespace {

constexpr time_point start{std::chrono::hours(1)};

address loopback(std::uint16_t port)
{
    return {"127.0.0.1", port};
}

port_request tcpAt(const address &where)
{
    return {"gateway", where, port_transport::Tcp};
}

port_request udpAt(const address &where)
{
    return {"peer", where, port_transport::Udp};
}

// errno's text for a port that can't be bound; empty if it can.
std::string refusal(const port_request &request)
{
    try {
        const listening_port port(request);
        return {};
    } catch (const port_error &fault) {
        return fault.reason();
    }
}

bool isRefusedBeside(port_holder kind, const address &where)
{
    const held_port holder(kind, where);
    return refusal(tcpAt(holder.where())) == "Address already in use";
}

port_error inUse()
{
    return {tcpAt(loopback(1)), EADDRINUSE};
}

class stopped : public std::exception
{
};

settings hostedAt(const address &any)
{
    settings own;
    own.hosted = true;
    own.gateway = own.readiness = own.peer = any;
    return own;
}

} // namespace

// ---- What SO_REUSEADDR does beside each kind of holder

Test(listening_ports, a_port_on_which_another_socket_listens_is_in_use)
{
    cr_assert(isRefusedBeside(port_holder::Listening, loopback(freePort())));
}

Test(listening_ports, a_port_that_another_socket_has_bound_for_itself_is_in_use)
{
    cr_assert(isRefusedBeside(port_holder::Bound, loopback(freePort())));
}

Test(listening_ports, a_port_of_an_outgoing_connection_is_in_use)
{
    cr_assert(isRefusedBeside(port_holder::Outgoing, loopback(0)), "chosen by the system");
    cr_assert(isRefusedBeside(port_holder::Outgoing, loopback(freePort())), "chosen by the caller");
}

Test(listening_ports, a_port_whose_outgoing_connection_is_in_time_wait_is_in_use)
{
    cr_assert(isRefusedBeside(port_holder::OutgoingTimeWait, loopback(0)));
}

Test(listening_ports, a_port_whose_accepted_connection_is_in_time_wait_is_free)
{
    cr_assert(!isRefusedBeside(port_holder::AcceptedTimeWait, loopback(freePort())));
}

Test(listening_ports, two_sockets_may_be_bound_to_a_port_but_only_one_listens)
{
    const held_port holder(port_holder::BoundReusable, loopback(freePort()));
    listening_port first(tcpAt(holder.where()));
    listening_port second(tcpAt(holder.where()));
    first.listen();
    try {
        second.listen();
        cr_assert(false, "both listen");
    } catch (const port_error &fault) {
        cr_assert(fault.isInUse(), "%s", fault.what());
    }
}

Test(listening_ports, a_datagram_port_has_one_owner)
{
    const held_port holder(port_holder::Datagram, loopback(freePort()));
    cr_assert_eq(refusal(udpAt(holder.where())), "Address already in use");
    cr_assert_eq(refusal(tcpAt(holder.where())), "", "TCP has ports of its own");
}

Test(listening_ports, a_bound_port_accepts_nobody_until_it_listens)
{
    listening_port port(tcpAt(loopback(0)));
    cr_assert_neq(port.port(), 0);
    cr_assert(!test::accepts(loopback(port.port())));
    port.listen();
    cr_assert(test::accepts(loopback(port.port())));
}

Test(listening_ports, a_server_serves_at_a_port_that_was_bound_before)
{
    worker_pool workers(1);
    listening_port port(tcpAt(loopback(0)));
    const std::uint16_t number = port.port();
    const http_server server(workers, std::move(port), [](http_exchange &exchange) { return exchange.respond(200, "text/plain", "yes"); });
    cr_assert_eq(server.port(), number);
    cr_assert(test::accepts(loopback(number)));
    workers.stop();
}

Test(listening_ports, errors_name_setting_address_and_reason)
{
    const listening_port holder(udpAt(loopback(0)));
    try {
        const listening_port second(udpAt(loopback(holder.port())));
        cr_assert(false, "two sockets have one datagram port");
    } catch (const port_error &fault) {
        const std::string expected = "peer 127.0.0.1:" + std::to_string(holder.port()) + " (UDP): Address already in use";
        cr_assert_eq(std::string(fault.what()), expected, "%s", fault.what());
    }
    cr_assert_eq(refusal(tcpAt({"no address", 1})), "Invalid argument");
    cr_assert_eq(refusal(tcpAt({"192.0.2.1", 0})), "Cannot assign requested address");
}

// ---- Waiting

Test(listening_ports, a_port_in_use_is_tried_again_until_the_deadline_and_then_given_up)
{
    const time_point giveUpAt = start + 1s;
    const port_wait wait(giveUpAt);
    cr_assert(wait.nextTryAt(inUse(), start) == start + portRetryInterval);
    cr_assert(wait.nextTryAt(inUse(), giveUpAt - 1ms) == giveUpAt, "the last try is at the deadline");
    cr_assert(!wait.nextTryAt(inUse(), giveUpAt));
    cr_assert(!wait.nextTryAt(inUse(), giveUpAt + 1s));
}

Test(listening_ports, a_fault_that_waiting_cannot_mend_is_given_up_at_once)
{
    const port_wait wait(start + 1s);
    for (const int reason : {EADDRNOTAVAIL, EACCES, EINVAL, EMFILE, EAFNOSUPPORT}) {
        cr_assert(!wait.nextTryAt({tcpAt(loopback(1)), reason}, start), "errno %d", reason);
    }
}

// A connection in TIME_WAIT keeps its port for a minute, and then the port is free.
Test(listening_ports, the_wait_outlasts_time_wait)
{
    constexpr duration timeWait = 60s;
    cr_assert(portWaitLimit > timeWait);
}

Test(listening_ports, all_ports_of_a_hosted_daemon_are_bound_and_none_listens)
{
    settings own = hostedAt(loopback(0));
    own.metrics = loopback(freePort());
    const daemon_ports ports = takePortsAtOnce(own);
    cr_assert_eq(ports.datagrams.port(), ports.peer.port());
    cr_assert_eq(ports.metrics.port(), own.metrics.port);
    for (const listening_port *port : {&ports.peer, &ports.readiness, &ports.metrics, &ports.gateway}) {
        cr_assert(port->isBound());
        cr_assert(!test::accepts(loopback(port->port())));
    }
}

Test(listening_ports, a_standard_daemon_binds_only_the_ports_that_it_uses)
{
    settings own = hostedAt(loopback(0));
    own.hosted = false;
    const daemon_ports ports = takePortsAtOnce(own);
    cr_assert(ports.peer.isBound() && ports.gateway.isBound());
    cr_assert(!ports.datagrams.isBound() && !ports.readiness.isBound() && !ports.metrics.isBound());
}

Test(listening_ports, a_start_pauses_while_a_port_is_in_use_and_takes_it_when_it_is_free)
{
    settings own = hostedAt(loopback(0));
    auto holder = std::make_unique<held_port>(port_holder::Listening, loopback(freePort()));
    own.readiness = holder->where();
    int pauses = 0;
    const daemon_ports ports = takePorts(own, systemNow() + test::patience, [&](time_point) {
        if (++pauses == 3) {
            holder.reset();
        }
    });
    cr_assert_eq(pauses, 3);
    cr_assert_eq(ports.readiness.port(), own.readiness.port);
}

Test(listening_ports, a_start_gives_up_at_its_deadline_and_lets_go_of_its_other_ports)
{
    settings own = hostedAt(loopback(0));
    own.peer = loopback(freePort());
    const held_port holder(port_holder::Listening, loopback(freePort()));
    own.gateway = holder.where();
    bool gaveUp = false;
    try {
        takePorts(own, systemNow() + 2 * portRetryInterval, [](time_point until) { std::this_thread::sleep_until(steadyAt(until)); });
    } catch (const port_error &fault) {
        gaveUp = fault.isInUse() && fault.request().setting == "gateway";
    }
    cr_assert(gaveUp);
    cr_assert_eq(refusal(udpAt(own.peer)), "");
}

Test(listening_ports, a_pause_may_end_the_start)
{
    settings own = hostedAt(loopback(0));
    const held_port holder(port_holder::Listening, loopback(freePort()));
    own.gateway = holder.where();
    cr_assert_throw(takePorts(own, systemNow() + test::patience, [](time_point) { throw stopped(); }), stopped);
}
