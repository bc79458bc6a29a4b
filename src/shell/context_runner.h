// Runs an I/O context on a thread so that an exception that leaves a handler ends neither the thread nor the process.
#pragma once

#include <boost/asio/io_context.hpp>

#include <exception>
#include <string>
#include <string_view>

namespace chicoryrouter {

std::string reasonOf(const std::exception_ptr &fault); // the text of an exception

// Runs `context` until it is stopped or has no work. Every exception that leaves a handler is logged as thread_fault and counted; the handlers
// that are queued go on. A handler that throws each time costs no more than one that returns: the log bounds the lines.
void runContext(boost::asio::io_context &context, std::string_view thread);

// Exceptions since the start of the process: those that left a handler or ended a detached coroutine.
unsigned long caughtFaults();

// Completion handler for coroutines that nobody awaits: logs and counts the exception that ended one. `task` must be a string literal.
class logged_end
{
public:
    explicit logged_end(std::string_view task)
        : m_task(task)
    {
    }

    void operator()(const std::exception_ptr &fault) const;

private:
    std::string_view m_task;
};

} // namespace chicoryrouter
