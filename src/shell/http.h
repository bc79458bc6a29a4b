// HTTP/1.1 server and client on Boost.Beast. Code that includes this header needs no Beast header.
#pragma once

#include "chicoryrouter/byte_pool.h"
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

class listening_port;
class worker_pool;

struct http_header
{
    std::string name;
    std::string value;
};
using http_headers = std::vector<http_header>;

std::string_view findHeader(const http_headers &headers, std::string_view name); // empty when absent; names are case-insensitive

// ---- Server ----------------------------------------------------------------------------------------------------------------------------

struct http_request
{
    std::string method;
    std::string path;   // target without its query string
    std::string query;  // the part of the target after '?'
    std::string target; // path and query string exactly as received
    http_headers headers;
    std::string body;

    [[nodiscard]] std::string_view header(std::string_view name) const { return findHeader(headers, name); }
    [[nodiscard]] std::string parameter(std::string_view name) const; // value of a query parameter, not percent-decoded; empty when absent
};

// A request and the functions that send its response. Call them on the connection's thread only.
class http_exchange
{
public:
    virtual ~http_exchange() = default;

    http_request request;

    virtual boost::asio::awaitable<void> respond(int status, std::string contentType, std::string body, http_headers extra = {}) = 0;
    virtual boost::asio::awaitable<bool> startStream(int status, std::string contentType, http_headers extra = {}) = 0; // false: the caller disconnected
    virtual boost::asio::awaitable<bool> writeChunk(std::string_view bytes) = 0;                                        // false: the caller disconnected
    virtual boost::asio::awaitable<void> endStream() = 0;
    // The same, but adds only the framing and Connection headers to the given ones. For responses forwarded from an endpoint.
    virtual boost::asio::awaitable<void> respondWithHeaders(int status, http_headers headers, std::string body) = 0;
    virtual boost::asio::awaitable<bool> startStreamWithHeaders(int status, http_headers headers) = 0; // false: the caller disconnected
    virtual void abandon() = 0; // closes without the final chunk: the caller sees a truncated response
    // Called once if the caller disconnects before the handler returns; at once if it already has.
    virtual void watchCaller(std::function<void()> onDisconnect) = 0;
    [[nodiscard]] virtual bool started() const = 0; // the status line was sent, or sending it began
    [[nodiscard]] virtual boost::asio::any_io_executor executor() const = 0;
};

using http_handler = std::function<boost::asio::awaitable<void>(http_exchange &)>;

struct http_server_limits
{
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 2 * 1024 * 1024;
    duration receiveTimeout = std::chrono::seconds(10); // to receive the headers and body of one request
    duration idleTimeout = std::chrono::seconds(60);    // between two requests on a keep-alive connection
    duration writeTimeout = std::chrono::seconds(30);   // a caller that reads nothing for so long is disconnected
    std::shared_ptr<byte_pool> requestBytes = nullptr;  // bounds the bodies of all open requests together; a request beyond it is refused. Null: no bound
};

class http_server
{
public:
    // Listens at once, and throws port_error if it can't: at a port that is already bound, or at an address (port 0: any free port).
    http_server(worker_pool &workers, listening_port port, http_handler handler, http_server_limits limits = {});
    http_server(worker_pool &workers, const address &listenAddress, http_handler handler, http_server_limits limits = {});
    ~http_server();
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;

    [[nodiscard]] std::uint16_t port() const;         // the port bound, also when port 0 was requested
    void setLimits(const http_server_limits &limits); // any thread; applies to requests received from now on
    void closeAfterResponses();                       // any thread; from now on every response closes its connection
    void close();                                     // any thread; stops accepting shortly, and every connection closes after its next response
    void closeIdle();                                 // any thread; closes the connections on which no request is in progress, arriving or soon expected
    [[nodiscard]] bool isListening() const;           // false: close() has taken all connections of the listening socket's queue
    [[nodiscard]] std::size_t acceptedLate() const;   // connections accepted after close()
    [[nodiscard]] std::size_t closedIdle() const;     // connections closed by closeIdle()
    [[nodiscard]] std::size_t connections() const;    // open connections
    [[nodiscard]] std::size_t busy() const;           // connections with a request in progress or a response still being sent
    void abortConnections();                          // any thread; closes every connection immediately, but goes on listening
    void abortAll();                                  // the same, and stops listening; simulates a crash

private:
    struct state;
    std::shared_ptr<state> m_state;
};

