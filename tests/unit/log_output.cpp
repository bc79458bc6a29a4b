// What becomes of the log's lines when their reader is slow, goes away and comes back, or the output refuses them.
#include "shell/log_output.h"
#include "shell/log.h"
#include "support/waiting.h"

#include <nlohmann/json.hpp>

#include <criterion/criterion.h>

#include <fcntl.h>
#include <limits.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

using namespace chicoryrouter;
using namespace std::chrono_literals;

namespace {

// A named pipe; its reader comes and goes.
class named_pipe
{
public:
    named_pipe()
        : m_path("/tmp/chicory-log-output-" + std::to_string(getpid()))
    {
        signal(SIGPIPE, SIG_IGN);
        cr_assert_eq(mkfifo(m_path.c_str(), 0600), 0);
        openReader();
    }
    ~named_pipe()
    {
        closeReader();
        std::remove(m_path.c_str());
    }
    named_pipe(const named_pipe &) = delete;
    named_pipe &operator=(const named_pipe &) = delete;

    void openReader() { m_reader = open(m_path.c_str(), O_RDONLY | O_NONBLOCK | O_CLOEXEC); }

    void closeReader()
    {
        if (m_reader >= 0) {
            close(m_reader);
        }
        m_reader = -1;
    }

    std::string readAvailable() const
    {
        std::string text;
        std::array<char, 65536> buffer{};
        for (ssize_t size = 0; (size = read(m_reader, buffer.data(), buffer.size())) > 0;) {
            text.append(buffer.data(), static_cast<std::size_t>(size));
        }
        return text;
    }

    // Reads until `text` has this many lines, or nothing more comes in time.
    bool readLines(std::string &text, std::size_t lines) const
    {
        return test::eventually([&] {
            text += readAvailable();
            return static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n')) >= lines;
        });
    }

    [[nodiscard]] const std::string &path() const { return m_path; }

private:
    std::string m_path;
    int m_reader = -1;
};

struct line_count
{
    std::size_t own = 0;
    std::size_t told = 0; // as lost, by lines_dropped
};

// Every line must be whole.
line_count countLines(const std::string &text)
{
    line_count count;
    std::istringstream input(text);
    for (std::string line; std::getline(input, line);) {
        const nlohmann::json value = nlohmann::json::parse(line, nullptr, false);
        cr_assert(value.is_object(), "not a whole line: %.80s", line.c_str());
        if (value.at("event") == "lines_dropped") {
            count.told += value.at("lines").get<std::size_t>();
        } else {
            ++count.own;
        }
    }
    return count;
}

void logLine(std::size_t number, std::size_t size = 10)
{
    logEvent(log_event::StoreCallFailed, {{"call", std::to_string(number)}, {"why", std::string(size, 'x')}});
}

constexpr unsigned noLineLimit = 1'000'000'000;

} // namespace

Test(log_output, lines_longer_than_a_pipe_takes_at_once_arrive_whole)
{
    const named_pipe pipe;
    log_output output(pipe.path());
    std::string sent;
    for (const std::size_t size : {10, PIPE_BUF - 1, PIPE_BUF, PIPE_BUF + 1, 3 * PIPE_BUF, 1}) {
        sent += std::string(size - 1, 'a') + "\n";
    }
    cr_assert_eq(output.write(sent), 0);
    cr_assert(pipe.readAvailable() == sent);
}

// A slow reader costs no line and cuts none.
Test(log_output, a_reader_that_comes_back_late_gets_every_line)
{
    const named_pipe pipe;
    log_output output(pipe.path());
    const std::string line = std::string(300, 'a') + "\n";
    std::string sent;
    while (sent.size() < 400'000) {
        sent += line;
    }
    std::size_t lost = 1;
    std::thread writer([&] { lost = output.write(sent); });
    std::string received;
    while (received.size() < sent.size()) {
        std::this_thread::sleep_for(5ms);
        received += pipe.readAvailable();
    }
    writer.join();
    cr_assert(received == sent);
    cr_assert_eq(lost, 0);
}

Test(log_output, lines_without_a_reader_are_lost_and_counted)
{
    named_pipe pipe;
    log_output output(pipe.path());
    pipe.closeReader();
    cr_assert_eq(output.write("1\n2\n3\n"), 3);
    pipe.openReader();
    cr_assert_eq(output.write("4\n"), 0);
    cr_assert_str_eq(pipe.readAvailable().c_str(), "4\n");
}

// A line that the file size limit cuts is completed before another one begins.
Test(log_output, a_line_that_is_cut_is_never_joined_with_another)
{
    signal(SIGXFSZ, SIG_IGN);
    const std::string path = "/tmp/chicory-log-output-cut-" + std::to_string(getpid());
    rlimit limit{};
    getrlimit(RLIMIT_FSIZE, &limit);
    const rlimit before = limit;
    limit.rlim_cur = 7;
    setrlimit(RLIMIT_FSIZE, &limit);
    log_output output(path);
    cr_assert_eq(output.write("1111\n2222\n3333\n"), 1, "only the third has not begun");
    cr_assert_eq(output.write("4444\n"), 1);
    setrlimit(RLIMIT_FSIZE, &before);
    cr_assert_eq(output.write("5555\n"), 0);
    std::array<char, 100> text{};
    const int file = open(path.c_str(), O_RDONLY | O_CLOEXEC);
    cr_assert_gt(read(file, text.data(), text.size() - 1), 0);
    close(file);
    std::remove(path.c_str());
    cr_assert_str_eq(text.data(), "1111\n2222\n5555\n");
}

Test(log_output, a_reader_that_comes_back_is_told_how_many_lines_it_missed)
{
    named_pipe pipe;
    startLog("info", pipe.path(), noLineLimit);
    pipe.closeReader();
    for (std::size_t i = 0; i < 300; ++i) {
        logLine(i);
    }
    cr_assert(test::eventually([] { return droppedLogLines() == 300; }), "%lu", droppedLogLines());
    pipe.openReader();
    logLine(300);
    cr_assert(stopLog());
    const line_count count = countLines(pipe.readAvailable());
    cr_assert_eq(count.own, 1);
    cr_assert_eq(count.told, 300);
}

// A pipe that nobody reads fills the queue: its lines are kept, and those for which it has no room are counted.
Test(log_output, a_full_queue_delays_no_caller_and_every_line_is_written_or_told)
{
    const named_pipe pipe;
    startLog("info", pipe.path(), noLineLimit);
    constexpr std::size_t lines = 40'000;
    for (std::size_t i = 0; i < lines; ++i) {
        logLine(i, 1000);
    }
    const unsigned long dropped = droppedLogLines();
    cr_assert_gt(dropped, 0);
    std::string received;
    cr_assert(pipe.readLines(received, lines - dropped));
    logLine(lines);
    cr_assert(stopLog());
    received += pipe.readAvailable();
    const line_count count = countLines(received);
    cr_assert_eq(count.own, lines - dropped + 1);
    cr_assert_eq(count.told, dropped);
}

Test(log_output, a_log_that_nobody_reads_stops_within_a_second)
{
    const named_pipe pipe;
    startLog("info", pipe.path(), noLineLimit);
    for (std::size_t i = 0; i < 1000; ++i) {
        logLine(i, 1000);
    }
    const auto begin = std::chrono::steady_clock::now();
    cr_assert_not(stopLog());
    cr_assert(std::chrono::steady_clock::now() - begin < 1s);
    logLine(1000); // no longer taken
    std::string received;
    cr_assert(pipe.readLines(received, 1000), "the thread that was left behind does not go on");
    cr_assert_eq(countLines(received).own, 1000);
}
