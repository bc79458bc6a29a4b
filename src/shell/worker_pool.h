// worker_pool: the request threads, each with its own I/O context. A connection stays on the thread that accepted it, so the handlers of
// one connection need no locks. Work for another thread is posted to that thread's context.
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
    explicit worker_pool(unsigned threads); // throws std::system_error if a thread can't be created
    ~worker_pool();                         // calls stop()
    worker_pool(const worker_pool &) = delete;
    worker_pool &operator=(const worker_pool &) = delete;

    boost::asio::io_context &nextContext(); // the contexts in round-robin order
    boost::asio::io_context &at(std::size_t index);
    [[nodiscard]] std::size_t size() const { return m_workers.size(); }
    [[nodiscard]] bool stopped() const { return m_stopped; }
    void stop(); // stops and joins the threads, then destroys pending operations; call when no request needs serving any more

private:
    // Pending operations on one context may own objects that use another, so stop() destroys all of them while all contexts still exist.
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
