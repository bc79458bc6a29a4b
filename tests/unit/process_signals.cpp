// Routers as real processes: signals in their first moments, in a series, and beside each other.
#include "support/process_deployment.h"

#include <criterion/criterion.h>

#include <array>
#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <sstream>
#include <sys/stat.h>
#include <unistd.h>
#include <vector>

using namespace chicoryrouter;
using namespace std::chrono_literals;

using test::daemon_process;
using test::describeEnd;
using test::process_deployment;

namespace {

std::string contentOf(const std::string &path)
{
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), {}};
}

bool logsEventually(const daemon_process &router, const std::string &text)
{
    return test::eventually([&] { return contentOf(router.logFile()).find(text) != std::string::npos; });
}

// Starts the router and returns when the dynamic linker reports that it calls the first constructor. Everything before belongs to the kernel
// and the linker, where no program can answer for a signal; from there on it must.
void startUntilFirstConstructor(daemon_process &router)
{
    std::array<int, 2> report{};
    cr_assert_eq(pipe2(report.data(), O_CLOEXEC), 0);
    setenv("LD_DEBUG", "files", 1);
    test::process_output output;
    output.standardError = report[1];
    router.start(output);
    unsetenv("LD_DEBUG");
    close(report[1]);
    std::string text;
    std::array<char, 512> piece{};
    while (text.find("calling init:") == std::string::npos) {
        const ssize_t count = read(report[0], piece.data(), piece.size());
        cr_assert_gt(count, 0, "the dynamic linker reports no constructor");
        text.append(piece.data(), static_cast<std::size_t>(count));
    }
    // The read end stays open until the test ends, as the program also writes to it.
}

} // namespace

// Guards against the end of a router by SIGHUP after its own code has started and before main() has.
Test(process_signals, a_hangup_before_main_is_a_reload_and_not_the_end)
{
    process_deployment all;
    for (int round = 0; round < 20; ++round) {
        daemon_process &router = all.addRouter("entry-" + std::to_string(round));
        startUntilFirstConstructor(router);
        router.hangUp();
        cr_assert(logsEventually(router, "settings_read"), "round %d: no reload; %s", round, router.runs() ? "runs" : describeEnd(router.endedWith()).c_str());
        router.kill();
    }
}

// Guards against a SIGTERM in the start that ends the router by its default action, or that is lost.
Test(process_signals, a_stop_request_before_main_is_a_clean_end)
{
    process_deployment all;
    daemon_process &router = all.addRouter();
    startUntilFirstConstructor(router);
    router.terminate();
    cr_assert(router.ends(12s), "the stop request was lost");
    cr_assert_eq(router.endedWith(), 0, "%s", describeEnd(router.endedWith()).c_str());
}

// Guards against a long start in the dynamic linker, where any signal ends the process: it has no library to load but the C library.
Test(process_signals, the_program_loads_no_library_but_the_c_library)
{
#ifndef __SANITIZE_ADDRESS__
    setenv("LD_TRACE_LOADED_OBJECTS", "1", 1); // the dynamic linker lists what it would load, and ends
    std::array<int, 2> list{};
    cr_assert_eq(pipe2(list.data(), O_CLOEXEC), 0);
    process_deployment all;
    daemon_process &router = all.addRouter();
    test::process_output output;
    output.standardOutput = list[1];
    router.start(output);
    close(list[1]);
    std::string text;
    std::array<char, 512> piece{};
    for (ssize_t count = 1; count > 0; text.append(piece.data(), static_cast<std::size_t>(std::max<ssize_t>(count, 0)))) {
        count = read(list[0], piece.data(), piece.size());
    }
    close(list[0]);
    std::istringstream lines(text);
    int count = 0;
    for (std::string line; std::getline(lines, line); ++count) {
        const bool isOfSystem = line.find("linux-vdso") != std::string::npos || line.find("libc.so") != std::string::npos
            || line.find("libm.so") != std::string::npos || line.find("ld-linux") != std::string::npos;
        cr_expect(isOfSystem, "%s", line.c_str());
    }
    cr_expect_gt(count, 0, "nothing is listed");
#endif
}

// Guards against a settings file that ends or blocks the router at a reload: the old settings stay, and a stop request is still followed.
Test(process_signals, a_reload_of_an_unusable_settings_file_changes_nothing)
{
    process_deployment all;
    daemon_process &router = all.addRouter();
    const std::string path = router.settingsFile();
    const std::string valid = contentOf(path);
    std::string aliases = "a0: &a0 [x, x, x, x, x, x, x, x, x]\n";
    for (int i = 1; i < 9; ++i) {
        const std::string previous = "*a" + std::to_string(i - 1);
        aliases += "a" + std::to_string(i) + ": &a" + std::to_string(i) + " [";
        for (int copy = 0; copy < 9; ++copy) {
            aliases += (copy == 0 ? "" : ", ") + previous;
        }
        aliases += "]\n";
    }
    router.start();
    cr_assert(all.serves(router));
    const std::vector<std::string> unusable
        = {"", valid.substr(0, valid.size() / 2), valid + "region: \xff\xfe\n", valid + "x: " + std::string(100'000, '['), valid + aliases};
    std::size_t refusals = 0;
    const auto isRefused = [&] {
        ++refusals;
        router.hangUp();
        return test::eventually([&] {
            const std::string log = contentOf(router.logFile());
            std::size_t count = 0;
            for (std::size_t at = log.find("\"changed\":false"); at != std::string::npos; at = log.find("\"changed\":false", at + 1)) {
                ++count;
            }
            return count >= refusals;
        });
    };
    for (const std::string &content : unusable) {
        std::ofstream(path) << content;
        cr_assert(isRefused(), "file %zu is not refused; %s", refusals, router.runs() ? "runs" : describeEnd(router.endedWith()).c_str());
    }
    std::ofstream(path) << valid;
    std::filesystem::resize_file(path, 100'000'000);
    cr_assert(isRefused(), "a large file");
    std::filesystem::remove(path);
    cr_assert(isRefused(), "a missing file");
    std::filesystem::create_directory(path);
    cr_assert(isRefused(), "a directory");
    std::filesystem::remove(path);
    cr_assert_eq(mkfifo(path.c_str(), 0600), 0);
    cr_assert(isRefused(), "a pipe");
    cr_assert(all.serves(router));
    cr_assert(router.stop(12s), "it does not stop");
    cr_assert_eq(router.endedWith(), 0, "%s", describeEnd(router.endedWith()).c_str());
}

// Guards against a stop request that waits behind a series of reloads, or is lost in it.
Test(process_signals, a_stop_request_goes_before_reloads)
{
    process_deployment all;
    daemon_process &router = all.addRouter();
    router.start();
    cr_assert(all.serves(router));
    for (int i = 0; i < 500; ++i) {
        router.hangUp();
    }
    router.terminate();
    router.hangUp();
    cr_assert(logsEventually(router, "daemon_stop_asked"), "the stop request is not followed");
    cr_assert(router.ends(12s));
    cr_assert_eq(router.endedWith(), 0, "%s", describeEnd(router.endedWith()).c_str());
}
