// HTTP server: accepts connections and assigns each to a worker thread.
#include "shell/asio_error.h"
#include "shell/clock.h"
#include "shell/http.h"
#include "shell/http_connection.h"
#include "shell/listening_port.h"
#include "shell/worker_pool.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <mutex>
#include <set>

namespace chicoryrouter {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {
constexpr duration acceptRetryDelay = std::chrono::milliseconds(50);
} // namespace

std::string_view findHeader(const http_headers &headers, std::string_view name)
{
    const auto found = std::find_if(headers.begin(), headers.end(), [&](const http_header &item) { return beast::iequals(item.name, name); });
    return found == headers.end() ? std::string_view() : std::string_view(found->value);
}

std::string http_request::parameter(std::string_view name) const
{
    std::string_view rest = query;
    while (!rest.empty()) {
        const std::string_view part = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), part.size() + 1));
        const auto equals = part.find('=');
        if (part.substr(0, equals) == name) {
            return equals == std::string_view::npos ? std::string() : std::string(part.substr(equals + 1));
        }
    }
    return {};
}

struct http_server::state : std::enable_shared_from_this<http_server::state>
{
    state(worker_pool &pool, http_handler onRequest, http_server_limits bounds)
        : workers(pool)
        , acceptor(pool.nextContext())
        , handler(std::move(onRequest))
    {
        connections->limits = bounds;
    }

    void listen(listening_port bound)
    {
        bound.listen();
        bound.moveInto(acceptor);
        port = bound.port();
    }

    asio::awaitable<void> acceptLoop()
    {
        const auto self = shared_from_this();
        while (true) {
            asio::io_context &context = workers.nextContext();
            beast::error_code code;
            tcp::socket socket = co_await acceptor.async_accept(context, storeErrorIn(code));
            if (code == asio::error::operation_aborted || !acceptor.is_open()) {
                co_return;
            }
            if (code) { // out of descriptors, for example, and then the next try would fail at once too
                asio::steady_timer pause(acceptor.get_executor(), acceptRetryDelay);
                co_await pause.async_wait(storeErrorIn(code));
                continue;
            }
            beast::error_code ignored;
            socket.set_option(tcp::no_delay(true), ignored);
            asio::post(context, [self, moved = std::move(socket)]() mutable { self->startConnection(std::move(moved)); });
        }
    }

    void startConnection(tcp::socket socket)
    {
        const auto executor = socket.get_executor();
        const auto connection = std::make_shared<http_connection>(std::move(socket), connections, connections->currentLimits());
        asio::co_spawn(
            executor, [self = shared_from_this(), connection]() -> asio::awaitable<void> { co_await connection->serve(self->handler); }, asio::detached);
    }

    worker_pool &workers;
    tcp::acceptor acceptor;
    http_handler handler;
    std::shared_ptr<http_connection_set> connections = std::make_shared<http_connection_set>();
    std::uint16_t port = 0;
};

http_server::http_server(worker_pool &workers, const address &listenAddress, http_handler handler, http_server_limits limits)
    : http_server(workers, listening_port({"listen address", listenAddress}), std::move(handler), limits)
{
}

http_server::http_server(worker_pool &workers, listening_port port, http_handler handler, http_server_limits limits)
    : m_state(std::make_shared<state>(workers, std::move(handler), limits))
{
    m_state->listen(std::move(port));
    asio::co_spawn(
        m_state->acceptor.get_executor(), [self = m_state]() -> asio::awaitable<void> { co_await self->acceptLoop(); }, asio::detached);
}

http_server::~http_server()
{
    close();
}

std::uint16_t http_server::port() const
{
    return m_state->port;
}

void http_server::setLimits(const http_server_limits &limits)
{
    const std::lock_guard guard(m_state->connections->lock);
    m_state->connections->limits = limits;
}

void http_server::closeAfterResponses()
{
    m_state->connections->closeAfterResponses = true;
}

void http_server::close()
{
    m_state->connections->closing = true;
    asio::post(m_state->acceptor.get_executor(), [self = m_state] {
        beast::error_code ignored;
        self->acceptor.close(ignored);
    });
}

void http_server::closeIdle()
{
    m_state->connections->closeAll(true);
}

std::size_t http_server::connections() const
{
    const std::lock_guard guard(m_state->connections->lock);
    return m_state->connections->open.size();
}

std::size_t http_server::busy() const
{
    return m_state->connections->busy;
}

void http_server::abortConnections()
{
    m_state->connections->closeAll(false);
}

void http_server::abortAll()
{
    close();
    abortConnections();
}

} // namespace chicoryrouter
