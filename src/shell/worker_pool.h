// Request threads. Each has an I/O context of its own, and a connection stays on the thread that got it, so handlers need no locks
// among themselves. What crosses threads is posted.
#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <atomic>
#include <memory>
#include <thread>
#include <vector>

namespace chicoryrouter {

class worker_pool
{
public:
    explicit worker_pool(unsigned threads);
    ~worker_pool(); // stops
    worker_pool(const worker_pool &) = delete;
    worker_pool &operator=(const worker_pool &) = delete;

    boost::asio::io_context &nextContext(); // contexts in turn
    boost::asio::io_context &at(std::size_t index);
    [[nodiscard]] std::size_t size() const { return m_workers.size(); }
    [[nodiscard]] bool stopped() const { return m_stopped; }
    void stop(); // abandons what is open and joins; call when nothing more is to be served

private:
    // Pending operations on one context may own objects of another, so all are dropped while all contexts still exist.
    class worker_context : public boost::asio::io_context
    {
    public:
        worker_context()
            : io_context(1)
        {
        }

        void destroyPending() { shutdown(); }
    };

    struct worker
    {
        worker_context context;
        boost::asio::executor_work_guard<boost::asio::io_context::executor_type> guard{context.get_executor()};
        std::thread thread;
    };

    std::vector<std::unique_ptr<worker>> m_workers;
    bool m_stopped = false;
    std::atomic<std::size_t> m_nextIndex{0};
};

} // namespace chicoryrouter
