// HTTP server: accepts connections and assigns each to a worker thread.
#include "shell/asio_error.h"
#include "shell/clock.h"
#include "shell/context_runner.h"
#include "shell/handshake_filter.h"
#include "shell/http.h"
#include "shell/http_connection.h"
#include "shell/listening_port.h"
#include "shell/worker_pool.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <atomic>
#include <mutex>
#include <set>

namespace chicoryrouter {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {
constexpr duration handshakeTime = std::chrono::milliseconds(200); // at the close, for handshakes that have begun
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
        connections->limits = std::move(bounds);
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
            if (!code) { // also after the close: it was accepted before
                startConnection(context, std::move(socket));
                continue;
            }
            if (code == asio::error::operation_aborted || !acceptor.is_open()) {
                co_return;
            }
            // Out of descriptors, for example, and then the next try would fail at once too.
            asio::steady_timer pause(acceptor.get_executor(), acceptRetryDelay);
            co_await pause.async_wait(storeErrorIn(code));
        }
    }

    // The connection exists from here on, so that a server that stops counts it before its thread has begun to serve it.
    void startConnection(asio::io_context &context, tcp::socket socket)
    {
        acceptedLate += closing ? 1 : 0;
        beast::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        auto connection = std::make_shared<http_connection>(std::move(socket), connections, connections->currentLimits());
        asio::post(context, [self = shared_from_this(), context = &context, moved = std::move(connection)] {
            asio::co_spawn(
                *context, [self, moved]() -> asio::awaitable<void> { co_await moved->serve(self->handler); }, logged_end("connection"));
        });
    }

    // Closes the listening socket once it has no handshake in progress and no connection in its queue: closing would reset both.
    asio::awaitable<void> closeEmptied()
    {
        const auto self = shared_from_this();
        dropNewHandshakes(acceptor.native_handle());
        beast::error_code ignored;
        asio::steady_timer pause(acceptor.get_executor(), handshakeTime);
        co_await pause.async_wait(storeErrorIn(ignored));
        takeQueuedConnections();
        acceptor.close(ignored);
        asio::post(acceptor.get_executor(), [self] { self->listening = false; }); // behind an accept that has succeeded and waits for its turn
    }

    void takeQueuedConnections()
    {
        beast::error_code code;
        acceptor.non_blocking(true, code);
        while (!code) {
            asio::io_context &context = workers.nextContext();
            tcp::socket socket(context);
            acceptor.accept(socket, code);
            if (!code) {
                startConnection(context, std::move(socket));
            }
        }
    }

    void closeListeningSocket()
    {
        beast::error_code ignored;
        acceptor.close(ignored);
        listening = false;
    }

    void postCloseListeningSocket()
    {
        connections->closeAfterResponses = true;
        asio::post(acceptor.get_executor(), [self = shared_from_this()] { self->closeListeningSocket(); });
    }

    worker_pool &workers;
    tcp::acceptor acceptor;
    http_handler handler;
    std::shared_ptr<http_connection_set> connections = std::make_shared<http_connection_set>();
    std::uint16_t port = 0;
    std::atomic<bool> listening{true};
    std::atomic<bool> closing{false};
    std::atomic<std::size_t> acceptedLate{0}; // after the close had begun
};

http_server::http_server(worker_pool &workers, const address &listenAddress, http_handler handler, http_server_limits limits)
    : http_server(workers, listening_port({"listen address", listenAddress}), std::move(handler), std::move(limits))
{
}

http_server::http_server(worker_pool &workers, listening_port port, http_handler handler, http_server_limits limits)
    : m_state(std::make_shared<state>(workers, std::move(handler), std::move(limits)))
{
    m_state->listen(std::move(port));
    asio::co_spawn(
        m_state->acceptor.get_executor(), [self = m_state]() -> asio::awaitable<void> { co_await self->acceptLoop(); }, logged_end("accepting of connections"));
}

http_server::~http_server()
{
    m_state->postCloseListeningSocket();
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
    if (m_state->closing.exchange(true)) {
        return;
    }
    m_state->connections->closeAfterResponses = true;
    asio::co_spawn(
        m_state->acceptor.get_executor(), [self = m_state]() -> asio::awaitable<void> { co_await self->closeEmptied(); },
        logged_end("close of a listening socket"));
}

void http_server::closeIdle()
{
    m_state->connections->closeIdle();
}

bool http_server::isListening() const
{
    return m_state->listening;
}

std::size_t http_server::acceptedLate() const
{
    return m_state->acceptedLate;
}

std::size_t http_server::closedIdle() const
{
    return m_state->connections->closedIdle;
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
    m_state->connections->closeAll();
}

void http_server::abortAll()
{
    m_state->postCloseListeningSocket();
    abortConnections();
}

} // namespace chicoryrouter
