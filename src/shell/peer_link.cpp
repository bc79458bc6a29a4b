// Server and client for calls between daemons. peer_connection.h has the HTTP/2 connection.
#include "shell/peer_link.h"

#include "shell/asio_error.h"
#include "shell/clock.h"
#include "shell/context_runner.h"
#include "shell/listening_port.h"
#include "shell/peer_connection.h"
#include "shell/worker_pool.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

#include <array>
#include <charconv>
#include <cstring>
#include <map>
#include <mutex>
#include <set>

namespace chicoryrouter {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

using namespace std::chrono_literals;

constexpr duration maxTimeDifference = 60s; // between a request's time and the clock of the daemon that receives it, in either direction
constexpr duration connectTimeout = 1s;

// HMAC-SHA256 over the parts, in hexadecimal.
std::string hmacHex(const std::string &key, std::initializer_list<std::string_view> parts)
{
    std::string text;
    for (const std::string_view part : parts) {
        text += std::to_string(part.size()) + ':'; // the length prefix keeps different splits of the same text from having the same HMAC
        text += part;
    }
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), reinterpret_cast<const unsigned char *>(text.data()), text.size(), digest.data(), &length);
    constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    for (unsigned i = 0; i < length; ++i) {
        hex += digits[digest[i] >> 4U];
        hex += digits[digest[i] & 15U];
    }
    return hex;
}

// Compares in constant time, so that the duration doesn't reveal how much of a proof was right.
bool proofsEqual(const std::string &a, const std::string &b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

// `text` is a request's time in microseconds since the epoch.
bool isRecent(const std::string &text)
{
    std::int64_t micros = 0;
    std::from_chars(text.data(), text.data() + text.size(), micros);
    const duration difference = systemNow() - time_point(duration(micros));
    return difference < maxTimeDifference && difference > -maxTimeDifference;
}

} // namespace

// ---- Server ----------------------------------------------------------------------------------------------------------------------------

struct peer_server::state : std::enable_shared_from_this<peer_server::state>
{
    state(worker_pool &pool, std::string peerKey, peer_handler onCall, std::shared_ptr<peer_counters> counts)
        : workers(pool)
        , acceptor(pool.nextContext())
        , key(std::move(peerKey))
        , handler(std::move(onCall))
        , counters(std::move(counts))
    {
    }

    asio::awaitable<void> acceptLoop()
    {
        const auto self = shared_from_this();
        while (acceptor.is_open()) {
            boost::system::error_code code;
            tcp::socket socket = co_await acceptor.async_accept(workers.nextContext(), storeErrorIn(code));
            if (!code) {
                const auto executor = socket.get_executor();
                asio::post(executor, [self, moved = std::move(socket)]() mutable { self->startConnection(std::move(moved)); });
                continue;
            }
            // Out of descriptors, for example, and then the next try would fail at once too.
            asio::steady_timer pause(acceptor.get_executor(), acceptRetryDelay);
            co_await pause.async_wait(storeErrorIn(code));
        }
    }

    void startConnection(tcp::socket socket)
    {
        boost::system::error_code ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        const auto newConnection = std::make_shared<peer_connection>(std::move(socket), true, counters);
        const std::weak_ptr<peer_connection> weak = newConnection;
        newConnection->onRequest = [self = shared_from_this(), weak](std::int32_t id, const std::shared_ptr<peer_stream> &stream) {
            if (const auto connection = weak.lock()) {
                asio::co_spawn(
                    connection->executor(), [self, connection, id, stream]() -> asio::awaitable<void> { co_await self->handleCall(connection, id, stream); },
                    logged_end("call of a peer"));
            }
        };
        {
            const std::lock_guard guard(connectionsMutex);
            std::erase_if(connections, [](const auto &item) { return item.expired(); });
            connections.push_back(newConnection);
        }
        newConnection->start();
    }

    asio::awaitable<void> handleCall(std::shared_ptr<peer_connection> connection, std::int32_t id, std::shared_ptr<peer_stream> stream)
    {
        const std::string path = stream->receivedHeaders[":path"];
        const std::string time = stream->receivedHeaders["x-time"];
        const std::string proof = stream->receivedHeaders["x-proof"];
        ++counters->calls;
        if (!isRecent(time) || !proofsEqual(proof, hmacHex(key, {path, time, stream->receivedBody}))) {
            ++counters->refused;
            connection->submitResponse(id, "403", "");
            co_return;
        }
        std::optional<std::string> result;
        try {
            result = co_await handler(path, std::move(stream->receivedBody));
        } catch (const std::exception &) {
            result.reset();
        }
        stream->sendBody = result.value_or("");
        const std::string answerProof = hmacHex(key, {proof, stream->sendBody});
        if (connection->isOpen()) {
            connection->submitResponse(id, result ? "200" : "404", answerProof);
        }
    }