// ---- Client ----------------------------------------------------------------------------------------------------------------------------

struct http_call
{
    std::string method = "GET";
    std::string target = "/";
    http_headers headers; // sent in this order, duplicates included; a Host header replaces the one derived from the address
    std::string body;
};

struct http_response
{
    int status = 0;
    http_headers headers;
    std::string body;
};

// Why a call failed, and whether the server may have received any of the request: if so, a retry may run it twice.
class http_failure : public std::exception
{
public:
    http_failure(bool requestMayHaveBeenSent, error_kind kind, std::string text, std::size_t bodyBytes = 0);

    [[nodiscard]] bool requestMayHaveBeenSent() const { return m_requestMayHaveBeenSent; }
    [[nodiscard]] error_kind kind() const { return m_kind; }
    [[nodiscard]] std::size_t bodyBytes() const { return m_bodyBytes; } // response body bytes received before the failure; set by call() only
    [[nodiscard]] const char *what() const noexcept override { return m_text.c_str(); }

private:
    bool m_requestMayHaveBeenSent;
    error_kind m_kind;
    std::size_t m_bodyBytes;
    std::string m_text;
};

// Cancels a call from outside while open() runs. http_client::open() sets it once it has a connection.
struct call_handle
{
    std::function<void()> cancel; // closes the connection; empty before there is one and after the response headers are read
};

// A response being read. Destroying it before its end closes the connection, which tells the server to stop.
class http_stream
{
public:
    virtual ~http_stream() = default;

    int status = 0;
    http_headers headers;
    bool endsWithConnection = false; // the body has neither a length nor chunks

    virtual boost::asio::awaitable<std::size_t> readSome(char *buffer, std::size_t size) = 0; // bytes read, 0 at the end of the body; throws http_failure
    virtual void setDeadline(time_point deadline) = 0;                                        // replaces the deadline for the rest of the response
    virtual void cancel() = 0;                                                                // closes the connection; a pending readSome() throws
    virtual void closeAfterResponse() = 0;                                                    // the connection is not used for another call
    virtual boost::asio::awaitable<void> skipResponse() = 0; // discards a response to an earlier request, reads the next headers
};

// How long reading a response body may continue past the call's deadline. One deadline for the whole call would be too short for a large
// response over a slow link, and a client that gives up and retries reads the same bytes again, or more, so it would never finish.
struct body_timeouts
{
    duration readTimeout{}; // longest wait between two reads
    time_point deadline{};  // for the whole body, even if data keeps arriving
};

inline constexpr std::size_t maxShortAnswerBytes = 64 * 1024; // for calls whose answer is a status or a few figures

// HTTP client with a pool of keep-alive connections. Use it from one thread only.
class http_client
{
public:
    explicit http_client(boost::asio::any_io_executor executor);
    ~http_client();

    // Sends a request and reads the whole response. `deadline` covers connecting, sending and reading; with `bodyTimeouts`, reading the body
    // may continue past it. A body over `maxBytes` fails the call; choose what this answer needs, since any server may send more. Throws http_failure.
    boost::asio::awaitable<http_response> call(
        address destination, http_call request, time_point deadline, std::size_t maxBytes, std::optional<body_timeouts> bodyTimeouts = {});

    // Sends the request and reads the response headers. `forceNew` avoids pooled connections: a failure on one that the server closed
    // unnoticed cannot be told from a lost request. `onSending` is called before the first byte is sent. `deadline` also covers reading
    // the body. Throws http_failure.
    boost::asio::awaitable<std::unique_ptr<http_stream>> open(address destination,
        http_call request,
        time_point deadline,
        bool forceNew,
        std::function<void()> onSending,
        std::shared_ptr<call_handle> handle = nullptr);

private:
    struct state;
    std::shared_ptr<state> m_state;
};

} // namespace chicoryrouter
