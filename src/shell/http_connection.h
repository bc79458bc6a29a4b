// A caller's connection to the HTTP server. One coroutine, on the connection's thread, reads requests, calls the handler and responds.
#pragma once

#include "chicoryrouter/byte_pool.h"
#include "shell/asio_error.h"
#include "shell/clock.h"
#include "shell/context_runner.h"
#include "shell/http.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <netinet/tcp.h>

#include <array>
#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

namespace chicoryrouter {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

inline constexpr std::size_t readAheadBytes = 4096;                 // read size for pipelined requests that arrive during a response
inline constexpr std::size_t bodyCopies = 2;                        // of a request's body: the request's own, and that of the call to an endpoint
inline constexpr int maxUnsentBytes = 16 * 1024;                    // of a response in the kernel; the rest waits in the process, where it is counted
inline constexpr duration firstBytesTime = std::chrono::seconds(1); // at a stop, for the first bytes of a request that was invited

class http_connection;

// State shared by the server and its connections.
struct http_connection_set
{
    std::mutex lock;
    std::set<http_connection *> open;
    std::atomic<bool> closeAfterResponses{false}; // every response closes its connection
    std::atomic<std::size_t> busy{0};             // connections with a request in progress or a response still being sent
    std::atomic<std::size_t> closedIdle{0};       // connections closed by closeIdle()
    http_server_limits limits;                    // guarded by `lock`

    http_server_limits currentLimits()
    {
        const std::lock_guard guard(lock);
        return limits;
    }

    std::vector<std::shared_ptr<http_connection>> openConnections();
    void closeIdle();
    void closeAll();
};

class http_connection : public http_exchange, public std::enable_shared_from_this<http_connection>
{
public:
    http_connection(tcp::socket socket, std::shared_ptr<http_connection_set> connections, const http_server_limits &limits)
        : m_stream(std::move(socket))
        , m_connections(std::move(connections))
        , m_limits(limits)
        , m_requestExpectedUntil(systemNow() + firstBytesTime)
    {
        setsockopt(m_stream.socket().native_handle(), IPPROTO_TCP, TCP_NOTSENT_LOWAT, &maxUnsentBytes, sizeof(maxUnsentBytes));
        const std::lock_guard guard(m_connections->lock);
        m_connections->open.insert(this);
    }

    ~http_connection() override
    {
        setBusy(false);
        const std::lock_guard guard(m_connections->lock);
        m_connections->open.erase(this);
    }

    asio::awaitable<void> serve(const http_handler &handler)
    {
        bool keepOpen = true;
        bool first = true;
        m_requestExpectedUntil = systemNow() + firstBytesTime; // again: this thread may have been held up since the connection was accepted
        while (keepOpen) {
            m_limits = m_connections->currentLimits();
            const read_result result = co_await receive(first);
            first = false;
            if (result == read_result::Closed) {
                break;
            }
            if (result == read_result::Answered || m_broken) { // no response could be sent if the connection was closed meanwhile
                break;
            }
            setBusy(true);
            co_await handle(handler);
            stopWatching();
            m_bodyShare.reset();
            keepOpen = m_keepAlive && !m_broken;
            m_requestExpectedUntil = m_connections->closeAfterResponses ? systemNow() + firstBytesTime : time_point{};
            setBusy(!keepOpen);
        }
        if (!m_broken) {
            co_await drain(); // closing with unread input sends a reset, which can destroy a response in transit
        }
    }

    asio::awaitable<void> respond(int status, std::string contentType, std::string body, http_headers extra) override
    {
        http::response<http::string_body> response{http::status(status), m_version};
        setHeaders(response, contentType, extra);
        response.body() = std::move(body);
        co_await write(response);
    }

    asio::awaitable<void> respondWithHeaders(int status, http_headers headers, std::string body) override
    {
        http::response<http::string_body> response{http::status(status), m_version};
        insertHeaders(response, headers);
        response.body() = std::move(body);
        co_await write(response);
    }

