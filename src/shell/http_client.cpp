// HTTP client: a connection pool by address, buffered calls and streamed responses.
#include "shell/asio_error.h"
#include "shell/clock.h"
#include "shell/http.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <netinet/tcp.h>

#include <array>
#include <map>
#include <optional>

namespace chicoryrouter {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

namespace {

constexpr std::size_t maxIdleConnectionsPerAddress = 64;
constexpr std::size_t maxIdleConnections = 1024; // in all; further ones are closed after their response
constexpr int keepAliveIdleSeconds = 2;          // without traffic before the first probe
constexpr int keepAliveIntervalSeconds = 1;
constexpr int keepAliveProbeCount = 2;                              // unanswered probes after which the connection is dead
constexpr unsigned tcpUserTimeoutMilliseconds = 3000;               // sent data unacknowledged for this long: the connection is dead
constexpr int maxUnsentBytes = 64 * 1024;                           // of a request in the kernel, for a server that does not read
constexpr duration connectTimeout = std::chrono::milliseconds(700); // a lost SYN is retransmitted only after one second
constexpr std::size_t maxSkippedBytes = 1024 * 1024;                // longest response to another request that is discarded; a longer one fails the call
constexpr std::size_t maxUnparsedBytes = 64 * 1024; // of a response's head, the line with a chunk's size, or its trailer; a longer one fails the call
constexpr std::uint32_t maxInterimResponses = 8;    // before one response; more of them fail the call
constexpr unsigned switchingProtocols = 101;        // no request asks for it, and what follows it is no HTTP
constexpr duration idleCheckInterval = std::chrono::milliseconds(50); // between two looks for idle connections that are of no use any more
constexpr duration idleConnectionLifetime = std::chrono::seconds(20); // shorter than the servers' idle timeout, so that the client closes first

struct idle_connection
{
    std::unique_ptr<beast::tcp_stream> stream;
    time_point expiresAt{};
};

using address_key = std::pair<std::string, std::uint16_t>;

// A peer can disappear without a reset. TCP keep-alive probes detect that and make pending reads and writes fail.
void enableDeadPeerDetection(tcp::socket &socket)
{
    const int enabled = 1;
    const int descriptor = socket.native_handle();
    setsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &enabled, sizeof(enabled));
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, &keepAliveIdleSeconds, sizeof(keepAliveIdleSeconds));
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, &keepAliveIntervalSeconds, sizeof(keepAliveIntervalSeconds));
    setsockopt(descriptor, IPPROTO_TCP, TCP_KEEPCNT, &keepAliveProbeCount, sizeof(keepAliveProbeCount));
    setsockopt(descriptor, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &maxUnsentBytes, sizeof(maxUnsentBytes));
    setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &tcpUserTimeoutMilliseconds, sizeof(tcpUserTimeoutMilliseconds));
}

bool stillOpen(beast::tcp_stream &stream)
{
    char peeked = 0;
    beast::error_code code;
    stream.socket().non_blocking(true, code);
    stream.socket().receive(asio::buffer(&peeked, 1), tcp::socket::message_peek, code);
    return code == asio::error::would_block;
}

} // namespace

http_failure::http_failure(bool requestMayHaveBeenSent, error_kind kind, std::string text, std::size_t bodyBytes)
    : m_requestMayHaveBeenSent(requestMayHaveBeenSent)
    , m_kind(kind)
    , m_bodyBytes(bodyBytes)
    , m_text(std::move(text))
{
}

struct http_client::state
{
    explicit state(asio::any_io_executor owner)
        : executor(std::move(owner))
    {
    }

    std::unique_ptr<beast::tcp_stream> takeIdle(const address &destination)
    {
        const auto found = idleConnections.find({destination.ip, destination.port});
        while (found != idleConnections.end() && !found->second.empty()) {
            idle_connection candidate = std::move(found->second.back());
            found->second.pop_back();
            --idleCount;
            if (isUsable(candidate, systemNow())) {
                return std::move(candidate.stream);
            }
        }
        return nullptr;
    }

