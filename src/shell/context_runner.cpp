// Keeps threads alive after exceptions, and reports those that end a coroutine or the process.
#include "shell/context_runner.h"

#include "shell/log.h"

#include <atomic>

namespace chicoryrouter {

namespace {

std::atomic<unsigned long> caught{0};

void reportFault(std::string_view where, const std::exception_ptr &fault)
{
    caught.fetch_add(1, std::memory_order_relaxed);
    try {
        logEvent(log_event::ThreadFault, {{"thread", where}, {"why", reasonOf(fault)}});
    } catch (...) { // without memory for a line, the count alone remains
    }
}

} // namespace

std::string reasonOf(const std::exception_ptr &fault)
{
    try {
        std::rethrow_exception(fault);
    } catch (const std::exception &known) {
        return known.what();
    } catch (...) {
        return "unknown exception";
    }
}

void runContext(boost::asio::io_context &context, std::string_view thread)
{
    while (true) {
        try {
            context.run();
            return;
        } catch (...) {
            reportFault(thread, std::current_exception());
        }
    }
}

unsigned long caughtFaults()
{
    return caught.load(std::memory_order_relaxed);
}

void logged_end::operator()(const std::exception_ptr &fault) const
{
    if (fault != nullptr) {
        reportFault(m_task, fault);
    }
}

} // namespace chicoryrouter
