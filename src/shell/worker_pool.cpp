// Threads, each with its own I/O context.
#include "shell/worker_pool.h"

#include "shell/context_runner.h"

namespace chicoryrouter {

worker_pool::worker_pool(unsigned threads)
{
    try {
        for (unsigned i = 0; i < threads; ++i) {
            m_workers.push_back(std::make_unique<worker>());
            worker &added = *m_workers.back();
            added.thread = std::thread([&added] { runContext(added.context, "request"); });
        }
    } catch (...) {
        stop();
        throw;
    }
}

worker_pool::~worker_pool()
{
    stop();
}

boost::asio::io_context &worker_pool::nextContext()
{
    return at(m_nextIndex.fetch_add(1, std::memory_order_relaxed) % m_workers.size());
}

boost::asio::io_context &worker_pool::at(std::size_t index)
{
    return m_workers.at(index)->context;
}

void worker_pool::stop()
{
    if (m_stopped) {
        return;
    }
    m_stopped = true;
    for (const auto &item : m_workers) {
        item->context.stop();
    }
    for (const auto &item : m_workers) {
        if (item->thread.joinable()) {
            item->thread.join();
        }
    }
    for (const auto &item : m_workers) {
        item->context.destroyPending();
    }
}

} // namespace chicoryrouter
