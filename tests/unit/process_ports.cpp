// Starts of real routers whose ports are held by others for a while or for good, and starts that fail for another reason.
#include "support/files.h"
#include "support/held_port.h"
#include "support/process_deployment.h"

#include <criterion/criterion.h>
#include <fcntl.h>
#include <sys/resource.h>

#include <filesystem>
#include <fstream>

using namespace chicoryrouter;
using namespace std::chrono_literals;

using test::daemon_process;
using test::describeEnd;
using test::eventually;
using test::freePort;
using test::held_port;
using test::port_holder;
using test::process_deployment;

namespace {

constexpr duration holdTime = 1500ms;

std::string readLog(const daemon_process &router)
{
    return test::readFile(router.logFile());
}

bool logs(const daemon_process &router, const std::string &text)
{
    return eventually([&] { return readLog(router).find(text) != std::string::npos; }); // the log is written by a thread of its own
}

// Writes the settings file anew with one piece of its text replaced.
void changeSettings(const daemon_process &router, const std::string &from, const std::string &to)
{
    std::string text = test::readFile(router.settingsFile());
    const std::size_t at = text.find(from);
    cr_assert_neq(at, std::string::npos, "the settings have no %s", from.c_str());
    std::ofstream(router.settingsFile()) << text.replace(at, from.size(), to);
}

std::string written(const address &where)
{
    return where.ip + ":" + std::to_string(where.port);
}

void servesAfterWaiting(process_deployment &all, daemon_process &router, const std::string &setting)
{
    cr_assert(all.serves(router), "%s: no lookup is answered; its log:\n%s", setting.c_str(), readLog(router).c_str());
    cr_assert(logs(router, R"("event":"port_wait")"), "%s: the log does not tell of the wait", setting.c_str());
    cr_assert(logs(router, R"("setting":")" + setting + "\""), "%s: the log does not name the setting", setting.c_str());
    cr_assert(logs(router, R"("event":"port_taken")"), "%s: the log does not tell that the wait ended", setting.c_str());
}

// The port is held for a while by another process, which is the test's own.
void servesOnceFree(const std::string &setting, port_holder kind, const std::function<address(process_deployment &, daemon_process &)> &choose)
{
    process_deployment all;
    daemon_process &router = all.addRouter();
    const address where = choose(all, router);
    auto holder = std::make_unique<held_port>(kind, where);
    router.start();
    std::this_thread::sleep_for(holdTime);
    cr_assert(router.runs(), "%s: it ended with %s; its log:\n%s", setting.c_str(), describeEnd(router.endedWith()).c_str(), readLog(router).c_str());
    holder.reset();
    servesAfterWaiting(all, router, setting);
    cr_assert(router.stop(10s) && router.endedWith() == 0, "%s: stop: %s", setting.c_str(), describeEnd(router.endedWith()).c_str());
}

address gatewayOf(process_deployment & /*all*/, daemon_process &router)
{
    return router.own().gateway;
}

address readinessOf(process_deployment & /*all*/, daemon_process &router)
{
    return router.own().readiness;
}

address peerOf(process_deployment & /*all*/, daemon_process &router)
{
    return router.own().peer;
}

address metricsOf(process_deployment & /*all*/, daemon_process &router)
{
    address metrics{"127.0.0.1", freePort()};
    std::ofstream(router.settingsFile(), std::ios::app) << "metrics: " << written(metrics) << "\n";
    return metrics;
}

// A router whose gateway port is held until the test lets it go, and that has been seen to wait for it.
struct waiting_start
{
    waiting_start()
    {
        router.start();
        cr_assert(eventually([this] { return readLog(router).find(R"("event":"port_wait")") != std::string::npos || !router.runs(); }));
        cr_assert(router.runs(), "it ended with %s; its log:\n%s", describeEnd(router.endedWith()).c_str(), readLog(router).c_str());
    }

    process_deployment all;
    daemon_process &router = all.addRouter();
    std::unique_ptr<held_port> holder = std::make_unique<held_port>(port_holder::Listening, router.own().gateway);
};

// The log file as the output of a process that a limit keeps from opening it.
test::process_output openLog(const daemon_process &router)
{
    const int file = open(router.logFile().c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    return {file, file};
}

// A router that was started.
void failsWith(daemon_process &router, int code, const std::vector<std::string> &reasons)
{
    cr_assert(router.ends(10s), "it still runs");
    cr_assert(WIFEXITED(router.endedWith()) && WEXITSTATUS(router.endedWith()) == code, "%s", describeEnd(router.endedWith()).c_str());
    cr_assert(logs(router, R"("event":"daemon_failed")"), "nothing in the structured log:\n%s", readLog(router).c_str());
    for (const std::string &reason : reasons) {
        cr_assert(logs(router, reason), "no \"%s\" in the log:\n%s", reason.c_str(), readLog(router).c_str());
    }
}

} // namespace

// A start ended at once when another process held one of its ports for a moment.
Test(process_ports, a_start_waits_for_the_gateways_port)
{
    servesOnceFree("gateway", port_holder::Listening, gatewayOf);
}

Test(process_ports, a_start_waits_for_the_readiness_port)
{
    servesOnceFree("readiness", port_holder::Listening, readinessOf);
}

Test(process_ports, a_start_waits_for_the_metrics_port)
{
    servesOnceFree("metrics", port_holder::Listening, metricsOf);
}

