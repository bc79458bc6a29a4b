// Starts of real routers that fail.
#include "support/files.h"
#include "support/held_port.h"
#include "support/process_deployment.h"

#include <criterion/criterion.h>
#include <fcntl.h>
#include <sys/resource.h>

#include <fstream>

using namespace chicoryrouter;
using namespace std::chrono_literals;

using test::daemon_process;
using test::describeEnd;
using test::eventually;
using test::process_deployment;

namespace {

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