    asio::awaitable<bool> startStreamWithHeaders(int status, http_headers headers) override
    {
        http::response<http::empty_body> response{http::status(status), m_version};
        insertHeaders(response, headers);
        co_return co_await writeHead(response);
    }

    asio::awaitable<bool> startStream(int status, std::string contentType, http_headers extra) override
    {
        http::response<http::empty_body> response{http::status(status), m_version};
        setHeaders(response, contentType, extra);
        response.set(http::field::cache_control, "no-store");
        co_return co_await writeHead(response);
    }

    asio::awaitable<bool> writeChunk(std::string_view bytes) override
    {
        if (m_broken || bytes.empty()) {
            co_return !m_broken;
        }
        co_await writeAll(http::make_chunk(asio::buffer(bytes.data(), bytes.size())));
        co_return !m_broken;
    }

    asio::awaitable<void> endStream() override
    {
        if (!m_broken) {
            co_await writeAll(http::make_chunk_last());
        }
    }

    void abandon() override
    {
        m_broken = true;
        m_stream.close();
    }

    void watchCaller(std::function<void()> onDisconnect) override
    {
        m_onDisconnect = std::move(onDisconnect);
        ++m_watchGeneration;
        if (hasInput()) { // the caller may have left before its request was read
            onReadable(m_watchGeneration, {});
        } else {
            waitReadable();
        }
    }

    [[nodiscard]] bool started() const override { return m_started; }
    [[nodiscard]] asio::any_io_executor executor() const override { return const_cast<http_connection *>(this)->m_stream.get_executor(); }

    // Any thread, both. They close the connection on its own thread, and move the reference there so that it is also released there.
    static void postClose(std::shared_ptr<http_connection> connection)
    {
        const asio::any_io_executor owner = connection->m_stream.get_executor();
        asio::post(owner, [self = std::move(connection)] { self->abandon(); });
    }

    static void postCloseIfIdle(std::shared_ptr<http_connection> connection)
    {
        const asio::any_io_executor owner = connection->m_stream.get_executor();
        asio::post(owner, [self = std::move(connection)] { self->closeIfIdle(); });
    }

private:
    enum class read_result {
        Request,
        Answered, // an error response was sent; the connection closes
        Closed,
    };

    void setBusy(bool busy)
    {
        if (busy != m_busy) {
            m_connections->busy += busy ? 1 : -1;
        }
        m_busy = busy;
    }

    [[nodiscard]] std::size_t maxUnreadBytes() const { return m_limits.maxHeaderBytes + m_limits.maxBodyBytes; } // received and not yet parsed
    [[nodiscard]] bool canKeepAlive() const { return m_keepAlive && !m_connections->closeAfterResponses; }

    // Whether closing loses nothing: no byte of a request has been received, by the kernel neither, and none is expected soon.
    [[nodiscard]] bool isIdle()
    {
        const bool hasBytes = m_requestArriving || m_buffer.size() > 0 || (m_parser.has_value() && m_parser->got_some());
        if (m_busy || hasBytes || systemNow() < m_requestExpectedUntil) {
            return false;
        }
        beast::error_code code;
        return m_stream.socket().available(code) == 0;
    }

    void closeIfIdle()
    {
        if (m_broken || !isIdle()) {
            return;
        }
        ++m_connections->closedIdle;
        beast::error_code ignored;
        m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored); // first, so that a caller whose request crosses it sees an end and not a reset
        abandon();
    }

    // Sends a complete response.
    asio::awaitable<void> write(http::response<http::string_body> &response)
    {
        response.keep_alive(canKeepAlive());
        response.prepare_payload();
        m_started = true;
        m_keepAlive = response.keep_alive();
        http::response_serializer<http::string_body> serializer(response);
        beast::error_code code;
        while (!code && !serializer.is_done()) {
            m_stream.expires_after(m_limits.writeTimeout);
            co_await http::async_write_some(m_stream, serializer, storeErrorIn(code));
        }
        m_broken = m_broken || code;
    }

