// Passing bytes on, or not.
#include "soak/loopback_proxy.h"

#include "shell/asio_error.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace chicoryrouter::soak {

namespace asio = boost::asio;

struct loopback_proxy::pair
{
    explicit pair(tcp::socket from)
        : caller(std::move(from))
        , target(caller.get_executor())
    {
    }

    void reset()
    {
        for (tcp::socket *item : {&caller, &target}) {
            boost::system::error_code ignored;
            item->set_option(asio::socket_base::linger(true, 0), ignored);
            item->close(ignored);
        }
    }

    tcp::socket caller;
    tcp::socket target;
};

loopback_proxy::loopback_proxy(asio::io_context &context, address target)
    : m_context(context)
    , m_target(std::move(target))
    , m_acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
{
    asio::co_spawn(m_context, accept(), asio::detached);
}

address loopback_proxy::where() const
{
    return {"127.0.0.1", m_acceptor.local_endpoint().port()};
}

void loopback_proxy::resetAll()
{
    asio::post(m_context, [this] {
        for (const std::shared_ptr<pair> &item : m_open) {
            item->reset();
        }
    });
}

void loopback_proxy::calm()
{
    dropsForward = false;
    dropsBack = false;
    delayMillis = 0;
    refuses = false;
}

asio::awaitable<void> loopback_proxy::accept()
{
    while (true) {
        boost::system::error_code code;
        tcp::socket socket = co_await m_acceptor.async_accept(storeErrorIn(code));
        if (code) {
            co_return;
        }
        const auto both = std::make_shared<pair>(std::move(socket));
        if (refuses) {
            both->reset();
            continue;
        }
        m_open.insert(both);
        asio::co_spawn(m_context, connect(both), asio::detached);
    }
}

asio::awaitable<void> loopback_proxy::connect(std::shared_ptr<pair> both)
{
    boost::system::error_code code;
    const tcp::endpoint place(asio::ip::make_address(m_target.ip), m_target.port);
    co_await both->target.async_connect(place, storeErrorIn(code));
    if (code) {
        both->reset();
        m_open.erase(both);
        co_return;
    }
    both->caller.set_option(tcp::no_delay(true), code);
    both->target.set_option(tcp::no_delay(true), code);
    asio::co_spawn(m_context, pass(both, true), asio::detached);
    asio::co_spawn(m_context, pass(both, false), asio::detached);
}

asio::awaitable<void> loopback_proxy::pass(std::shared_ptr<pair> both, bool forward)
{
    tcp::socket &from = forward ? both->caller : both->target;
    tcp::socket &to = forward ? both->target : both->caller;
    const std::atomic<bool> &drops = forward ? dropsForward : dropsBack;
    std::array<char, 16384> buffer{};
    boost::system::error_code code;
    while (!code) {
        const std::size_t got = co_await from.async_read_some(asio::buffer(buffer), storeErrorIn(code));
        if (const std::int64_t delay = delayMillis; delay > 0 && !code) {
            asio::steady_timer timer(m_context, std::chrono::milliseconds(delay));
            boost::system::error_code ignored;
            co_await timer.async_wait(storeErrorIn(ignored));
        }
        if (drops && !code) {
            continue;
        }
        if (got > 0) {
            co_await asio::async_write(to, asio::buffer(buffer.data(), got), storeErrorIn(code));
        }
    }
    if (code == asio::error::eof && !drops) {
        boost::system::error_code ignored;
        to.shutdown(tcp::socket::shutdown_send, ignored); // the other way goes on until it ends too
    } else if (code != asio::error::eof) {
        both->reset();
    }
    m_open.erase(both);
}

} // namespace chicoryrouter::soak
