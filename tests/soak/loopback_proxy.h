// A proxy on loopback that stands between two processes and disturbs what passes: delays, one-way cuts, silence, resets.
#pragma once

#include "chicoryrouter/endpoint.h"
#include "chicoryrouter/time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <memory>
#include <set>

namespace chicoryrouter::soak {

class loopback_proxy
{
public:
    loopback_proxy(boost::asio::io_context &context, address target);

    std::atomic<bool> dropsForward{false};    // what the caller sends does not arrive; its connection stays open
    std::atomic<bool> dropsBack{false};       // nor what the target answers
    std::atomic<std::int64_t> delayMillis{0}; // each piece, both ways
    std::atomic<bool> refuses{false};         // new connections are reset
    void resetAll();                          // any thread: every open connection, with a reset
    void calm();                              // any thread: passes everything on again
    [[nodiscard]] address where() const;

private:
    using tcp = boost::asio::ip::tcp;
    struct pair;

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> connect(std::shared_ptr<pair> both);
    boost::asio::awaitable<void> pass(std::shared_ptr<pair> both, bool forward);

    boost::asio::io_context &m_context;
    address m_target;
    tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<pair>> m_open; // on the context's thread only
};

} // namespace chicoryrouter::soak
