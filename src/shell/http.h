// HTTP as the shells use it: a server and a client over Boost.Beast, behind types that need no Beast header.
#pragma once

#include "chicoryrouter/endpoint.h"
#include "chicoryrouter/error.h"
#include "chicoryrouter/time.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chicoryrouter {

class worker_pool;

struct http_header
{
    std::string name;
    std::string value;
};
using http_headers = std::vector<http_header>;

std::string_view findHeader(const http_headers &headers, std::string_view name); // empty when absent; names compare without case

// ---- Server ----------------------------------------------------------------------------------------------------------------------------

struct http_request
{
    std::string method;
    std::string path;   // target without its query
    std::string query;  // what stands behind '?'
    std::string target; // path and query as they were sent
    http_headers headers;
    std::string body;

    [[nodiscard]] std::string_view header(std::string_view name) const { return findHeader(headers, name); }
    [[nodiscard]] std::string parameter(std::string_view name) const; // of the query, not decoded; empty when absent
};

// One request being answered. All calls run on the connection's thread.
class http_exchange
{
public:
    virtual ~http_exchange() = default;

    http_request request;

    virtual boost::asio::awaitable<void> respond(int status, std::string contentType, std::string body, http_headers extra = {}) = 0;
    virtual boost::asio::awaitable<bool> startStream(int status, std::string contentType, http_headers extra = {}) = 0; // false: caller gone
    virtual boost::asio::awaitable<bool> writeChunk(std::string_view bytes) = 0;                                        // false: caller gone
    virtual boost::asio::awaitable<void> endStream() = 0;
    // The same with the headers as they are, for answers that are passed on.
    virtual boost::asio::awaitable<void> respondWithHeaders(int status, http_headers headers, std::string body) = 0;
    virtual boost::asio::awaitable<bool> startStreamWithHeaders(int status, http_headers headers) = 0; // false: caller gone
    virtual void abandon() = 0;                                                               // closes without an end: the caller sees that the answer is cut
    virtual void watchCaller(std::function<void()> onDisconnect) = 0;                               // tells once when the caller closes; until the handler returns
    [[nodiscard]] virtual bool started() const = 0;                                           // a status was written
    [[nodiscard]] virtual boost::asio::any_io_executor executor() const = 0;
};

using http_handler = std::function<boost::asio::awaitable<void>(http_exchange &)>;

struct http_server_limits
{
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 2 * 1024 * 1024;
    duration receiveTimeout = std::chrono::seconds(10); // headers and body of one request
    duration idleTimeout = std::chrono::seconds(60);    // between two requests of a kept connection
    duration writeTimeout = std::chrono::seconds(30);   // one write to a caller that does not read
};

class http_server
{
public:
    http_server(worker_pool &workers, const address &listenAddress, http_handler handler, http_server_limits limits = {}); // throws when it cannot listen
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    [[nodiscard]] std::uint16_t port() const;         // the one in use, also when 0 was asked for
    void setLimits(const http_server_limits &limits); // any thread; for requests that begin from now on
    void closeAfterResponses();                               // any thread: every answer from now on ends its connection
    void close();                                     // accepts no more; open requests go on, kept connections close after their answer
    void closeIdle();                                 // any thread: connections on which no request is being answered end now
    [[nodiscard]] std::size_t connections() const;    // open now
    [[nodiscard]] std::size_t busy() const;           // connections with a request being answered, or an answer on its way
    void abortAll();                                  // closes every connection at once; used to play a crash

private:
    struct state;
    std::shared_ptr<state> m_state;
};

// ---- Client ----------------------------------------------------------------------------------------------------------------------------

struct http_call
{
    std::string method = "GET";
    std::string target = "/";
    http_headers headers; // in this order, doubled names kept; a Host among them goes before the address
    std::string body;
};

struct http_response
{
    int status = 0;
    http_headers headers;
    std::string body;
};

// Why a call failed, with the one fact that matters for a repeat.
class http_failure : public std::exception
{
public:
    http_failure(bool requestMayHaveBeenSent, error_kind kind, std::string text, std::size_t bodyBytes = 0);

    [[nodiscard]] bool requestMayHaveBeenSent() const { return m_requestMayHaveBeenSent; }
    [[nodiscard]] error_kind kind() const { return m_kind; }
    [[nodiscard]] std::size_t bodyBytes() const { return m_bodyBytes; } // of the answer had come; whole calls only
    [[nodiscard]] const char *what() const noexcept override { return m_text.c_str(); }

private:
    bool m_requestMayHaveBeenSent;
    error_kind m_kind;
    std::size_t m_bodyBytes;
    std::string m_text;
};

// Lets go of a call from outside while it is being made: set by http_client::open() as soon as there is a connection.
struct call_handle
{
    std::function<void()> cancel; // closes the connection; empty before there is one
};

// An answer being read. Destroying it before its end closes the connection, which tells the other side to stop.
class http_stream
{
public:
    virtual ~http_stream() = default;

    int status = 0;
    http_headers headers;

    virtual boost::asio::awaitable<std::size_t> readSome(char *buffer, std::size_t size) = 0; // 0 at the end; throws http_failure
    virtual void setDeadline(time_point deadline) = 0;                                          // moves the deadline of what is still to be read
    virtual void cancel() = 0;                                                                // a waiting readSome() throws
    virtual boost::asio::awaitable<void> skipResponse() = 0; // the answer belongs to an older call: drops it and reads the next one's head
};

// How far the body of an answer may go on past the call's deadline. A bound on the whole would be too short for a large answer over a thin
// link, and whoever asks again after giving up reads the same bytes again, or more: it would never catch up.
struct body_timeouts
{
    duration readTimeout{}; // from one piece to the next
    time_point deadline{};   // however steadily it comes
};

// Connections to other processes, kept for reuse. Belongs to one thread.
class http_client
{
public:
    explicit http_client(boost::asio::any_io_executor executor);
    ~http_client();

    // A whole call. `deadline` covers connecting, sending and the answer, whose body may go on by `pace`. Throws http_failure.
    boost::asio::awaitable<http_response> call(
        address destination, http_call request, time_point deadline, std::size_t maxBytes = 8 * 1024 * 1024, std::optional<body_timeouts> bodyTimeouts = {});

    // Sends the request and reads the answer's head. `fresh` avoids kept connections, whose silent end cannot be told from a lost
    // request. `onSending` is called before the first byte may leave. `deadline` covers everything, the reading too.
    boost::asio::awaitable<std::unique_ptr<http_stream>> open(
        address destination, http_call request, time_point deadline, bool forceNew, std::function<void()> onSending, std::shared_ptr<call_handle> handle = nullptr);

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace chicoryrouter