    void keepIdle(const address &destination, std::unique_ptr<beast::tcp_stream> stream)
    {
        closeUnusable(systemNow());
        auto &list = idleConnections[{destination.ip, destination.port}];
        if (list.size() < maxIdleConnectionsPerAddress && idleCount < maxIdleConnections) {
            stream->expires_never();
            list.push_back({std::move(stream), systemNow() + idleConnectionLifetime});
            ++idleCount;
        }
    }

    static bool isUsable(idle_connection &item, time_point now) { return item.expiresAt > now && stillOpen(*item.stream); }

    // Looks at the idle connections to one address after the other: those to a server that is gone are used by no call that would notice. Part of
    // keeping a connection, so that a client without calls, whose connections don't grow in number, needs no timer.
    void closeUnusable(time_point now)
    {
        if (now < nextIdleCheck) {
            return;
        }
        nextIdleCheck = now + idleCheckInterval;
        auto next = idleConnections.upper_bound(lastChecked);
        next = next == idleConnections.end() ? idleConnections.begin() : next;
        if (next == idleConnections.end()) {
            return;
        }
        lastChecked = next->first;
        idleCount -= std::erase_if(next->second, [now](idle_connection &item) { return !isUsable(item, now); });
        if (next->second.empty()) {
            idleConnections.erase(next);
        }
    }

    asio::awaitable<std::unique_ptr<beast::tcp_stream>> connect(const address &destination, time_point deadline, bool forceNew)
    {
        if (!forceNew) {
            if (auto stream = takeIdle(destination)) {
                stream->expires_at(steadyAt(deadline));
                co_return stream;
            }
        }
        beast::error_code code;
        const tcp::endpoint tcpEndpoint(asio::ip::make_address(destination.ip, code), destination.port);
        if (code) {
            throw http_failure(false, error_kind::EndpointRefused, "'" + destination.ip + "' is not an IP address");
        }
        auto stream = std::make_unique<beast::tcp_stream>(executor);
        stream->expires_at(steadyAt(std::min(deadline, systemNow() + connectTimeout)));
        co_await stream->async_connect(tcpEndpoint, storeErrorIn(code));
        if (code) {
            throw http_failure(false, error_kind::EndpointRefused, "connect: " + code.message());
        }
        stream->socket().set_option(tcp::no_delay(true), code);
        enableDeadPeerDetection(stream->socket());
        // Zero linger makes close() send a reset and discard unsent data: a request delayed by a network partition must not arrive after the
        // client has given up on it.
        stream->socket().set_option(asio::socket_base::linger(true, 0), code);
        stream->expires_at(steadyAt(deadline));
        co_return stream;
    }

    asio::any_io_executor executor;
    std::map<address_key, std::vector<idle_connection>> idleConnections;
    std::size_t idleCount = 0; // over all addresses
    address_key lastChecked;   // by closeUnusable()
    time_point nextIdleCheck{};
};