    // The time for a write begins anew with all bytes that the caller takes.
    template<typename Buffers>
    asio::awaitable<void> writeAll(Buffers bytes)
    {
        beast::buffers_suffix<Buffers> rest(bytes);
        beast::error_code code;
        while (!code && beast::buffer_bytes(rest) > 0) {
            m_stream.expires_after(m_limits.writeTimeout);
            const std::size_t written = co_await m_stream.async_write_some(rest, storeErrorIn(code));
            rest.consume(written);
        }
        m_broken = m_broken || code;
    }

    // Sends the headers of a streamed response.
    asio::awaitable<bool> writeHead(http::response<http::empty_body> &response)
    {
        response.keep_alive(canKeepAlive());
        response.chunked(true);
        m_started = true;
        m_keepAlive = response.keep_alive();
        http::response_serializer<http::empty_body> serializer(response);
        m_stream.expires_after(m_limits.writeTimeout);
        beast::error_code code;
        co_await http::async_write_header(m_stream, serializer, storeErrorIn(code));
        m_broken = m_broken || code;
        co_return !m_broken;
    }

    template<typename Response>
    static void insertHeaders(Response &response, const http_headers &headers)
    {
        for (const http_header &item : headers) {
            response.insert(item.name, item.value);
        }
    }

    template<typename Response>
    static void setHeaders(Response &response, const std::string &contentType, const http_headers &extra)
    {
        response.set(http::field::content_type, contentType);
        for (const http_header &item : extra) {
            response.set(item.name, item.value);
        }
    }

    asio::awaitable<read_result> receive(bool first)
    {
        http::request_parser<http::string_body> &parser = m_parser.emplace();
        parser.header_limit(static_cast<std::uint32_t>(m_limits.maxHeaderBytes));
        parser.body_limit(m_limits.maxBodyBytes);
        m_buffer.max_size(
            std::max(maxUnreadBytes(), m_buffer.size()) + readAheadBytes); // also bounds what the parser can't take yet, such as the line with a chunk's size
        beast::error_code code;
        if (!first && m_buffer.size() == 0) {
            m_stream.expires_after(m_limits.idleTimeout);
            co_await m_stream.socket().async_wait(tcp::socket::wait_read, storeErrorIn(code));
            m_requestArriving = true;
        }
        m_stream.expires_after(m_limits.receiveTimeout);
        co_await http::async_read_header(m_stream, m_buffer, parser, storeErrorIn(code));
        parser.eager(true);
        bool hasRoom = code || findRoom(parser);
        while (!code && hasRoom && !parser.is_done()) {
            co_await http::async_read_some(m_stream, m_buffer, parser, storeErrorIn(code));
            hasRoom = code || findRoom(parser);
        }
        m_requestArriving = false;
        m_started = false;
        releaseUnparsed();
        if (!hasRoom) {
            co_return co_await refuse(error_kind::Overloaded, "the bodies of the requests in progress leave no room for this one");
        }
        if (!code && !hasKnownBodyEnd(parser.get())) {
            code = http::error::bad_transfer_encoding;
        }
        if (code) {
            co_return co_await answerReadError(code, parser.got_some());
        }
        setRequest(parser.release());
        co_return read_result::Request;
    }

    // Whether there is room for so many bytes that are received and not parsed: requests sent ahead, or the line with a chunk's size.
    bool findUnparsedRoom(std::size_t bytes)
    {
        if (bytes <= readAheadBytes) {
            return true;
        }
        if (!m_unparsedShare.has_value()) {
            m_unparsedShare.emplace(m_limits.requestBytes);
        }
        return m_unparsedShare->tryGrowTo(bytes);
    }