Test(process_ports, a_start_waits_for_the_peers_port)
{
    servesOnceFree("peer", port_holder::Listening, peerOf);
}

Test(process_ports, a_start_waits_for_the_peers_datagram_port)
{
    servesOnceFree("peer", port_holder::Datagram, peerOf);
}

// The system gives ports of its range to outgoing connections, and a setting may name one of that range. The test's connection has a port of
// its own choice: connections of other programs may share the system's choice and keep it in TIME_WAIT for a minute.
Test(process_ports, a_start_waits_while_an_outgoing_connection_has_its_port)
{
    servesOnceFree("gateway", port_holder::Outgoing, gatewayOf);
}

// A supervisor may start the next process before the previous one has let go of its ports.
Test(process_ports, a_start_waits_for_the_previous_process_of_its_instance)
{
    process_deployment all;
    daemon_process &router = all.addRouter();
    router.start();
    cr_assert(all.serves(router));
    const std::string folder = std::filesystem::path(router.settingsFile()).parent_path();
    daemon_process next(CHICORY_DAEMON_PROGRAM, router.own(), folder);
    next.endsWithStarter = true;
    router.terminate();
    next.start();
    cr_assert(router.ends(10s));
    cr_assert_eq(router.endedWith(), 0, "%s", describeEnd(router.endedWith()).c_str());
    cr_assert(all.serves(next), "the next process: %s; its log:\n%s", describeEnd(next.endedWith()).c_str(), readLog(next).c_str());
}

// While it waits, no other port of the settings may accept a caller that nobody would answer.
Test(process_ports, a_start_that_waits_accepts_no_connection_on_its_other_ports)
{
    waiting_start start;
    for (const address &other : {start.router.own().readiness, start.router.own().peer}) {
        cr_assert(!test::accepts(other), "port %d accepts", other.port);
    }
}

// Its supervisor must be able to stop a start that waits.
Test(process_ports, a_start_that_waits_ends_with_code_0_on_sigterm)
{
    waiting_start start;
    start.router.terminate();
    cr_assert(start.router.ends(2s), "it still waits");
    cr_assert_eq(start.router.endedWith(), 0, "%s", describeEnd(start.router.endedWith()).c_str());
    cr_assert(logs(start.router, R"("event":"daemon_stopped")"), "%s", readLog(start.router).c_str());
}

// SIGHUP says that the settings changed, at any moment of a process's life.
Test(process_ports, a_start_that_waits_goes_on_after_sighup)
{
    waiting_start start;
    for (int i = 0; i < 5; ++i) {
        start.router.hangUp();
        std::this_thread::sleep_for(20ms);
    }
    start.holder.reset();
    cr_assert(start.all.serves(start.router), "%s", readLog(start.router).c_str());
    cr_assert(logs(start.router, R"("event":"settings_read")"), "%s", readLog(start.router).c_str());
}

// Waiting gives no address to a machine: the start fails at once and says which setting is wrong.
Test(process_ports, a_start_at_an_address_of_another_machine_fails_with_a_line_in_the_log)
{
    process_deployment all;
    daemon_process &router = all.addRouter();
    changeSettings(router, "gateway: 127.0.0.1", "gateway: 192.0.2.1");
    router.start();
    failsWith(router, 1, {"gateway", "192.0.2.1", "Cannot assign requested address"});
}

// The platform may be writing the settings while a process starts.
Test(process_ports, a_start_with_settings_cut_short_fails_with_a_line_in_the_log)
{
    process_deployment all;
    daemon_process &router = all.addRouter();
    const std::string whole = test::readFile(router.settingsFile());
    std::ofstream(router.settingsFile()) << whole.substr(0, whole.find("peer:"));
    router.start();
    failsWith(router, 2, {"peer"});
}

// Without a free descriptor a start must say so.
Test(process_ports, a_start_without_descriptors_fails_with_a_line_in_the_log)
{
    process_deployment all;
    daemon_process &router = all.addRouter();
    constexpr rlim_t fewDescriptors = 12; // enough for the settings and the log, too few for the ports
    const test::process_output output = openLog(router);
    {
        const test::lowered_limit descriptors(RLIMIT_NOFILE, fewDescriptors);
        router.start(output);
    }
    failsWith(router, 1, {"Too many open files"});
}

// A thread that can't be created ended the process by SIGABRT, without a line.
void failsWithTooFewThreads(rlim_t threadsThatFit)
{
    process_deployment all;
    daemon_process &router = all.addRouter();
    changeSettings(router, "threads: 1", "threads: 3");
    constexpr rlim_t stackBytes = rlim_t{1} << 30; // of each thread's address space
    {
        const test::lowered_limit stack(RLIMIT_STACK, stackBytes);
        const test::lowered_limit space(RLIMIT_AS, (threadsThatFit * stackBytes) + (stackBytes / 2));
        router.start();
    }
    failsWith(router, 1, {"Resource temporarily unavailable"});
}

Test(process_ports, a_start_without_its_second_request_thread_fails_with_a_line_in_the_log)
{
    failsWithTooFewThreads(2); // the log's and one more
}

Test(process_ports, a_start_without_its_control_thread_fails_with_a_line_in_the_log)
{
    failsWithTooFewThreads(4); // all but the last
}