namespace {

http::request<http::string_body> buildRequest(const address &destination, http_call &call)
{
    http::request<http::string_body> message{http::string_to_verb(call.method), call.target, 11};
    if (findHeader(call.headers, "Host").empty()) {
        message.set(http::field::host, destination.ip + ":" + std::to_string(destination.port));
    }
    for (const http_header &item : call.headers) {
        message.insert(item.name, item.value);
    }
    message.body() = std::move(call.body);
    message.prepare_payload();
    return message;
}

template<typename Fields>
http_headers copyHeaders(const Fields &fields)
{
    http_headers headers;
    for (const auto &field : fields) {
        headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    return headers;
}

// Bytes that are no HTTP are the endpoint's fault; any other error means that the connection is gone.
error_kind kindOfReadError(const beast::error_code &code)
{
    const bool fromParser = code.category() == http::make_error_code(http::error::bad_value).category();
    const bool malformed = fromParser && code != http::error::end_of_stream && code != http::error::partial_message;
    return malformed ? error_kind::EndpointGarbage : error_kind::EndpointLost;
}

class response_stream : public http_stream
{
public:
    using return_function = std::function<void(std::unique_ptr<beast::tcp_stream>)>;

    response_stream(std::unique_ptr<beast::tcp_stream> connection, return_function returnToPool)
        : m_connection(std::move(connection))
        , m_returnToPool(std::move(returnToPool))
    {
        resetParser();
    }

    // Skips interim responses (100 Continue, 103 Early Hints): the response follows them.
    asio::awaitable<void> readHead()
    {
        co_await readAnyHead();
        for (std::uint32_t interim = 0; isInterim(m_parser->get().result_int()); ++interim) {
            if (interim == maxInterimResponses) {
                failHead("too many interim responses");
            }
            resetParser();
            co_await readAnyHead();
        }
        status = static_cast<int>(m_parser->get().result_int());
        if (!isFinal(m_parser->get().result_int())) {
            failHead("status " + std::to_string(status));
        }
        headers = copyHeaders(m_parser->get());
        endsWithConnection = m_parser->need_eof();
    }

    asio::awaitable<std::size_t> readSome(char *buffer, std::size_t size) override
    {
        while (!m_parser->is_done()) {
            m_parser->get().body().data = buffer;
            m_parser->get().body().size = size;
            beast::error_code code;
            co_await http::async_read_some(*m_connection, m_buffer, *m_parser, storeErrorIn(code));
            const std::size_t got = size - m_parser->get().body().size;
            if (code && code != http::error::need_buffer) {
                throw http_failure(true, kindOfReadError(code), "answer: " + code.message());
            }
            if (got > 0) {
                co_return got;
            }
        }
        if (endsWithConnection && m_requestBroken) {
            throw http_failure(true, error_kind::EndpointLost, "answer: the connection broke while the request was written");
        }
        // Bytes after the response belong to no request, so such a connection is not reused.
        if (m_connection != nullptr && m_parser->keep_alive() && m_buffer.size() == 0 && !m_failed && m_returnToPool) {
            m_returnToPool(std::move(m_connection));
        }
        co_return 0;
    }

    asio::awaitable<void> skipResponse() override
    {
        std::array<char, 4096> scratch{};
        const return_function returnToPool = std::move(m_returnToPool);
        m_returnToPool = nullptr;
        std::size_t got = 1;
        for (std::size_t total = 0; got > 0; total += got) {
            if (total > maxSkippedBytes) {
                throw http_failure(true, error_kind::EndpointGarbage, "response to another request is too long to skip");
            }
            got = co_await readSome(scratch.data(), scratch.size());
        }
        if (!m_parser->keep_alive()) {
            throw http_failure(true, error_kind::EndpointGarbage, "connection closes after a response to another request");
        }
        m_returnToPool = returnToPool;
        resetParser();
        co_await readHead();
    }

    void setDeadline(time_point deadline) override
    {
        if (m_connection != nullptr) {
            m_connection->expires_at(steadyAt(deadline));
        }
    }

    void closeAfterResponse() override { m_returnToPool = nullptr; }

    // The connection failed while the request was written. That error has been taken, so a further read reports the end of the stream in its place.
    void markRequestBroken()
    {
        m_requestBroken = true;
        closeAfterResponse();
    }

    void cancel() override
    {
        if (m_connection != nullptr) {
            m_connection->close();
        }
    }

private:
    std::unique_ptr<beast::tcp_stream> m_connection; // null once it is back in the pool
    return_function m_returnToPool;
    beast::flat_buffer m_buffer{maxUnparsedBytes};                    // received and not yet parsed; bodies are read past it
    std::optional<http::response_parser<http::buffer_body>> m_parser; // never empty
    bool m_failed = false;
    bool m_requestBroken = false; // see markRequestBroken()

    static bool isInterim(unsigned code) { return code / 100 == 1 && code != switchingProtocols; }
    static bool isFinal(unsigned code) { return code >= 200 && code < 600; }

    [[noreturn]] void failHead(const std::string &why)
    {
        m_failed = true;
        throw http_failure(true, error_kind::EndpointGarbage, "answer headers: " + why);
    }

    asio::awaitable<void> readAnyHead()
    {
        beast::error_code code;
        co_await http::async_read_header(*m_connection, m_buffer, *m_parser, storeErrorIn(code));
        if (code) {
            m_failed = true;
            throw http_failure(true, kindOfReadError(code), "answer headers: " + code.message());
        }
    }

    void resetParser()
    {
        m_parser.emplace();
        m_parser->body_limit(boost::none);
    }
};

} // namespace

namespace {

asio::awaitable<void> readHeadAndClearHandle(response_stream &stream, call_handle *handle)
{
    std::exception_ptr fault;
    try {
        co_await stream.readHead();
    } catch (...) {
        fault = std::current_exception();
    }
    if (handle != nullptr) {
        handle->cancel = nullptr;
    }
    if (fault) {
        std::rethrow_exception(fault);
    }
}

} // namespace

http_client::http_client(asio::any_io_executor executor)
    : m_state(std::make_shared<state>(std::move(executor)))
{
}

http_client::~http_client() = default;

asio::awaitable<std::unique_ptr<http_stream>> http_client::open(
    address destination, http_call request, time_point deadline, bool forceNew, std::function<void()> onSending, std::shared_ptr<call_handle> handle)
{
    const std::shared_ptr<state> shared = m_state;
    std::unique_ptr<beast::tcp_stream> connection = co_await shared->connect(destination, deadline, forceNew);
    auto message = buildRequest(destination, request);
    if (handle != nullptr) {
        handle->cancel = [openConnection = connection.get()] {
            openConnection->close(); // valid until the response headers are read, when the handle is cleared; http_stream::cancel() replaces it
        };
    }
    if (onSending) {
        onSending();
    }
    beast::error_code code;
    co_await http::async_write(*connection, message, storeErrorIn(code));
    if (code && handle != nullptr) {
        handle->cancel = nullptr; // the connection may be destroyed when this function returns
    }
    const bool endpointMayHaveAnswered = code == asio::error::connection_reset || code == asio::error::broken_pipe;
    if (code && !endpointMayHaveAnswered) {
        throw http_failure(true, error_kind::EndpointLost, "send: " + code.message());
    }
    auto returnToPool = [weak = std::weak_ptr<state>(shared), destination](std::unique_ptr<beast::tcp_stream> stream) {
        if (const auto owner = weak.lock()) {
            owner->keepIdle(destination, std::move(stream));
        }
    };
    auto stream = std::make_unique<response_stream>(std::move(connection), std::move(returnToPool));
    if (code) {
        stream->markRequestBroken();
    }
    co_await readHeadAndClearHandle(*stream, handle.get());
    co_return stream;
}

asio::awaitable<http_response> http_client::call(
    address destination, http_call request, time_point deadline, std::size_t maxBytes, std::optional<body_timeouts> bodyTimeouts)
{
    const std::unique_ptr<http_stream> stream = co_await open(std::move(destination), std::move(request), deadline, false, nullptr);
    http_response response;
    response.status = stream->status;
    response.headers = stream->headers;
    std::array<char, 16384> buffer{};
    while (true) {
        std::size_t got = 0;
        if (bodyTimeouts) {
            stream->setDeadline(std::max(deadline, std::min(systemNow() + bodyTimeouts->readTimeout, bodyTimeouts->deadline)));
        }
        try {
            got = co_await stream->readSome(buffer.data(), buffer.size());
        } catch (const http_failure &fault) {
            const std::size_t read = response.body.size();
            throw http_failure(fault.requestMayHaveBeenSent(), fault.kind(), fault.what() + (", after " + std::to_string(read) + " bytes of the body"), read);
        }
        if (got == 0) {
            co_return response;
        }
        if (response.body.size() + got > maxBytes) {
            throw http_failure(true, error_kind::EndpointGarbage, "answer: body too large", response.body.size());
        }
        response.body.append(buffer.data(), got);
    }
}

} // namespace chicoryrouter
