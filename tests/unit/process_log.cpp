// The standard descriptors of a router as a real process: whatever becomes of them, it serves, and a planned stop ends with code 0 in time.
#include "support/process_deployment.h"

#include <criterion/criterion.h>

#include <fcntl.h>
#include <limits.h>
#include <signal.h>
#include <sys/resource.h>
#include <unistd.h>

#include <array>
#include <filesystem>
#include <thread>

using namespace chicoryrouter;
using namespace std::chrono_literals;

using test::daemon_process;
using test::describeEnd;
using test::process_deployment;
using test::process_output;

namespace {

constexpr duration stopBound = 10s; // stop_within of 8 s, the log's own bound, and the end of the process

// A pipe whose ends this process holds; no process that it starts inherits them.
struct pipe_ends
{
    pipe_ends()
    {
        std::array<int, 2> ends{};
        cr_assert_eq(pipe2(ends.data(), O_CLOEXEC), 0);
        reader = ends[0];
        writer = ends[1];
    }
    ~pipe_ends()
    {
        closeReader();
        closeWriter();
    }
    pipe_ends(const pipe_ends &) = delete;
    pipe_ends &operator=(const pipe_ends &) = delete;

    void closeReader() { closeOnce(reader); }
    void closeWriter() { closeOnce(writer); }

    void fill() const
    {
        const std::string zeros(PIPE_BUF, '0');
        const int flags = fcntl(writer, F_GETFL);
        fcntl(writer, F_SETFL, flags | O_NONBLOCK);
        while (write(writer, zeros.data(), zeros.size()) > 0) {
        }
        fcntl(writer, F_SETFL, flags);
    }

    int reader = -1;
    int writer = -1;

private:
    static void closeOnce(int &descriptor)
    {
        if (descriptor >= 0) {
            close(descriptor);
        }
        descriptor = -1;
    }
};

void expectServes(process_deployment &all, daemon_process &router)
{
    cr_assert(all.serves(router), "no lookup is answered; %s", router.runs() ? "it runs" : describeEnd(router.endedWith()).c_str());
}

void expectPlannedEnd(daemon_process &router)
{
    cr_assert(router.stop(stopBound), "it did not end in time after SIGTERM");
    cr_assert_eq(router.endedWith(), 0, "%s", describeEnd(router.endedWith()).c_str());
}

} // namespace

// A router ended by SIGPIPE at its first line after the reader of its log had gone.
Test(process_log, the_reader_of_the_log_goes_away_and_the_router_serves_on)
{
    process_deployment all;
    daemon_process &router = all.addRouter();
    pipe_ends log;
    router.start({log.writer, log.writer});
    log.closeWriter();
    expectServes(all, router);
    log.closeReader();
    for (int i = 0; i < 5; ++i) {
        expectServes(all, router);
    }
    expectPlannedEnd(router);
}

// A router never ended after SIGTERM while nobody read the full pipe of its log.
Test(process_log, a_full_log_that_nobody_reads_delays_neither_requests_nor_the_stop)
{
    process_deployment all;
    daemon_process &router = all.addRouter();
    pipe_ends log;
    log.fill();
    router.start({log.writer, log.writer});
    expectServes(all, router);
    expectPlannedEnd(router);
}

// A router that can't start must say so by its exit code even when nobody reads its log.
Test(process_log, a_full_log_that_nobody_reads_does_not_hold_up_a_failed_start)
{
    process_deployment all;
    daemon_process &router = all.addRouter();
    pipe_ends log;
    log.fill();
    std::filesystem::remove(router.settingsFile());
    router.start({log.writer, log.writer});
    cr_assert(router.ends(5s), "it hangs");
    cr_assert_eq(router.endedWith(), 2 << 8, "%s", describeEnd(router.endedWith()).c_str());
}

// Sockets took the numbers of closed standard descriptors, and log lines were written into them.
Test(process_log, closed_standard_descriptors_are_never_taken_by_sockets)
{
    process_deployment all;
    daemon_process &router = all.addRouter();
    router.start({process_output::closed, process_output::closed, process_output::closed});
    expectServes(all, router);
    for (const int number : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO}) {
        std::error_code missing;
        const auto target = std::filesystem::read_symlink("/proc/" + std::to_string(router.id()) + "/fd/" + std::to_string(number), missing);
        cr_assert_str_eq(target.c_str(), "/dev/null", "descriptor %d: %s", number, target.c_str());
    }
    expectPlannedEnd(router);
}

// The kernel ends a process with SIGXFSZ when its log file reaches the limit on file sizes.
Test(process_log, a_log_at_the_file_size_limit_does_not_end_the_router)
{
    process_deployment all;
    daemon_process &router = all.addRouter();
    rlimit limit{};
    getrlimit(RLIMIT_FSIZE, &limit);
    limit.rlim_cur = 1024;
    setrlimit(RLIMIT_FSIZE, &limit);
    router.start();
    for (int i = 0; i < 5; ++i) {
        expectServes(all, router);
    }
    expectPlannedEnd(router);
}

Test(process_log, a_full_disk_does_not_end_the_router)
{
    process_deployment all;
    daemon_process &router = all.addRouter();
    const int fullDisk = open("/dev/full", O_WRONLY | O_CLOEXEC);
    router.start({fullDisk, fullDisk});
    close(fullDisk);
    expectServes(all, router);
    expectPlannedEnd(router);
}

// The default action of these signals ends the process, and a router has no use for them.
Test(process_log, signals_without_a_meaning_do_not_end_the_router)
{
    process_deployment all;
    daemon_process &router = all.addRouter();
    router.start();
    expectServes(all, router);
    for (const int signal : {SIGPIPE, SIGXFSZ, SIGUSR1, SIGUSR2, SIGALRM, SIGVTALRM, SIGPROF, SIGIO, SIGPWR, SIGSTKFLT}) {
        kill(router.id(), signal);
    }
    std::this_thread::sleep_for(100ms);
    expectServes(all, router);
    expectPlannedEnd(router);
}