    // Gives back what the buffer no longer holds.
    void releaseUnparsed()
    {
        if (!m_unparsedShare.has_value()) {
            return;
        }
        m_buffer.shrink_to_fit();
        m_unparsedShare->set(m_buffer.size());
        if (m_buffer.size() == 0) {
            m_unparsedShare.reset();
        }
    }

    // Whether there is room for the request's body: all of it where its length is known, and else what has arrived. And for what can't be parsed yet.
    bool findRoom(const http::request_parser<http::string_body> &parser)
    {
        const std::uint64_t length = parser.content_length().value_or(0);
        const std::size_t bytes = std::max<std::size_t>(length, parser.get().body().size());
        if (!findUnparsedRoom(m_buffer.size())) {
            return false;
        }
        if (bytes == 0) {
            return true;
        }
        if (!m_bodyShare.has_value()) {
            m_bodyShare.emplace(m_limits.requestBytes);
        }
        return m_bodyShare->tryGrowTo(bytes * bodyCopies);
    }

    // Beast decodes only the chunked coding. With any other, the end of the body is unknown, and the rest of the body could be parsed as
    // another request (request smuggling).
    static bool hasKnownBodyEnd(const http::request<http::string_body> &message)
    {
        const auto coding = message[http::field::transfer_encoding];
        return coding.empty() || beast::iequals(coding, "chunked");
    }

    void setRequest(http::request<http::string_body> message)
    {
        m_version = message.version();
        m_keepAlive = message.keep_alive();
        request = http_request{};
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        const std::string_view target(request.target);
        const auto queryMark = target.find('?');
        request.path = std::string(target.substr(0, queryMark));
        request.query = queryMark == std::string_view::npos ? std::string() : std::string(target.substr(queryMark + 1));
        for (const auto &field : message) {
            request.headers.push_back({std::string(field.name_string()), std::string(field.value())});
        }
        request.body = std::move(message.body());
    }

    asio::awaitable<read_result> answerReadError(beast::error_code code, bool gotSome)
    {
        const bool connectionEnded = code == http::error::end_of_stream || code == asio::error::operation_aborted || code == asio::error::connection_reset;
        const bool idle = code == beast::error::timeout && !gotSome;
        if (connectionEnded || idle || m_broken) {
            co_return read_result::Closed;
        }
        error_kind kind = error_kind::BadRequest;
        if (code == http::error::header_limit) {
            kind = error_kind::HeaderTooLarge;
        } else if (code == http::error::body_limit) {
            kind = error_kind::BodyTooLarge;
        } else if (code == beast::error::timeout) {
            kind = error_kind::SlowSender;
        }
        // After a timeout Beast has already closed the socket, so a slow sender doesn't receive this response.
        co_return co_await refuse(kind, code.message());
    }

    // Answers a request that was not read to its end.
    asio::awaitable<read_result> refuse(error_kind kind, std::string detail)
    {
        m_keepAlive = false;
        setBusy(true);
        m_parser.reset(); // with the part of the body that has arrived
        m_bodyShare.reset();
        co_await respond(responseFor(kind).httpStatus, "application/json", errorBody(kind, "", detail), {});
        co_await drain();
        co_return read_result::Answered;
    }

    // Reads and discards input for up to a second or `maxBodyBytes`, so that a caller that is still sending doesn't lose the response to a
    // connection reset.
    asio::awaitable<void> drain()
    {
        beast::error_code code;
        m_stream.socket().shutdown(tcp::socket::shutdown_send, code);
        m_stream.expires_after(std::chrono::seconds(1));
        std::array<char, 4096> scratch{};
        std::size_t total = 0;
        while (!code && total < m_limits.maxBodyBytes) {
            total += co_await m_stream.async_read_some(asio::buffer(scratch), storeErrorIn(code));
        }
    }