    worker_pool &workers;
    tcp::acceptor acceptor;
    std::string key;
    peer_handler handler;
    std::shared_ptr<peer_counters> counters;
    std::mutex connectionsMutex;
    std::vector<std::weak_ptr<peer_connection>> connections;
    std::uint16_t port = 0;
};

peer_server::peer_server(worker_pool &workers, listening_port port, std::string key, peer_handler handler, std::shared_ptr<peer_counters> counters)
    : m_state(std::make_shared<state>(workers, std::move(key), std::move(handler), std::move(counters)))
{
    port.listen();
    port.moveInto(m_state->acceptor);
    m_state->port = port.port();
    asio::co_spawn(
        m_state->acceptor.get_executor(), [self = m_state]() -> asio::awaitable<void> { co_await self->acceptLoop(); }, logged_end("accepting of peers"));
}

peer_server::~peer_server()
{
    close();
}

std::uint16_t peer_server::port() const
{
    return m_state->port;
}

void peer_server::close()
{
    asio::post(m_state->acceptor.get_executor(), [self = m_state] {
        boost::system::error_code ignored;
        self->acceptor.close(ignored);
    });
    const std::lock_guard guard(m_state->connectionsMutex);
    for (const auto &item : m_state->connections) {
        if (const auto connection = item.lock()) {
            asio::post(connection->executor(), [connection] { connection->close(); });
        }
    }
}

// ---- Client ----------------------------------------------------------------------------------------------------------------------------

struct peer_client::state
{
    state(asio::any_io_executor clientExecutor, std::string peerKey, std::shared_ptr<peer_counters> counts)
        : executor(std::move(clientExecutor))
        , key(std::move(peerKey))
        , counters(std::move(counts))
    {
    }

    asio::awaitable<std::shared_ptr<peer_connection>> connect(const address &peer, time_point deadline)
    {
        auto &existing = connections[{peer.ip, peer.port}];
        if (existing != nullptr && existing->isOpen()) {
            co_return existing;
        }
        const auto socket = std::make_shared<tcp::socket>(executor);
        asio::steady_timer timer(executor, std::min<duration>(connectTimeout, std::max(deadline - systemNow(), duration(0))));
        timer.async_wait([socket](const boost::system::error_code &code) {
            if (!code) {
                boost::system::error_code ignored;
                socket->close(ignored);
            }
        });
        boost::system::error_code error;
        const tcp::endpoint peerEndpoint(asio::ip::make_address(peer.ip), peer.port);
        co_await socket->async_connect(peerEndpoint, storeErrorIn(error));
        timer.cancel();
        if (error || !socket->is_open()) {
            co_return nullptr;
        }
        socket->set_option(tcp::no_delay(true), error);
        const auto newConnection = std::make_shared<peer_connection>(std::move(*socket), false, counters);
        connections[{peer.ip, peer.port}] = newConnection;
        newConnection->start();
        co_return newConnection;
    }

    asio::any_io_executor executor;
    std::string key;
    std::shared_ptr<peer_counters> counters;
    std::map<std::pair<std::string, std::uint16_t>, std::shared_ptr<peer_connection>> connections;
};

peer_client::peer_client(asio::any_io_executor executor, std::string key, std::shared_ptr<peer_counters> counters)
    : m_state(std::make_shared<state>(std::move(executor), std::move(key), std::move(counters)))
{
}

peer_client::~peer_client()
{
    for (const auto &[peer, connection] : m_state->connections) {
        if (connection != nullptr) {
            connection->close();
        }
    }
}

asio::awaitable<std::optional<std::string>> peer_client::call(address peer, std::string path, std::string body, time_point deadline)
{
    const std::shared_ptr<state> sharedState = m_state;
    const std::shared_ptr<peer_connection> connection = co_await sharedState->connect(peer, deadline);
    if (connection == nullptr) {
        co_return std::nullopt;
    }
    const time_point callStart = systemNow();
    const std::string time = std::to_string(callStart.time_since_epoch().count());
    const std::string proof = hmacHex(sharedState->key, {path, time, body});
    const std::shared_ptr<peer_stream> stream = connection->submitRequest(path, time, proof, std::move(body));
    if (stream == nullptr) {
        co_return std::nullopt;
    }
    if (!stream->closed) {
        stream->closeEvent->expires_after(std::max<duration>(deadline - systemNow(), duration(0)));
        boost::system::error_code ignored;
        co_await stream->closeEvent->async_wait(storeErrorIn(ignored));
    }
    if (!stream->closed) {
        connection->cancelTimedOut(stream, callStart);
        co_return std::nullopt;
    }
    const bool isProofValid = proofsEqual(stream->receivedHeaders["x-proof"], hmacHex(sharedState->key, {proof, stream->receivedBody}));
    if (stream->receivedHeaders[":status"] != "200" || !isProofValid) {
        co_return std::nullopt;
    }
    co_return std::move(stream->receivedBody);
}

} // namespace chicoryrouter