    asio::awaitable<void> handle(const http_handler &handler)
    {
        error_kind kind = error_kind::Internal;
        std::string detail;
        try {
            co_await handler(*this);
            co_return;
        } catch (const error &fault) {
            kind = fault.kind();
            detail = fault.detail();
        } catch (...) {
            logged_end("request handler")(std::current_exception());
            detail = reasonOf(std::current_exception());
        }
        if (m_started) {
            abandon();
        } else {
            co_await respond(responseFor(kind).httpStatus, "application/json", errorBody(kind, "", detail), {});
        }
    }

    // Whether a read would return at once, with bytes, the end or an error. Takes no room in the buffer, which a connection keeps for its life.
    [[nodiscard]] bool hasInput()
    {
        beast::error_code code;
        char next = 0;
        m_stream.socket().non_blocking(true, code);
        m_stream.socket().receive(asio::buffer(&next, 1), tcp::socket::message_peek, code);
        return code != asio::error::would_block;
    }

    void waitReadable()
    {
        m_stream.socket().async_wait(tcp::socket::wait_read,
            [self = shared_from_this(), generation = m_watchGeneration](beast::error_code code) { self->onReadable(generation, code); });
    }

    // Pipelined requests are buffered, up to a limit and while there is room: the caller's close becomes visible only after they have been read.
    void onReadable(std::uint64_t generation, beast::error_code code)
    {
        if (generation != m_watchGeneration || !m_onDisconnect || code == asio::error::operation_aborted) {
            return;
        }
        beast::error_code fault;
        m_stream.socket().non_blocking(true, fault);
        while (!fault && m_buffer.size() < maxUnreadBytes() && findUnparsedRoom(m_buffer.size() + readAheadBytes)) {
            const std::size_t got = m_stream.socket().read_some(m_buffer.prepare(readAheadBytes), fault);
            m_buffer.commit(got);
        }
        if (fault == asio::error::would_block) {
            waitReadable();
        } else if (fault) {
            const auto onDisconnect = std::move(m_onDisconnect);
            m_onDisconnect = nullptr;
            m_broken = true;
            onDisconnect();
        }
    }

    void stopWatching()
    {
        ++m_watchGeneration;
        m_onDisconnect = nullptr;
        beast::error_code ignored;
        m_stream.socket().cancel(ignored);
    }

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser; // of the request being received, or of the latest one
    std::shared_ptr<http_connection_set> m_connections;
    http_server_limits m_limits;
    std::optional<byte_share> m_bodyShare;     // of m_limits.requestBytes, for the body of the request being received or answered
    std::optional<byte_share> m_unparsedShare; // the same, for m_buffer while it holds more than readAheadBytes
    time_point m_requestExpectedUntil;         // not idle until then: the connection is new, or a response of a server that stops kept it open
    std::function<void()> m_onDisconnect;
    std::uint64_t m_watchGeneration = 0; // incremented per watch, so that callbacks of earlier watches are ignored
    unsigned m_version = 11;
    bool m_keepAlive = true;
    bool m_started = false;
    bool m_broken = false;
    bool m_busy = false;            // whether this connection is counted in the shared `busy`
    bool m_requestArriving = false; // bytes of a request may be on their way from the kernel to `m_buffer`
};

// Shared pointers to all open connections. Release them without holding the lock, because the connection's destructor locks it.
inline std::vector<std::shared_ptr<http_connection>> http_connection_set::openConnections()
{
    std::vector<std::shared_ptr<http_connection>> owners;
    const std::lock_guard guard(lock);
    for (http_connection *item : open) {
        if (auto owner = item->weak_from_this().lock()) {
            owners.push_back(std::move(owner));
        }
    }
    return owners;
}

inline void http_connection_set::closeIdle()
{
    for (std::shared_ptr<http_connection> &item : openConnections()) {
        http_connection::postCloseIfIdle(std::move(item));
    }
}

inline void http_connection_set::closeAll()
{
    for (std::shared_ptr<http_connection> &item : openConnections()) {
        http_connection::postClose(std::move(item));
    }
}

} // namespace chicoryrouter
